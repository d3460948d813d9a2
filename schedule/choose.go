package schedule

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// reserve is the part of an engine's limit that each tier leaves for the tiers
// above it.
var reserve = [mp.TierCount]float64{0, 0, 0.03, 0.06, 0.1}

// queuePart is the part of the first token's target that a request may spend in
// an engine's queue. It lets the requests of all hosts meet there, in the order
// of their priorities: a host cannot see that a lower tier of another host took
// the place that became free.
var queuePart = [mp.TierCount]float64{0.8, 0.4, 0.1, 0, 0}

// spill is the part of a remote engine's limit that is not used, so that a
// region keeps room for its own callers.
const spill = 0.2

// hasRoom says whether the engine may get the request.
func (en *engine) hasRoom(wo *mp.Request, occupancy int, meanAnswer mp.Tokens) bool {
	part := 1 - reserve[wo.Tier]
	if en.Distance == OtherRegion {
		part -= spill
	}
	if float64(occupancy) < max(1, en.limit*part) {
		return true
	}
	if en.Distance == OtherRegion {
		return false
	}
	return float64(en.queueTime(occupancy, meanAnswer)) < queuePart[wo.Tier]*float64(wo.FirstTokenTarget)
}

// sparePriority comes behind every tier.
const sparePriority = 2 * mp.TierCount

// priority returns the request's place in the order of an engine's queue: by
// tier, then use within the promised share first.
func (jo *job) priority() int {
	switch {
	case jo.spare:
		return sparePriority
	case jo.promised:
		return 2 * int(jo.work.Tier)
	default:
		return 2*int(jo.work.Tier) + 1
	}
}

// queueTime returns how long a request waits in the engine's queue behind those
// that are there.
func (en *engine) queueTime(occupancy int, meanAnswer mp.Tokens) time.Duration {
	over := occupancy + 1 - en.Slots
	if over <= 0 {
		return 0
	}
	slotTime := en.gap * time.Duration(meanAnswer) / time.Duration(en.Slots)
	return slotTime * time.Duration(over)
}

// expect returns the expected time to the first token, with the chance of a wait
// behind requests of other hosts.
func (en *engine) expect(now time.Time, wo *mp.Request, occupancy int, meanAnswer mp.Tokens) time.Duration {
	uncached := wo.PromptTokens - en.cached(now, wo)
	expected := time.Duration(uncached) * initialPrefill
	expected += en.gap + en.gap*time.Duration(occupancy)/time.Duration(en.Slots)
	return expected + en.queueTime(occupancy, meanAnswer) + en.crowd(wo, occupancy) + 2*remoteDelay[en.Distance]
}

// crowding is the part of the first token's target that a full engine counts as
// farther away. Other hosts send to an engine between two reports of its load, so
// the fuller it was, the likelier a request waits there. In 68 replays six
// missed their bounds without it, and two with it; 0.3 and 0.5 left three.
const crowding = 0.4

// crowd returns what the chance of a wait behind requests of other hosts counts.
func (en *engine) crowd(wo *mp.Request, occupancy int) time.Duration {
	used := float64(occupancy) / float64(en.Slots)
	return time.Duration(crowding * used * used * float64(wo.FirstTokenTarget))
}

// choice is an engine with what is expected of it.
type choice struct {
	engine   *engine
	expected time.Duration
	score    time.Duration
}

// homePart is the part of the first token's target within which a request stays
// in its region.
const homePart = 0.3

// choose returns the engine with the least expected time to the first token
// among those with room; the zero choice if there is none. Engines of other
// regions are considered only if no near one keeps the target with a margin, for
// their bytes are paid.
func (sc *Scheduler) choose(now time.Time, wo *mp.Request, not mp.EngineID, relaxed bool) choice {
	group := sc.groups[wo.Model]
	if group == nil {
		return choice{}
	}
	near := sc.best(now, group, wo, not, relaxed, false)
	if near.engine != nil && float64(near.score) <= homePart*float64(wo.FirstTokenTarget) {
		return near
	}
	remote := sc.best(now, group, wo, not, relaxed, true)
	if near.engine == nil || (remote.engine != nil && remote.score < near.score) {
		return remote
	}
	return near
}

// chooseAgain returns an engine for a request that failed at one. When another
// region can't be reached, its other engines probably can't either, so the request
// stays in its region.
func (sc *Scheduler) chooseAgain(now time.Time, wo *mp.Request, failed *engine, outcome mp.Outcome) choice {
	if outcome.Unreachable && failed.Distance == OtherRegion {
		if near := sc.best(now, sc.groups[wo.Model], wo, failed.ID, true, false); near.engine != nil {
			return near
		}
	}
	if ch := sc.choose(now, wo, failed.ID, true); ch.engine != nil {
		return ch
	}
	return sc.choose(now, wo, "", true)
}

func (sc *Scheduler) best(now time.Time, group *group, wo *mp.Request, not mp.EngineID, relaxed, remote bool) choice {
	var found choice
	ties := 0
	meanAnswer := group.meanAnswer()
	for _, en := range group.engines {
		if en.Leaving || en.ID == not || en.isEjected(now) || (en.Distance == OtherRegion) != remote {
			continue
		}
		occupancy := en.occupancy(now, sc.hosts)
		if !relaxed && !en.hasRoom(wo, occupancy, meanAnswer) {
			continue
		}
		expected := en.expect(now, wo, occupancy, meanAnswer)
		score := expected + en.currentLag(now)
		switch {
		case found.engine == nil || score < found.score:
			found = choice{engine: en, expected: expected, score: score}
			ties = 1
		case score == found.score:
			ties++
			if sc.random.IntN(ties) == 0 {
				found = choice{engine: en, expected: expected, score: score}
			}
		}
	}
	return found
}
