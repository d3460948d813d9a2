package schedule

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// slack is the part of an engine's limit by which each tier may go beyond it.
// The highest tiers may queue at the engine, whose priority lets them run
// first; the lowest leave room for them.
var slack = [mp.TierCount]float64{0.5, 0.25, 0, -0.05, -0.1}

// spill is how much less of a remote engine's limit may be used, so that a
// region keeps room for its own callers.
const spill = -0.2

// hasRoom says whether the engine may get another request of the tier.
func (en *engine) hasRoom(occupancy int, tier mp.Tier) bool {
	part := 1 + slack[tier]
	if en.Distance == OtherRegion {
		part = min(part, 1) + spill
	}
	return float64(occupancy) < max(1, en.limit*part)
}

// expect returns the expected time to the first token.
func (en *engine) expect(now time.Time, wo *mp.Work, occupancy int, meanAnswer mp.Tokens) time.Duration {
	uncached := wo.Prompt - en.cached(now, wo)
	expected := time.Duration(uncached) * initialPrefill
	expected += en.gap + en.gap*time.Duration(occupancy)/time.Duration(en.Slots)
	if over := occupancy + 1 - en.Slots; over > 0 {
		slotTime := en.gap * time.Duration(meanAnswer) / time.Duration(en.Slots)
		expected += slotTime * time.Duration(over)
	}
	return expected + 2*remoteDelay[en.Distance]
}

// choice is an engine with what is expected of it.
type choice struct {
	engine   *engine
	expected time.Duration
	score    time.Duration
}

// choose returns the engine with the least expected time to the first token
// among those with room; the zero choice if there is none. Engines of other
// regions are considered only if none near has room.
func (sc *Scheduler) choose(now time.Time, wo *mp.Work, not mp.EngineID, relaxed bool) choice {
	group := sc.groups[wo.Model]
	if group == nil {
		return choice{}
	}
	near := sc.best(now, group, wo, not, relaxed, false)
	if near.engine != nil {
		return near
	}
	return sc.best(now, group, wo, not, relaxed, true)
}

func (sc *Scheduler) best(now time.Time, group *group, wo *mp.Work, not mp.EngineID, relaxed, remote bool) choice {
	var found choice
	ties := 0
	meanAnswer := group.meanAnswer()
	for _, en := range group.engines {
		if en.Leaving || en.ID == not || en.isEjected(now) || (en.Distance == OtherRegion) != remote {
			continue
		}
		occupancy := en.occupancy(now, sc.hosts)
		if !relaxed && !en.hasRoom(occupancy, wo.Tier) {
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
