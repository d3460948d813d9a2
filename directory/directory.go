// Package directory keeps the list of backend servers as the platform publishes
// it: which are there, which are leaving, and how old that knowledge is. It does
// no I/O and reads no clock.
package directory

import (
	"maps"
	"slices"
	"strings"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// State says whether a backend server takes new requests.
type State int

// The states.
const (
	// Unknown is the state of an entry that could not be read.
	Unknown State = iota
	Ready
	Draining
	Removed
)

// Server is a backend server's entry.
type Server struct {
	ID         mp.ServerID     `json:"id"`
	Service    mp.ServiceName  `json:"service"`
	Address    string          `json:"address"`
	DataCentre mp.DataCentreID `json:"data_centre"`
	Slots      int             `json:"slots"`
	State      State           `json:"state"`
	// StartedAtMillis is when the server started, in Unix milliseconds; zero if unknown.
	StartedAtMillis int64 `json:"born,omitempty"`
}

// returnTime is how long servers whose entries lapsed during an outage of the
// store may take to write them again.
const returnTime = 2200 * time.Millisecond

// outageTime is how long the store must have been away for entries to lapse.
const outageTime = 2 * time.Second

// Directory is the list with its age.
type Directory struct {
	revision mp.Revision
	readAt   time.Time
	servers  map[mp.ServerID]Server
	// sorted holds the servers in the order of their identifiers; nil after a
	// change.
	sorted []Server
	// kept holds servers whose entries vanished during an outage, until when.
	kept map[mp.ServerID]time.Time
	// returned is when the store came back from its last outage.
	returned time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{servers: map[mp.ServerID]Server{}, kept: map[mp.ServerID]time.Time{}}
}

// Revision returns the store's revision of the list; zero if none was read.
func (di *Directory) Revision() mp.Revision { return di.revision }

// ConfirmedAt returns when the list was last known to be current.
func (di *Directory) ConfirmedAt() time.Time { return di.readAt }

// Replace takes a whole list. It reports whether the servers changed.
func (di *Directory) Replace(now time.Time, revision mp.Revision, servers []Server) bool {
	if revision < di.revision {
		return false
	}
	di.noteReturn(now)
	fresh := make(map[mp.ServerID]Server, len(servers))
	for _, se := range servers {
		if se.State == Removed {
			continue
		}
		fresh[se.ID] = se
		delete(di.kept, se.ID)
	}
	changed := false
	for id, se := range di.servers {
		if _, ok := fresh[id]; ok {
			continue
		}
		if di.keep(now, se) {
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
	di.revision, di.readAt = revision, now
	return changed
}

// Apply takes changes behind the known revision. It reports whether the servers
// changed.
func (di *Directory) Apply(now time.Time, revision mp.Revision, changes []Server) bool {
	if revision < di.revision {
		return false
	}
	di.noteReturn(now)
	changed := false
	for _, se := range changes {
		changed = di.change(now, se) || changed
	}
	di.revision, di.readAt = revision, now
	return changed
}

// Confirm notes that the list of a revision was current at a time. It reports
// whether that is the known list.
func (di *Directory) Confirm(at time.Time, revision mp.Revision) bool {
	if revision != di.revision || !at.After(di.readAt) {
		return false
	}
	di.readAt = at
	return true
}

func (di *Directory) change(now time.Time, se Server) bool {
	known, ok := di.servers[se.ID]
	if se.State == Removed {
		if !ok || di.keep(now, known) {
			return false
		}
		delete(di.servers, se.ID)
		di.sorted = nil
		return true
	}
	delete(di.kept, se.ID)
	di.servers[se.ID], di.sorted = se, nil
	return known != se
}

// noteReturn notices that the store answered after an outage.
func (di *Directory) noteReturn(now time.Time) {
	if !di.readAt.IsZero() && now.Sub(di.readAt) > outageTime {
		di.returned = now
	}
}

// keep says whether a server whose entry vanished is to be kept for now: its
// entry may have lapsed while the store was away.
func (di *Directory) keep(now time.Time, se Server) bool {
	if se.State != Ready || di.returned.IsZero() || now.Sub(di.returned) >= returnTime {
		return false
	}
	if _, ok := di.kept[se.ID]; !ok {
		di.kept[se.ID] = di.returned.Add(returnTime)
	}
	return true
}

// Expire removes servers that were kept and whose entries did not return. It
// reports whether the servers changed.
func (di *Directory) Expire(now time.Time) bool {
	changed := false
	for id, until := range di.kept {
		if now.Before(until) {
			continue
		}
		delete(di.kept, id)
		delete(di.servers, id)
		di.sorted, changed = nil, true
	}
	return changed
}

// Servers returns the servers in the order of their identifiers. The caller must not
// change them.
func (di *Directory) Servers() []Server {
	if di.sorted == nil {
		di.sorted = slices.Collect(maps.Values(di.servers))
		slices.SortFunc(di.sorted, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return di.sorted
}
