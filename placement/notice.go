package placement

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// noticeMemory is how long a notice is kept after it was heard once its server isn't
// listed any more: an entry may be missing for a while although the server runs.
const noticeMemory = time.Hour

// lifetime identifies one start of a server, which may start again under its ID.
type lifetime struct {
	id              mp.ServerID
	startedAtMillis int64
}

// notice is what a server has said of itself in its responses.
type notice struct {
	heardAt time.Time
	// leavingSince is when the server first said that it is about to stop; zero if it
	// hasn't.
	leavingSince time.Time
	// pausedUntil is the end of the time in which it wants no requests from this host.
	pausedUntil time.Time
}

// lifetime returns the start of the server that the description is of.
func (se Server) lifetime() lifetime {
	return lifetime{id: se.ID, startedAtMillis: se.StartedAtMillis}
}

// WithLeavingGrace sets how long a server that has said that it is about to stop may
// still get requests if every other server of its service has said so too. The default
// is zero.
func WithLeavingGrace(grace time.Duration) Option {
	return func(pl *Placer) { pl.leavingGrace = grace }
}

// RecordLeaving records that a server has said that it is about to stop, whatever the
// list of servers says. It holds until the server starts again. RecordLeaving reports
// whether the server said so for the first time.
func (pl *Placer) RecordLeaving(now time.Time, description Server) bool {
	no := pl.notice(now, description)
	no.heardAt = now
	if !no.leavingSince.IsZero() {
		return false
	}
	no.leavingSince = now
	pl.updateReservation(description.Service)
	return true
}

// notice returns the notice of a server, creating it on first use.
func (pl *Placer) notice(now time.Time, description Server) *notice {
	key := description.lifetime()
	no, ok := pl.notices[key]
	if !ok {
		pl.forgetNotices(now)
		no = &notice{}
		pl.notices[key] = no
	}
	return no
}

// forgetNotices removes old notices of servers that aren't listed.
func (pl *Placer) forgetNotices(now time.Time) {
	for key, no := range pl.notices {
		se, listed := pl.servers[key.id]
		if listed = listed && se.lifetime() == key; !listed && now.Sub(no.heardAt) > noticeMemory && now.After(no.pausedUntil) {
			delete(pl.notices, key)
		}
	}
}

// isLeaving reports whether the server has said that it is about to stop.
func (pl *Placer) isLeaving(se *server) bool {
	no, ok := pl.notices[se.lifetime()]
	return ok && !no.leavingSince.IsZero()
}

// maySendToLeaving reports whether a server that is about to stop may still get a
// request for want of another one.
func (pl *Placer) maySendToLeaving(now time.Time, se *server) bool {
	return now.Sub(pl.notices[se.lifetime()].leavingSince) < pl.leavingGrace
}

// staying returns the servers that have not said that they are about to stop and whose data
// centre is not evacuated.
func (pl *Placer) staying(servers []*server) []*server {
	staying := make([]*server, 0, len(servers))
	for _, se := range servers {
		if !se.Evacuated && !pl.isLeaving(se) {
			staying = append(staying, se)
		}
	}
	return staying
}
