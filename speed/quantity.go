package speed

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minObservations is the weight below which a quantity keeps its level.
	minObservations = 30
	// confidence is the number of standard errors by which a share must exceed its bound.
	confidence = 2
	// reportLifetime is how long the report of another host counts. Its weight decays
	// meanwhile.
	reportLifetime = 3 * halfLife
	// maxSources is the maximum number of hosts and data centres whose reports are kept.
	maxSources = 1024
	// hysteresisBuckets is by how many buckets observations must be beyond the middle between
	// two levels to count for the other one. A service whose engines differ in speed shows
	// more than its default at the slower ones, where prompts wait longest.
	hysteresisBuckets = 1
)

// rule says which share of the observations must be beyond the bound of a level for the
// level to rise or to fall.
type rule struct {
	rise, fall float64
	// ignoresFasterForRise leaves out observations below the present level when it may
	// rise: they are lower bounds only.
	ignoresFasterForRise bool
}

// quantity is a duration relative to its default. Its level is the power of two by which
// the default is multiplied.
type quantity struct {
	rule       rule
	own        counts
	observedAt time.Time
	received   map[Source]received
	level      int
	decided    bool
}

// received is the histogram of another host or data centre with the time of its arrival.
type received struct {
	counts
	level   int
	decided bool
	at      time.Time
}

// observe adds an observation, given as a ratio to the default. It reports false if the
// ratio is not plausible.
func (qu *quantity) observe(now time.Time, ratio float64) bool {
	if !(ratio >= 1.0/maxRatio && ratio <= maxRatio) { // also refuses NaN
		return false
	}
	factor := decay(now.Sub(qu.observedAt))
	for ix := range qu.own {
		qu.own[ix] *= factor
	}
	qu.observedAt = now
	qu.own[bucketOf(ratio)]++
	return true
}

// merge replaces what is known of a source.
func (qu *quantity) merge(now time.Time, from Source, hi Histogram) {
	if _, ok := qu.received[from]; !ok && len(qu.received) >= maxSources {
		return
	}
	limit := float64(maxHostWeight)
	if from.DataCentre != "" {
		limit = maxReportWeight
	}
	decoded := hi.decode()
	qu.received[from] = received{counts: decoded.capped(limit), level: hi.Level, decided: hi.Decided, at: now}
}

// host returns the host's own weights at a time.
func (qu *quantity) host(now time.Time) counts {
	var co counts
	co.add(&qu.own, decay(now.Sub(qu.observedAt)))
	return co.capped(maxHostWeight)
}

// pooled returns the weights of the host and of the sources that the filter selects.
func (qu *quantity) pooled(now time.Time, selects func(Source) bool) counts {
	co := qu.host(now)
	for from, re := range qu.received {
		if selects(from) {
			co.add(&re.counts, decay(now.Sub(re.at)))
		}
	}
	return co
}

// report returns weights with the level in force.
func (qu *quantity) report(co counts) Histogram {
	hi := co.encode()
	hi.Level, hi.Decided = qu.level, qu.decided
	return hi
}

// update decides the level from all observations. It reports whether the level changed.
func (qu *quantity) update(now time.Time) bool {
	maps.DeleteFunc(qu.received, func(_ Source, re received) bool { return now.Sub(re.at) > reportLifetime })
	before := qu.level
	co := qu.pooled(now, func(Source) bool { return true })
	if co.total(0) >= minObservations {
		qu.level, qu.decided = qu.next(&co, qu.level), true
	}
	// Where several levels are consistent with the observations, the hosts take that of
	// most of them: one that starts late has not seen what the others decided on.
	if agreed, ok := qu.agreedLevel(); ok && qu.level == before && qu.next(&co, agreed) == agreed {
		qu.level = agreed
	}
	return qu.level != before
}

// next returns the level that follows a level: the highest one to which enough observations
// let it rise, else the lowest one to which enough let it fall, else the level itself.
func (qu *quantity) next(co *counts, level int) int {
	counted := 0
	if qu.rule.ignoresFasterForRise {
		counted = zeroBucket + level*bucketsPerDoubling
	}
	for higher := maxLevel; higher > level; higher-- {
		if exceeds(co.total(upperBound(higher-1)+hysteresisBuckets), co.total(counted), qu.rule.rise) {
			return higher
		}
	}
	for lower := -maxLevel; lower < level; lower++ {
		total := co.total(0)
		if exceeds(total-co.total(upperBound(lower)-hysteresisBuckets), total, qu.rule.fall) {
			return lower
		}
	}
	return level
}

// upperBound returns the first bucket above a level.
func upperBound(level int) int {
	return zeroBucket + level*bucketsPerDoubling + bucketsPerDoubling/2
}

// exceeds reports whether a part of a whole is more than a share of it, with confidence.
func exceeds(part, whole, share float64) bool {
	if whole < minObservations {
		return false
	}
	return part/whole > share+confidence*math.Sqrt(share*(1-share)/whole)
}

// agreedLevel returns the level of more than half of the hosts and data centres that have
// decided; false if there is none.
func (qu *quantity) agreedLevel() (int, bool) {
	var levels []int
	if qu.decided {
		levels = append(levels, qu.level)
	}
	for _, re := range qu.received {
		if re.decided {
			levels = append(levels, re.level)
		}
	}
	if len(levels) == 0 {
		return 0, false
	}
	slices.Sort(levels)
	median := levels[len(levels)/2]
	votes := 0
	for _, level := range levels {
		if level == median {
			votes++
		}
	}
	return median, 2*votes > len(levels)
}
