package overflow

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// fallWeight is the weight of a shorter observation in the smoothed minimum. Nothing makes
	// a round trip too short, so that a few observations suffice.
	fallWeight = 0.5
	// riseWeight is the weight of a longer observation. Most of these show a busy host or a
	// lost packet and not a longer way.
	riseWeight = 0.02
	// maxRoundTrip is the longest observation that is used. A longer one shows a paused machine.
	maxRoundTrip = 5 * time.Second
)

// RoundTrips holds smoothed minima of the round trips to other data centres. It is not safe for
// concurrent use.
type RoundTrips struct {
	assumed  func(mp.DataCentreID) time.Duration
	observed map[mp.DataCentreID]time.Duration
}

// NewRoundTrips returns round trips without observations. assumed returns the round trip to a
// data centre until there is one.
func NewRoundTrips(assumed func(mp.DataCentreID) time.Duration) *RoundTrips {
	return &RoundTrips{assumed: assumed, observed: map[mp.DataCentreID]time.Duration{}}
}

// Observe records how long a round trip to a data centre took.
func (rt *RoundTrips) Observe(dc mp.DataCentreID, took time.Duration) {
	if took <= 0 || took > maxRoundTrip {
		return
	}
	current := rt.RoundTrip(dc)
	weight := riseWeight
	if took < current {
		weight = fallWeight
	}
	rt.observed[dc] = current + time.Duration(weight*float64(took-current))
}

// RoundTrip returns the smoothed minimum of the round trips to a data centre.
func (rt *RoundTrips) RoundTrip(dc mp.DataCentreID) time.Duration {
	if observed, ok := rt.observed[dc]; ok {
		return observed
	}
	return rt.assumed(dc)
}
