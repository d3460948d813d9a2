package placement_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/placement"
)

func TestPausedServersAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl, now := placement.New(), start
		isEngine := rapid.Bool().Draw(rt, "engines")
		servers, rq := replicas(4), &placement.Request{Service: "app"}
		if isEngine {
			servers, rq = fleet(4, false), draftRequest(7)
		}
		pl.SetServers(servers)
		until := map[mp.ServerID]time.Time{}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "pause") {
				se := rapid.SampledFrom(servers).Draw(rt, "server")
				pause := time.Duration(rapid.IntRange(1, 8000).Draw(rt, "pause ms")) * time.Millisecond
				require.Equal(rt, !now.Before(until[se.ID]), pl.RecordPause(now, se, pause))
				until[se.ID] = latest(until[se.ID], now.Add(pause))
			}
			first := time.Duration(-1)
			for _, se := range servers {
				if left := max(0, until[se.ID].Sub(now)); first < 0 || left < first {
					first = left
				}
			}
			require.Equal(rt, first, pl.PauseLeft(now, rq.Service))
			ch, ok := pl.Choose(now, rq)
			require.Equal(rt, first == 0, ok, "a server is chosen unless all are in a pause")
			if ok {
				require.False(rt, now.Before(until[ch.Server.ID]))
				pl.RecordStart(ch)
				pl.RecordEnd(now, ch, true, placement.Outcome(rapid.IntRange(0, 5).Draw(rt, "outcome")))
			}
		}
	})
}

func latest(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

func TestPauseOutlivesAMissingEntryAndEndsWithANewStart(t *testing.T) {
	pl := placement.New()
	servers := replicas(1)
	pl.SetServers(servers)
	pl.RecordPause(start, servers[0], time.Hour)
	pl.SetServers(nil)
	pl.SetServers(servers)
	_, ok := pl.Choose(start, &placement.Request{Service: "app"})
	require.False(t, ok)
	servers[0].StartedAtMillis = 1000
	pl.SetServers(servers)
	_, ok = pl.Choose(start, &placement.Request{Service: "app"})
	require.True(t, ok)
}

func TestLeavingServerDoesNotEndThePauseOfItsService(t *testing.T) {
	pl := placement.New()
	servers := replicas(2)
	pl.SetServers(servers)
	pl.RecordLeaving(start, servers[0])
	pl.RecordPause(start, servers[1], 3*time.Second)
	require.Equal(t, 3*time.Second, pl.PauseLeft(start, "app"))
}

// TestRefusedCallersReturnSpreadAndByPriority plays callers that come all through a pause of
// all servers.
func TestRefusedCallersReturnSpreadAndByPriority(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := placement.New(placement.WithSeed(rapid.Uint64().Draw(rt, "seed")))
		pause := time.Duration(rapid.IntRange(200, 20000).Draw(rt, "pause ms")) * time.Millisecond
		var returns []time.Duration
		const callers = 300
		for ix := range callers {
			left := pause * time.Duration(callers-ix) / callers
			delays := []time.Duration{pl.ReturnDelay(left, 0), pl.ReturnDelay(left, 1), pl.ReturnDelay(left, 2), pl.ReturnDelay(left, 9)}
			require.GreaterOrEqual(rt, delays[0], left, "not before the pause ends")
			require.True(rt, slices.IsSorted(delays[:3]), "the more urgent one first: %v", delays)
			require.LessOrEqual(rt, max(delays[2], delays[3]), left+min(left/2, time.Second)+time.Millisecond)
			returns = append(returns, pause-left+delays[ix%3]-pause)
		}
		slices.Sort(returns)
		window := min(pause/2, time.Second) / 10
		for ix := range returns {
			end := ix
			for end < len(returns) && returns[end] < returns[ix]+window {
				end++
			}
			require.Less(rt, end-ix, callers/2, "callers that return within a tenth of the spread")
		}
	})
	require.Zero(t, placement.New().ReturnDelay(0, 0))
	require.Equal(t, 30*time.Second, placement.New().ReturnDelay(time.Hour, 0))
}
