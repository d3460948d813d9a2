package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	_ "github.com/mangopaddle/mangopaddle/fixedseed"
	"github.com/mangopaddle/mangopaddle/quarantine"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// at returns the time a number of milliseconds after start.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func crash(server string, startedMillis, endedMillis int) quarantine.Crash {
	return quarantine.Crash{Server: mp.ServerID(server), StartedAt: at(startedMillis), EndedAt: at(endedMillis)}
}

const (
	common = quarantine.Segment(0xa)
	other  = quarantine.Segment(0xb)
	guilty = quarantine.Segment(0xdead)
)

// answerOthers records answers to requests with another segment.
func answerOthers(li *quarantine.List, millis int) {
	for ix := range 3 {
		li.RecordAnswer([]quarantine.Segment{0xf}, at(millis+ix))
	}
}

func isBlocked(li *quarantine.List, millis int, segments ...quarantine.Segment) bool {
	_, _, blocked := li.Blocked(at(millis), segments)
	return blocked
}

// recordSeries records three crashes, one after the other.
func recordSeries(li *quarantine.List, segments ...quarantine.Segment) {
	li.RecordCrash(at(100), segments, crash("s1", 0, 100))
	li.RecordCrash(at(300), segments, crash("s2", 150, 300))
	li.RecordCrash(at(500), segments, crash("s3", 350, 500))
}

func TestSegmentIsBlockedAfterCrashesInSeries(t *testing.T) {
	li := quarantine.New()
	recordSeries(li, common, guilty)
	require.False(t, li.Suspected(at(600), []quarantine.Segment{other}))
	require.True(t, li.Suspected(at(600), []quarantine.Segment{guilty}))
	li.RecordAnswer([]quarantine.Segment{common, other}, at(350))
	answerOthers(li, 400)
	require.Empty(t, li.Judge(at(1000)), "too early")
	findings := li.Judge(at(1200))
	require.Len(t, findings, 1)
	require.Equal(t, guilty, findings[0].Segment)
	require.True(t, isBlocked(li, 1300, common, guilty))
	require.False(t, isBlocked(li, 1300, common, other))
	require.Empty(t, li.Judge(at(1300)), "a finding is reported once")
	require.False(t, isBlocked(li, 1300+5*60*1000, common, guilty), "the servers may have been mended")
	require.Empty(t, li.Judge(at(1300+5*60*1000)), "old crashes are no new evidence")
	li.RecordCrash(at(302_000), []quarantine.Segment{common, guilty}, crash("s4", 301_500, 302_000))
	answerOthers(li, 302_500)
	require.Len(t, li.Judge(at(303_100)), 1, "after a quarantine the first crash suffices")
	require.True(t, isBlocked(li, 302_000+9*60*1000, guilty), "twice as long")
}

// TestSoundSegmentsAreNotBlocked plays evidence that blames a sound segment at first.
func TestSoundSegmentsAreNotBlocked(t *testing.T) {
	tests := []struct {
		name   string
		record func(*quarantine.List)
	}{
		{"servers that crash at the same time", func(li *quarantine.List) {
			for ix := range 8 {
				li.RecordCrash(at(100+ix), []quarantine.Segment{common}, crash(fmt.Sprint("s", ix), ix, 100+ix))
			}
			answerOthers(li, 300)
		}},
		{"an answer has gone on since", func(li *quarantine.List) {
			recordSeries(li, common)
			li.RecordAnswer([]quarantine.Segment{common}, at(510))
			answerOthers(li, 600)
		}},
		{"nothing is answered", func(li *quarantine.List) { recordSeries(li, common) }},
		{"one server ends again and again, reported by several hosts", func(li *quarantine.List) {
			for ix := range 8 {
				li.RecordCrash(at(500), []quarantine.Segment{common}, crash("s1", 100+ix, 400+ix))
			}
			answerOthers(li, 600)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			li := quarantine.New()
			test.record(li)
			require.Empty(t, li.Judge(at(5000)))
			require.False(t, isBlocked(li, 5000, common))
		})
	}
}

// TestSegmentsThatAlwaysComeTogether guards against sound requests that are refused
// because one of their segments was in all crashed requests beside the guilty one.
func TestSegmentsThatAlwaysComeTogether(t *testing.T) {
	li := quarantine.New()
	recordSeries(li, other, guilty)
	answerOthers(li, 600)
	require.Len(t, li.Judge(at(1500)), 2, "a crash can't tell which")
	require.True(t, isBlocked(li, 1600, other, guilty))
	require.False(t, isBlocked(li, 1600, other, common), "sound requests with one of them are served")
	li.RecordAnswer([]quarantine.Segment{other, common}, at(1700))
	require.True(t, isBlocked(li, 1800, guilty, common), "the other one is known to be sound")
}

// TestExplainedCrashesBlameNoOther checks that the crashes for which a segment is in
// quarantine are no evidence against requests that were in progress beside it.
func TestExplainedCrashesBlameNoOther(t *testing.T) {
	li := quarantine.New()
	recordSeries(li, common, guilty)
	li.RecordCrash(at(100), []quarantine.Segment{common, other}, crash("s1", 0, 101))
	li.RecordAnswer([]quarantine.Segment{common}, at(550))
	li.RecordCrash(at(300), []quarantine.Segment{other}, crash("s2", 160, 301))
	answerOthers(li, 600)
	require.Len(t, li.Judge(at(1200)), 1)
	li.RecordCrash(at(1300), []quarantine.Segment{common, other}, crash("s3", 360, 502)) // reported late
	require.Empty(t, li.Judge(at(5000)))
	require.False(t, isBlocked(li, 5000, other))
}

// TestSegmentBesideManyCrashesIsReleased guards against a sound segment that stays blocked
// because requests with it were in progress at as many crashes as made the finding.
func TestSegmentBesideManyCrashesIsReleased(t *testing.T) {
	li := quarantine.New()
	recordSeries(li, common, other)
	recordSeries(li, common, guilty)
	li.RecordAnswer([]quarantine.Segment{common}, at(550))
	answerOthers(li, 600)
	require.NotEmpty(t, li.Judge(at(1200)))
	li.RecordCrash(at(1400), []quarantine.Segment{common, guilty}, crash("s4", 1100, 1350))
	li.RecordAnswer([]quarantine.Segment{common}, at(1360))
	li.RecordCrash(at(1600), []quarantine.Segment{common, guilty}, crash("s5", 1400, 1550))
	li.RecordAnswer([]quarantine.Segment{common}, at(1560))
	li.RecordCrash(at(1900), []quarantine.Segment{common, guilty}, crash("s6", 1600, 1850))
	li.Judge(at(3000))
	require.True(t, isBlocked(li, 3000, common, guilty))
	require.False(t, isBlocked(li, 3000, common, other))
}

// TestQuarantineIsNeverLongerThanAnHour guards against a number of findings, which may
// come from another host, that overflows the time.
func TestQuarantineIsNeverLongerThanAnHour(t *testing.T) {
	li := quarantine.New()
	li.Merge(at(0), []quarantine.Report{{Segment: guilty, Left: mp.Duration(time.Millisecond), Findings: 1 << 40}})
	li.RecordCrash(at(500), []quarantine.Segment{guilty}, crash("s1", 100, 500))
	answerOthers(li, 600)
	require.Len(t, li.Judge(at(2000)), 1)
	require.True(t, isBlocked(li, 2000+59*60_000, guilty))
	require.False(t, isBlocked(li, 2000+61*60_000, guilty))
}

// TestHostsShareFindings checks that a host which saw nothing blocks what another one has
// found, and that an answer there ends the quarantine at both.
func TestHostsShareFindings(t *testing.T) {
	one, two := quarantine.New(), quarantine.New()
	recordSeries(one, guilty)
	answerOthers(one, 600)
	one.Judge(at(1500))
	require.Len(t, two.Merge(at(1600), one.Reports(at(1600))), 1)
	require.Empty(t, two.Merge(at(1700), one.Reports(at(1700))), "it is new once")
	require.True(t, isBlocked(two, 1700, guilty))
	two.RecordAnswer([]quarantine.Segment{guilty}, at(1650)) // one that was already sent
	require.False(t, isBlocked(two, 1700, guilty))
	two.Merge(at(1800), one.Reports(at(1800)))
	require.False(t, isBlocked(two, 1900, guilty), "the other host doesn't know of the answer yet")
	one.Merge(at(1900), two.Reports(at(1900)))
	require.False(t, isBlocked(one, 2000, guilty))
}

// exchangeReports lets each host report to all others. Reports travel for 40 ms. It
// returns the number of new findings.
func exchangeReports(hosts []*quarantine.List, millis int) int {
	findings := 0
	for _, from := range hosts {
		reports := from.Reports(at(millis))
		for _, to := range hosts {
			if to != from {
				findings += len(to.Merge(at(millis+40), reports))
			}
		}
	}
	return findings
}

// requireCleared requires that hosts block requests with both segments and none with the
// other one only.
func requireCleared(t *testing.T, hosts []*quarantine.List, millis int) {
	t.Helper()
	for _, host := range hosts {
		require.True(t, isBlocked(host, millis, other, guilty))
		require.False(t, isBlocked(host, millis, other, common))
	}
}

// TestHostsAgreeOnClearedSegment guards against a segment that goes in and out of
// quarantine because hosts tell each other of the finding and of the answer after it,
// each time a little later. One of them is cut off while the answer is told.
func TestHostsAgreeOnClearedSegment(t *testing.T) {
	hosts := make([]*quarantine.List, 30)
	for ix := range hosts {
		hosts[ix] = quarantine.New()
	}
	recordSeries(hosts[0], other, guilty)
	answerOthers(hosts[0], 600)
	hosts[0].Judge(at(1500))
	const cutUntil = 12_000
	findings := 0
	for millis := 1500; millis < 3000; millis += 100 {
		findings += exchangeReports(hosts, millis)
	}
	hosts[7].RecordAnswer([]quarantine.Segment{other}, at(2700))
	for millis := 3000; millis < cutUntil; millis += 100 {
		findings += exchangeReports(hosts[:29], millis)
		requireCleared(t, hosts[:29], millis+40)
	}
	for millis := cutUntil; millis < 30_000; millis += 100 {
		findings += exchangeReports(hosts, millis)
		requireCleared(t, hosts[:29], millis+40)
	}
	requireCleared(t, hosts, 30_000)
	require.Equal(t, 2*(len(hosts)-1), findings, "each host learns once of both segments")
	for _, host := range hosts {
		require.True(t, isBlocked(host, 30_000, guilty), "the other one has been cleared")
		require.False(t, isBlocked(host, 30_000+5*60_000, guilty), "repeated reports don't extend it")
		require.Len(t, host.Reports(at(30_000)), 1, "nor is the answer told for ever")
	}
}

// TestAnswerAfterTheFirstCrashKeepsSegmentFree checks on random crashes, in any order and
// over several hosts, that a segment is never blocked by evidence from before an answer.
func TestAnswerAfterTheFirstCrashKeepsSegmentFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*quarantine.List{quarantine.New(), quarantine.New(), quarantine.New()}
		last := 0
		for ix := range rapid.IntRange(0, 30).Draw(t, "crashes") {
			ended := rapid.IntRange(10, 3000).Draw(t, "ended")
			last = max(last, ended)
			host := rapid.SampledFrom(hosts).Draw(t, "host")
			host.RecordCrash(at(ended), []quarantine.Segment{common}, crash(fmt.Sprint("s", ix), rapid.IntRange(0, ended).Draw(t, "started"), ended))
		}
		rapid.SampledFrom(hosts).Draw(t, "answering").RecordAnswer([]quarantine.Segment{common}, at(last+1))
		for range 2 { // everything known reaches all hosts before one judges
			for _, from := range hosts {
				for _, to := range hosts {
					to.Merge(at(4000), from.Reports(at(4000)))
				}
			}
		}
		for _, host := range hosts {
			answerOthers(host, 4000)
		}
		// A host that got the crashes and no answer must not exist by now.
		for _, host := range hosts {
			require.Empty(t, host.Judge(at(5000)))
		}
	})
}

// TestMemoryIsBounded checks that neither crashes nor reports of ever new segments grow
// the list or what is told to others.
func TestMemoryIsBounded(t *testing.T) {
	li := quarantine.New()
	for ix := range 10_000 {
		li.RecordCrash(at(ix), []quarantine.Segment{quarantine.Segment(ix), common}, crash(fmt.Sprint("s", ix), ix, ix))
		li.Merge(at(ix), []quarantine.Report{{Segment: quarantine.Segment(1_000_000 + ix)}})
	}
	require.LessOrEqual(t, len(li.Reports(at(10_000))), 12)
	require.LessOrEqual(t, li.Len(), 256)
}

// play is a simulation of hosts that send requests to servers, which crash under the
// guilty segment.
type play struct {
	hosts  []*quarantine.List
	random *rand.Rand
	// crashes and blockedSound count crashed servers and refused sound requests.
	crashes, blockedSound, sound int
	crashTimes                   []int
	// gossipStep is called for each millisecond; without it, all hosts tell all others at
	// once every 100 ms.
	gossipStep func(millis int)
}

// lateCrashes returns the number of crashes later than a number of milliseconds after the
// fifth.
func (pl *play) lateCrashes(contactMillis int) int {
	late := 0
	for ix, millis := range pl.crashTimes {
		if ix >= 5 && millis > pl.crashTimes[4]+contactMillis {
			late++
		}
	}
	return late
}

// lastCrash returns the time of the last crash, zero if there is none.
func (pl *play) lastCrash() int {
	if len(pl.crashTimes) == 0 {
		return 0
	}
	return pl.crashTimes[len(pl.crashTimes)-1]
}

// run plays a number of milliseconds: each has a chance of a request; poisoned is the part
// of them with the guilty segment. Servers crash 80 ms after they got such a request, and
// go on writing other answers for 300 ms.
func (pl *play) run(duration int, requestsPerMilli, poisoned float64) {
	pending := map[int][]func(){}
	for now := range duration {
		for _, do := range pending[now] {
			do()
		}
		delete(pending, now)
		switch {
		case pl.gossipStep != nil:
			pl.gossipStep(now)
		case now%100 == 0:
			pl.gossip(now)
		}
		for chance := requestsPerMilli; chance > 0; chance-- {
			if pl.random.Float64() >= chance {
				continue
			}
			host := pl.hosts[pl.random.IntN(len(pl.hosts))]
			segments := []quarantine.Segment{common, quarantine.Segment(1000 + pl.random.IntN(300))}
			isGuilty := pl.random.Float64() < poisoned
			if isGuilty {
				segments = append(segments, guilty)
			}
			if _, _, blocked := host.Blocked(at(now), segments); blocked {
				if !isGuilty {
					pl.blockedSound++
				}
				continue
			}
			if !isGuilty {
				pl.sound++
				pending[now+500] = append(pending[now+500], func() { host.RecordAnswer(segments, at(now+200)) })
				continue
			}
			pl.crashes++
			pl.crashTimes = append(pl.crashTimes, now+80)
			server := fmt.Sprint("s", pl.crashes)
			pending[now+140] = append(pending[now+140], func() { host.RecordCrash(at(now+140), segments, crash(server, now, now+80)) })
		}
	}
}

// gossip lets each host judge and tell all others.
func (pl *play) gossip(now int) {
	for _, from := range pl.hosts {
		from.Judge(at(now))
		reports := from.Reports(at(now))
		if len(reports) == 0 {
			continue
		}
		for _, to := range pl.hosts {
			if to != from {
				to.Merge(at(now), reports)
			}
		}
	}
}

// TestCrashesEndWhateverTheNumberOfHosts plays seconds in which one in twenty requests has
// the guilty segment, at 30 requests a second over 1 and 8 hosts and 200 over 83 and 195.
func TestCrashesEndWhateverTheNumberOfHosts(t *testing.T) {
	for _, test := range []struct {
		hosts            int
		requestsPerMilli float64
		millis           int
	}{{1, 0.03, 30_000}, {8, 0.03, 30_000}, {83, 0.2, 8_000}, {195, 0.2, 8_000}} {
		t.Run(fmt.Sprint(test.hosts), func(t *testing.T) {
			pl := &play{random: rand.New(rand.NewPCG(5, uint64(test.hosts)))}
			for range test.hosts {
				pl.hosts = append(pl.hosts, quarantine.New())
			}
			pl.run(test.millis, test.requestsPerMilli, 0.05)
			t.Logf("%d crashes, %d of %d sound requests refused", pl.crashes, pl.blockedSound, pl.sound)
			require.GreaterOrEqual(t, pl.crashes, 3)
			require.LessOrEqual(t, pl.lateCrashes(4000), 3, "crashes later than 4 s after the fifth: %v", pl.crashTimes)
			require.Less(t, float64(pl.blockedSound), 0.01*float64(pl.sound))
		})
	}
}
