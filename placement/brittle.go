package placement

import (
	"time"

	"github.com/mangopaddle/mangopaddle/brittle"
)

// WithBrittle sets the tracker of brittle servers. The default knows of none. The placer and its
// caller must not use the tracker at the same time.
func WithBrittle(tracker *brittle.Tracker) Option {
	return func(pl *Placer) { pl.brittle = tracker }
}

// Brittle returns the server as the tracker of brittle servers knows it.
func (se Server) Brittle() brittle.Server {
	return brittle.Server{ID: se.ID, Service: se.Service, StartedAtMillis: se.StartedAtMillis, Slots: se.Slots}
}

func (pl *Placer) isBrittle(now time.Time, se *server) bool {
	return !pl.brittle.IsIdle() && pl.brittle.IsBrittle(now, se.Brittle())
}

// lacksPlace reports whether a server is brittle and this host has no free place there.
func (pl *Placer) lacksPlace(now time.Time, se *server) bool {
	return pl.isBrittle(now, se) && !pl.brittle.HasPlace(now, se.Brittle(), se.inFlight)
}

// Places describes the places of this host at the brittle servers of a service.
type Places struct {
	// Servers is the number of brittle servers, and Usable that of this host's places there.
	Servers, Usable int
}

// WantedPlaces returns the places at the servers to which a request could be sent if one of them
// were free.
func (pl *Placer) WantedPlaces(now time.Time, rq *Request) Places {
	var places Places
	if pl.brittle.IsIdle() {
		return places
	}
	for _, se := range pl.services[rq.Service] {
		if pl.isOut(now, rq, se) || pl.isLeaving(se) || !pl.lacksPlace(now, se) {
			continue
		}
		places.Servers++
		places.Usable += pl.brittle.Places(now, se.Brittle())
	}
	return places
}

// recordBrittleEnd records how a request to a server ended that may be brittle.
func (pl *Placer) recordBrittleEnd(now time.Time, se *server, firstEventSeen bool, outcome Outcome) {
	switch {
	case pl.brittle.IsIdle():
	case outcome == Rejected:
		pl.brittle.RecordRejection(now, se.Brittle())
	case outcome == Cancelled, outcome == Failed && !firstEventSeen:
		pl.brittle.RecordAbandonment(now, se.Brittle())
	}
}
