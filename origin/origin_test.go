package origin_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	_ "github.com/mangopaddle/mangopaddle/fixedseed" // draws the same cases in every run
	"github.com/mangopaddle/mangopaddle/origin"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

const service = "engines"

func always(mp.ServiceName) bool     { return true }
func never(mp.ServiceName) bool      { return false }
func stream(number int) mp.RequestID { return mp.RequestID(fmt.Sprintf("r-%06d", number)) }

func TestOtherTablesLearnOfEachStreamOnce(t *testing.T) {
	ta, other := origin.NewTable(), origin.NewTable()
	ta.Begin(start, "r-1", service, "v1")
	ta.Begin(start, "r-2", service, "v2")
	require.Nil(t, ta.Report(start, never, 1000))
	report := ta.Report(start, always, 1000)
	require.NoError(t, report.Check())
	require.Nil(t, ta.Report(start, always, 1000))
	parts := report.Split(func(id mp.RequestID) uint64 { return uint64(id[2] - '0') })
	require.Len(t, parts, 2)
	other.Merge(start, parts[2])
	_, ok := other.Software(start, "r-1", service)
	require.False(t, ok, "a part that the host doesn't get")
	software, ok := other.Software(start, "r-2", service)
	require.True(t, ok)
	require.Equal(t, mp.SoftwareVersion("v2"), software)
	require.Nil(t, other.Report(start, always, 1000), "only the host that began a stream tells of it")
	_, ok = other.Software(start, "r-2", "another")
	require.False(t, ok)
}

func TestReportsAreBounded(t *testing.T) {
	const streams, maxBytes = 300, 1000
	ta := origin.NewTable()
	for number := range streams {
		ta.Begin(start, stream(number), service, "v1")
	}
	told := 0
	for report := ta.Report(start, always, maxBytes); report != nil; report = ta.Report(start, always, maxBytes) {
		ids := report[service]["v1"]
		require.LessOrEqual(t, len(ids)*len(stream(0)), maxBytes)
		told += len(ids)
	}
	require.Equal(t, streams, told)
}

func TestRecordsExpire(t *testing.T) {
	ta := origin.NewTable()
	ta.Begin(start, "r-1", service, "v1")
	_, ok := ta.Software(start.Add(time.Hour), "r-1", service)
	require.False(t, ok)
	require.Nil(t, ta.Report(start, always, 1000))
	const many = 1 << 16
	for number := range many {
		ta.Begin(start, stream(number), service, "v1")
	}
	_, ok = ta.Software(start, stream(0), service)
	require.False(t, ok, "the oldest of too many records is dropped")
	_, ok = ta.Software(start, stream(many-1), service)
	require.True(t, ok)
}

func TestLaterStreamWithTheSameIDCounts(t *testing.T) {
	ta := origin.NewTable()
	ta.Begin(start, "r-1", service, "v1")
	ta.Begin(start, "r-1", service, "v2")
	software, ok := ta.Software(start, "r-1", service)
	require.True(t, ok)
	require.Equal(t, mp.SoftwareVersion("v2"), software)
}

func TestOddIdentifiersAreNotRecorded(t *testing.T) {
	for _, id := range []mp.RequestID{"", "a b", "\"", "\\", "<", "\x80", "ä", mp.RequestID(strings.Repeat("x", 65))} {
		ta := origin.NewTable()
		ta.Begin(start, id, service, "v1")
		require.Nil(t, ta.Report(start, always, 1000), "%q", id)
		report := origin.Report{service: {"v1": {id}}}
		require.Error(t, report.Check(), "%q", id)
	}
}

// TestSoleVersionWasTheOnlyOne compares a history with the lists that it was given.
func TestSoleVersionWasTheOnlyOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type list struct {
			at       time.Time
			versions []mp.SoftwareVersion
		}
		var lists []list
		hi, now := origin.NewHistory(), start
		version := rapid.SampledFrom([]mp.SoftwareVersion{"v1", "v2", "v3"})
		for range rapid.IntRange(1, 12).Draw(t, "lists") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Second)
			li := list{at: now, versions: rapid.SliceOfN(version, 0, 3).Draw(t, "versions")}
			servers := make([]origin.Server, 0, len(li.versions))
			for _, software := range li.versions {
				servers = append(servers, origin.Server{Service: service, Software: software})
			}
			hi.Observe(now, servers)
			lists = append(lists, li)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "age")) * time.Second)
		period := time.Duration(rapid.IntRange(0, 60).Draw(t, "period")) * time.Second
		served := map[mp.SoftwareVersion]bool{}
		for ix, li := range lists {
			isLast := ix == len(lists)-1
			if isLast || !lists[ix+1].at.Before(now.Add(-period)) {
				for _, software := range li.versions {
					served[software] = true
				}
			}
		}
		software, ok := hi.Sole(now, service, period)
		isObserved := !lists[0].at.After(now.Add(-period))
		require.Equal(t, isObserved && len(served) == 1, ok, "%v", lists)
		if ok {
			require.True(t, served[software])
		}
	})
}

func TestUnknownVersionIsNotTheSoleOne(t *testing.T) {
	hi := origin.NewHistory()
	hi.Observe(start, []origin.Server{{Service: service}})
	_, ok := hi.Sole(start.Add(time.Minute), service, time.Second)
	require.False(t, ok)
	software, ok := hi.SoleObserved(start, service, time.Hour)
	require.True(t, ok)
	require.Empty(t, software)
}

// TestVersionIsNotTheSoleOneBeforeAnIncompleteList guards against a version that is taken for the
// only one, although servers of others may have come and gone unnoticed.
func TestVersionIsNotTheSoleOneBeforeAnIncompleteList(t *testing.T) {
	hi := origin.NewHistory()
	hi.Observe(start, []origin.Server{{Service: service, Software: "v1"}})
	gapEndedAt := start.Add(time.Minute)
	hi.Restart(gapEndedAt)
	hi.Restart(start)
	now, period := gapEndedAt.Add(10*time.Second), 11*time.Second
	_, ok := hi.Sole(now, service, period)
	require.False(t, ok)
	require.Equal(t, time.Second, hi.Unobserved(now, period))
	_, ok = hi.Sole(now.Add(time.Second), service, period)
	require.True(t, ok)
}

// TestFreshStreamsAreToldFirst guards against hosts that hear of a stream too late, because those
// that ended before anyone needed to know are told first.
func TestFreshStreamsAreToldFirst(t *testing.T) {
	const old, fresh, maxBytes = 5000, 40, 2 << 10
	ta := origin.NewTable()
	for number := range old {
		ta.Begin(start, stream(number), service, "v1")
	}
	now := start.Add(time.Minute)
	for number := range fresh {
		ta.Begin(now, stream(old+number), service, "v1")
	}
	told := ta.Report(now, always, maxBytes)[service]["v1"]
	for number := range fresh {
		require.Contains(t, told, stream(old+number))
	}
}
