package quarantine_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/quarantine"
)

func TestImpossibleReportsAreRefused(t *testing.T) {
	second := mp.Duration(time.Second)
	for name, report := range map[string]quarantine.Report{
		"a quarantine of a day":          {Left: mp.Duration(24 * time.Hour)},
		"an answer in the future":        {ClearedAge: -second},
		"a crash in the future":          {Crashes: []quarantine.CrashReport{{StartedAge: second, EndedAge: -second}}},
		"a crash that ends before":       {Crashes: []quarantine.CrashReport{{StartedAge: second, EndedAge: 2 * second}}},
		"more crashes than are reported": {Crashes: make([]quarantine.CrashReport, 100)},
		"a negative number of findings":  {Findings: -1},
	} {
		t.Run(name, func(t *testing.T) { require.Error(t, report.Check()) })
	}
	require.NoError(t, quarantine.Report{Segment: guilty, Left: second, SinceAge: second, Findings: 1}.Check())
}

// TestPromptOfManySegmentsIsReportedWithinLimits guards against reports that other hosts
// refuse, and their load updates with them, after a server crashed under a prompt of
// very many segments.
func TestPromptOfManySegmentsIsReportedWithinLimits(t *testing.T) {
	li := quarantine.New()
	segments := make([]quarantine.Segment, 3000)
	for ix := range segments {
		segments[ix] = quarantine.Segment(ix + 1)
	}
	recordSeries(li, segments...)
	reports := li.Reports(at(600))
	require.NotEmpty(t, reports)
	for _, report := range reports {
		require.NoError(t, report.Check())
	}
}

// FuzzMerge checks that any reports of other hosts leave a bounded list whose quarantines
// all end.
func FuzzMerge(f *testing.F) {
	f.Add(`[{"segment":7,"quarantine_left":"5m0s","since_age":"1s","findings":1}]`, 100)
	f.Add(`[{"segment":7,"cleared_age":"1ms","crashes":[{"server":"s","started_age":"2s","ended_age":"1s"}]}]`, 2000)
	f.Fuzz(func(t *testing.T, text string, millis int) {
		var reports []quarantine.Report
		if json.Unmarshal([]byte(text), &reports) != nil {
			return
		}
		li, now := quarantine.New(), at(millis%1_000_000)
		for _, report := range reports {
			if report.Check() != nil {
				return
			}
		}
		li.Merge(now, reports)
		li.Judge(now)
		li.Merge(now.Add(time.Second), li.Reports(now))
		require.LessOrEqual(t, li.Len(), 256)
		for _, report := range reports {
			_, _, blocked := li.Blocked(now.Add(2*time.Hour), []quarantine.Segment{report.Segment})
			require.False(t, blocked)
		}
	})
}
