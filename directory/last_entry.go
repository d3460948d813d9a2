package directory

import (
	"cmp"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// lastEntryLifetime is how long the last entry of a server that left is remembered: longer
	// than a copy from which the store comes back is old.
	lastEntryLifetime = time.Minute
	// distrustTimeout is how long after the restore the store has to list an entry of the
	// copy until it counts. Entries that no server renews have expired by then.
	distrustTimeout = 15 * time.Second
)

// lastEntry is the last entry that a server is known to have written.
type lastEntry struct {
	server Server
	// era is that of the store when the entry was read, or when it disappeared.
	era mp.Era
	// goneAt is when the entry disappeared; zero while it is listed or retained.
	goneAt time.Time
}

func (le lastEntry) isGone() bool { return !le.goneAt.IsZero() }

// outdates reports whether an entry is no later than this one. Of two that can't be told
// apart, the one by which the server leaves is the later one.
func (le lastEntry) outdates(se Server) bool {
	order := cmp.Or(cmp.Compare(se.StartedAtMillis, le.server.StartedAtMillis), cmp.Compare(se.Sequence, le.server.Sequence))
	return order < 0 || order == 0 && (le.isGone() || le.server.State == Draining && se.State == Ready)
}

// distrusts reports whether the entry of a list may come from a copy of the store that is
// older than the last entry of the server.
func (di *Directory) distrusts(now time.Time, se Server) bool {
	le, ok := di.lastEntries[se.ID]
	return ok && le.era != di.position.Era && now.Sub(di.eraSince) < distrustTimeout && le.outdates(se)
}

// Distrusted returns the listed servers whose entry is older than their last one, ordered
// by identifier.
func (di *Directory) Distrusted() []Server {
	var distrusted []Server
	for _, se := range di.Listed() {
		if le := di.lastEntries[se.ID]; le.isGone() || le.server != se {
			distrusted = append(distrusted, se)
		}
	}
	return distrusted
}

// recordGone records that the entry of a server has disappeared.
func (di *Directory) recordGone(now time.Time, id mp.ServerID) {
	le := di.lastEntries[id]
	le.era, le.goneAt = di.position.Era, now
	di.lastEntries[id] = le
}

// forgetEntries drops the last entries of servers that left long ago, and earlier ones of servers
// that the store was seen to list distrustTimeout after the restore. It reports whether
// there were any of the latter.
func (di *Directory) forgetEntries(now time.Time) bool {
	if now.Sub(di.eraSince) < distrustTimeout {
		return false
	}
	trusted := false
	confirmed := di.confirmedAt.Sub(di.eraSince) >= distrustTimeout
	for id, le := range di.lastEntries {
		se, listed := di.listed[id]
		switch {
		case listed && le.era != di.position.Era && confirmed:
			di.lastEntries[id] = lastEntry{server: se, era: di.position.Era}
			trusted = true
		case !listed && le.isGone() && now.Sub(le.goneAt) >= lastEntryLifetime:
			delete(di.lastEntries, id)
		}
	}
	return trusted
}
