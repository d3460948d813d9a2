// Package quarantine finds segments of prompts that crash the servers they are sent to,
// and says which requests to keep from them.
//
// A crash alone blames all segments of all requests that were in progress. A segment is
// found guilty when servers crashed under it one after the other, and since the first
// crash none has gone on writing an answer to a request with it, while answers to others
// went on: if none do, the servers are in trouble of another kind. Hosts tell each other
// what they know, so that the finding takes the same number of crashes whatever the number
// of hosts.
//
// Several segments may have been in progress at the same crashes. One that another segment
// outweighs is not found guilty by them. As long as it is open which of two it is, requests
// with only one of them are sent, and their outcome decides.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// minCrashes is the number of crashes, each of an attempt that began after the one
	// before, that a finding needs if no answer with the segment is known.
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
	maxCrashes  = 16
	maxAnswers  = 64
	// maxAnswered is the number of segments of which the last answer is remembered.
	maxAnswered = 1024
	// unansweredWeight is the number of crashes that count as much against a segment as never
	// having been answered. A segment that was sound until now needs as many more: servers
	// also crash for other reasons, and under other segments that come with it.
	unansweredWeight = 2
	// doubtWeight is by how much a segment may be outweighed by another one and still leave
	// it open which of them is guilty.
	doubtWeight = 1
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
	// Weight is what speaks against the segment, in crashes.
	Weight int
	Until  time.Time
}

// List holds the segments that are suspected or in quarantine. It does no I/O and is not
// safe for concurrent use.
type List struct {
	suspects map[Segment]*suspect
	// answers are the times at which the latest answers to this host's requests began, the
	// latest last, and answered the last one of each segment.
	answers  []time.Time
	answered *simplelru.LRU[Segment, time.Time]
	// released are the segments whose quarantine has ended early.
	released []Segment
}

// New returns an empty list.
func New() *List {
	answered, err := simplelru.NewLRU[Segment, time.Time](maxAnswered, nil)
	if err != nil {
		panic(err) // only a size below one is refused
	}
	return &List{suspects: map[Segment]*suspect{}, answered: answered}
}

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

// add records a crash against a segment, with the other segments of the request. An answer
// that began after it may be known already: word of a crash takes a while.
func (li *List) add(now time.Time, segment Segment, crash Crash, companions []Segment) {
	su := li.suspect(now, segment)
	su.add(crash, companions)
	if beganAt, ok := li.answered.Peek(segment); ok {
		li.clear(segment, beganAt)
	}
}

// clear drops the evidence against a segment from before an answer began.
func (li *List) clear(segment Segment, beganAt time.Time) {
	if li.suspects[segment].clear(beganAt) {
		li.released = append(li.released, segment)
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
	li.answers = append(li.answers, beganAt)
	for _, segment := range segments {
		if last, ok := li.answered.Get(segment); !ok || beganAt.After(last) {
			li.answered.Add(segment, beganAt)
		}
		if _, ok := li.suspects[segment]; ok {
			li.clear(segment, beganAt)
		}
	}
}

// Judge puts segments in quarantine for which there is enough evidence, forgets old
// evidence, and returns the new findings. The segment with the most weight is judged
// first, because its crashes explain what speaks against others.
func (li *List) Judge(now time.Time) []Finding {
	var findings []Finding
	for _, segment := range li.byWeight() {
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

// Released returns the segments whose quarantine has ended early since the last call.
func (li *List) Released() []Segment {
	released := li.released
	li.released = nil
	return released
}

// byWeight returns the segments, those with the most weight first.
func (li *List) byWeight() []Segment {
	segments := slices.Collect(maps.Keys(li.suspects))
	slices.SortFunc(segments, func(one, two Segment) int {
		first, second := li.suspects[one], li.suspects[two]
		return cmp.Or(cmp.Compare(second.weight(), first.weight()), cmp.Compare(len(second.crashes), len(first.crashes)), cmp.Compare(one, two))
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
	return su.findings > 0 || su.isEnough(chain)
}

// consecutive returns the crashes since the last quarantine of attempts that each began
// after the one before had ended, without those that another segment explains.
func (li *List) consecutive(now time.Time, segment Segment) []Crash {
	until := li.suspects[segment].until
	return inSeries(slices.DeleteFunc(li.unexplained(now, segment), func(cr Crash) bool { return !cr.EndedAt.After(until) }))
}

// unexplained returns the crashes of a segment that no other one in quarantine explains.
func (li *List) unexplained(now time.Time, segment Segment) []Crash {
	return slices.DeleteFunc(slices.Clone(li.suspects[segment].crashes), func(cr Crash) bool { return li.isExplained(now, segment, cr) })
}

// isExplained reports whether a crash is one of those of another segment, in quarantine,
// that weighs no less. A segment that always comes with this one doesn't explain its
// crashes: either of them may be guilty.
func (li *List) isExplained(now time.Time, segment Segment, crash Crash) bool {
	su := li.suspects[segment]
	for guilty, other := range li.suspects {
		if guilty != segment && now.Before(other.until) && !slices.Contains(su.companions, guilty) &&
			other.weight() >= su.weight() && containsCrash(other.crashes, crash) {
			return true
		}
	}
	return false
}

// isMostlyExplained reports whether other segments in quarantine explain so many crashes
// of a segment that the rest is not enough for a finding.
func (li *List) isMostlyExplained(now time.Time, segment Segment) bool {
	su, rest := li.suspects[segment], li.unexplained(now, segment)
	return len(rest) < len(su.crashes) && !su.isEnough(rest)
}

// lift ends the quarantine of segments whose crashes a new finding explains.
func (li *List) lift(now time.Time, guilty Segment) {
	for segment, su := range li.suspects {
		if segment != guilty && now.Before(su.until) && li.isMostlyExplained(now, segment) {
			su.until, su.findings = time.Time{}, 0
			li.released = append(li.released, segment)
		}
	}
}

// othersAnswered reports whether enough answers have begun since a time. Those to requests
// with a suspected segment would have cleared it.
func (li *List) othersAnswered(since time.Time) bool {
	count := 0
	for _, beganAt := range li.answers {
		if beganAt.After(since) {
			count++
		}
	}
	return count >= minOtherAnswers
}

// Blocked returns the segment in quarantine for which a request with the segments must
// not be sent to a server, and the end of the quarantine. It returns false if there is
// none.
func (li *List) Blocked(now time.Time, segments []Segment) (Segment, time.Time, bool) {
	for _, segment := range segments {
		su, ok := li.suspects[segment]
		if ok && now.Before(su.until) && !li.isInDoubt(segment, segments) {
			return segment, su.until, true
		}
	}
	return 0, time.Time{}, false
}

// isInDoubt reports whether a segment that the request doesn't have may be guilty in place
// of one in quarantine that it has. The request is then sent: an answer ends the quarantine,
// and a crash the doubt.
func (li *List) isInDoubt(segment Segment, segments []Segment) bool {
	su := li.suspects[segment]
	for rival, other := range li.suspects {
		if rival != segment && !slices.Contains(segments, rival) && len(inSeries(other.crashes)) >= minCrashes &&
			other.weight()+doubtWeight >= su.weight() && su.isCoveredBy(other) {
			return true
		}
	}
	return false
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
