package fakeengine

import (
	"encoding/json"
	"net/http"

	mp "github.com/mangopaddle/mangopaddle"
)

// serveLoad responds with a load report, which is refreshed at most once per load
// report interval.
func (en *Engine) serveLoad(rw http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	now := en.clock.Now()
	if en.reportAt.IsZero() || now.Sub(en.reportAt) >= en.loadReportInterval {
		en.report = mp.EngineLoad{Running: en.simulated.Running(), Waiting: en.simulated.Waiting()}
		en.reportAt = now
	}
	load := en.report
	load.Age = mp.Duration(now.Sub(en.reportAt))
	en.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(load) // the host may have disconnected
}
