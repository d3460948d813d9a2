package gateway

import (
	"sync"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/routing"
)

// Gains and the factor of the estimate of RFC 6298, which is made for round-trip times.
const (
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 4
)

// durations estimates how long the requests of each route take until their response is
// complete. It is safe for concurrent use.
type durations struct {
	mu      sync.Mutex
	byRoute map[mp.RouteName]*durationEstimate
}

// durationEstimate is a smoothed mean with its mean deviation.
type durationEstimate struct {
	mean, deviation time.Duration
}

func newDurations() *durations {
	return &durations{byRoute: map[mp.RouteName]*durationEstimate{}}
}

// record adds the duration of a request.
func (du *durations) record(route mp.RouteName, took time.Duration) {
	du.mu.Lock()
	defer du.mu.Unlock()
	es, ok := du.byRoute[route]
	if !ok {
		du.byRoute[route] = &durationEstimate{mean: took, deviation: took / 2}
		return
	}
	es.deviation += time.Duration(deviationGain * float64((took-es.mean).Abs()-es.deviation))
	es.mean += time.Duration(meanGain * float64(took-es.mean))
}

// expect returns the mean duration of a route's requests and a time that few exceed; zero
// if none is known.
func (du *durations) expect(route mp.RouteName) (mean, most time.Duration) {
	du.mu.Lock()
	defer du.mu.Unlock()
	es, ok := du.byRoute[route]
	if !ok {
		return 0, 0
	}
	return es.mean, es.mean + deviationFactor*es.deviation
}

// keep forgets all routes but those of a configuration.
func (du *durations) keep(routes []*routing.Route) {
	du.mu.Lock()
	defer du.mu.Unlock()
	kept := make(map[mp.RouteName]*durationEstimate, len(routes))
	for _, ro := range routes {
		if es, ok := du.byRoute[ro.Name]; ok {
			kept[ro.Name] = es
		}
	}
	du.byRoute = kept
}
