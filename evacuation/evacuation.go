// Package evacuation holds which data centres the operator has evacuated: their servers get
// no new requests. It does no I/O and reads no clock; package follow updates it.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// rewriteTimeout is how long an evacuation that a copy of the store lacks is kept after the
// store has come back from that copy: the operator writes it again meanwhile.
const rewriteTimeout = 2200 * time.Millisecond

// maxDataCentres bounds a list that another host sends.
const maxDataCentres = 256

// List is the list of evacuated data centres as of a position of the store.
type List struct {
	Position mp.Position `json:"position"`
	// DataCentres are sorted.
	DataCentres []mp.DataCentreID `json:"data_centres,omitempty"`
}

// Check returns an error if the list is longer than any deployment needs or names no data
// centre.
func (li List) Check() error {
	if len(li.DataCentres) > maxDataCentres {
		return errors.NotValidf("list of %d evacuated data centres (want at most %d)", len(li.DataCentres), maxDataCentres)
	}
	if slices.Contains(li.DataCentres, "") {
		return errors.NotValidf("evacuated data centre without a name")
	}
	return nil
}

// Change is the begin or the end of an evacuation.
type Change struct {
	DataCentre mp.DataCentreID
	Begins     bool
}

// Set is the set of evacuated data centres. It is not safe for concurrent use.
type Set struct {
	position mp.Position
	// listed are the data centres with a key in the store.
	listed map[mp.DataCentreID]struct{}
	// retainedUntil holds those that a copy of the store lacks.
	retainedUntil map[mp.DataCentreID]time.Time
	shared        bool
}

// New returns an empty set.
func New() *Set {
	return &Set{listed: map[mp.DataCentreID]struct{}{}, retainedUntil: map[mp.DataCentreID]time.Time{}}
}

// Replace applies a full list and reports whether the set changed. It ignores a list of an
// older position. Of a list of a later era, evacuations that it lacks are retained for
// rewriteTimeout, also those that were retained before.
func (se *Set) Replace(now time.Time, li List) bool {
	if li.Position.Before(se.position) {
		return false
	}
	before := se.DataCentres()
	if !se.position.IsZero() && se.position.Era != li.Position.Era {
		for _, dc := range before {
			se.retainedUntil[dc] = now.Add(rewriteTimeout)
		}
	}
	se.position = li.Position
	se.listed = make(map[mp.DataCentreID]struct{}, len(li.DataCentres))
	for _, dc := range li.DataCentres {
		se.list(dc)
	}
	return !slices.Equal(before, se.DataCentres())
}

// Apply applies the changes up to a position and reports whether the set changed. It ignores
// changes of an older position, and those of an era of which no list has been read.
func (se *Set) Apply(position mp.Position, changes []Change) bool {
	if position.Before(se.position) || position.Era != se.position.Era {
		return false
	}
	before := se.DataCentres()
	se.position = position
	for _, ch := range changes {
		if ch.Begins {
			se.list(ch.DataCentre)
			continue
		}
		delete(se.listed, ch.DataCentre)
		delete(se.retainedUntil, ch.DataCentre)
	}
	return !slices.Equal(before, se.DataCentres())
}

// Merge applies the list of another host, like Replace.
func (se *Set) Merge(now time.Time, li List) bool {
	se.shared = true
	return se.Replace(now, li)
}

// list adds a data centre with a key in the store.
func (se *Set) list(dc mp.DataCentreID) {
	se.shared = true
	se.listed[dc] = struct{}{}
	delete(se.retainedUntil, dc)
}

// Expire removes retained evacuations that the operator has not written again in time, and
// reports whether there were any.
func (se *Set) Expire(now time.Time) bool {
	expired := false
	for dc, until := range se.retainedUntil {
		if !now.Before(until) {
			delete(se.retainedUntil, dc)
			expired = true
		}
	}
	return expired
}

// DataCentres returns the evacuated data centres, sorted.
func (se *Set) DataCentres() []mp.DataCentreID {
	all := slices.AppendSeq(slices.Collect(maps.Keys(se.listed)), maps.Keys(se.retainedUntil))
	slices.Sort(all)
	return all
}

// Shared returns the list to send to other hosts, without retained evacuations; nil before
// this host has heard of the first evacuation.
func (se *Set) Shared() *List {
	if !se.shared {
		return nil
	}
	return &List{Position: se.position, DataCentres: slices.Sorted(maps.Keys(se.listed))}
}
