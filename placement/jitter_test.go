package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/placement"
)

// smallBatchFleet returns engines that run few requests at once and get
// jitter-sensitive streams.
func smallBatchFleet(count int) []placement.Server {
	servers := fleet(count, true)
	for ix := range servers {
		servers[ix].Slots = 16
	}
	return servers
}

// streamHost returns a placer whose peers report the given number of
// jitter-sensitive streams, evenly spread over the engines.
func streamHost(engines int, streams *int) *placement.Placer {
	pl := placement.New(placement.WithPeerLoad(func(id mp.ServerID) placement.Load {
		var ix int
		_, _ = fmt.Sscanf(string(id), "engine-%d", &ix)
		load := placement.Load{Streams: *streams / engines}
		if ix < *streams%engines {
			load.Streams++
		}
		return load
	}))
	pl.SetServers(smallBatchFleet(engines))
	return pl
}

// reservedAfter returns how many engines are reserved after a request at a time.
func reservedAfter(pl *placement.Placer, now time.Time) int {
	pl.Choose(now, draftRequest(7))
	return pl.ReservedEngines("engines")
}

// TestReservationFollowsStreams plays a day of a fleet of 99 engines: few streams, a
// burst, and few again. Engines are reserved at once in the burst, and given back
// slowly, so that the owners of shared prefixes move little.
func TestReservationFollowsStreams(t *testing.T) {
	streams := 20
	pl := streamHost(99, &streams)
	calm := reservedAfter(pl, start)
	require.Equal(t, 16, calm, "one engine in six, although the streams need only three")
	streams = 300
	burst := reservedAfter(pl, start.Add(time.Second))
	require.Equal(t, 38, burst, "half of the slots of the reserved engines are taken")
	streams = 20
	require.Greater(t, reservedAfter(pl, start.Add(2*time.Second)), 30)
	require.Equal(t, calm, reservedAfter(pl, start.Add(30*time.Second)))
	streams = 5000
	require.Equal(t, 49, reservedAfter(pl, start.Add(31*time.Second)), "prompts keep half of the engines")
}

// TestMoreStreamsNeverReserveFewerEngines guards against a reservation that takes
// engines from streams because there are more streams.
func TestMoreStreamsNeverReserveFewerEngines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.IntRange(1, 200).Draw(rt, "engines")
		fewer := rapid.IntRange(0, 3000).Draw(rt, "streams")
		more := fewer + rapid.IntRange(0, 3000).Draw(rt, "further streams")
		one, two := streamHost(engines, &fewer), streamHost(engines, &more)
		if reservedAfter(one, start) > reservedAfter(two, start) {
			rt.Fatalf("%d streams reserve more engines than %d", fewer, more)
		}
	})
}

// TestReservationIsSameOnAllHosts checks that hosts which know the same streams keep
// prompts off the same engines, although they see different distances.
func TestReservationIsSameOnAllHosts(t *testing.T) {
	streams := 250
	one, two := streamHost(40, &streams), streamHost(40, &streams)
	elsewhere := smallBatchFleet(40)
	for ix := range elsewhere {
		elsewhere[ix].Distance = placement.OtherRegion
	}
	two.SetServers(elsewhere)
	require.Equal(t, reservedAfter(one, start), reservedAfter(two, start))
	for prefixID := uint64(100); prefixID < 300; prefixID++ {
		a, _ := one.Choose(start, draftRequest(prefixID))
		b, _ := two.Choose(start, draftRequest(prefixID))
		require.Equal(t, a.Server.ID, b.Server.ID)
	}
}
