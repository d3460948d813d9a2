package placement

import (
	"maps"
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// CrossRegionCostPerByte is the default price of a byte that is sent to another region, as the
// latency that is worth as much.
const CrossRegionCostPerByte = crossRegionCostPerByte

// DefaultRoundTrip returns the round trip that is assumed for a distance until it is measured.
func DefaultRoundTrip(distance Distance) time.Duration { return roundTrip[distance] }

// Capacity is what the servers of a service in one data centre can do.
type Capacity struct {
	// Servers is the number of requests that run at once: engines, each divided by its observed
	// slowdown, or slots of plain services.
	Servers float64
	// Queued is the work that waits at them, from all hosts.
	Queued time.Duration
}

// Capacities returns the capacity of a service by data centre. Servers that get no new requests
// or are avoided or cold don't count, nor do engines that are reserved for jitter-sensitive streams. A
// data centre with servers that can't be used is included, without capacity.
func (pl *Placer) Capacities(now time.Time, service mp.ServiceName) map[mp.DataCentreID]Capacity {
	capacities := map[mp.DataCentreID]Capacity{}
	for _, se := range pl.services[service] {
		ca := capacities[se.DataCentre]
		if !se.reserved && !se.Evacuated && !pl.isLost(now, se) && !pl.isCold(now, se) {
			if se.IsEngine {
				ca.Servers += 1 / se.slowdownFactor(now)
				ca.Queued += prefillDuration(se.queue.total() + pl.peerLoad(se.ID).PrefillTokens)
			} else {
				ca.Servers += float64(se.Slots)
			}
		}
		capacities[se.DataCentre] = ca
	}
	return capacities
}

// isLost reports whether the server is out of use for longer than a full server that turned a
// request away.
func (pl *Placer) isLost(now time.Time, se *server) bool {
	return pl.isLeaving(se) || pl.pauseLeft(now, se) > 0 || se.isAvoided(now.Add(rejectedCoolDown))
}

// Services returns the services with servers, sorted.
func (pl *Placer) Services() []mp.ServiceName { return slices.Sorted(maps.Keys(pl.services)) }

// EngineWork returns how long an engine is kept busy by a prompt.
func EngineWork(promptTokens mp.Tokens) time.Duration { return prefillDuration(promptTokens) }

// MayOverflow reports whether the data centre of the request is subject to a split. A long
// shared prefix keeps its owner, and jitter-sensitive streams their reserved engines, wherever
// these are.
func (rq *Request) MayOverflow() bool {
	sharedPrefix, _ := rq.sharedPrefix()
	return !rq.JitterSensitive && sharedPrefix <= maxRegionalPrefix
}

// chooseInSplit returns a server in the data centre of the request's split. If there is none, or
// the request would be late there, it returns one of all candidates.
func (pl *Placer) chooseInSplit(now time.Time, rq *Request, candidates []*server) Choice {
	if rq.Split != nil && rq.MayOverflow() {
		if narrowed := pl.inSplit(rq, candidates); len(narrowed) > 0 {
			if ch := pl.chooseFrom(now, rq, narrowed); ch.Lateness(rq) <= 0 {
				ch.InSplit = true
				return ch
			}
		}
	}
	return pl.chooseFrom(now, rq, candidates)
}

// chooseFrom returns the best choice among the candidates.
func (pl *Placer) chooseFrom(now time.Time, rq *Request, candidates []*server) Choice {
	if !candidates[0].IsEngine {
		return pl.chooseReplica(now, candidates)
	}
	return pl.chooseEngine(now, rq, candidates)
}

// inSplit returns the candidates in the data centre of the request's split that are not
// reserved. The requests with one shared prefix have the same draw.
func (pl *Placer) inSplit(rq *Request, candidates []*server) []*server {
	_, draw := rq.sharedPrefix()
	if draw == 0 {
		draw = pl.random.Uint64()
	}
	dc := rq.Split(draw)
	var narrowed []*server
	for _, se := range candidates {
		if se.DataCentre == dc && !se.reserved {
			narrowed = append(narrowed, se)
		}
	}
	return narrowed
}
