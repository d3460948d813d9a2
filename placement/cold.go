package placement

import (
	"math"
	"time"

	"github.com/mangopaddle/mangopaddle/coldstart"
	"github.com/mangopaddle/mangopaddle/rendezvous"
)

const (
	// maxColdWait bounds the wait that a host without a place in the order of a cold server
	// states to a refused caller: another host, which has one, may get the next attempt.
	maxColdWait = time.Second
	// maxColdDelay is the longest time between the choice of a cold server and the request to
	// it. All hosts together may send as much more in one second as they may in this time,
	// which the operator's slack has to cover.
	maxColdDelay = 100 * time.Millisecond
	// minColdWait keeps a stated wait from being zero, which means that no server is cold.
	minColdWait = time.Millisecond
)

// WithColdStart sets the tracker of cold servers. The default knows of none. The placer and
// its caller must not use the tracker at the same time.
func WithColdStart(tracker *coldstart.Tracker) Option {
	return func(pl *Placer) { pl.cold = tracker }
}

// IsOverdue reports whether the request would reach the chosen cold server so late after the
// choice that those of several turns may arrive at once, as when a network that was cut is back.
func (ch Choice) IsOverdue(now time.Time) bool {
	return ch.Cold && now.Sub(ch.chosenAt) > maxColdDelay
}

func (pl *Placer) isCold(now time.Time, se *server) bool {
	return !pl.cold.IsIdle() && pl.cold.ColdLeft(now, se.ID) > 0
}

// coldCandidates returns the cold servers to which this host may send the request now. Only
// hosts of a server's own data centre send to it while it is cold.
func (pl *Placer) coldCandidates(now time.Time, rq *Request) []*server {
	if pl.cold.IsIdle() {
		return nil
	}
	var candidates []*server
	for _, se := range pl.services[rq.Service] {
		if !pl.isUsableCold(now, rq, se) || se.isAvoided(now) {
			continue
		}
		if wait, ok := pl.coldWait(now, se); ok && wait == 0 {
			candidates = append(candidates, se)
		}
	}
	return candidates
}

// isUsableCold reports whether a server is cold and nothing else excludes it.
func (pl *Placer) isUsableCold(now time.Time, rq *Request, se *server) bool {
	return pl.isCold(now, se) && !se.Evacuated && !rq.excludes(se) && !pl.isLeaving(se) && pl.pauseLeft(now, se) <= 0 && !pl.lacksPlace(now, se)
}

// coldWait returns how long this host has to wait until it may send to a cold server; false
// if it has no place in the server's order.
func (pl *Placer) coldWait(now time.Time, se *server) (time.Duration, bool) {
	if se.Distance != SameDataCentre {
		return 0, false
	}
	return pl.cold.Wait(now, se.ID, se.ColdRequestRate)
}

// orCold returns a choice, or that of a cold server if the request would be late with the
// first and in time with the second. It marks the choice of a cold server.
func (pl *Placer) orCold(now time.Time, rq *Request, ch Choice) Choice {
	if pl.cold.IsIdle() {
		return ch
	}
	if ch.Lateness(rq) > 0 {
		if candidates := pl.coldCandidates(now, rq); len(candidates) > 0 {
			if other := pl.chooseFrom(now, rq, candidates); other.Lateness(rq) <= 0 {
				ch = other
			}
		}
	}
	if pl.cold.ColdLeft(now, ch.Server.ID) > 0 {
		ch.Cold, ch.chosenAt = true, now
	}
	return ch
}

// ColdWait returns the time after which a refused request may be sent to a cold server, or
// retried at another host; zero if no cold server is usable for it.
func (pl *Placer) ColdWait(now time.Time, rq *Request) time.Duration {
	var shortest time.Duration
	for _, se := range pl.services[rq.Service] {
		if !pl.isUsableCold(now, rq, se) {
			continue
		}
		left := pl.cold.ColdLeft(now, se.ID)
		wait, ok := pl.coldWait(now, se)
		if !ok {
			wait = maxColdWait
		}
		wait = max(minColdWait, min(max(wait, se.avoidUntil.Sub(now)), left))
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// slowStart returns the servers without those that don't get the request yet after their cold
// time. Requests with a shared prefix are drawn by the prefix, alike on all hosts, so that
// they stay together and return to a server prefix by prefix. It returns all servers if none
// would be left.
func (pl *Placer) slowStart(now time.Time, rq *Request, servers []*server) []*server {
	if pl.cold.IsIdle() {
		return servers
	}
	taking := make([]*server, 0, len(servers))
	for _, se := range servers {
		if fraction := pl.cold.Fraction(now, se.ID, se.ColdTime); fraction >= 1 || pl.draw(rq, se) < fraction {
			taking = append(taking, se)
		}
	}
	if len(taking) == 0 {
		return servers
	}
	return taking
}

// draw returns a number from 0 to 1 for a request at a server.
func (pl *Placer) draw(rq *Request, se *server) float64 {
	_, prefixID := rq.sharedPrefix()
	if prefixID == 0 {
		return pl.random.Float64()
	}
	return float64(rendezvous.Mix(se.hash^rendezvous.Mix(prefixID))) / math.MaxUint64
}
