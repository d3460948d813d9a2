package directory

import (
	"cmp"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// wordLifetime is how long the last word of a server that left is remembered: longer
	// than a copy from which the store comes back is old.
	wordLifetime = time.Minute
	// distrustTimeout is how long after the restore the store has to list an entry of the
	// copy until it counts. Entries that no server renews have expired by then.
	distrustTimeout = 15 * time.Second
)

// word is the last entry that a server is known to have written.
type word struct {
	server Server
	// era is that of the store when the entry was read, or when it disappeared.
	era mp.Era
	// goneAt is when the entry disappeared; zero while it is listed or retained.
	goneAt time.Time
}

func (wo word) isGone() bool { return !wo.goneAt.IsZero() }

// outdates reports whether an entry is no later than the word. Of two that can't be told
// apart, the one by which the server leaves is the later one.
func (wo word) outdates(se Server) bool {
	order := cmp.Or(cmp.Compare(se.StartedAtMillis, wo.server.StartedAtMillis), cmp.Compare(se.Sequence, wo.server.Sequence))
	return order < 0 || order == 0 && (wo.isGone() || wo.server.State == Draining && se.State == Ready)
}

// distrusts reports whether the entry of a list may come from a copy of the store that is
// older than the last word of the server.
func (di *Directory) distrusts(now time.Time, se Server) bool {
	wo, ok := di.words[se.ID]
	return ok && wo.era != di.position.Era && now.Sub(di.eraSince) < distrustTimeout && wo.outdates(se)
}

// Distrusted returns the listed servers whose entry is older than their last word, ordered
// by identifier.
func (di *Directory) Distrusted() []Server {
	var distrusted []Server
	for _, se := range di.Listed() {
		if wo := di.words[se.ID]; wo.isGone() || wo.server != se {
			distrusted = append(distrusted, se)
		}
	}
	return distrusted
}

// recordGone records that the entry of a server has disappeared.
func (di *Directory) recordGone(now time.Time, id mp.ServerID) {
	wo := di.words[id]
	wo.era, wo.goneAt = di.position.Era, now
	di.words[id] = wo
}

// forgetWords drops the words of servers that left long ago, and earlier words of servers
// that the store was seen to list distrustTimeout after the restore. It reports whether
// there were any of the latter.
func (di *Directory) forgetWords(now time.Time) bool {
	if now.Sub(di.eraSince) < distrustTimeout {
		return false
	}
	trusted := false
	confirmed := di.confirmedAt.Sub(di.eraSince) >= distrustTimeout
	for id, wo := range di.words {
		se, listed := di.listed[id]
		switch {
		case listed && wo.era != di.position.Era && confirmed:
			di.words[id] = word{server: se, era: di.position.Era}
			trusted = true
		case !listed && wo.isGone() && now.Sub(wo.goneAt) >= wordLifetime:
			delete(di.words, id)
		}
	}
	return trusted
}
