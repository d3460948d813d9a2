// Package partition decides whether this host is partitioned from all backend servers: it
// can't connect to any of them, whatever their service. Failed dials of requests make it
// suspect a partition, and probes of random servers confirm it or rule it out. It does no I/O
// and reads no clock.
package partition

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// minFailedServers is the number of servers to which dials must fail before a partition
	// is suspected.
	minFailedServers = 3
	// failureWindow is how long a failed dial counts.
	failureWindow = 3 * time.Second
	// confirmationProbes is the number of servers that are probed to confirm a partition.
	confirmationProbes = 6
	// recheckInterval is the shortest time between two confirmations: the servers of a dead
	// service go on failing.
	recheckInterval = 2 * time.Second
	// maxRoundTime is the longest time that a round of probes may take. If it takes longer, this
	// host was held up, and its probes timed out without a fault of the network.
	maxRoundTime = time.Second
	// recoveryProbes is the number of servers that are probed at once during a partition, and
	// recoveryInterval the mean time between two such rounds.
	recoveryProbes   = 3
	recoveryInterval = 500 * time.Millisecond
	// minConnectedServers is the number of servers that must accept a connection within
	// recoveryWindow to end a partition.
	minConnectedServers = 2
	recoveryWindow      = 1500 * time.Millisecond
)

// Server is a backend server that may be probed.
type Server struct {
	ID         mp.ServerID
	Service    mp.ServiceName
	DataCentre mp.DataCentreID
	Address    string
}

// group is a group of servers that may fail together.
type group struct {
	service    mp.ServiceName
	dataCentre mp.DataCentreID
}

func (se Server) group() group { return group{service: se.Service, dataCentre: se.DataCentre} }

// Change is a change of what a Detector knows.
type Change int

// The changes.
const (
	// None is no change.
	None Change = iota
	// Suspected is a suspicion, which probes have to confirm.
	Suspected
	// Dismissed is a suspicion that was not confirmed.
	Dismissed
	// Begun is the begin of a partition.
	Begun
	// Ended is the end of a partition.
	Ended
)

// String returns the change in snake_case.
func (ch Change) String() string {
	return [...]string{"none", "suspected", "dismissed", "begun", "ended"}[ch]
}

// Status is what a Detector knows.
type Status struct {
	Servers int
	// Failed is the number of servers to which dials have failed since the last connection, and
	// FailingSince the time of the first of these failures; zero if there is none.
	Failed       int
	FailingSince time.Time
	// Connected is the number of servers that have accepted a connection during the partition.
	Connected int
	// Since is the begin of the suspicion or the partition; zero if there is none.
	Since time.Time
}

// state is a state of a Detector.
type state int

const (
	sound state = iota
	suspicious
	partitioned
)

// Detector decides whether this host is partitioned. It is not safe for concurrent use.
type Detector struct {
	random  *rand.Rand
	servers []Server
	listed  map[mp.ServerID]bool // the identifiers of servers
	state   state
	since   time.Time
	// failed holds the time of the last failure by server, since the last connection.
	failed       map[mp.ServerID]time.Time
	failingSince time.Time
	// connected holds the servers that have accepted a connection during a partition.
	connected map[mp.ServerID]time.Time
	// probing reports that a round of probes is under way; it began at roundAt.
	probing bool
	roundAt time.Time
	// nextRoundAt is the earliest time of the next round.
	nextRoundAt time.Time
}

// New returns a detector that knows no servers and chooses those to probe at random.
func New(random *rand.Rand) *Detector {
	return &Detector{random: random, failed: map[mp.ServerID]time.Time{}, connected: map[mp.ServerID]time.Time{}}
}

// SetServers replaces the servers. What is known of others is dropped.
func (de *Detector) SetServers(now time.Time, servers []Server) Change {
	de.servers = slices.Clone(servers)
	de.listed = make(map[mp.ServerID]bool, len(servers))
	for _, se := range servers {
		de.listed[se.ID] = true
	}
	unlisted := func(id mp.ServerID, _ time.Time) bool { return !de.listed[id] }
	maps.DeleteFunc(de.failed, unlisted)
	maps.DeleteFunc(de.connected, unlisted)
	return de.judge(now)
}

// RecordFailure records that this host could not connect to a server.
func (de *Detector) RecordFailure(now time.Time, id mp.ServerID) Change {
	if !de.listed[id] {
		return None
	}
	if len(de.failed) == 0 {
		de.failingSince = now
	}
	de.failed[id] = now
	delete(de.connected, id)
	return de.judge(now)
}

// RecordConnection records that a server has accepted a connection.
func (de *Detector) RecordConnection(now time.Time, id mp.ServerID) Change {
	clear(de.failed)
	if de.state == partitioned && de.listed[id] {
		de.connected[id] = now
	}
	return de.judge(now)
}

// Probes returns the servers to probe now; none if no probes are due. RecordProbes must follow
// if there are any.
func (de *Detector) Probes(now time.Time) []Server {
	if left, due := de.NextProbe(now); !due || left > 0 {
		return nil
	}
	count := confirmationProbes
	if de.state == partitioned {
		count = recoveryProbes
	}
	de.probing, de.roundAt = true, now
	return de.sample(count)
}

// NextProbe returns the time until the next probes are due; false if none are.
func (de *Detector) NextProbe(now time.Time) (time.Duration, bool) {
	if de.probing || de.state == sound || len(de.servers) == 0 {
		return 0, false
	}
	return max(0, de.nextRoundAt.Sub(now)), true
}

// RecordProbes records which servers of a round of probes have accepted a connection and
// which have not.
func (de *Detector) RecordProbes(now time.Time, connected, failed []mp.ServerID) Change {
	de.probing = false
	late := now.Sub(de.roundAt) > maxRoundTime
	switch {
	case de.state == sound:
		return None
	case de.state == partitioned:
		de.nextRoundAt = now.Add(de.jittered(recoveryInterval))
		return de.recordRecovery(now, connected, failed)
	case len(connected) > 0:
		clear(de.failed)
		return de.judge(now)
	}
	de.nextRoundAt = now.Add(de.jittered(recoveryInterval))
	if late || len(failed) == 0 {
		return None
	}
	de.enter(now, partitioned)
	return Begun
}

// recordRecovery records the probes of a round during a partition.
func (de *Detector) recordRecovery(now time.Time, connected, failed []mp.ServerID) Change {
	for _, id := range failed {
		delete(de.connected, id)
	}
	for _, id := range connected {
		if de.listed[id] {
			de.connected[id] = now
		}
	}
	return de.judge(now)
}

// IsPartitioned reports whether this host is partitioned from all backend servers.
func (de *Detector) IsPartitioned() bool { return de.state == partitioned }

// Status returns what is known now.
func (de *Detector) Status() Status {
	st := Status{Servers: len(de.servers), Failed: len(de.failed), Connected: len(de.connected), Since: de.since}
	if st.Failed > 0 {
		st.FailingSince = de.failingSince
	}
	return st
}

// judge changes the state if what is known asks for it.
func (de *Detector) judge(now time.Time) Change {
	switch de.state {
	case partitioned:
		return de.judgeRecovery(now)
	case suspicious:
		if len(de.failed) > 0 {
			return None
		}
		de.enter(now, sound)
		de.nextRoundAt = now.Add(recheckInterval)
		return Dismissed
	default:
		return de.judgeFailures(now)
	}
}

// judgeFailures suspects a partition if dials to enough servers have failed.
func (de *Detector) judgeFailures(now time.Time) Change {
	expire(de.failed, now, failureWindow)
	if len(de.failed) == 0 || len(de.failed) < min(minFailedServers, len(de.servers)) || now.Before(de.nextRoundAt) {
		return None
	}
	de.enter(now, suspicious)
	return Suspected
}

// judgeRecovery ends a partition if enough servers have accepted a connection.
func (de *Detector) judgeRecovery(now time.Time) Change {
	expire(de.connected, now, recoveryWindow)
	if len(de.connected) < min(minConnectedServers, len(de.servers)) {
		return None
	}
	de.enter(now, sound)
	clear(de.failed)
	de.nextRoundAt = now
	return Ended
}

// enter begins a state.
func (de *Detector) enter(now time.Time, st state) {
	de.state, de.since = st, now
	if st == sound {
		de.since = time.Time{}
	}
	if st == partitioned {
		clear(de.connected)
	}
}

// jittered returns a random interval with the given mean.
func (de *Detector) jittered(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(de.random.Int64N(int64(mean/2)))
}

// sample returns random servers of as many groups as possible, first those of groups without a
// failure: only a few servers of a small group may be reachable.
func (de *Detector) sample(count int) []Server {
	order := slices.Clone(de.servers)
	de.random.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	failures, positions := map[group]int{}, make(map[mp.ServerID]int, len(order))
	sizes := map[group]int{}
	for _, se := range order {
		positions[se.ID] = sizes[se.group()]
		sizes[se.group()]++
		if _, ok := de.failed[se.ID]; ok {
			failures[se.group()]++
		}
	}
	slices.SortStableFunc(order, func(one, two Server) int {
		return cmp.Or(cmp.Compare(positions[one.ID], positions[two.ID]), cmp.Compare(failures[one.group()], failures[two.group()]))
	})
	return order[:min(count, len(order))]
}

// expire drops the entries that are older than a lifetime.
func expire(entries map[mp.ServerID]time.Time, now time.Time, lifetime time.Duration) {
	maps.DeleteFunc(entries, func(_ mp.ServerID, at time.Time) bool { return now.Sub(at) > lifetime })
}
