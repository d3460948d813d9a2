package fakeengine

import (
	"encoding/json"
	"net/http"

	mp "github.com/mangopaddle/mangopaddle"
)

func (en *Engine) serveLoad(rw http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	now := en.clock.Now()
	if en.reportAt.IsZero() || now.Sub(en.reportAt) >= en.loadReportInterval {
		en.report = mp.EngineLoad{Running: en.model.Running(), Waiting: en.model.Waiting()}
		en.reportAt = now
	}
	load := en.report
	load.Age = mp.Duration(now.Sub(en.reportAt))
	en.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(load) // the host may have disconnected
}
