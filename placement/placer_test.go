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

// fleet returns engines spread over three regions, as seen by a host in the first:
// every third engine is in its region.
func fleet(count int, jitterSensitive bool) []placement.Server {
	servers := make([]placement.Server, 0, count)
	for ix := range count {
		distance := placement.SameRegion
		if ix%3 > 0 {
			distance = placement.OtherRegion
		}
		servers = append(servers, placement.Server{ID: mp.ServerID(fmt.Sprint("engine-", ix)), Service: "engines", Distance: distance, IsEngine: true, ServesJitterSensitive: jitterSensitive})
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

func draftRequest(prefixID uint64) *placement.Request {
	return &placement.Request{
		Service:        "engines",
		Prompt:         []placement.PromptSegment{{ID: 1, Tokens: 2520}, {ID: prefixID, Tokens: 3780}, {ID: 1 << 40, Tokens: 2890}},
		PromptTokens:   9190,
		BodyBytes:      18000,
		LatencyTarget:  1500 * time.Millisecond,
		TimeToDeadline: 5 * time.Second,
		Priority:       2,
	}
}

func TestPrefixOwnerIsSameOnAllHosts(t *testing.T) {
	one, two := placement.New(placement.WithSeed(1)), placement.New(placement.WithSeed(2))
	servers := fleet(12, false)
	one.SetServers(servers)
	otherRegion := fleet(12, false)
	for ix := range otherRegion { // as seen by a host in another region
		if ix%3 == 1 {
			otherRegion[ix].Distance = placement.SameRegion
		} else {
			otherRegion[ix].Distance = placement.OtherRegion
		}
	}
	two.SetServers(otherRegion)
	owners := map[mp.ServerID]int{}
	for prefixID := uint64(100); prefixID < 400; prefixID++ {
		a, ok := one.Choose(start, draftRequest(prefixID))
		require.True(t, ok)
		b, _ := two.Choose(start, draftRequest(prefixID))
		require.Equal(t, a.Server.ID, b.Server.ID)
		require.True(t, a.PrefixCached)
		owners[a.Server.ID]++
	}
	require.Len(t, owners, 12, "prefixes spread over all engines")
}

func TestRemovedServerRemapsOnlyItsPrefixes(t *testing.T) {
	pl := placement.New()
	pl.SetServers(fleet(12, false))
	before := map[uint64]mp.ServerID{}
	for prefixID := uint64(100); prefixID < 400; prefixID++ {
		ch, _ := pl.Choose(start, draftRequest(prefixID))
		before[prefixID] = ch.Server.ID
	}
	pl.SetServers(fleet(11, false))
	for prefixID, owner := range before {
		ch, _ := pl.Choose(start, draftRequest(prefixID))
		if owner != "engine-11" {
			require.Equal(t, owner, ch.Server.ID)
		}
	}
}

func TestLoadedOwnerIsBypassedWhenPrefillIsCheaper(t *testing.T) {
	load := map[mp.ServerID]placement.Load{}
	pl := placement.New(placement.WithPeerLoad(func(id mp.ServerID) placement.Load { return load[id] }))
	pl.SetServers(fleet(12, false))
	owner, _ := pl.Choose(start, draftRequest(7))
	load[owner.Server.ID] = placement.Load{PrefillTokens: 10_000}
	lightLoad, _ := pl.Choose(start, draftRequest(7))
	require.Equal(t, owner.Server.ID, lightLoad.Server.ID)
	load[owner.Server.ID] = placement.Load{PrefillTokens: 200_000}
	heavyLoad, _ := pl.Choose(start, draftRequest(7))
	require.NotEqual(t, owner.Server.ID, heavyLoad.Server.ID)
	require.False(t, heavyLoad.PrefixCached)
}

func TestJitterSensitiveStreamsUseReservedEngines(t *testing.T) {
	pl := placement.New()
	pl.SetServers(fleet(12, true))
	stream := &placement.Request{Service: "engines", Prompt: []placement.PromptSegment{{ID: 5, Tokens: 172}, {ID: 6, Tokens: 543}}, PromptTokens: 715, JitterSensitive: true, LatencyTarget: time.Second, TimeToDeadline: 15 * time.Second}
	streamEngines := map[mp.ServerID]bool{}
	for range 40 {
		ch, _ := pl.Choose(start, stream)
		pl.RecordStart(ch)
		pl.RecordFirstEvent(start, ch, 20*time.Millisecond)
		streamEngines[ch.Server.ID] = true
	}
	require.LessOrEqual(t, len(streamEngines), 2)
	for prefixID := uint64(100); prefixID < 200; prefixID++ {
		ch, _ := pl.Choose(start, draftRequest(prefixID))
		require.False(t, streamEngines[ch.Server.ID])
	}
}

// TestLeastUrgentPriorityIsRefusedFirst loads all engines alike: as the load grows, the
// least urgent priority is refused first and the most urgent last.
func TestLeastUrgentPriorityIsRefusedFirst(t *testing.T) {
	for _, test := range []struct {
		pending  mp.Tokens
		accepted [3]bool
	}{
		{2_000, [3]bool{true, true, true}},
		{15_000, [3]bool{true, true, false}},
		{30_000, [3]bool{true, true, false}},
		{40_000, [3]bool{true, false, false}},
		{200_000, [3]bool{false, false, false}},
	} {
		t.Run(fmt.Sprint(test.pending), func(t *testing.T) {
			pl := placement.New(placement.WithPeerLoad(func(mp.ServerID) placement.Load { return placement.Load{PrefillTokens: test.pending} }))
			pl.SetServers(fleet(12, false))
			for priority, accepted := range test.accepted {
				rq := &placement.Request{Service: "engines", PromptTokens: 700, LatencyTarget: time.Second, TimeToDeadline: 5 * time.Second, Priority: priority}
				ch, _ := pl.Choose(start, rq)
				require.Equal(t, accepted, ch.Lateness(rq) <= 0, "priority %d", priority)
			}
		})
	}
}

// TestShortPrefixSpillsOverBeforeRefusal guards against refusing a request with
// a short shared prefix because the prefix owner is busy, while other engines
// have room.
func TestShortPrefixSpillsOverBeforeRefusal(t *testing.T) {
	rq := &placement.Request{
		Service: "engines", Prompt: []placement.PromptSegment{{ID: 9, Tokens: 568}, {ID: 10, Tokens: 1800}}, PromptTokens: 2368, BodyBytes: 4700,
		LatencyTarget: time.Second, TimeToDeadline: 3 * time.Second, Priority: 1,
	}
	pl := placement.New()
	pl.SetServers(fleet(12, false))
	owner, _ := pl.Choose(start, rq)
	pl = placement.New(placement.WithPeerLoad(func(id mp.ServerID) placement.Load {
		if id == owner.Server.ID {
			return placement.Load{PrefillTokens: 33_000}
		}
		return placement.Load{PrefillTokens: 31_000}
	}))
	pl.SetServers(fleet(12, false))
	ch, _ := pl.Choose(start, rq)
	require.NotEqual(t, owner.Server.ID, ch.Server.ID)
	require.LessOrEqual(t, ch.Lateness(rq), time.Duration(0))
}

// TestSpilloverSkipsReservedEngines guards against sending a prompt to an engine
// that is reserved for jitter-sensitive streams, and so delaying these, because
// the prompt would be late on every other engine.
func TestSpilloverSkipsReservedEngines(t *testing.T) {
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
	rq := &placement.Request{
		Service: "engines", Prompt: []placement.PromptSegment{{ID: 9, Tokens: 568}, {ID: 10, Tokens: 1800}}, PromptTokens: 2368,
		LatencyTarget: time.Second, TimeToDeadline: 3 * time.Second, Priority: 1,
	}
	ch, _ := pl.Choose(start, rq)
	require.NotEqual(t, first.Server.ID, ch.Server.ID)
}

// TestSingleLongQueueIsNotOverload sends a burst with one prefix to its owner
// while the other engines are idle. The response would still be in time, so the
// request must not be refused.
func TestSingleLongQueueIsNotOverload(t *testing.T) {
	pl := placement.New()
	pl.SetServers(fleet(12, false))
	owner, _ := pl.Choose(start, draftRequest(7))
	pl = placement.New(placement.WithPeerLoad(func(id mp.ServerID) placement.Load {
		if id == owner.Server.ID {
			return placement.Load{PrefillTokens: 20_000}
		}
		return placement.Load{}
	}))
	pl.SetServers(fleet(12, false))
	ch, _ := pl.Choose(start, draftRequest(7))
	require.Equal(t, owner.Server.ID, ch.Server.ID)
	require.LessOrEqual(t, ch.Lateness(draftRequest(7)), time.Duration(0))
}

// TestLargePromptIsAcceptedOnIdleEngines guards against counting a prompt's own
// prefill as queue wait, so that a large prompt is refused although none is queued.
func TestLargePromptIsAcceptedOnIdleEngines(t *testing.T) {
	pl := placement.New()
	pl.SetServers(fleet(12, false))
	rq := draftRequest(7)
	rq.PromptTokens = 40_000
	ch, _ := pl.Choose(start, rq)
	require.LessOrEqual(t, ch.Lateness(rq), time.Duration(0))
}

func TestFailingReplicaIsAvoidedAndRecovers(t *testing.T) {
	pl := placement.New()
	pl.SetServers(replicas(3))
	failing := mp.ServerID("app-1")
	now := start
	requestsToFailing := func(rounds int) int {
		count := 0
		for range rounds {
			now = now.Add(20 * time.Millisecond)
			ch, _ := pl.Choose(now, &placement.Request{Service: "app"})
			pl.RecordStart(ch)
			outcome := placement.Succeeded
			if ch.Server.ID == failing {
				count++
				outcome = placement.Failed
			}
			pl.RecordEnd(now, ch, true, outcome)
		}
		return count
	}
	require.Less(t, requestsToFailing(300), 40)
	failing = "none"
	now = now.Add(time.Minute)
	seen := map[mp.ServerID]bool{}
	for range 100 {
		ch, _ := pl.Choose(now, &placement.Request{Service: "app"})
		seen[ch.Server.ID] = true
	}
	require.Len(t, seen, 3)
}

func TestUnreachableServerIsRarelyTried(t *testing.T) {
	pl := placement.New()
	pl.SetServers(replicas(2))
	now := start
	attempts := 0
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		ch, _ := pl.Choose(now, &placement.Request{Service: "app"})
		pl.RecordStart(ch)
		if ch.Server.ID == "app-0" {
			attempts++
			pl.RecordEnd(now, ch, false, placement.Unreachable)
			continue
		}
		pl.RecordEnd(now, ch, true, placement.Succeeded)
	}
	require.Positive(t, attempts)
	require.Less(t, attempts, 8)
}

// TestOutstandingLoadReturnsToZero guards against load that stays outstanding
// after all requests have ended, with any outcome and with or without a first
// event. It would make the engine look busy for ever.
func TestOutstandingLoadReturnsToZero(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := placement.New()
		pl.SetServers(fleet(rapid.IntRange(1, 12).Draw(rt, "engines"), rapid.Bool().Draw(rt, "jitter-sensitive")))
		var open []placement.Choice
		now := start
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			rq := draftRequest(rapid.Uint64Range(10, 40).Draw(rt, "prefix"))
			rq.JitterSensitive = rapid.Bool().Draw(rt, "stream")
			ch, ok := pl.Choose(now, rq)
			if !ok {
				rt.Fatal("no engine was chosen although some are available")
			}
			pl.RecordStart(ch)
			open = append(open, ch)
		}
		for ix, ch := range open {
			firstEventSeen := ix%2 == 0
			if firstEventSeen {
				pl.RecordFirstEvent(now, ch, time.Second)
			}
			pl.RecordEnd(now, ch, firstEventSeen, placement.Outcome(ix%6))
		}
		if left := pl.Loads(); len(left) > 0 {
			rt.Fatalf("load still outstanding: %v", left)
		}
	})
}

// TestSilentServersAreAvoided guards against servers that get request after request although
// they are silent, while their requests go on.
func TestSilentServersAreAvoided(t *testing.T) {
	pl := placement.New()
	pl.SetServers(replicas(4))
	rq := &placement.Request{Service: "app"}
	silent, ok := pl.Choose(start, rq)
	require.True(t, ok)
	for range 3 {
		pl.RecordStart(silent)
		pl.RecordSilence(start, silent)
	}
	for range 20 {
		ch, ok := pl.Choose(start, rq)
		require.True(t, ok)
		require.NotEqual(t, silent.Server.ID, ch.Server.ID)
	}
	for range 3 {
		pl.RecordEnd(start, silent, true, placement.Succeeded)
	}
	require.Empty(t, pl.Loads())
}
