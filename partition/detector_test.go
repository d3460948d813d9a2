package partition_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	_ "github.com/mangopaddle/mangopaddle/fixedseed" // makes every run use the same cases
	"github.com/mangopaddle/mangopaddle/partition"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

const (
	// step is the time between two requests of a simulation.
	step = 20 * time.Millisecond
	// dialTimeout is how long a dial hangs.
	dialTimeout = 400 * time.Millisecond
)

// fleet simulates a host that sends requests, each with a new connection, to random servers.
type fleet struct {
	detector *partition.Detector
	random   *rand.Rand
	servers  []partition.Server
	now      time.Time
	// reachable tells which servers accept connections; failures take failTime.
	reachable func(se partition.Server) bool
	failTime  time.Duration
	requests  bool
	events    map[time.Time][]func()
	changes   []partition.Change
	probed    int
}

// newFleet returns a fleet of services with the given numbers of servers.
func newFleet(seed uint64, sizes ...int) *fleet {
	fl := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, requests: true, failTime: dialTimeout, events: map[time.Time][]func(){}}
	fl.detector = partition.New(rand.New(rand.NewPCG(seed, 2)))
	for service, size := range sizes {
		for ix := range size {
			fl.servers = append(fl.servers, partition.Server{ID: mp.ServerID(fmt.Sprint("s", service, "-", ix)), Service: mp.ServiceName(fmt.Sprint("service-", service))})
		}
	}
	fl.reachable = func(partition.Server) bool { return true }
	fl.detector.SetServers(fl.now, fl.servers)
	return fl
}

// record keeps a change.
func (fl *fleet) record(ch partition.Change) {
	if ch != partition.None {
		fl.changes = append(fl.changes, ch)
	}
}

// after calls a function later.
func (fl *fleet) after(wait time.Duration, do func()) {
	at := fl.now.Add(max(step, wait.Truncate(step)))
	fl.events[at] = append(fl.events[at], do)
}

// run plays the fleet for a time.
func (fl *fleet) run(duration time.Duration) {
	for end := fl.now.Add(duration); fl.now.Before(end); fl.now = fl.now.Add(step) {
		for _, do := range fl.events[fl.now] {
			do()
		}
		delete(fl.events, fl.now)
		if fl.requests && len(fl.servers) > 0 {
			fl.dial(fl.servers[fl.random.IntN(len(fl.servers))])
		}
		fl.probe()
	}
}

// dial opens a connection for a request.
func (fl *fleet) dial(se partition.Server) {
	if fl.reachable(se) {
		fl.record(fl.detector.RecordConnection(fl.now, se.ID))
		return
	}
	fl.after(fl.failTime, func() { fl.record(fl.detector.RecordFailure(fl.now, se.ID)) })
}

// probe runs a round of probes if one is due.
func (fl *fleet) probe() {
	servers := fl.detector.Probes(fl.now)
	if len(servers) == 0 {
		return
	}
	fl.probed += len(servers)
	var connected, failed []mp.ServerID
	for _, se := range servers {
		if fl.reachable(se) {
			connected = append(connected, se.ID)
		} else {
			failed = append(failed, se.ID)
		}
	}
	fl.after(fl.failTime, func() {
		fl.record(fl.detector.RecordProbes(fl.now, connected, failed))
	})
}

func none(partition.Server) bool { return false }
func all(partition.Server) bool  { return true }

// TestPartitionBeginsAndEnds guards against a partition that is noticed late, or not ended soon
// after servers are reachable again, whichever way dials fail.
func TestPartitionBeginsAndEnds(t *testing.T) {
	for name, failTime := range map[string]time.Duration{"hang": dialTimeout, "reset": 0, "refuse": 0, "slow reset": 100 * time.Millisecond} {
		for _, sizes := range [][]int{{1}, {2}, {3}, {1, 1}, {40, 1}, {5, 5, 5}, {200, 200}} {
			t.Run(fmt.Sprint(name, sizes), func(t *testing.T) {
				for seed := range uint64(20) {
					fl := newFleet(seed, sizes...)
					fl.failTime = failTime
					fl.run(time.Second)
					require.Empty(t, fl.changes)
					fl.reachable = none
					fl.run(1300 * time.Millisecond)
					require.Equal(t, []partition.Change{partition.Suspected, partition.Begun}, fl.changes)
					fl.run(5 * time.Second)
					require.True(t, fl.detector.IsPartitioned())
					fl.reachable, fl.requests = all, false
					fl.run(2 * time.Second)
					require.Equal(t, []partition.Change{partition.Suspected, partition.Begun, partition.Ended}, fl.changes)
					fl.requests = true
					fl.run(5 * time.Second)
					require.Len(t, fl.changes, 3)
				}
			})
		}
	}
}

// TestReachableServerRulesOutAPartition guards against a host that takes the fault of some
// servers for a partition.
func TestReachableServerRulesOutAPartition(t *testing.T) {
	for name, test := range map[string]struct {
		sizes     []int
		reachable func(se partition.Server) bool
	}{
		"single silent server":    {[]int{4}, func(se partition.Server) bool { return se.ID != "s0-0" }},
		"silent server of two":    {[]int{2}, func(se partition.Server) bool { return se.ID != "s0-0" }},
		"dead service":            {[]int{5, 5}, func(se partition.Server) bool { return se.Service != "service-0" }},
		"large dead service":      {[]int{300, 1}, func(se partition.Server) bool { return se.Service != "service-0" }},
		"all services but one":    {[]int{40, 40, 40, 40, 2}, func(se partition.Server) bool { return se.Service == "service-4" }},
		"four servers of a fleet": {[]int{8, 8}, func(se partition.Server) bool { return se.ID > "s0-3" }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				fl := newFleet(seed, test.sizes...)
				fl.reachable = test.reachable
				fl.run(20 * time.Second)
				require.NotContains(t, fl.changes, partition.Begun)
				require.LessOrEqual(t, fl.probed, 6*11, "a suspicion is checked each 2 s at most")
			}
		})
	}
}

// TestDeadServiceWithoutOtherTraffic guards against a host that takes a dead service for a
// partition because it has requests for no other one.
func TestDeadServiceWithoutOtherTraffic(t *testing.T) {
	fl := newFleet(1, 30, 1)
	fl.servers = fl.servers[:30] // those that get requests
	fl.reachable = func(se partition.Server) bool { return se.Service == "service-1" }
	fl.run(10 * time.Second)
	require.Contains(t, fl.changes, partition.Dismissed)
	require.NotContains(t, fl.changes, partition.Begun)
}

func TestNoTrafficNeedsNoProbes(t *testing.T) {
	fl := newFleet(1, 5, 5)
	fl.requests, fl.reachable = false, none
	fl.run(10 * time.Second)
	require.Empty(t, fl.changes)
	require.Zero(t, fl.probed)
}

// TestRareFailuresAreNoSuspicion guards against failures of minutes ago that count.
func TestRareFailuresAreNoSuspicion(t *testing.T) {
	de := partition.New(rand.New(rand.NewPCG(1, 1)))
	fl := newFleet(1, 10)
	de.SetServers(start, fl.servers)
	for ix, se := range fl.servers {
		require.Equal(t, partition.None, de.RecordFailure(start.Add(time.Duration(ix)*2*time.Second), se.ID))
	}
}

// TestFlappingDoesNotFloodServers guards against probes without a bound, and against a partition
// that ends because single servers accept a connection now and then.
func TestFlappingDoesNotFloodServers(t *testing.T) {
	fl := newFleet(1, 10, 10)
	for range 30 {
		fl.reachable = none
		fl.run(time.Second)
		fl.reachable = all
		fl.run(300 * time.Millisecond)
	}
	require.LessOrEqual(t, fl.probed, 40*6)
	fl = newFleet(1, 10, 10)
	fl.reachable = none
	fl.run(2 * time.Second)
	require.True(t, fl.detector.IsPartitioned())
	fl.reachable = func(se partition.Server) bool { return se.ID == "s0-0" }
	fl.requests = false
	fl.run(10 * time.Second)
	require.True(t, fl.detector.IsPartitioned())
}

// TestProbesOfAHeldUpHostDoNotCount guards against a host that takes its own pause, in which
// all dials time out, for a partition.
func TestProbesOfAHeldUpHostDoNotCount(t *testing.T) {
	fl := newFleet(1, 4)
	de := fl.detector
	for _, se := range fl.servers[:3] {
		de.RecordFailure(start, se.ID)
	}
	servers := de.Probes(start)
	require.Len(t, servers, 4)
	later := start.Add(3 * time.Second)
	require.Equal(t, partition.None, de.RecordProbes(later, nil, []mp.ServerID{"s0-0", "s0-1", "s0-2", "s0-3"}))
	require.False(t, de.IsPartitioned())
	later = later.Add(time.Second)
	require.Len(t, de.Probes(later), 4, "they are probed again")
	require.Equal(t, partition.Dismissed, de.RecordProbes(later, []mp.ServerID{"s0-0"}, []mp.ServerID{"s0-1", "s0-2", "s0-3"}))
}

// TestServersThatLeaveTheList guards against a partition that goes on with no server left to
// probe, and against failures of servers that are gone.
func TestServersThatLeaveTheList(t *testing.T) {
	fl := newFleet(1, 5)
	de := fl.detector
	require.Equal(t, partition.None, de.RecordFailure(start, "unlisted"))
	for _, se := range fl.servers[:2] {
		de.RecordFailure(start, se.ID)
	}
	de.SetServers(start, fl.servers[2:])
	require.Equal(t, partition.None, de.RecordFailure(start, "s0-2"))
	require.Equal(t, partition.Suspected, de.SetServers(start, fl.servers[2:3]))
	require.Len(t, de.Probes(start), 1)
	require.Equal(t, partition.Begun, de.RecordProbes(start, nil, []mp.ServerID{"s0-2"}))
	require.Equal(t, partition.Ended, de.SetServers(start, nil))
	require.False(t, de.IsPartitioned())
}

// TestDetector plays failures, connections, probes and lists in any order.
func TestDetector(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 5), 1, 4).Draw(t, "sizes")
		fl := newFleet(rapid.Uint64().Draw(t, "seed"), sizes...)
		de, now, known := fl.detector, start, fl.servers
		var lastConnection time.Time
		var round []partition.Server
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "millis")) * time.Millisecond)
			before := de.IsPartitioned()
			var ch partition.Change
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				known = fl.servers[:rapid.IntRange(0, len(fl.servers)).Draw(t, "count")]
				ch = de.SetServers(now, known)
			case 1, 2:
				ch = de.RecordFailure(now, rapid.SampledFrom(fl.servers).Draw(t, "server").ID)
			case 3:
				lastConnection = now
				ch = de.RecordConnection(now, rapid.SampledFrom(fl.servers).Draw(t, "server").ID)
				require.Zero(t, de.Status().Failed)
			default:
				if len(round) > 0 {
					ch = fl.answer(t, now, round, &lastConnection)
					round = nil
					break
				}
				round = de.Probes(now)
				requireDistinct(t, known, round)
			}
			require.Equal(t, before != de.IsPartitioned(), ch == partition.Begun || ch == partition.Ended)
			if ch == partition.Begun {
				require.NotEqual(t, now, lastConnection)
			}
			if len(known) == 0 {
				require.False(t, de.IsPartitioned())
			}
			_, due := de.NextProbe(now)
			require.False(t, due && len(round) > 0, "one round at a time")
			require.False(t, de.IsPartitioned() && !due && len(round) == 0, "a partition is probed until it ends")
		}
	})
}

// answer records the results of a round.
func (fl *fleet) answer(t *rapid.T, now time.Time, round []partition.Server, lastConnection *time.Time) partition.Change {
	var connected, failed []mp.ServerID
	for _, se := range round {
		if rapid.Float64Range(0, 1).Draw(t, "luck") < 0.2 {
			connected = append(connected, se.ID)
			*lastConnection = now
			continue
		}
		failed = append(failed, se.ID)
	}
	return fl.detector.RecordProbes(now, connected, failed)
}

// requireDistinct checks that the servers of a round are distinct and listed.
func requireDistinct(t *rapid.T, known, round []partition.Server) {
	seen := map[mp.ServerID]bool{}
	for _, se := range round {
		require.Contains(t, known, se)
		require.False(t, seen[se.ID])
		seen[se.ID] = true
	}
}
