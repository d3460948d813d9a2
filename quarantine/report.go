package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// maxReports is the number of segments that a host tells others of at once.
	maxReports = 12
	// maxReportedCrashes is the number of crashes in a report, of which latestReportedCrashes
	// are the latest ones and the others the first ones.
	maxReportedCrashes    = 5
	latestReportedCrashes = 2
	// clearedReportTime is how long a host tells others that a segment is sound, and again
	// after one of them has it in quarantine.
	clearedReportTime = 5 * time.Second
	// ageTolerance is the difference between two reports of one event: the ages in a report
	// don't count the time that it travels.
	ageTolerance = 250 * time.Millisecond
)

// CrashReport is a crash in a report. Ages are relative to the time at which it was sent.
type CrashReport struct {
	Server     mp.ServerID `json:"server"`
	StartedAge mp.Duration `json:"started_age"`
	EndedAge   mp.Duration `json:"ended_age"`
}

// Report is what a host tells others of one segment.
type Report struct {
	Segment    Segment       `json:"segment"`
	Crashes    []CrashReport `json:"crashes,omitempty"`
	Companions []Segment     `json:"companions,omitempty"`
	// ClearedAge is the time since a server began an answer that has gone on; zero for
	// none.
	ClearedAge mp.Duration `json:"cleared_age,omitempty"`
	// Left is the time until the end of the quarantine; zero for none. SinceAge is the time
	// since the first crash that led to it, and Findings the number of quarantines so far.
	Left     mp.Duration `json:"quarantine_left,omitempty"`
	SinceAge mp.Duration `json:"since_age,omitempty"`
	Findings int         `json:"findings,omitempty"`
}

// Check returns an error if the report has values that can't be.
func (re Report) Check() error {
	if len(re.Crashes) > maxCrashes || len(re.Companions) > maxSuspects || re.Findings < 0 {
		return errors.NotValidf("report on segment %x with %d crashes, %d companions, %d findings", uint64(re.Segment), len(re.Crashes), len(re.Companions), re.Findings)
	}
	if re.ClearedAge < 0 || re.SinceAge < 0 || re.Left < 0 || re.Left.Std() > maxQuarantine {
		return errors.NotValidf("report on segment %x, cleared %v ago, in quarantine for %v", uint64(re.Segment), re.ClearedAge, re.Left)
	}
	for _, cr := range re.Crashes {
		if cr.EndedAge < 0 || cr.StartedAge < cr.EndedAge {
			return errors.NotValidf("report on segment %x with a crash from %v to %v ago", uint64(re.Segment), cr.StartedAge, cr.EndedAge)
		}
	}
	return nil
}

// Reports returns what other hosts should know, the most urgent first and at most
// maxReports.
func (li *List) Reports(now time.Time) []Report {
	type candidate struct {
		segment Segment
		urgency urgency
		lastAt  time.Time
	}
	var found []candidate
	for segment, su := range li.suspects {
		if ur := li.urgency(now, segment); ur > nothingToTell {
			found = append(found, candidate{segment: segment, urgency: ur, lastAt: su.lastAt()})
		}
	}
	slices.SortFunc(found, func(one, two candidate) int {
		return cmp.Or(cmp.Compare(two.urgency, one.urgency), two.lastAt.Compare(one.lastAt), cmp.Compare(one.segment, two.segment))
	})
	found = found[:min(len(found), maxReports)]
	reports := make([]Report, 0, len(found))
	for _, ca := range found {
		reports = append(reports, li.report(now, ca.segment))
	}
	return reports
}

// urgency orders the segments that other hosts should know of.
type urgency int

const (
	nothingToTell urgency = iota
	singleCrash
	foundSound
	crashesInSeries
	inQuarantine
)

// urgency returns how urgently other hosts should know of a segment.
func (li *List) urgency(now time.Time, segment Segment) urgency {
	su := li.suspects[segment]
	chain := len(li.consecutive(now, segment))
	switch {
	case now.Before(su.until):
		return inQuarantine
	case chain > 1:
		return crashesInSeries
	case now.Sub(su.clearedAt) < clearedReportTime, now.Sub(su.contradictedAt) < clearedReportTime:
		return foundSound
	case chain == 1:
		return singleCrash
	default:
		return nothingToTell
	}
}

func (li *List) report(now time.Time, segment Segment) Report {
	su := li.suspects[segment]
	re := Report{Segment: segment, Companions: su.companions, Findings: su.findings}
	for _, cr := range li.reportedCrashes(now, segment) {
		re.Crashes = append(re.Crashes, CrashReport{
			Server: cr.Server, StartedAge: mp.Duration(now.Sub(cr.StartedAt)), EndedAge: mp.Duration(now.Sub(cr.EndedAt)),
		})
	}
	if !su.clearedAt.IsZero() {
		re.ClearedAge = mp.Duration(max(now.Sub(su.clearedAt), 1))
	}
	if now.Before(su.until) {
		re.Left, re.SinceAge = mp.Duration(su.until.Sub(now)), mp.Duration(now.Sub(su.since))
	}
	return re
}

// reportedCrashes returns the crashes that led to the quarantine or may lead to one.
func (li *List) reportedCrashes(now time.Time, segment Segment) []Crash {
	crashes := li.consecutive(now, segment)
	if su := li.suspects[segment]; now.Before(su.until) {
		crashes = su.crashes
	}
	if surplus := len(crashes) - maxReportedCrashes; surplus > 0 {
		crashes = slices.Delete(slices.Clone(crashes), maxReportedCrashes-latestReportedCrashes, len(crashes)-latestReportedCrashes)
	}
	return crashes
}

// Merge adds what another host reported and returns the segments that are in quarantine
// by that for the first time here.
func (li *List) Merge(now time.Time, reports []Report) []Finding {
	var findings []Finding
	for _, re := range reports {
		if li.merge(now, re) {
			findings = append(findings, li.suspects[re.Segment].finding(re.Segment))
			li.lift(now, re.Segment)
		}
	}
	return findings
}

// merge adds a report and reports whether it puts the segment in quarantine.
func (li *List) merge(now time.Time, re Report) bool {
	su := li.suspect(now, re.Segment)
	for _, cr := range re.Crashes {
		crash := Crash{Server: cr.Server, StartedAt: now.Add(-cr.StartedAge.Std()), EndedAt: now.Add(-cr.EndedAge.Std())}
		li.add(now, re.Segment, crash, slices.Clone(re.Companions))
	}
	if clearedAt := now.Add(-re.ClearedAge.Std()); re.ClearedAge > 0 && clearedAt.Sub(su.clearedAt) > ageTolerance {
		li.clear(re.Segment, clearedAt)
	}
	if re.Left == 0 || now.Before(su.until) || li.isMostlyExplained(now, re.Segment) {
		return false
	}
	since := now.Add(-re.SinceAge.Std())
	if since.Sub(su.clearedAt) <= ageTolerance {
		su.contradictedAt = now
		return false
	}
	if len(su.crashes) == 0 {
		su.companions = slices.Clone(re.Companions)
	}
	su.beganAt, su.until = now, now.Add(re.Left.Std())
	su.since, su.findings = since, max(re.Findings, su.findings)
	return true
}
