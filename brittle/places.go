package brittle

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// takeoverDelay is the time from a change of members to the use of a slot that another host
	// had: it may still run a request there. takeoverSpread spreads the slots after it, so that
	// few are taken at once if the other host is only out of reach.
	takeoverDelay  = 2 * time.Second
	takeoverSpread = 2 * time.Second
	// minBackoff and maxBackoff bound how long a host leaves a server alone that rejected one of
	// its requests; the time doubles with each rejection that follows within backoffMemory after
	// its end.
	minBackoff    = time.Second
	maxBackoff    = 16 * time.Second
	backoffMemory = 4 * time.Second
	// holdTime is how long a place stays taken after a request that was given up: the server may
	// not have noticed yet.
	holdTime = time.Second
	// maxSlots bounds the slots of a server that are used, as an entry may be wrong.
	maxSlots = 256
)

// server is the state of a server of a service that is brittle, or lately was.
type server struct {
	Server
	hash   uint64
	words  words
	usedAt time.Time
	// usableFrom holds when this host may use each slot of its own, as of the members of version.
	usableFrom map[int]time.Time
	version    uint64
	// blockedUntil is the end of the time for which the host leaves the server alone.
	blockedUntil time.Time
	backoff      time.Duration
	rejections   uint64
	// heldUntil are the ends of the times for which places stay taken.
	heldUntil []time.Time
}

func (se Server) lifetime() lifetime { return lifetime{id: se.ID, startedAtMillis: se.StartedAtMillis} }

// server returns the state of a server, creating it on first use.
func (tr *Tracker) server(now time.Time, description Server) *server {
	key := description.lifetime()
	se, ok := tr.servers[key]
	if !ok {
		se = &server{hash: xxhash.Sum64String(string(description.ID) + "\x00" + strconv.FormatInt(description.StartedAtMillis, 10))}
		tr.servers[key] = se
	}
	if se.Slots != description.Slots {
		se.version = 0
	}
	se.Server, se.usedAt = description, now
	if se.version != tr.members.version {
		se.setMembers(now, &tr.members)
	}
	return se
}

// setMembers decides anew which slots are this host's.
func (se *server) setMembers(now time.Time, me *members) {
	before := se.usableFrom
	se.usableFrom, se.version = map[int]time.Time{}, me.version
	for slot := range min(max(1, se.Slots), maxSlots) {
		hash := mixBits(se.hash + uint64(slot))
		if !me.owns(hash) {
			continue
		}
		from, ok := before[slot]
		if !ok {
			from = se.takeoverAt(now, me, hash)
		}
		se.usableFrom[slot] = from
	}
}

// takeoverAt returns when this host may use a slot that has become its own.
func (se *server) takeoverAt(now time.Time, me *members, slotHash uint64) time.Time {
	if me.changedAt.IsZero() {
		return now // there were never others
	}
	spread := time.Duration(weight(me.self, slotHash+1) % uint64(takeoverSpread))
	return me.changedAt.Add(takeoverDelay + spread)
}

// Places returns the number of places at a server that this host may use.
func (tr *Tracker) Places(now time.Time, description Server) int {
	if !tr.members.isReady(now) {
		return 0
	}
	se := tr.server(now, description)
	if now.Before(se.blockedUntil) {
		return 0
	}
	usable := 0
	for _, from := range se.usableFrom {
		if !now.Before(from) {
			usable++
		}
	}
	se.heldUntil = slices.DeleteFunc(se.heldUntil, func(until time.Time) bool { return !now.Before(until) })
	return max(0, usable-len(se.heldUntil))
}

// HasPlace reports whether this host may send a request to a server now, where it has a number of
// requests outstanding.
func (tr *Tracker) HasPlace(now time.Time, description Server, outstanding int) bool {
	return outstanding < tr.Places(now, description)
}

// RecordRejection records that a server rejected a request of this host: a place wasn't free
// after all.
func (tr *Tracker) RecordRejection(now time.Time, description Server) {
	if _, ok := tr.services[description.Service]; !ok {
		return
	}
	se := tr.server(now, description)
	if now.Sub(se.blockedUntil) >= backoffMemory {
		se.backoff = 0
	}
	se.backoff = min(max(2*se.backoff, minBackoff), maxBackoff)
	se.rejections++
	spread := time.Duration(weight(tr.members.self, se.hash+se.rejections) % uint64(se.backoff))
	se.blockedUntil = now.Add(se.backoff + spread/2)
}

// RecordAbandonment records that a request of this host was given up, which the server may not
// have noticed yet.
func (tr *Tracker) RecordAbandonment(now time.Time, description Server) {
	if _, ok := tr.services[description.Service]; !ok {
		return
	}
	if se := tr.server(now, description); len(se.heldUntil) < maxSlots {
		se.heldUntil = append(se.heldUntil, now.Add(holdTime))
	}
}
