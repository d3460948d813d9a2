package coldstart

import (
	"time"

	"github.com/cespare/xxhash/v2"

	mp "github.com/mangopaddle/mangopaddle"
)

// Host identifies a host of the gateway; it stays the same when the host restarts.
type Host string

const (
	// hostMemory is how long a host that is no longer heard of keeps its place: on the other
	// side of a partition it goes on sending.
	hostMemory = 5 * time.Minute
	// startupPeriod is how long a host that has just started sends nothing to cold servers.
	// Within it the host hears of the others, and they hear of it.
	startupPeriod = 5 * time.Second
	// aloneStartupPeriod is the same for a host without others: the requests that it sent
	// before a restart are then out of the window of one second.
	aloneStartupPeriod = time.Second
	// pauseThreshold is the time between two calls of expire above which the host is taken
	// to have been paused, when it could hear of no other host.
	pauseThreshold = 10 * time.Second
	// maxReportedHosts is the number of hosts of a data centre above which a report is not
	// believed.
	maxReportedHosts = 10_000
)

// member is another host of the data centre.
type member struct {
	heardAt time.Time
	// isGone reports that the host has lost its place. It is kept for another hostMemory: other
	// hosts may count it for longer than this one.
	isGone bool
}

// report is the number of hosts that another host knows, itself included.
type report struct {
	known int
	at    time.Time
}

// members are the hosts of the data centre, as far as this one has heard of them lately.
type members struct {
	self          Host
	startedAt     time.Time
	expectsOthers bool
	// contactAt is when another host of any data centre was first heard of; zero if none was.
	contactAt time.Time
	// largest is the report with the most hosts of the last hostMemory: the host that knew them
	// may have restarted since.
	largest report
	// behindAt is when another host last reported to know more hosts.
	behindAt time.Time
	hosts    map[Host]member
	// version changes with the set of hosts.
	version   uint64
	expiredAt time.Time
}

func newMembers(self Host, startedAt time.Time) members {
	return members{self: self, startedAt: startedAt, hosts: map[Host]member{}, version: 1}
}

// Hear records that this host has heard of others of its data centre.
func (tr *Tracker) Hear(now time.Time, hosts ...Host) {
	for _, host := range hosts {
		tr.members.hear(now, host)
	}
}

// HearReport records an update of another host of the data centre, with the number of hosts
// that it knows; zero if it doesn't say.
func (tr *Tracker) HearReport(now time.Time, host Host, known int) {
	me := &tr.members
	if host == me.self {
		return
	}
	me.hear(now, host)
	if known <= maxReportedHosts && (known >= me.largest.known || now.Sub(me.largest.at) >= hostMemory) {
		me.largest = report{known: known, at: now}
	}
	if me.isBehind(now) {
		me.behindAt = now
	}
}

// RecordContact records that this host is in contact with others of any data centre.
func (tr *Tracker) RecordContact(now time.Time) { tr.members.recordContact(now) }

func (me *members) recordContact(now time.Time) {
	if me.contactAt.IsZero() {
		me.contactAt = now
	}
}

// KnownHosts returns the number of hosts of the data centre that this one knows, itself
// included.
func (tr *Tracker) KnownHosts() int {
	count := 1
	for _, mb := range tr.members.hosts {
		if !mb.isGone {
			count++
		}
	}
	return count
}

func (me *members) hear(now time.Time, host Host) {
	if host == me.self {
		return
	}
	me.recordContact(now)
	if mb, ok := me.hosts[host]; !ok || mb.isGone {
		me.version++
	}
	me.hosts[host] = member{heardAt: now}
}

// expire forgets the hosts that were not heard of for hostMemory, unless this host was paused.
func (me *members) expire(now time.Time) {
	paused := !me.expiredAt.IsZero() && now.Sub(me.expiredAt) > pauseThreshold
	me.expiredAt = now
	for host, mb := range me.hosts {
		silence := now.Sub(mb.heardAt)
		switch {
		case paused:
			me.hosts[host] = member{heardAt: now, isGone: mb.isGone}
		case silence >= 2*hostMemory:
			delete(me.hosts, host)
		case silence >= hostMemory && !mb.isGone:
			me.hosts[host] = member{heardAt: mb.heardAt, isGone: true}
			me.version++
		}
	}
}

// readyAt returns when this host has heard of the others and they of it, so that those which
// have sent in its place no longer do. One that expects others and reaches none may be cut off;
// the others then keep their places for hostMemory.
func (me *members) readyAt() time.Time {
	switch {
	case me.contactAt.IsZero() && !me.expectsOthers:
		return me.startedAt.Add(aloneStartupPeriod)
	case me.contactAt.IsZero():
		return me.startedAt.Add(hostMemory)
	case me.behindAt.After(me.contactAt):
		return me.behindAt.Add(startupPeriod)
	default:
		return me.contactAt.Add(startupPeriod)
	}
}

// isBehind reports whether another host knows more hosts than this one, which has then
// started after some of them became silent.
func (me *members) isBehind(now time.Time) bool {
	return me.largest.known > len(me.hosts)+1 && now.Sub(me.largest.at) < hostMemory
}

// orderOf returns the number of known hosts that come before this one in the rendezvous order
// of a server.
func (me *members) orderOf(server mp.ServerID) int {
	own, order := rendezvousWeight(me.self, server), 0
	for host, mb := range me.hosts {
		if mb.isGone {
			continue
		}
		if weight := rendezvousWeight(host, server); weight > own || weight == own && host < me.self {
			order++
		}
	}
	return order
}

// rendezvousWeight returns the weight of a host in the order of a server. The separator keeps
// different pairs apart.
func rendezvousWeight(host Host, server mp.ServerID) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(server))
}
