package placement

import (
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// enginesPerReserved is the number of engines of a service for each one
	// reserved for jitter-sensitive streams.
	enginesPerReserved = 6
	// minEnginesToReserve is the number of engines a service must have for any
	// to be reserved.
	minEnginesToReserve = 6
	// maxPrefillChunk is the maximum number of prompt tokens that an engine
	// prefills in one step.
	maxPrefillChunk mp.Tokens = 1024
	// maxGapTargetRatio is the fraction of the target for the gap between
	// events that an event may take while the engine prefills prompts. A stream
	// that needs more is jitter-sensitive.
	maxGapTargetRatio = 0.6
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

// IsJitterSensitive reports whether a stream would miss its target for the gap
// between events on an engine that prefills prompts in every step. Each event
// carries tokensPerEvent tokens. It returns false if either value is not positive.
func IsJitterSensitive(eventGapTarget time.Duration, tokensPerEvent int) bool {
	if eventGapTarget <= 0 || tokensPerEvent <= 0 {
		return false
	}
	eventInterval := time.Duration(tokensPerEvent) * prefillDuration(maxPrefillChunk)
	return float64(eventInterval) > maxGapTargetRatio*float64(eventGapTarget)
}

// reserveEngines marks the engines of a service that are reserved for
// jitter-sensitive streams, if it has such streams. The ranking by hash makes
// all hosts reserve the same engines.
func reserveEngines(servers []*server) {
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b *server) int {
		if mixBits(a.hash) < mixBits(b.hash) {
			return -1
		}
		return 1
	})
	count := 0
	if len(servers) >= minEnginesToReserve && servers[0].ServesJitterSensitive {
		count = max(1, len(servers)/enginesPerReserved)
	}
	for ix, se := range ranked {
		se.reserved = ix < count
	}
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
	return interferenceCost + time.Duration(se.streams+pl.peerLoad(se.ID).Streams)*interferenceCostPerStream
}
