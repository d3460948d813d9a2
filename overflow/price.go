package overflow

import (
	"math"
	"time"
)

const (
	// maxUtilisation is the utilisation up to which a data centre takes work of others. Above
	// it, the wait depends more on chance than on the load. It also bounds the queueing formula,
	// which has a pole at 1.
	maxUtilisation = 0.95
	// horizon is how long a split may last before its effect is seen: as long as a view may be
	// old. Queued work counts as demand that is spread over it, and an overloaded queue grows
	// for that long.
	horizon = 5 * time.Second
	// noServersPrice is the price of work, in seconds, in a data centre without servers. It only
	// has to exceed all others.
	noServersPrice = 1e6
)

// waitPrice returns by how many seconds one more request increases the waits of all requests
// together: the derivative of rate times wait, with Sakasegawa's approximation of the mean wait
// of a queue with several servers. Above maxUtilisation, it grows linearly by the queue that is
// built up during the horizon.
func waitPrice(servers, demand float64, work time.Duration) float64 {
	if servers <= 0 {
		return noServersPrice
	}
	utilisation := demand / servers
	bounded := min(max(0, utilisation), maxUtilisation)
	exponent := math.Sqrt(2*(servers+1)) - 1
	wait := work.Seconds() * math.Pow(bounded, exponent) / (servers * (1 - bounded))
	price := wait * (exponent + 1 + bounded/(1-bounded))
	return price + (max(utilisation, bounded)-bounded)*horizon.Seconds()
}
