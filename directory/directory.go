// Package directory holds the replica of the platform's list of backend servers on a
// host of the gateway: their entries, their states and the age of the list. It does no
// I/O and reads no clock; package follow updates it.
package directory

import (
	"maps"
	"slices"
	"strings"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// State is the lifecycle state of a backend server.
type State int

// The states of a backend server.
const (
	// Unknown is the state of an entry that could not be decoded.
	Unknown State = iota
	// Ready servers take new requests.
	Ready
	// Draining servers finish their requests and take no new ones.
	Draining
	// Removed marks a server whose entry is no longer used.
	Removed
)

// Server is the entry of a backend server.
type Server struct {
	ID      mp.ServerID    `json:"id"`
	Service mp.ServiceName `json:"service"`
	// Address is an IP address with a port.
	Address    string          `json:"address"`
	DataCentre mp.DataCentreID `json:"data_centre"`
	// Software is the version of the server's software; empty if another host of an earlier
	// release has sent the entry.
	Software mp.SoftwareVersion `json:"software,omitempty"`
	// Slots is the number of requests that the server runs at once.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// StartedAtMillis is the server's start time in Unix milliseconds; zero if
	// unknown.
	StartedAtMillis int64 `json:"born,omitempty"`
	// ColdRemaining is how much longer the server stays cold, as of the entry; zero if it
	// isn't cold.
	ColdRemaining mp.Duration `json:"cold_remaining,omitempty"`
	// Sequence counts what the server has written since its start; zero if unknown.
	Sequence int64 `json:"sequence,omitempty"`
}

// Equal reports whether two entries differ in nothing but the sequence and the cold time,
// which each write of a cold server's entry changes.
func (se Server) Equal(other Server) bool {
	se.Sequence, se.ColdRemaining = other.Sequence, other.ColdRemaining
	return se == other
}

// isSameForUse reports whether another entry of the server has no effect: it is equal, and
// not a later write of the entry of a cold server, whose cold time counts from that write.
func (se Server) isSameForUse(other Server) bool {
	return se == other || se.Equal(other) && se.ColdRemaining <= 0 && other.ColdRemaining <= 0
}

// ReregisterTimeout is how long after an outage of the store a server whose entry
// expired in the meantime is retained, so that it can register again.
const ReregisterTimeout = 2200 * time.Millisecond

// outageThreshold is the age of the list above which entries may have expired
// because the store was unavailable, if a call to it has failed in the meantime. A list
// also ages while another host takes over from the one that reads the store.
const outageThreshold = 2 * time.Second

// Directory is the list of backend servers with its position and age. It is not
// safe for concurrent use.
type Directory struct {
	position    mp.Position
	confirmedAt time.Time
	// eraSince is when the first list of the position's era was applied.
	eraSince time.Time
	// listed are the servers as the store lists them.
	listed map[mp.ServerID]Server
	// lastEntries are those of the listed servers and of those that left lately.
	lastEntries map[mp.ServerID]lastEntry
	// retainedUntil holds the servers whose entries disappeared in an outage, and
	// when they expire.
	retainedUntil map[mp.ServerID]time.Time
	// failedAt is when a call to the store last failed.
	failedAt time.Time
	// storeReturnedAt is when the list was updated again after the last outage of the
	// store.
	storeReturnedAt time.Time
	// servers are the servers to use, and sorted the listed ones, ordered by identifier.
	servers, sorted []Server
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{listed: map[mp.ServerID]Server{}, lastEntries: map[mp.ServerID]lastEntry{}, retainedUntil: map[mp.ServerID]time.Time{}}
}

// Position returns the position of the list in the store's history; zero if none was read.
func (di *Directory) Position() mp.Position { return di.position }

// ConfirmedAt returns the last time at which the list is known to have matched the
// store.
func (di *Directory) ConfirmedAt() time.Time { return di.confirmedAt }

// Replace applies a full list and reports whether the servers changed. It ignores
// a list of an older position. What a server said in an earlier era stands until its entry
// is a later one.
func (di *Directory) Replace(now time.Time, position mp.Position, servers []Server) bool {
	if position.Before(di.position) {
		return false
	}
	di.advance(now, position)
	before := di.listed
	di.listed = make(map[mp.ServerID]Server, len(servers))
	for _, se := range servers {
		if se.State == Removed {
			continue
		}
		di.listed[se.ID] = se
		delete(di.retainedUntil, se.ID)
		if !di.distrusts(now, se) {
			di.lastEntries[se.ID] = lastEntry{server: se, era: position.Era}
		}
	}
	for id := range before {
		if _, ok := di.listed[id]; !ok {
			di.drop(now, id)
		}
	}
	if !maps.Equal(before, di.listed) {
		di.sorted = nil
	}
	return di.rebuild()
}

// Apply applies incremental changes up to a position and reports whether the
// servers changed. It ignores changes of an older position, and those of an era of which
// no list has been read.
func (di *Directory) Apply(now time.Time, position mp.Position, changes []Server) bool {
	if position.Before(di.position) || position.Era != di.position.Era {
		return false
	}
	di.advance(now, position)
	for _, se := range changes {
		if se.State != Removed {
			di.listed[se.ID] = se
			delete(di.retainedUntil, se.ID)
			di.lastEntries[se.ID] = lastEntry{server: se, era: position.Era}
			continue
		}
		if _, ok := di.listed[se.ID]; ok {
			delete(di.listed, se.ID)
			di.drop(now, se.ID)
		}
	}
	di.sorted = nil
	return di.rebuild()
}

// advance records the position of a list or of changes, and the end of an outage.
func (di *Directory) advance(now time.Time, position mp.Position) {
	if position.Era != di.position.Era {
		di.eraSince = now
	}
	di.detectOutage(now, position.Era)
	di.position, di.confirmedAt = position, now
}

// Confirm records that the list of a position was current at a time. It returns false
// if that is not the position of this list, or if a later time is recorded.
func (di *Directory) Confirm(at time.Time, position mp.Position) bool {
	if position != di.position || !at.After(di.confirmedAt) {
		return false
	}
	di.confirmedAt = at
	return true
}

// drop retains a server whose entry disappeared, or records that it is gone.
func (di *Directory) drop(now time.Time, id mp.ServerID) {
	if le := di.lastEntries[id]; !le.isGone() && di.retain(now, le.server) {
		return
	}
	di.recordGone(now, id)
}

// RecordFailure records that a call to the store failed.
func (di *Directory) RecordFailure(now time.Time) { di.failedAt = now }

// detectOutage records the end of a store outage if the store has come back from a copy,
// which lacks the latest entries, or if the list is older than outageThreshold and a call
// to the store has failed since it was confirmed.
func (di *Directory) detectOutage(now time.Time, era mp.Era) {
	if !di.position.IsZero() && era != di.position.Era {
		di.storeReturnedAt = now
		for id := range di.retainedUntil {
			di.retainedUntil[id] = now.Add(ReregisterTimeout)
		}
		return
	}
	if !di.confirmedAt.IsZero() && di.failedAt.After(di.confirmedAt) && now.Sub(di.confirmedAt) > outageThreshold {
		di.storeReturnedAt = now
	}
}

// retain reports whether a server whose entry disappeared is retained for now, and
// records until when: the entry may have expired because the store was unavailable.
func (di *Directory) retain(now time.Time, se Server) bool {
	if se.State != Ready || di.storeReturnedAt.IsZero() || now.Sub(di.storeReturnedAt) >= ReregisterTimeout {
		return false
	}
	if _, ok := di.retainedUntil[se.ID]; !ok {
		di.retainedUntil[se.ID] = di.storeReturnedAt.Add(ReregisterTimeout)
	}
	return true
}

// Expire removes retained servers that did not register again in time, and forgets entries
// that no copy can contradict any more. It reports whether the servers changed.
func (di *Directory) Expire(now time.Time) bool {
	stale := di.forgetEntries(now)
	for id, until := range di.retainedUntil {
		if !now.Before(until) {
			delete(di.retainedUntil, id)
			di.recordGone(now, id)
			stale = true
		}
	}
	return stale && di.rebuild()
}

// rebuild determines the servers to use and reports whether they changed.
func (di *Directory) rebuild() bool {
	before := di.servers
	servers := make([]Server, 0, len(before))
	for id := range di.listed {
		if le := di.lastEntries[id]; !le.isGone() {
			servers = append(servers, le.server)
		}
	}
	for id := range di.retainedUntil {
		servers = append(servers, di.lastEntries[id].server)
	}
	slices.SortFunc(servers, compareIDs)
	if slices.Equal(before, servers) {
		return false
	}
	di.servers = servers
	return !slices.EqualFunc(before, servers, Server.isSameForUse)
}

func compareIDs(one, other Server) int { return strings.Compare(string(one.ID), string(other.ID)) }

// Knows reports whether this host has heard of each server of a list, also if it has left since.
func (di *Directory) Knows(servers []Server) bool {
	return !slices.ContainsFunc(servers, func(se Server) bool {
		le, ok := di.lastEntries[se.ID]
		return se.State != Removed && (!ok || le.server.StartedAtMillis < se.StartedAtMillis)
	})
}

// Servers returns the servers to use, ordered by identifier. The caller must not modify the
// slice; the directory replaces it on a change.
func (di *Directory) Servers() []Server { return di.servers }

// Listed returns the servers as the store lists them, ordered by identifier, under the same
// conditions as Servers. Other hosts may get only these: they know themselves which servers
// to retain, and which to distrust.
func (di *Directory) Listed() []Server {
	if di.sorted == nil {
		di.sorted = slices.Collect(maps.Values(di.listed))
		slices.SortFunc(di.sorted, compareIDs)
	}
	return di.sorted
}
