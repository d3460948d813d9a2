// Package coldstart decides when a host may send requests to a cold backend server, which
// tolerates few, and how many of the choices a server gets after its cold time. The hosts
// don't agree with each other: each has a place in an order that all compute alike, and a
// spacing between its requests, so that the sum over all hosts stays below the rate that the
// server tolerates. The package does no I/O and reads no clock.
package coldstart

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// DefaultOverage is the factor by which the requests of all hosts together may exceed
	// the rate that a cold server tolerates, unless the operator states another.
	DefaultOverage = 1.5
	// maxColdTime bounds how long a server is believed to stay cold: a faulty entry must not
	// keep it out of use for good.
	maxColdTime = 10 * time.Minute
	// stateMemory is how long the state of a server is kept after its cold time, longer than
	// the slow start.
	stateMemory = maxRampTime + time.Minute
)

// Source is where a host learnt from that a server is cold.
type Source string

// The sources.
const (
	SourceEntry    Source = "entry"
	SourceResponse Source = "response"
)

// Entry is what the list of servers says of one of them.
type Entry struct {
	Server mp.ServerID
	// StartedAtMillis and Sequence tell one write of the entry from another.
	StartedAtMillis int64
	Sequence        int64
	// Remaining is how much longer the server stays cold, as of the write.
	Remaining time.Duration
}

// Change is the begin or the end of a server's cold time in the view of this host.
type Change struct {
	Server mp.ServerID
	// Source is where a cold time was learnt from; empty at its end.
	Source Source
	// Claimed is the cold time as stated, and Until the end of it as believed.
	Claimed time.Duration
	Until   time.Time
}

// coldServer is the state of a server that is or lately was cold.
type coldServer struct {
	entry Entry
	// listed reports that the server is on the list.
	listed bool
	// entryUntil is the end of the cold time by the entry, and responseUntil by responses.
	entryUntil, responseUntil time.Time
	// announced reports that the begin of the cold time was returned as a change.
	announced bool
	// nextAt is when this host may send the next request to the server while it is cold.
	nextAt time.Time
	// order is the number of hosts before this one in the server's order, as of the members
	// of orderVersion.
	order        int
	orderVersion uint64
}

// until returns the end of the cold time. The later of the two ends holds: a write that is
// older than a response may be read after it.
func (cs *coldServer) until() time.Time {
	if cs.responseUntil.After(cs.entryUntil) {
		return cs.responseUntil
	}
	return cs.entryUntil
}

// Tracker holds which servers are cold and which hosts send to them. It is not safe for
// concurrent use.
type Tracker struct {
	overage float64
	members members
	servers map[mp.ServerID]*coldServer
}

// Option configures a tracker.
type Option func(*Tracker)

// WithOverage sets the factor by which the requests of all hosts together may exceed the rate
// that a cold server tolerates. The default is DefaultOverage.
func WithOverage(overage float64) Option {
	return func(tr *Tracker) { tr.overage = overage }
}

// WithOtherHosts states that other hosts were running before this one, of which it has to
// hear before it sends requests to cold servers.
func WithOtherHosts() Option {
	return func(tr *Tracker) { tr.members.expectsOthers = true }
}

// New returns the tracker of a host that started at a time.
func New(self Host, startedAt time.Time, opts ...Option) *Tracker {
	tr := &Tracker{
		overage: DefaultOverage,
		members: newMembers(self, startedAt),
		servers: map[mp.ServerID]*coldServer{},
	}
	for _, opt := range opts {
		opt(tr)
	}
	return tr
}

// SetEntries replaces the list of servers and returns those whose cold time begins. The cold
// time of an entry counts from when this host first sees that write, which is never too short.
func (tr *Tracker) SetEntries(now time.Time, entries []Entry) []Change {
	for _, cs := range tr.servers {
		cs.listed = false
	}
	var changes []Change
	for _, en := range entries {
		cs, ok := tr.servers[en.Server]
		if !ok && en.Remaining <= 0 {
			continue
		}
		if !ok {
			cs = tr.add(en.Server)
		}
		cs.listed = true
		if ok && cs.entry == en {
			continue
		}
		if cs.entry.StartedAtMillis != en.StartedAtMillis {
			cs.responseUntil = time.Time{}
		}
		cs.setEntry(now, en)
		changes = cs.announce(now, changes, SourceEntry, en.Remaining)
	}
	return changes
}

// setEntry records a new write of the entry. One without cold time ends it, and leaves the end
// of one that is over where it was.
func (cs *coldServer) setEntry(now time.Time, en Entry) {
	cs.entry = en
	if en.Remaining > 0 || now.Before(cs.entryUntil) {
		cs.entryUntil = now.Add(believed(en.Remaining))
	}
}

// RecordResponse records that a server stated in a response that it stays cold for a time.
// It returns the change if the cold time begins with it.
func (tr *Tracker) RecordResponse(now time.Time, server mp.ServerID, startedAtMillis int64, remaining time.Duration) []Change {
	cs, ok := tr.servers[server]
	if ok && cs.entry.StartedAtMillis > startedAtMillis {
		return nil // of an earlier start
	}
	if !ok {
		cs = tr.add(server)
		cs.entry.StartedAtMillis = startedAtMillis
	}
	if until := now.Add(believed(remaining)); until.After(cs.responseUntil) {
		cs.responseUntil = until
	}
	return cs.announce(now, nil, SourceResponse, remaining)
}

func (tr *Tracker) add(server mp.ServerID) *coldServer {
	cs := &coldServer{entry: Entry{Server: server}}
	tr.servers[server] = cs
	return cs
}

// believed returns a stated cold time within its bounds.
func believed(remaining time.Duration) time.Duration { return min(max(0, remaining), maxColdTime) }

// announce adds the begin of the cold time to the changes, once.
func (cs *coldServer) announce(now time.Time, changes []Change, source Source, claimed time.Duration) []Change {
	if cs.announced || !now.Before(cs.until()) {
		return changes
	}
	cs.announced = true
	return append(changes, Change{Server: cs.entry.Server, Source: source, Claimed: claimed, Until: cs.until()})
}

// Expire forgets hosts that were not heard of for long and servers that are no longer cold.
// It returns the servers whose cold time has ended. It has to be called about once a second.
func (tr *Tracker) Expire(now time.Time) []Change {
	tr.members.expire(now)
	var changes []Change
	for id, cs := range tr.servers {
		until := cs.until()
		if now.Before(until) {
			continue
		}
		if cs.announced {
			cs.announced = false
			changes = append(changes, Change{Server: id, Until: until})
		}
		// The entry of a listed server must not count as seen for the first time again.
		if now.Sub(until) >= stateMemory && (!cs.listed || cs.entry.Remaining <= 0) {
			delete(tr.servers, id)
		}
	}
	return changes
}

// IsIdle reports whether no server is or lately was cold.
func (tr *Tracker) IsIdle() bool { return len(tr.servers) == 0 }

// ColdCount returns the number of cold servers.
func (tr *Tracker) ColdCount(now time.Time) int {
	count := 0
	for _, cs := range tr.servers {
		if now.Before(cs.until()) {
			count++
		}
	}
	return count
}

// ColdLeft returns how much longer a server stays cold; zero if it isn't cold.
func (tr *Tracker) ColdLeft(now time.Time, server mp.ServerID) time.Duration {
	cs, ok := tr.servers[server]
	if !ok {
		return 0
	}
	return max(0, cs.until().Sub(now))
}
