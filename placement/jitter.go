package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mangopaddle/mangopaddle/rendezvous"
)

const (
	// maxGapTargetRatio is the fraction of the target for the gap between
	// events that an event may take while the engine prefills prompts. Engines
	// differ in speed, so a stream that needs more may miss its target.
	maxGapTargetRatio = 0.6
	// toleranceSpread is by how much the token intervals that two classes
	// tolerate may differ for both to count as the most sensitive.
	toleranceSpread = 1.3

	// interferenceCost is the cost of running a jitter-sensitive stream on an
	// engine that prefills prompts, or the reverse.
	interferenceCost = 250 * time.Millisecond
	// interferenceCostPerStream is the cost of a prompt for each
	// jitter-sensitive stream that its prefill delays.
	interferenceCostPerStream = 30 * time.Millisecond
	// latencyPerStream is what each jitter-sensitive stream in progress adds to
	// the expected latency of another one.
	latencyPerStream = 5 * time.Millisecond
)

// JitterTolerance is the longest interval between the tokens of a stream with
// which the stream still meets its target for the gap between events; zero for a
// stream without such a target.
type JitterTolerance time.Duration

// NewJitterTolerance returns the tolerance of a stream whose events carry
// tokensPerEvent tokens. It is zero if either value is not positive.
func NewJitterTolerance(eventGapTarget time.Duration, tokensPerEvent int) JitterTolerance {
	if eventGapTarget <= 0 || tokensPerEvent <= 0 {
		return 0
	}
	return JitterTolerance(eventGapTarget / time.Duration(tokensPerEvent))
}

// IsSensitive reports whether a stream is to be kept apart from the prefill of
// prompts, given the tolerances of all classes of its service and the duration of
// a step in which an engine prefills prompts. It is if it can't keep its target on
// an engine that prefills prompts in every step. If only an engine slower than that
// duration says is too slow for it, it is kept apart unless another class tolerates
// less: its own prompts would delay the streams of that class.
func (jt JitterTolerance) IsSensitive(classes []JitterTolerance, stepDuration time.Duration) bool {
	if jt == 0 || float64(stepDuration) <= maxGapTargetRatio*float64(jt) {
		return false
	}
	if time.Duration(jt) < stepDuration {
		return true
	}
	for _, other := range classes {
		if other > 0 && float64(jt) > toleranceSpread*float64(other) {
			return false
		}
	}
	return true
}

const (
	// minEnginesToReserve is the number of engines a service must have for any
	// to be reserved.
	minEnginesToReserve = 6
	// maxReservedRatio is the maximum fraction of a service's engines that are
	// reserved.
	maxReservedRatio = 0.5
	// minReservedRatio is the minimum fraction, so that streams find engines
	// without prefill when their number grows from zero.
	minReservedRatio = 1.0 / 6
	// reservedOccupancy is the fraction of the slots of the reserved engines
	// that the present streams may take. The rest is for those that start before
	// hosts have told each other.
	reservedOccupancy = 0.5
	// reserveInterval is the time between two adjustments of the reservation.
	reserveInterval = 100 * time.Millisecond
	// reserveHalfLife is the half-life of the number of streams that engines are
	// reserved for, after it has fallen. A slow decrease lets engines keep the
	// prefixes that they own.
	reserveHalfLife = 4 * time.Second
)

// reservation decides how many engines of a service are reserved for
// jitter-sensitive streams. All hosts rank the engines alike and know the same
// streams, so that they reserve the same engines.
type reservation struct {
	// ranked are the engines, in the order in which they are reserved.
	ranked []*server
	count  int
	// streams is the number of streams that engines are reserved for, at the time
	// adjustedAt.
	streams    float64
	adjustedAt time.Time
}

// setEngines replaces the engines of the service.
func (re *reservation) setEngines(engines []*server) {
	re.ranked = slices.Clone(engines)
	slices.SortFunc(re.ranked, func(a, b *server) int {
		return cmp.Or(cmp.Compare(rendezvous.Mix(a.hash), rendezvous.Mix(b.hash)), cmp.Compare(a.ID, b.ID))
	})
	re.reserve()
}

// adjust updates the reservation to the number of jitter-sensitive streams in
// progress at all engines of the service.
func (re *reservation) adjust(now time.Time, streamsInProgress func(*server) int) {
	elapsed := now.Sub(re.adjustedAt)
	if elapsed < reserveInterval {
		return
	}
	total := 0
	for _, se := range re.ranked {
		total += streamsInProgress(se)
	}
	remembered := re.streams * math.Exp2(-elapsed.Seconds()/reserveHalfLife.Seconds())
	re.streams, re.adjustedAt = max(float64(total), remembered), now
	re.reserve()
}

// reserve marks the engines that are reserved.
func (re *reservation) reserve() {
	re.count = re.target()
	for ix, se := range re.ranked {
		se.reserved = ix < re.count
	}
}

// target returns the number of engines to reserve.
func (re *reservation) target() int {
	engines := len(re.ranked)
	if engines < minEnginesToReserve || !re.ranked[0].ServesJitterSensitive {
		return 0
	}
	count := max(1, int(minReservedRatio*float64(engines)))
	if slots := re.ranked[0].Slots; slots > 0 {
		needed := math.Ceil(re.streams / (reservedOccupancy * float64(slots)))
		count = max(count, int(needed))
	}
	return min(count, int(maxReservedRatio*float64(engines)))
}

// matchingEngines returns the engines reserved for jitter-sensitive streams, or
// those for other requests; all candidates if there are none of that kind.
func matchingEngines(candidates []*server, jitterSensitive bool) []*server {
	matching := make([]*server, 0, len(candidates))
	for _, se := range candidates {
		if se.reserved == jitterSensitive {
			matching = append(matching, se)
		}
	}
	if len(matching) == 0 {
		return candidates
	}
	return matching
}

// interference returns the cost of running a jitter-sensitive stream on an
// engine that is not reserved for such streams, or another request on one that
// is.
func (pl *Placer) interference(rq *Request, se *server) time.Duration {
	if rq.JitterSensitive {
		return interferenceCost
	}
	return interferenceCost + time.Duration(pl.streams(se))*interferenceCostPerStream
}

// streams returns the number of jitter-sensitive streams of all hosts in progress
// at an engine.
func (pl *Placer) streams(se *server) int {
	return se.streams + pl.peerLoad(se.ID).Streams
}
