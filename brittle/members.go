package brittle

import (
	"time"

	"github.com/cespare/xxhash/v2"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/rendezvous"
)

// Host identifies a host of the gateway; it stays the same when the host restarts.
type Host string

const (
	// minMemberMemory is how long a host or data centre that is no longer heard of keeps its
	// places, and memoryIntervals the same in intervals between two updates of a host.
	minMemberMemory = 10 * time.Second
	memoryIntervals = 8
	// cutMemory is the same while more than half of them are silent: this host is then more
	// likely cut off than the others are down.
	cutMemory = time.Minute
	// minStartupPeriod and startupIntervals bound in the same way how long a host that has just
	// started, or was paused, has no place. Within it the host hears of the others, and they hear
	// of it and give up their places.
	minStartupPeriod = 6 * time.Second
	startupIntervals = 4
	// joinDivisor is the fraction of the startup period of a new host after which others give up
	// their places to it.
	joinDivisor = 2
	// aloneStartupPeriod is the same for a host without others.
	aloneStartupPeriod = time.Second
	// pauseThreshold is the time between two calls of expire above which the host is taken to
	// have been paused.
	pauseThreshold = 3 * time.Second
)

// member is another host or data centre.
type member struct {
	firstHeardAt, heardAt time.Time
	// hasJoined reports that the member counts.
	hasJoined bool
}

// group holds the members of a group by their names.
type group[K ~string] map[K]member

// hear records a sign of life. A new member counts at once if joins is true. It reports whether
// one has joined.
func (gr group[K]) hear(now time.Time, name K, joins bool) bool {
	mb, ok := gr[name]
	if !ok {
		mb = member{firstHeardAt: now, hasJoined: joins}
	}
	mb.heardAt = now
	gr[name] = mb
	return !ok && joins
}

// join lets members count that were first heard of before a time, and reports whether there were
// any.
func (gr group[K]) join(before time.Time) bool {
	changed := false
	for name, mb := range gr {
		if !mb.hasJoined && !mb.firstHeardAt.After(before) {
			mb.hasJoined, changed = true, true
			gr[name] = mb
		}
	}
	return changed
}

// expire removes members that were not heard of, and reports whether there were any.
func (gr group[K]) expire(now time.Time, memory time.Duration) bool {
	silent := 0
	for _, mb := range gr {
		if now.Sub(mb.heardAt) >= memory {
			silent++
		}
	}
	if 2*silent > len(gr)+1 {
		memory = max(memory, cutMemory)
	}
	before := len(gr)
	for name, mb := range gr {
		if now.Sub(mb.heardAt) >= memory {
			delete(gr, name)
		}
	}
	return len(gr) < before
}

// refresh counts all members as heard of.
func (gr group[K]) refresh(now time.Time) {
	for name, mb := range gr {
		mb.heardAt = now
		gr[name] = mb
	}
}

// members are the hosts of the data centre and the other data centres that were heard of lately.
type members struct {
	self          Host
	home          mp.DataCentreID
	expectsOthers bool
	startedAt     time.Time
	// contactAt is when another host was first heard of; zero if none was.
	contactAt time.Time
	// resumedAt is when the host was last taken to have been paused.
	resumedAt   time.Time
	hosts       group[Host]
	dataCentres group[mp.DataCentreID]
	// version changes with the members.
	version   uint64
	expiredAt time.Time
	// interval is the one between two updates of a host.
	interval time.Duration
}

// SetUpdateInterval sets the mean interval between two updates of a host.
func (tr *Tracker) SetUpdateInterval(interval time.Duration) { tr.members.interval = interval }

func (me *members) memory() time.Duration {
	return max(minMemberMemory, memoryIntervals*me.interval)
}

func (me *members) startupPeriod() time.Duration {
	return max(minStartupPeriod, startupIntervals*me.interval)
}

func newMembers(self Host, home mp.DataCentreID, startedAt time.Time) members {
	return members{self: self, home: home, startedAt: startedAt, hosts: group[Host]{}, dataCentres: group[mp.DataCentreID]{}, version: 1}
}

// Hear records a sign of life of another host of the data centre.
func (tr *Tracker) Hear(now time.Time, host Host) {
	me := &tr.members
	if host != me.self {
		me.recordContact(now)
		me.recordMembers(me.hosts.hear(now, host, !me.isReady(now)))
	}
}

// HearDataCentre records a sign of life of the hosts of another data centre.
func (tr *Tracker) HearDataCentre(now time.Time, dataCentre mp.DataCentreID) {
	me := &tr.members
	if dataCentre != me.home {
		me.recordContact(now)
		me.recordMembers(me.dataCentres.hear(now, dataCentre, !me.isReady(now)))
	}
}

// KnownHosts returns the number of hosts of the data centre that this one knows, itself included.
func (tr *Tracker) KnownHosts() int { return len(tr.members.hosts) + 1 }

func (me *members) recordContact(now time.Time) {
	if me.contactAt.IsZero() {
		me.contactAt = now
	}
}

// recordMembers records whether the members have changed.
func (me *members) recordMembers(hasChanged bool) {
	if hasChanged {
		me.version++
	}
}

// expire forgets members that were not heard of, unless this host was paused, and lets new ones
// join.
func (me *members) expire(now time.Time) {
	if !me.expiredAt.IsZero() && now.Sub(me.expiredAt) > pauseThreshold {
		me.resumedAt = now
		me.hosts.refresh(now)
		me.dataCentres.refresh(now)
	}
	me.expiredAt = now
	joinBefore := now.Add(-me.startupPeriod() / joinDivisor)
	hostsChanged, dataCentresChanged := me.hosts.expire(now, me.memory()), me.dataCentres.expire(now, me.memory())
	hostsJoined, dataCentresJoined := me.hosts.join(joinBefore), me.dataCentres.join(joinBefore)
	me.recordMembers(hostsChanged || dataCentresChanged || hostsJoined || dataCentresJoined)
}

// isReady reports whether this host has heard of the others and they of it.
func (me *members) isReady(now time.Time) bool {
	readyAt := me.contactAt.Add(me.startupPeriod())
	switch {
	case me.contactAt.IsZero() && me.expectsOthers:
		readyAt = me.startedAt.Add(me.memory())
	case me.contactAt.IsZero():
		readyAt = me.startedAt.Add(aloneStartupPeriod)
	}
	if resumed := me.resumedAt.Add(me.startupPeriod()); !me.resumedAt.IsZero() && resumed.After(readyAt) {
		readyAt = resumed
	}
	wasPaused := !me.expiredAt.IsZero() && now.Sub(me.expiredAt) > pauseThreshold
	return !wasPaused && !now.Before(readyAt)
}

// owns reports whether a slot of a server belongs to this host: to the first data centre in the
// slot's order, and there to the first host.
func (me *members) owns(slot uint64) bool {
	return isFirst(me.home, me.dataCentres, slot) && isFirst(me.self, me.hosts, slot)
}

// isFirst reports whether a member comes before all others in the rendezvous order of a slot.
func isFirst[K ~string](self K, others group[K], slot uint64) bool {
	own := weight(self, slot)
	for name, mb := range others {
		if other := weight(name, slot); mb.hasJoined && (other > own || other == own && name < self) {
			return false
		}
	}
	return true
}

func weight[K ~string](name K, slot uint64) uint64 {
	return rendezvous.Mix(xxhash.Sum64String(string(name)) ^ slot)
}
