package quarantine

import (
	"slices"
	"time"
)

// suspect is what is known of a segment under which a server crashed.
type suspect struct {
	// crashes are ordered by their ends.
	crashes []Crash
	// companions are the other segments that all broken attempts had.
	companions []Segment
	// clearedAt is when a server last began an answer and went on writing it.
	clearedAt time.Time
	// beganAt and until are the beginning and the end of the quarantine at this host, since
	// the first crash that led to it, and findings the number of quarantines so far.
	beganAt  time.Time
	until    time.Time
	since    time.Time
	findings int
	// contradictedAt is when another host last had the segment in quarantine although it
	// has been cleared.
	contradictedAt time.Time
}

// add records a crash with the other segments of the request.
func (su *suspect) add(crash Crash, companions []Segment) {
	if !crash.EndedAt.After(su.clearedAt) {
		return
	}
	if len(su.crashes) == 0 {
		su.companions = companions
	} else {
		su.companions = intersection(su.companions, companions)
	}
	su.insert(crash)
}

// insert adds a crash that isn't known yet in the order of time. Of too many it keeps the
// first ones.
func (su *suspect) insert(crash Crash) {
	if containsCrash(su.crashes, crash) {
		return
	}
	su.crashes = append(su.crashes, crash)
	slices.SortFunc(su.crashes, func(one, two Crash) int { return one.EndedAt.Compare(two.EndedAt) })
	su.crashes = su.crashes[:min(len(su.crashes), maxCrashes)]
}

// clear drops the evidence from before an answer began, and ends a quarantine if the
// answer began after the first crash that led to it. It reports whether it did.
func (su *suspect) clear(beganAt time.Time) bool {
	if !beganAt.After(su.clearedAt) {
		return false
	}
	su.clearedAt = beganAt
	su.crashes = slices.DeleteFunc(su.crashes, func(cr Crash) bool { return !cr.EndedAt.After(beganAt) })
	if su.until.IsZero() || !beganAt.After(su.since) {
		return false
	}
	su.until, su.findings = time.Time{}, 0
	return true
}

// weight returns how much speaks against the segment, in crashes.
func (su *suspect) weight() int { return len(su.crashes) + su.priorWeight() }

// priorWeight returns how much spoke against the segment before its first crash.
func (su *suspect) priorWeight() int {
	if su.clearedAt.IsZero() {
		return unansweredWeight
	}
	return 0
}

// isEnough reports whether crashes, in the order of time, are enough for a finding.
func (su *suspect) isEnough(crashes []Crash) bool {
	return len(inSeries(crashes))+su.priorWeight() >= minCrashes+unansweredWeight
}

// isCoveredBy reports whether another suspect may be the reason of the crashes: those that
// it doesn't share are not enough for a finding, and none is of an attempt that began in
// the quarantine.
func (su *suspect) isCoveredBy(other *suspect) bool {
	if len(su.crashes) == maxCrashes {
		return false // there may be more, which were dropped
	}
	var rest []Crash
	for _, cr := range su.crashes {
		if containsCrash(other.crashes, cr) {
			continue
		}
		if cr.StartedAt.After(su.beganAt) {
			return false
		}
		rest = append(rest, cr)
	}
	return !su.isEnough(rest)
}

// quarantine starts a quarantine because of crashes since a time.
func (su *suspect) quarantine(now, since time.Time) {
	su.beganAt, su.since = now, since
	su.until = now.Add(min(firstQuarantine<<min(su.findings, maxDoublings), maxQuarantine))
	su.findings++
}

func (su *suspect) finding(segment Segment) Finding {
	return Finding{Segment: segment, Crashes: slices.Clone(su.crashes), Companions: slices.Clone(su.companions), Weight: su.weight(), Until: su.until}
}

// lastAt returns the time of the last evidence or the end of the quarantine.
func (su *suspect) lastAt() time.Time {
	last := su.clearedAt
	if count := len(su.crashes); count > 0 && su.crashes[count-1].EndedAt.After(last) {
		last = su.crashes[count-1].EndedAt
	}
	if su.until.After(last) {
		last = su.until
	}
	return last
}

// containsCrash reports whether a crash is among others, which another host may have
// recorded with slightly different times.
func containsCrash(crashes []Crash, crash Crash) bool {
	return slices.ContainsFunc(crashes, func(other Crash) bool {
		return other.Server == crash.Server && other.EndedAt.Sub(crash.EndedAt).Abs() < sameCrash
	})
}

// inSeries returns the crashes, in the order of time, of attempts that each began after the
// one before had ended. Servers that crash at the same time say little about a segment that
// many requests have.
func inSeries(crashes []Crash) []Crash {
	var series []Crash
	for _, cr := range crashes {
		if len(series) == 0 || cr.StartedAt.After(series[len(series)-1].EndedAt) {
			series = append(series, cr)
		}
	}
	return series
}

func intersection(one, two []Segment) []Segment {
	return slices.DeleteFunc(slices.Clone(one), func(segment Segment) bool { return !slices.Contains(two, segment) })
}
