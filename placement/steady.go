package placement

import (
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// reservedPart is one in how many engines is kept for steady streams.
	reservedPart = 6
	// leastEngines is how many engines a service must have for any to be kept.
	leastEngines = 6
	// chunk is how many prompt tokens an engine reads in one step at most.
	chunk mp.Tokens = 1024
	// steadyPart is the part of the longest gap that an event may take while the
	// engine reads prompts; streams with less room are steady.
	steadyPart = 0.6
	// mixingCost is what it counts that a steady stream runs where prompts are
	// read, or the reverse.
	mixingCost = 250 * time.Millisecond
	// disturbance is what a prompt counts for each steady stream that it delays.
	disturbance = 30 * time.Millisecond
	// streamTime is what each steady stream in progress adds to the expected time
	// of another one.
	streamTime = 5 * time.Millisecond
)

// IsJitterSensitive says whether a stream with a longest gap between events, of so many
// tokens each, suffers on an engine that reads prompts all the time.
func IsJitterSensitive(longestGap time.Duration, eventTokens int) bool {
	if longestGap <= 0 || eventTokens <= 0 {
		return false
	}
	event := time.Duration(eventTokens) * readTime(chunk)
	return float64(event) > steadyPart*float64(longestGap)
}

// reserve marks the engines of a service that are kept for steady streams, if it
// has any. All hosts mark the same ones.
func reserve(servers []*server) {
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b *server) int {
		if mix(a.hash) < mix(b.hash) {
			return -1
		}
		return 1
	})
	count := 0
	if len(servers) >= leastEngines && servers[0].JitterSensitive {
		count = max(1, len(servers)/reservedPart)
	}
	for ix, se := range ranked {
		se.reserved = ix < count
	}
}

// divide returns the engines for steady streams, or those for other work; all if
// there are none.
func divide(candidates []*server, steady bool) []*server {
	part := make([]*server, 0, len(candidates))
	for _, se := range candidates {
		if se.reserved == steady {
			part = append(part, se)
		}
	}
	if len(part) == 0 {
		return candidates
	}
	return part
}

// mixing returns what it costs others that the work runs on an engine that is
// meant for other work.
func (pl *Placer) mixing(wo *Request, se *server) time.Duration {
	if wo.JitterSensitive {
		return mixingCost
	}
	return mixingCost + time.Duration(se.streams+pl.others(se.ID).Streams)*disturbance
}
