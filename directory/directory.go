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
	// Slots is the number of requests that the server runs at once.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// StartedAtMillis is the server's start time in Unix milliseconds; zero if
	// unknown.
	StartedAtMillis int64 `json:"born,omitempty"`
}

// reregisterTimeout is how long after an outage of the store a server whose entry
// expired in the meantime is retained, so that it can register again.
const reregisterTimeout = 2200 * time.Millisecond

// outageThreshold is the age of the list above which entries may have expired
// because the store was unavailable, if a call to it has failed in the meantime. A list
// also ages while another host takes over from the one that reads the store.
const outageThreshold = 2 * time.Second

// Directory is the list of backend servers with its position and age. It is not
// safe for concurrent use.
type Directory struct {
	position    mp.Position
	confirmedAt time.Time
	servers     map[mp.ServerID]Server
	// sorted caches the servers ordered by identifier; nil after a change.
	sorted []Server
	// retainedUntil holds the servers whose entries disappeared in an outage, and
	// when they expire.
	retainedUntil map[mp.ServerID]time.Time
	// failedAt is when a call to the store last failed.
	failedAt time.Time
	// storeReturnedAt is when the list was updated again after the last outage of the
	// store.
	storeReturnedAt time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{servers: map[mp.ServerID]Server{}, retainedUntil: map[mp.ServerID]time.Time{}}
}

// Position returns the position of the list in the store's history; zero if none was read.
func (di *Directory) Position() mp.Position { return di.position }

// ConfirmedAt returns the last time at which the list is known to have matched the
// store.
func (di *Directory) ConfirmedAt() time.Time { return di.confirmedAt }

// Replace applies a full list and reports whether the servers changed. It ignores
// a list of an older position.
func (di *Directory) Replace(now time.Time, position mp.Position, servers []Server) bool {
	if position.Before(di.position) {
		return false
	}
	di.detectOutage(now, position.Era)
	fresh := make(map[mp.ServerID]Server, len(servers))
	for _, se := range servers {
		if se.State == Removed {
			continue
		}
		fresh[se.ID] = se
		delete(di.retainedUntil, se.ID)
	}
	changed := false
	for id, se := range di.servers {
		if _, ok := fresh[id]; ok {
			continue
		}
		if di.retain(now, se) {
			fresh[id] = se
			continue
		}
		changed = true
	}
	for id, se := range fresh {
		changed = changed || di.servers[id] != se
	}
	if changed {
		di.servers, di.sorted = fresh, nil
	}
	di.position, di.confirmedAt = position, now
	return changed
}

// Apply applies incremental changes up to a position and reports whether the
// servers changed. It ignores changes of an older position, and those of an era of which
// no list has been read.
func (di *Directory) Apply(now time.Time, position mp.Position, changes []Server) bool {
	if position.Before(di.position) || position.Era != di.position.Era {
		return false
	}
	di.detectOutage(now, position.Era)
	changed := false
	for _, se := range changes {
		changed = di.applyChange(now, se) || changed
	}
	di.position, di.confirmedAt = position, now
	return changed
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

func (di *Directory) applyChange(now time.Time, se Server) bool {
	known, ok := di.servers[se.ID]
	if se.State == Removed {
		if !ok || di.retain(now, known) {
			return false
		}
		delete(di.servers, se.ID)
		di.sorted = nil
		return true
	}
	delete(di.retainedUntil, se.ID)
	di.servers[se.ID], di.sorted = se, nil
	return known != se
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
			di.retainedUntil[id] = now.Add(reregisterTimeout)
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
	if se.State != Ready || di.storeReturnedAt.IsZero() || now.Sub(di.storeReturnedAt) >= reregisterTimeout {
		return false
	}
	if _, ok := di.retainedUntil[se.ID]; !ok {
		di.retainedUntil[se.ID] = di.storeReturnedAt.Add(reregisterTimeout)
	}
	return true
}

// Expire removes retained servers that did not register again in time. It reports
// whether the servers changed.
func (di *Directory) Expire(now time.Time) bool {
	changed := false
	for id, until := range di.retainedUntil {
		if now.Before(until) {
			continue
		}
		delete(di.retainedUntil, id)
		delete(di.servers, id)
		di.sorted, changed = nil, true
	}
	return changed
}

// Servers returns the servers ordered by identifier. The caller must not modify the
// slice; the directory replaces it on a change.
func (di *Directory) Servers() []Server {
	if di.sorted == nil {
		di.sorted = slices.Collect(maps.Values(di.servers))
		slices.SortFunc(di.sorted, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return di.sorted
}

// Listed returns the servers without those that are retained. Other hosts may get only
// these: they know themselves whether the store was unavailable to them, and for how long
// to retain a server.
func (di *Directory) Listed() []Server {
	if len(di.retainedUntil) == 0 {
		return di.Servers()
	}
	return slices.DeleteFunc(slices.Clone(di.Servers()), func(se Server) bool {
		_, ok := di.retainedUntil[se.ID]
		return ok
	})
}
