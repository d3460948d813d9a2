package schedule

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// reservedFraction is, for each tier, the fraction of an engine's concurrency
// limit that the tier leaves free for more urgent tiers.
var reservedFraction = [mp.TierCount]float64{0, 0, 0.03, 0.06, 0.1}

// queueTimeFraction is, for each tier, the fraction of the time-to-first-token
// target that a request may spend in an engine's own queue. A host cannot detect
// that a less urgent request of another host took a slot that became free, so the
// more urgent tiers may exceed the limit a little: the engine's queue then orders
// the requests of all hosts by priority.
var queueTimeFraction = [mp.TierCount]float64{0.8, 0.4, 0.1, 0, 0}

// remoteHeadroomFraction is the fraction of the concurrency limit of an engine in
// another region that is left unused, so that each region keeps capacity for its own
// callers.
const remoteHeadroomFraction = 0.2

// hasCapacity reports whether the engine can take a request at the given
// occupancy: either it is below its concurrency limit, less the reserved
// fraction, or the wait in its queue is short enough for the tier. An engine of
// another region must be below its limit, less the reserved fraction and
// remoteHeadroomFraction; a short wait in its queue is not enough.
func (en *engine) hasCapacity(rq *mp.Request, occupancy int, medianAnswer mp.Tokens) bool {
	usable := 1 - reservedFraction[rq.Tier]
	if en.Distance == OtherRegion {
		usable -= remoteHeadroomFraction
	}
	if float64(occupancy) < max(1, en.concurrencyLimit*usable) {
		return true
	}
	if en.Distance == OtherRegion {
		return false
	}
	return float64(en.queueTime(occupancy, medianAnswer)) < queueTimeFraction[rq.Tier]*float64(rq.FirstTokenTarget)
}

// bestEffortPriority sorts after the priorities of all tiers, of which each has two.
const bestEffortPriority = 2 * mp.TierCount

// priority returns the request's priority in an engine's queue; a lower value runs
// first. Requests are ordered by tier, and within a tier those within the
// promised rate come first. Best-effort requests come last.
func (jo *job) priority() int {
	switch {
	case jo.bestEffort:
		return bestEffortPriority
	case jo.promised:
		return 2 * int(jo.request.Tier)
	default:
		return 2*int(jo.request.Tier) + 1
	}
}

// queueTime estimates how long a new request would wait for a slot in the engine's
// queue; zero if a slot is free.
func (en *engine) queueTime(occupancy int, medianAnswer mp.Tokens) time.Duration {
	excess := occupancy + 1 - en.Slots
	if excess <= 0 {
		return 0
	}
	slotTime := en.timeBetweenTokens * time.Duration(medianAnswer) / time.Duration(en.Slots)
	return slotTime * time.Duration(excess)
}

// expectedTimeToFirstToken estimates the time to the first token: prefill of the
// uncached part of the prompt, one decode step (which the occupancy lengthens, to
// twice the time on a full engine), the time in the engine's queue, the network
// round trip and a penalty for contention with other hosts.
func (en *engine) expectedTimeToFirstToken(now time.Time, rq *mp.Request, occupancy int, medianAnswer mp.Tokens) time.Duration {
	uncached := rq.PromptTokens - en.cachedTokens(now, rq)
	expected := time.Duration(uncached) * assumedPrefillPerToken
	expected += en.timeBetweenTokens + en.timeBetweenTokens*time.Duration(occupancy)/time.Duration(en.Slots)
	return expected + en.queueTime(occupancy, medianAnswer) + en.contentionPenalty(rq, occupancy) + 2*networkDelay[en.Distance]
}

// contentionFactor is the penalty of a fully occupied engine, as a fraction of the
// time-to-first-token target. Other hosts send requests between two load reports
// of an engine, so the fuller it was, the more likely a request waits there.
// Without the penalty, several hosts send requests to the same nearly full engine,
// and their first tokens are late.
const contentionFactor = 0.4

// contentionPenalty returns the time added to an engine's estimate for the risk of
// waiting behind requests of other hosts. It grows with the square of the
// utilisation.
func (en *engine) contentionPenalty(rq *mp.Request, occupancy int) time.Duration {
	utilisation := float64(occupancy) / float64(en.Slots)
	return time.Duration(contentionFactor * utilisation * utilisation * float64(rq.FirstTokenTarget))
}

// candidate is an engine with its estimate for a request. The engine with the
// lowest score is chosen; engine is nil if none qualifies.
type candidate struct {
	engine       *engine
	expectedTTFT time.Duration // time to first token
	score        time.Duration // expectedTTFT plus the engine's recent excess latency
}

// localTargetFraction is the fraction of the time-to-first-token target up to which
// the score of an engine in this region is low enough to take it without considering
// other regions.
const localTargetFraction = 0.3

// eligibility tells which engines qualify for a request.
type eligibility int

const (
	// withCapacity: engines that are not avoided and have capacity.
	withCapacity eligibility = iota
	// atAnyOccupancy: engines that are not avoided.
	atAnyOccupancy
	// evenAvoided: all engines that are not in a pause.
	evenAvoided
)

// chooseEngine returns the engine with the lowest score among the eligible ones, or
// the zero candidate if there is none. Engines of other regions are considered
// only if none in this region meets the target with a margin, because traffic
// between regions is charged by the byte.
func (sc *Scheduler) chooseEngine(now time.Time, rq *mp.Request, exclude mp.EngineID, eligible eligibility) candidate {
	mg := sc.groups[rq.Model]
	if mg == nil {
		return candidate{}
	}
	local := sc.bestEngine(now, mg, rq, exclude, eligible, false)
	if local.engine != nil && float64(local.score) <= localTargetFraction*float64(rq.FirstTokenTarget) {
		return local
	}
	remote := sc.bestEngine(now, mg, rq, exclude, eligible, true)
	if local.engine == nil || (remote.engine != nil && remote.score < local.score) {
		return remote
	}
	return local
}

// chooseForRetry returns an engine for a request whose attempt failed, preferably
// another one than before, and without regard to concurrency limits. If an engine
// of another region was unreachable, the other engines there probably are too, so
// engines of this region come first. If every other engine is avoided, one of them is
// tried all the same: what kept requests away may be over, and the caller has begun to
// get an answer.
func (sc *Scheduler) chooseForRetry(now time.Time, rq *mp.Request, failed *engine, outcome mp.Outcome) candidate {
	if outcome.Unreachable && failed.Distance == OtherRegion {
		if local := sc.bestEngine(now, sc.groups[rq.Model], rq, failed.ID, atAnyOccupancy, false); local.engine != nil {
			return local
		}
	}
	if ca := sc.chooseEngine(now, rq, failed.ID, atAnyOccupancy); ca.engine != nil {
		return ca
	}
	if ca := sc.chooseEngine(now, rq, "", atAnyOccupancy); ca.engine != nil {
		return ca
	}
	return sc.chooseEngine(now, rq, failed.ID, evenAvoided)
}

// bestEngine returns the engine of the group with the lowest score, either from
// this region or from other regions (remote). Ties are broken at random with equal
// probability.
func (sc *Scheduler) bestEngine(now time.Time, mg *modelGroup, rq *mp.Request, exclude mp.EngineID, eligible eligibility, remote bool) candidate {
	var best candidate
	ties := 0
	medianAnswer := mg.medianAnswer()
	for _, en := range mg.engines {
		if en.Draining || en.ID == exclude || (en.Distance == OtherRegion) != remote {
			continue
		}
		if en.isPaused(now) || (eligible != evenAvoided && en.isAvoided(now)) {
			continue
		}
		occupancy := en.occupancy(now, sc.hosts)
		if eligible == withCapacity && !en.hasCapacity(rq, occupancy, medianAnswer) {
			continue
		}
		expectedTTFT := en.expectedTimeToFirstToken(now, rq, occupancy, medianAnswer)
		score := expectedTTFT + en.decayedExcessLatency(now)
		switch {
		case best.engine == nil || score < best.score:
			best = candidate{engine: en, expectedTTFT: expectedTTFT, score: score}
			ties = 1
		case score == best.score:
			ties++
			if sc.random.IntN(ties) == 0 {
				best = candidate{engine: en, expectedTTFT: expectedTTFT, score: score}
			}
		}
	}
	return best
}
