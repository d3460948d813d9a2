package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/routing"
)

// counters are the metrics of the host.
type counters struct {
	mu       sync.Mutex
	refusals map[mp.Kind]int64
	answers  map[int]int64
	streams  int64
}

func newCounters() *counters {
	return &counters{refusals: map[mp.Kind]int64{}, answers: map[int]int64{}}
}

func (co *counters) refused(kind mp.Kind) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.refusals[kind]++
}

func (co *counters) answered(_ *routing.Route, status int, _ time.Duration) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.answers[status]++
}

func (co *counters) broken() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.streams++
}

func (ga *Gateway) serveMetrics(rw http.ResponseWriter, _ *http.Request) {
	ga.counters.mu.Lock()
	defer ga.counters.mu.Unlock()
	for kind, count := range ga.counters.refusals {
		fmt.Fprintf(rw, "mangopaddle_refused{kind=%q} %d\n", kind, count)
	}
	for status, count := range ga.counters.answers {
		fmt.Fprintf(rw, "mangopaddle_answered{status=\"%d\"} %d\n", status, count)
	}
}
