// Package quarantine finds segments of prompts that crash the servers they are sent to,
// and says which requests to keep from them.
//
// A crash alone blames all segments of all requests that were in progress. A segment is
// found guilty when servers crashed under it one after the other, and since the first
// crash none has gone on writing an answer to a request with it, while answers to others
// went on: if none do, the servers are in trouble of another kind. Hosts tell each other
// what they know, so that the finding takes the same number of crashes whatever the number
// of hosts.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// minCrashes is the number of crashes, each of an attempt that began after the one
	// before, that a finding needs.
	minCrashes = 3
	// minObservation is the time from the first crash to a finding. In it, answers to
	// sound requests become known to all hosts.
	minObservation = time.Second
	// minOtherAnswers is the number of answers to other requests that must have begun
	// since the first crash.
	minOtherAnswers = 3
	// firstQuarantine is how long a segment is kept from servers. It doubles with each
	// further finding up to maxQuarantine: in the meantime the servers may have been
	// mended.
	firstQuarantine = 5 * time.Minute
	maxQuarantine   = time.Hour
	// maxDoublings keeps the doubled quarantine from overflowing.
	maxDoublings = 8
	// memory is how long a segment is remembered after its last crash or quarantine.
	memory = 2 * time.Minute
	// maxSuspects, maxCrashes and maxAnswers bound what is remembered.
	maxSuspects = 256
	maxCrashes  = 8
	maxAnswers  = 64
	// maxSegments is the number of segments of a prompt, the first ones, that a crash is
	// recorded against: each is stored with all others.
	maxSegments = 128
	// sameCrash is the difference between two reports of one crash of a server.
	sameCrash = time.Second
)

// Segment identifies a segment of a prompt that several requests may share.
type Segment uint64

// Crash is an attempt during which its server crashed.
type Crash struct {
	Server mp.ServerID
	// StartedAt and EndedAt are the times of the attempt.
	StartedAt, EndedAt time.Time
}

// Finding is a segment that was put in quarantine.
type Finding struct {
	Segment    Segment
	Crashes    []Crash
	Companions []Segment
	Until      time.Time
}

// List holds the segments that are suspected or in quarantine. It does no I/O and is not
// safe for concurrent use.
type List struct {
	suspects map[Segment]*suspect
	// answers are the latest answers of this host's requests, the latest last.
	answers []answer
}

// answer is an answer that a server began at a time and has gone on writing.
type answer struct {
	segments []Segment
	beganAt  time.Time
}

// New returns an empty list.
func New() *List { return &List{suspects: map[Segment]*suspect{}} }

// Len returns the number of segments that are remembered.
func (li *List) Len() int { return len(li.suspects) }

// RecordCrash records that a server crashed during an attempt on a request with the
// segments, of which at most maxSegments count.
func (li *List) RecordCrash(now time.Time, segments []Segment, crash Crash) {
	segments = segments[:min(len(segments), maxSegments)]
	for _, segment := range segments {
		companions := slices.DeleteFunc(slices.Clone(segments), func(other Segment) bool { return other == segment })
		li.add(now, segment, crash, companions)
	}
}

// add records a crash against a segment, with the other segments of the request. Answers
// that began after it may be known already: word of a crash takes a while.
func (li *List) add(now time.Time, segment Segment, crash Crash, companions []Segment) {
	su := li.suspect(now, segment)
	su.add(crash, companions)
	for _, an := range li.answers {
		if slices.Contains(an.segments, segment) {
			su.clear(an.beganAt)
		}
	}
}

// suspect returns the state of a segment, and makes room for it if it is new.
func (li *List) suspect(now time.Time, segment Segment) *suspect {
	su, ok := li.suspects[segment]
	if !ok {
		li.forget(now)
		su = &suspect{}
		li.suspects[segment] = su
	}
	return su
}

// RecordAnswer records that a server began an answer to a request with the segments at a
// time, and has gone on writing it: the segments don't crash servers.
func (li *List) RecordAnswer(segments []Segment, beganAt time.Time) {
	if len(li.answers) == maxAnswers {
		li.answers = slices.Delete(li.answers, 0, 1)
	}
	li.answers = append(li.answers, answer{segments: segments, beganAt: beganAt})
	for _, segment := range segments {
		if su, ok := li.suspects[segment]; ok {
			su.clear(beganAt)
		}
	}
}

// Judge puts segments in quarantine for which there is enough evidence, forgets old
// evidence, and returns the new findings. The segment with the most crashes is judged
// first, because these explain what speaks against others.
func (li *List) Judge(now time.Time) []Finding {
	var findings []Finding
	for _, segment := range li.byCrashes() {
		if !li.isGuilty(now, segment) {
			continue
		}
		su := li.suspects[segment]
		su.quarantine(now, li.consecutive(now, segment)[0].EndedAt)
		findings = append(findings, su.finding(segment))
		li.lift(now, segment)
	}
	li.forget(now)
	return findings
}

// byCrashes returns the segments, those with the most crashes first.
func (li *List) byCrashes() []Segment {
	segments := slices.Collect(maps.Keys(li.suspects))
	slices.SortFunc(segments, func(one, two Segment) int {
		return cmp.Or(cmp.Compare(len(li.suspects[two].crashes), len(li.suspects[one].crashes)), cmp.Compare(one, two))
	})
	return segments
}

// isGuilty reports whether the evidence suffices for a quarantine. After an earlier one
// the first crash does.
func (li *List) isGuilty(now time.Time, segment Segment) bool {
	su := li.suspects[segment]
	if now.Before(su.until) || len(su.crashes) == 0 {
		return false
	}
	chain := li.consecutive(now, segment)
	if len(chain) == 0 || now.Sub(chain[0].EndedAt) < minObservation || !li.othersAnswered(chain[0].EndedAt) {
		return false
	}
	return su.findings > 0 || len(chain) >= minCrashes
}

// consecutive returns the crashes since the last quarantine of attempts that each began
// after the one before had ended, without those that another segment explains. Servers
// that crash at the same time say little about a segment that many requests have.
func (li *List) consecutive(now time.Time, segment Segment) []Crash {
	var chain []Crash
	su := li.suspects[segment]
	for _, cr := range su.crashes {
		isNew := cr.EndedAt.After(su.until) && (len(chain) == 0 || cr.StartedAt.After(chain[len(chain)-1].EndedAt))
		if isNew && !li.isExplained(now, segment, cr) {
			chain = append(chain, cr)
		}
	}
	return chain
}

// isExplained reports whether a crash is one of those for which another segment is in
// quarantine that has at least as many and doesn't always come with this one.
func (li *List) isExplained(now time.Time, segment Segment, crash Crash) bool {
	su := li.suspects[segment]
	for guilty, other := range li.suspects {
		if guilty != segment && now.Before(other.until) && len(other.crashes) >= len(su.crashes) &&
			!slices.Contains(other.companions, segment) && containsCrash(other.crashes, crash) {
			return true
		}
	}
	return false
}

// lift ends the quarantine of segments all of whose crashes a new finding explains.
func (li *List) lift(now time.Time, guilty Segment) {
	finding := li.suspects[guilty]
	for segment, su := range li.suspects {
		if segment == guilty || !now.Before(su.until) || slices.Contains(finding.companions, segment) || len(su.crashes) >= len(finding.crashes) {
			continue
		}
		unexplained := slices.ContainsFunc(su.crashes, func(cr Crash) bool { return !containsCrash(finding.crashes, cr) })
		if !unexplained {
			su.until, su.findings = time.Time{}, 0
		}
	}
}

// othersAnswered reports whether enough answers have begun since a time. Those to requests
// with a suspected segment would have cleared it.
func (li *List) othersAnswered(since time.Time) bool {
	count := 0
	for _, an := range li.answers {
		if an.beganAt.After(since) {
			count++
		}
	}
	return count >= minOtherAnswers
}

// Blocked returns the segment in quarantine for which a request with the segments must
// not be sent to a server, and the end of the quarantine. It returns false if there is
// none. Of segments that were always together, all must be in the request: only one of
// them may be guilty, and the others are in sound requests too.
func (li *List) Blocked(now time.Time, segments []Segment) (Segment, time.Time, bool) {
	for _, segment := range segments {
		su, ok := li.suspects[segment]
		if ok && now.Before(su.until) && li.containsCompanions(now, su, segments) {
			return segment, su.until, true
		}
	}
	return 0, time.Time{}, false
}

// containsCompanions reports whether a request has all companions of a suspect that are
// in quarantine too.
func (li *List) containsCompanions(now time.Time, su *suspect, segments []Segment) bool {
	for _, companion := range su.companions {
		other, ok := li.suspects[companion]
		if ok && now.Before(other.until) && !slices.Contains(segments, companion) {
			return false
		}
	}
	return true
}

// Suspected reports whether servers have crashed one after the other under one of the
// segments and none has answered since: a broken attempt should not be repeated.
func (li *List) Suspected(now time.Time, segments []Segment) bool {
	return slices.ContainsFunc(segments, func(segment Segment) bool {
		_, ok := li.suspects[segment]
		return ok && len(li.consecutive(now, segment)) > 1
	})
}

// forget removes segments without recent evidence and, if there are still too many, those
// with the oldest.
func (li *List) forget(now time.Time) {
	for segment, su := range li.suspects {
		if now.Sub(su.lastAt()) > memory {
			delete(li.suspects, segment)
		}
	}
	for len(li.suspects) >= maxSuspects {
		delete(li.suspects, li.oldest())
	}
}

// oldest returns the segment whose last evidence is the oldest.
func (li *List) oldest() Segment {
	var oldest Segment
	var oldestAt time.Time
	for segment, su := range li.suspects {
		at := su.lastAt()
		if oldestAt.IsZero() || at.Before(oldestAt) || (at.Equal(oldestAt) && segment < oldest) {
			oldest, oldestAt = segment, at
		}
	}
	return oldest
}
