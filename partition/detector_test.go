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
	// targets is the number of servers, the first ones, that get requests.
	targets int
	// reachable tells which servers accept connections. Failures take failTime.
	reachable func(se partition.Server) bool
	failTime  time.Duration
	events    map[time.Time][]func()
	changes   []partition.Change
	probed    int
}

// newFleet returns a fleet of services with the given numbers of servers.
func newFleet(seed uint64, sizes ...int) *fleet {
	fl := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, reachable: all, failTime: dialTimeout, events: map[time.Time][]func(){}}
	fl.detector = partition.New(rand.New(rand.NewPCG(seed, 2)))
	for service, size := range sizes {
		for ix := range size {
			fl.servers = append(fl.servers, partition.Server{ID: mp.ServerID(fmt.Sprint("s", service, "-", ix)), Service: mp.ServiceName(fmt.Sprint("service-", service))})
		}
	}
	fl.targets = len(fl.servers)
	fl.detector.SetServers(fl.now, fl.servers)
	return fl
}

func none(partition.Server) bool { return false }
func all(partition.Server) bool  { return true }

// apply calls a function after a time and keeps the change that it returns.
func (fl *fleet) apply(wait time.Duration, record func() partition.Change) {
	at := fl.now.Add(max(step, wait))
	fl.events[at] = append(fl.events[at], func() {
		if ch := record(); ch != partition.None {
			fl.changes = append(fl.changes, ch)
		}
	})
}

// run plays the fleet for a time.
func (fl *fleet) run(duration time.Duration) {
	for end := fl.now.Add(duration); fl.now.Before(end); fl.now = fl.now.Add(step) {
		for _, do := range fl.events[fl.now] {
			do()
		}
		if fl.targets > 0 {
			fl.dial(fl.servers[fl.random.IntN(fl.targets)])
		}
		fl.probe()
	}
}

func (fl *fleet) dial(se partition.Server) {
	if fl.reachable(se) {
		fl.apply(0, func() partition.Change { return fl.detector.RecordConnection(fl.now, se.ID) })
		return
	}
	fl.apply(fl.failTime, func() partition.Change { return fl.detector.RecordFailure(fl.now, se.ID) })
}

func (fl *fleet) probe() {
	connected, failed := split(fl.detector.Probes(fl.now), fl.reachable)
	if count := len(connected) + len(failed); count > 0 {
		fl.probed += count
		fl.apply(fl.failTime, func() partition.Change { return fl.detector.RecordProbes(fl.now, connected, failed) })
	}
}

// split returns the servers that accept connections and those that don't.
func split(servers []partition.Server, reachable func(se partition.Server) bool) (connected, failed []mp.ServerID) {
	for _, se := range servers {
		if reachable(se) {
			connected = append(connected, se.ID)
			continue
		}
		failed = append(failed, se.ID)
	}
	return connected, failed
}

// TestPartitionBeginsAndEnds guards against a partition that is noticed late, or not ended soon
// after servers are reachable again, whichever way dials fail.
func TestPartitionBeginsAndEnds(t *testing.T) {
	for name, failTime := range map[string]time.Duration{"hang": dialTimeout, "refuse": 0, "reset": 100 * time.Millisecond} {
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
					fl.reachable, fl.targets = all, 0
					fl.run(2 * time.Second)
					require.Equal(t, []partition.Change{partition.Suspected, partition.Begun, partition.Ended}, fl.changes)
					fl.targets = len(fl.servers)
					fl.run(5 * time.Second)
					require.Len(t, fl.changes, 3)
				}
			})
		}
	}
}

// TestReachableServerRulesOutAPartition guards against a host that takes the fault of some
// servers for a partition, and against probes without a bound.
func TestReachableServerRulesOutAPartition(t *testing.T) {
	for name, test := range map[string]struct {
		sizes     []int
		targets   int
		reachable func(se partition.Server) bool
	}{
		"single silent server":          {[]int{4}, 4, func(se partition.Server) bool { return se.ID != "s0-0" }},
		"silent server of two":          {[]int{2}, 2, func(se partition.Server) bool { return se.ID != "s0-0" }},
		"dead service":                  {[]int{5, 5}, 10, func(se partition.Server) bool { return se.Service != "service-0" }},
		"only requests to dead service": {[]int{300, 1}, 300, func(se partition.Server) bool { return se.Service != "service-0" }},
		"all services but one":          {[]int{40, 40, 40, 40, 2}, 162, func(se partition.Server) bool { return se.Service == "service-4" }},
		"one of many services":          {[]int{3, 3, 3, 3, 3, 3, 3, 1}, 21, func(se partition.Server) bool { return se.Service == "service-7" }},
		"no traffic":                    {[]int{5, 5}, 0, none},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				fl := newFleet(seed, test.sizes...)
				fl.reachable, fl.targets = test.reachable, test.targets
				fl.run(20 * time.Second)
				require.NotContains(t, fl.changes, partition.Begun)
				require.LessOrEqual(t, fl.probed, 6*11, "a suspicion is checked each 2 s at most")
				require.True(t, test.targets > 0 || fl.probed == 0)
			}
		})
	}
}

// TestFlappingDoesNotFloodServers guards against probes without a bound, and against a partition
// that ends because a single server accepts connections.
func TestFlappingDoesNotFloodServers(t *testing.T) {
	fl := newFleet(1, 10, 10)
	for range 30 {
		fl.reachable = none
		fl.run(time.Second)
		fl.reachable = all
		fl.run(300 * time.Millisecond)
	}
	require.LessOrEqual(t, fl.probed, 39*6, "one round of six a second")
	fl = newFleet(1, 10, 10)
	fl.reachable = none
	fl.run(2 * time.Second)
	fl.targets, fl.reachable = 0, func(se partition.Server) bool { return se.ID == "s0-0" }
	fl.run(10 * time.Second)
	require.True(t, fl.detector.IsPartitioned())
	for _, wait := range []time.Duration{0, 2 * time.Second} {
		fl.detector.RecordConnection(fl.now, "s0-0")
		if wait == 0 {
			fl.detector.RecordFailure(fl.now, "s0-0")
		}
		fl.now = fl.now.Add(wait)
		require.Equal(t, partition.None, fl.detector.RecordConnection(fl.now, "s0-1"))
		fl.detector.RecordFailure(fl.now, "s0-1")
	}
}

// TestProbesOfAHeldUpHostDoNotCount guards against a host that takes its own pause, in which
// all dials time out, for a partition.
func TestProbesOfAHeldUpHostDoNotCount(t *testing.T) {
	fl := newFleet(1, 4)
	de := fl.detector
	for ix, se := range fl.servers {
		require.Equal(t, partition.None, de.RecordFailure(start.Add(time.Duration(ix-8)*2*time.Second), se.ID), "failures don't count for long")
	}
	for _, se := range fl.servers[:3] {
		de.RecordFailure(start, se.ID)
	}
	_, failed := split(de.Probes(start), none)
	require.Len(t, failed, 4)
	later := start.Add(3 * time.Second)
	require.Equal(t, partition.None, de.RecordProbes(later, nil, failed))
	later = later.Add(time.Second)
	require.Len(t, de.Probes(later), 4, "they are probed again")
	require.Equal(t, partition.Dismissed, de.RecordProbes(later, failed[:1], failed[1:]))
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
}

// TestDetector plays failures, connections, probes and lists in any order.
func TestDetector(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fl := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.SliceOfN(rapid.IntRange(1, 5), 1, 4).Draw(t, "sizes")...)
		de, now, listed := fl.detector, start, fl.servers
		var round []partition.Server // under way
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "millis")) * time.Millisecond)
			server := rapid.SampledFrom(fl.servers).Draw(t, "server").ID
			before, ch, connections := de.IsPartitioned(), partition.None, 0
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				listed = fl.servers[:rapid.IntRange(0, len(fl.servers)).Draw(t, "listed")]
				ch = de.SetServers(now, listed)
			case 1, 2:
				ch = de.RecordFailure(now, server)
			case 3:
				ch, connections = de.RecordConnection(now, server), 1
				require.Zero(t, de.Status().Failed)
			default:
				if len(round) == 0 {
					round = de.Probes(now)
					require.Subset(t, listed, round)
					break
				}
				connected, failed := split(round, func(partition.Server) bool { return rapid.IntRange(0, 4).Draw(t, "luck") == 0 })
				ch, connections, round = de.RecordProbes(now, connected, failed), len(connected), nil
			}
			require.Equal(t, before != de.IsPartitioned(), ch == partition.Begun || ch == partition.Ended)
			require.False(t, ch == partition.Begun && connections > 0)
			require.False(t, de.IsPartitioned() && len(listed) == 0)
			_, due := de.NextProbe(now)
			require.False(t, due && len(round) > 0, "one round at a time")
			require.False(t, de.IsPartitioned() && !due && len(round) == 0, "a partition is probed until it ends")
		}
	})
}
