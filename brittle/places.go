package brittle

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangopaddle/mangopaddle/rendezvous"
)

const (
	// takeoverDelay is the time from a change of members to the use of a slot that another host
	// had: it may still run a request there. The slots of a server follow each other by
	// takeoverSpacing, in maxTakeoverTime at most, so that few rejections come at once if the
	// other host is only out of reach.
	takeoverDelay = 2 * time.Second
	// A server that tolerates fewer than tolerantLimit rejections in a second falls over at two at
	// once. Its slots are taken over later by intolerantDelay.
	tolerantLimit   = 2
	intolerantDelay = 30 * time.Second
	// takeoverProbation is how long a slot counts as taken over. After a rejection in it, it is
	// left to the other host for takeoverRetry.
	takeoverProbation = 20 * time.Second
	takeoverRetry     = 20 * time.Second
	// heardBackoff is how long a host leaves a server alone that rejected a request of another.
	heardBackoff    = 500 * time.Millisecond
	takeoverSpacing = 1200 * time.Millisecond
	maxTakeoverTime = 10 * time.Second
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

// ownSlot is a slot that belongs to this host.
type ownSlot struct {
	// usableFrom is when this host may use it, and takenUntil until when it counts as taken over
	// from another host; zero if it wasn't.
	usableFrom, takenUntil time.Time
}

// server is the state of a server of a service that is brittle, or lately was.
type server struct {
	Server
	hash   uint64
	words  words
	usedAt time.Time
	// slots are those of this host, as of the members of version.
	slots   map[int]ownSlot
	version uint64
	// blockedUntil is the end of the time for which the host leaves the server alone.
	blockedUntil time.Time
	backoff      time.Duration
	rejections   uint64
	// rejectedAt and heardRejectionAt are when the server last rejected a request of this host,
	// and of any host of the data centre.
	rejectedAt, heardRejectionAt time.Time
	// heldUntil are the ends of the times for which places stay taken.
	heldUntil []time.Time
}

// server returns the state of a server, creating it on first use.
func (tr *Tracker) server(now time.Time, description Server) *server {
	se, ok := tr.servers[description.ID]
	if !ok {
		se = &server{Server: description, hash: xxhash.Sum64String(string(description.ID))}
		tr.servers[description.ID] = se
	}
	se.usedAt = now
	if se.StartedAtMillis < description.StartedAtMillis {
		se.restart(now)
	}
	if se.StartedAtMillis <= description.StartedAtMillis {
		se.setDescription(description)
	}
	if se.version != tr.members.version {
		sv, ok := tr.services[description.Service]
		se.setMembers(now, &tr.members, ok && sv.limit >= tolerantLimit)
	}
	return se
}

func (se *server) setDescription(description Server) {
	if se.Slots != description.Slots {
		se.version = 0
	}
	se.Server = description
}

// restart forgets what is true of one start of the server only. It may have fallen over because
// a slot that was taken over still had its owner.
func (se *server) restart(now time.Time) {
	se.words, se.heldUntil, se.blockedUntil, se.backoff = words{}, nil, time.Time{}, 0
	se.giveBack(now)
}

// setMembers decides anew which slots are this host's.
func (se *server) setMembers(now time.Time, me *members, isTolerant bool) {
	before := se.slots
	se.slots, se.version = map[int]ownSlot{}, me.version
	for slot := range min(max(1, se.Slots), maxSlots) {
		hash := rendezvous.Mix(se.hash + uint64(slot))
		if !me.owns(hash) {
			continue
		}
		own, ok := before[slot]
		if !ok && before != nil {
			own = se.takeover(now, slot, isTolerant)
		}
		se.slots[slot] = own
	}
}

// takeover returns a slot that another host had until now.
func (se *server) takeover(now time.Time, slot int, isTolerant bool) ownSlot {
	usableFrom := now.Add(takeoverDelay + se.offset(slot))
	if !isTolerant {
		usableFrom = usableFrom.Add(intolerantDelay)
	}
	return ownSlot{usableFrom: usableFrom, takenUntil: usableFrom.Add(takeoverProbation)}
}

// offset returns how much later than the first slot a slot is taken over.
func (se *server) offset(slot int) time.Duration {
	spacing := min(takeoverSpacing, maxTakeoverTime/time.Duration(min(max(1, se.Slots), maxSlots)))
	return time.Duration(slot) * spacing
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
	for _, own := range se.slots {
		if !now.Before(own.usableFrom) {
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
	se.rejectedAt, se.heardRejectionAt = now, now
	se.giveBack(now)
	if now.Sub(se.blockedUntil) >= backoffMemory {
		se.backoff = 0
	}
	se.backoff = min(max(2*se.backoff, minBackoff), maxBackoff)
	se.rejections++
	spread := time.Duration(weight(tr.members.self, se.hash+se.rejections) % uint64(se.backoff))
	se.blockedUntil = now.Add(se.backoff + spread/2)
}

// giveBack leaves slots that were taken over lately to the hosts that had them, which seem to be
// out of reach only.
func (se *server) giveBack(now time.Time) {
	for slot, own := range se.slots {
		if now.Before(own.takenUntil) {
			own.usableFrom = now.Add(takeoverRetry + se.offset(slot))
			own.takenUntil = own.usableFrom.Add(takeoverProbation)
			se.slots[slot] = own
		}
	}
}

// recordHeardRejection records that a server rejected a request of another host at a time.
func (se *server) recordHeardRejection(now, at time.Time) {
	if !at.After(se.heardRejectionAt.Add(heardBackoff)) {
		return
	}
	se.heardRejectionAt = at
	se.giveBack(now)
	if until := at.Add(heardBackoff); until.After(se.blockedUntil) {
		se.blockedUntil = until
	}
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
