package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	_ "github.com/mangopaddle/mangopaddle/fixedseed"
	"github.com/mangopaddle/mangopaddle/placement"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// fleet returns engines of three regions, the first of which is the host's.
func fleet(count int, steady bool) []placement.Server {
	servers := make([]placement.Server, 0, count)
	for ix := range count {
		distance := placement.SameRegion
		if ix%3 > 0 {
			distance = placement.OtherRegion
		}
		servers = append(servers, placement.Server{ID: mp.ServerID(fmt.Sprint("engine-", ix)), Service: "engines", Distance: distance, Engine: true, JitterSensitive: steady})
	}
	return servers
}

func replicas(count int) []placement.Server {
	servers := make([]placement.Server, 0, count)
	for ix := range count {
		servers = append(servers, placement.Server{ID: mp.ServerID(fmt.Sprint("app-", ix)), Service: "app", Distance: placement.SameRegion})
	}
	return servers
}

func draft(part uint64) *placement.Request {
	return &placement.Request{
		Service:        "engines",
		Prompt:         []placement.PromptSegment{{ID: 1, Tokens: 2520}, {ID: part, Tokens: 3780}, {ID: 1 << 40, Tokens: 2890}},
		PromptTokens:   9190,
		BodyBytes:      18000,
		LatencyTarget:  1500 * time.Millisecond,
		TimeToDeadline: 5 * time.Second,
		Priority:       2,
	}
}

func TestHostsFindTheSameHomeForASharedPart(t *testing.T) {
	one, two := placement.New(placement.WithSeed(1)), placement.New(placement.WithSeed(2))
	servers := fleet(12, false)
	one.SetServers(servers)
	near := fleet(12, false)
	for ix := range near { // a host of another region
		if ix%3 == 1 {
			near[ix].Distance = placement.SameRegion
		} else {
			near[ix].Distance = placement.OtherRegion
		}
	}
	two.SetServers(near)
	homes := map[mp.ServerID]int{}
	for part := uint64(100); part < 400; part++ {
		a, ok := one.Choose(start, draft(part))
		require.True(t, ok)
		b, _ := two.Choose(start, draft(part))
		require.Equal(t, a.Server.ID, b.Server.ID)
		require.True(t, a.PrefixCached)
		homes[a.Server.ID]++
	}
	require.Len(t, homes, 12, "parts spread over all engines")
}

func TestServerThatLeavesMovesOnlyItsOwnParts(t *testing.T) {
	pl := placement.New()
	pl.SetServers(fleet(12, false))
	before := map[uint64]mp.ServerID{}
	for part := uint64(100); part < 400; part++ {
		ch, _ := pl.Choose(start, draft(part))
		before[part] = ch.Server.ID
	}
	pl.SetServers(fleet(11, false))
	for part, home := range before {
		ch, _ := pl.Choose(start, draft(part))
		if home != "engine-11" {
			require.Equal(t, home, ch.Server.ID)
		}
	}
}

func TestBusyHomeIsLeftOnlyWhenReadingAgainIsCheaper(t *testing.T) {
	busy := map[mp.ServerID]placement.Load{}
	pl := placement.New(placement.WithPeerLoad(func(id mp.ServerID) placement.Load { return busy[id] }))
	pl.SetServers(fleet(12, false))
	home, _ := pl.Choose(start, draft(7))
	busy[home.Server.ID] = placement.Load{PrefillTokens: 10_000}
	still, _ := pl.Choose(start, draft(7))
	require.Equal(t, home.Server.ID, still.Server.ID)
	busy[home.Server.ID] = placement.Load{PrefillTokens: 200_000}
	away, _ := pl.Choose(start, draft(7))
	require.NotEqual(t, home.Server.ID, away.Server.ID)
	require.False(t, away.PrefixCached)
}

func TestSteadyStreamsAndPromptsAreKeptApart(t *testing.T) {
	pl := placement.New()
	pl.SetServers(fleet(12, true))
	stream := &placement.Request{Service: "engines", Prompt: []placement.PromptSegment{{ID: 5, Tokens: 172}, {ID: 6, Tokens: 543}}, PromptTokens: 715, JitterSensitive: true, LatencyTarget: time.Second, TimeToDeadline: 15 * time.Second}
	streams := map[mp.ServerID]bool{}
	for range 40 {
		ch, _ := pl.Choose(start, stream)
		pl.RecordStart(ch)
		pl.RecordFirstEvent(start, ch, 20*time.Millisecond)
		streams[ch.Server.ID] = true
	}
	require.LessOrEqual(t, len(streams), 2)
	for part := uint64(100); part < 200; part++ {
		ch, _ := pl.Choose(start, draft(part))
		require.False(t, streams[ch.Server.ID])
	}
}

// TestRefusalsByPriority loads all engines alike: the lowest priority is refused
// first, the most urgent last.
func TestRefusalsByPriority(t *testing.T) {
	for _, test := range []struct {
		unread mp.Tokens
		sent   [3]bool
	}{
		{2_000, [3]bool{true, true, true}},
		{15_000, [3]bool{true, true, false}},
		{30_000, [3]bool{true, true, false}},
		{40_000, [3]bool{true, false, false}},
		{200_000, [3]bool{false, false, false}},
	} {
		t.Run(fmt.Sprint(test.unread), func(t *testing.T) {
			pl := placement.New(placement.WithPeerLoad(func(mp.ServerID) placement.Load { return placement.Load{PrefillTokens: test.unread} }))
			pl.SetServers(fleet(12, false))
			for priority, sent := range test.sent {
				work := &placement.Request{Service: "engines", PromptTokens: 700, LatencyTarget: time.Second, TimeToDeadline: 5 * time.Second, Priority: priority}
				ch, _ := pl.Choose(start, work)
				require.Equal(t, sent, ch.Lateness(work) <= 0, "priority %d", priority)
			}
		})
	}
}

// TestUrgentWorkGoesElsewhereBeforeItIsRefused plays a busy home: a request with
// a short shared part must not be refused while other engines have room.
func TestUrgentWorkGoesElsewhereBeforeItIsRefused(t *testing.T) {
	work := &placement.Request{
		Service: "engines", Prompt: []placement.PromptSegment{{ID: 9, Tokens: 568}, {ID: 10, Tokens: 1800}}, PromptTokens: 2368, BodyBytes: 4700,
		LatencyTarget: time.Second, TimeToDeadline: 3 * time.Second, Priority: 1,
	}
	pl := placement.New()
	pl.SetServers(fleet(12, false))
	home, _ := pl.Choose(start, work)
	pl = placement.New(placement.WithPeerLoad(func(id mp.ServerID) placement.Load {
		if id == home.Server.ID {
			return placement.Load{PrefillTokens: 33_000}
		}
		return placement.Load{PrefillTokens: 31_000}
	}))
	pl.SetServers(fleet(12, false))
	ch, _ := pl.Choose(start, work)
	require.NotEqual(t, home.Server.ID, ch.Server.ID)
	require.LessOrEqual(t, ch.Lateness(work), time.Duration(0))
}

// TestEscapeLeavesReservedEnginesAlone plays prompts that are late everywhere but
// on the engines that are kept for steady streams.
func TestEscapeLeavesReservedEnginesAlone(t *testing.T) {
	idle := map[mp.ServerID]bool{}
	pl := placement.New(placement.WithPeerLoad(func(id mp.ServerID) placement.Load {
		if idle[id] {
			return placement.Load{Streams: 20}
		}
		return placement.Load{PrefillTokens: 30_000}
	}))
	pl.SetServers(fleet(12, true))
	stream := &placement.Request{Service: "engines", PromptTokens: 715, JitterSensitive: true, LatencyTarget: time.Second}
	first, _ := pl.Choose(start, stream)
	idle[first.Server.ID] = true
	work := &placement.Request{
		Service: "engines", Prompt: []placement.PromptSegment{{ID: 9, Tokens: 568}, {ID: 10, Tokens: 1800}}, PromptTokens: 2368,
		LatencyTarget: time.Second, TimeToDeadline: 3 * time.Second, Priority: 1,
	}
	ch, _ := pl.Choose(start, work)
	require.NotEqual(t, first.Server.ID, ch.Server.ID)
}

// TestOneLongQueueIsNoOverload plays a burst on one part while the other engines
// are idle: the answer would still come in time, so it isn't refused.
func TestOneLongQueueIsNoOverload(t *testing.T) {
	pl := placement.New()
	pl.SetServers(fleet(12, false))
	home, _ := pl.Choose(start, draft(7))
	pl = placement.New(placement.WithPeerLoad(func(id mp.ServerID) placement.Load {
		if id == home.Server.ID {
			return placement.Load{PrefillTokens: 20_000}
		}
		return placement.Load{}
	}))
	pl.SetServers(fleet(12, false))
	ch, _ := pl.Choose(start, draft(7))
	require.Equal(t, home.Server.ID, ch.Server.ID)
	require.LessOrEqual(t, ch.Lateness(draft(7)), time.Duration(0))
}

func TestLargePromptIsNotRefusedOnIdleEngines(t *testing.T) {
	pl := placement.New()
	pl.SetServers(fleet(12, false))
	work := draft(7)
	work.PromptTokens = 40_000
	ch, _ := pl.Choose(start, work)
	require.LessOrEqual(t, ch.Lateness(work), time.Duration(0))
}

func TestFailingReplicaIsAvoidedAndTriedAgain(t *testing.T) {
	pl := placement.New()
	pl.SetServers(replicas(3))
	bad := mp.ServerID("app-1")
	now := start
	share := func(rounds int) int {
		count := 0
		for range rounds {
			now = now.Add(20 * time.Millisecond)
			ch, _ := pl.Choose(now, &placement.Request{Service: "app"})
			pl.RecordStart(ch)
			outcome := placement.Succeeded
			if ch.Server.ID == bad {
				count++
				outcome = placement.Failed
			}
			pl.RecordEnd(now, ch, true, outcome)
		}
		return count
	}
	require.Less(t, share(300), 40)
	bad = "none"
	now = now.Add(time.Minute)
	seen := map[mp.ServerID]bool{}
	for range 100 {
		ch, _ := pl.Choose(now, &placement.Request{Service: "app"})
		seen[ch.Server.ID] = true
	}
	require.Len(t, seen, 3)
}

func TestUnreachableServerIsAvoidedLongerEachTime(t *testing.T) {
	pl := placement.New()
	pl.SetServers(replicas(2))
	now := start
	tries := 0
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		ch, _ := pl.Choose(now, &placement.Request{Service: "app"})
		pl.RecordStart(ch)
		if ch.Server.ID == "app-0" {
			tries++
			pl.RecordEnd(now, ch, false, placement.Unreachable)
			continue
		}
		pl.RecordEnd(now, ch, true, placement.Succeeded)
	}
	require.Positive(t, tries)
	require.Less(t, tries, 8)
}

// TestCountsReturnToZero checks that whatever order work begins and ends in,
// nothing is left outstanding.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := placement.New()
		pl.SetServers(fleet(rapid.IntRange(1, 12).Draw(rt, "engines"), rapid.Bool().Draw(rt, "steady")))
		var open []placement.Choice
		now := start
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			work := draft(rapid.Uint64Range(10, 40).Draw(rt, "part"))
			work.JitterSensitive = rapid.Bool().Draw(rt, "stream")
			ch, ok := pl.Choose(now, work)
			if !ok {
				rt.Fatal("no engine was chosen though there are some")
			}
			pl.RecordStart(ch)
			open = append(open, ch)
		}
		for ix, ch := range open {
			began := ix%2 == 0
			if began {
				pl.RecordFirstEvent(now, ch, time.Second)
			}
			pl.RecordEnd(now, ch, began, placement.Outcome(ix%6))
		}
		if left := pl.Loads(); len(left) > 0 {
			rt.Fatalf("left outstanding: %v", left)
		}
	})
}
