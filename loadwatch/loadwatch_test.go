package loadwatch_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/loadwatch"
)

// countingObserver counts the reports that it gets.
type countingObserver struct{ count atomic.Int64 }

// ObserveLoad implements loadwatch.Observer.
func (co *countingObserver) ObserveLoad(mp.EngineID, mp.EngineLoad) { co.count.Add(1) }

// TestReportWithoutEndIsCutOff guards against a host that runs out of memory because an engine
// sends a load report without end.
func TestReportWithoutEndIsCutOff(t *testing.T) {
	const maxSent = 4 << 20 // with room for socket buffers
	var calls, sent atomic.Int64
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			http.Error(rw, "busy", http.StatusServiceUnavailable)
			return
		}
		defer close(done)
		_, _ = rw.Write([]byte(`{"running":1,"waiting":0,"more":"`))
		block := []byte(strings.Repeat("x", 16<<10))
		for sent.Load() < 64*maxSent {
			count, err := rw.Write(block)
			sent.Add(int64(count))
			if err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	bo := blackboard.New("h", "d")
	bo.Config = &config.Set{Fleet: config.Fleet{Engines: []config.Engine{{Name: "e", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "d", State: config.StateLive}}}}
	view := blackboard.NewView()
	view.Store(blackboard.NewSnapshot(bo))
	observer := &countingObserver{}
	t.Cleanup(loadwatch.New(view, observer, loadwatch.WithInterval(10*time.Millisecond)))
	<-done
	require.Less(t, sent.Load(), int64(maxSent))
	require.Zero(t, observer.count.Load())
}
