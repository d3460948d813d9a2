// Package brittle decides when a host may send requests to brittle backend servers. Such a
// server falls over when all hosts together make it reject more than a few requests in a second,
// so a request may only be sent to a free place: each of the server's slots belongs to one host
// at a time, by rendezvous hashing over the hosts that are known, and a host has at most as many
// requests outstanding as slots of its own. The package does no I/O and reads no clock.
package brittle

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// wordMemory is how long a service counts as brittle after the last answer that said so.
	wordMemory = 30 * time.Second
	// serviceDenial and serverDenial are how long answers have to come without the word until the
	// service, or one server, no longer counts as brittle.
	serviceDenial = 4 * time.Second
	serverDenial  = 2 * time.Second
	// serverMemory is how long a server is kept that isn't chosen from and doesn't answer.
	serverMemory = 5 * time.Minute
	// maxServices bounds the services that count as brittle, as others may tell of any.
	maxServices = 64
)

// Server describes a backend server.
type Server struct {
	ID      mp.ServerID
	Service mp.ServiceName
	// StartedAtMillis tells a restart under the same ID.
	StartedAtMillis int64
	// Slots is the number of requests that the server runs at once.
	Slots int
}

// Word is what an answer says of its server.
type Word struct {
	Brittle bool
	// Limit is the number of rejections in a second that the server tolerates; zero if unknown.
	Limit int
}

// Source is where a host learnt from that a service is brittle.
type Source string

// The sources.
const (
	SourceResponse Source = "response"
	SourcePeer     Source = "peer"
)

// Change is the begin or the end of the time in which a service is brittle.
type Change struct {
	Service mp.ServiceName
	// Source is where the begin was learnt from; empty at the end.
	Source Source
	Limit  int
	// Age is the time since the last answer that said so.
	Age time.Duration
}

// words are what the answers of a server, or of all servers of a service, said.
type words struct {
	// said is when the last one said that the server is brittle; denied and deniedSince are
	// when the last and the first one after it did not.
	said, deniedSince, denied time.Time
}

func (wo *words) say(at time.Time) {
	if at.After(wo.said) {
		wo.said = at
	}
	if !wo.deniedSince.After(wo.said) {
		wo.deniedSince, wo.denied = time.Time{}, time.Time{}
	}
}

func (wo *words) deny(at time.Time) {
	if !at.After(wo.said) {
		return
	}
	if wo.deniedSince.IsZero() {
		wo.deniedSince = at
	}
	if at.After(wo.denied) {
		wo.denied = at
	}
}

// isDenied reports whether answers have come without the word for a time.
func (wo *words) isDenied(least time.Duration) bool {
	return !wo.deniedSince.IsZero() && wo.denied.Sub(wo.deniedSince) >= least
}

// scope is whose answers words are of.
type scope int

const (
	ownScope  scope = iota // this host's
	homeScope              // those of all hosts of the data centre
	allScope
	scopeCount
)

// service is a service that is brittle, or lately was.
type service struct {
	words     [scopeCount]words
	limit     int
	announced bool
}

// isBrittle reports whether the servers of the service count as brittle, unless one denies it.
func (sv *service) isBrittle(now time.Time) bool {
	wo := &sv.words[allScope]
	return now.Sub(wo.said) < wordMemory && !wo.isDenied(serviceDenial)
}

// Tracker holds which services are brittle and which places at their servers are this host's. It
// is not safe for concurrent use.
type Tracker struct {
	members  members
	services map[mp.ServiceName]*service
	servers  map[mp.ServerID]*server
}

// Option configures a tracker.
type Option func(*Tracker)

// WithOtherHosts states that other hosts were running before this one, of which it has to hear
// before it sends requests to brittle servers.
func WithOtherHosts() Option {
	return func(tr *Tracker) { tr.members.expectsOthers = true }
}

// New returns the tracker of a host of a data centre that started at a time.
func New(self Host, home mp.DataCentreID, startedAt time.Time, opts ...Option) *Tracker {
	tr := &Tracker{
		members:  newMembers(self, home, startedAt),
		services: map[mp.ServiceName]*service{},
		servers:  map[mp.ServerID]*server{},
	}
	for _, opt := range opts {
		opt(tr)
	}
	return tr
}

// IsIdle reports whether no service is or lately was brittle.
func (tr *Tracker) IsIdle() bool { return len(tr.services) == 0 }

// IsBrittle reports whether a server counts as brittle: it said so, or others of its service did
// and it hasn't denied it for a while since it started.
func (tr *Tracker) IsBrittle(now time.Time, description Server) bool {
	sv, ok := tr.services[description.Service]
	if !ok || !sv.isBrittle(now) {
		return false
	}
	se, ok := tr.servers[description.ID]
	return !ok || se.StartedAtMillis != description.StartedAtMillis || !se.words.isDenied(serverDenial)
}

// BrittleCount returns the number of services that are brittle.
func (tr *Tracker) BrittleCount(now time.Time) int {
	count := 0
	for _, sv := range tr.services {
		if sv.isBrittle(now) {
			count++
		}
	}
	return count
}

// RecordWord records what an answer to this host said of its server, and returns the change if
// the service is brittle from now on.
func (tr *Tracker) RecordWord(now time.Time, description Server, word Word) []Change {
	sv, ok := tr.services[description.Service]
	if !ok && !word.Brittle {
		return nil
	}
	if !ok {
		sv, ok = tr.addService(description.Service)
	}
	if !ok {
		return nil
	}
	se := tr.server(now, description)
	if se.StartedAtMillis != description.StartedAtMillis {
		return nil // of an earlier start
	}
	if !word.Brittle {
		se.words.deny(now)
		sv.deny(now, ownScope)
		return nil
	}
	se.words.say(now)
	sv.say(now, ownScope, word.Limit)
	return sv.announce(now, description.Service, SourceResponse)
}

// addService adds a service; false if there are too many.
func (tr *Tracker) addService(name mp.ServiceName) (*service, bool) {
	if len(tr.services) >= maxServices {
		return nil, false
	}
	sv := &service{}
	tr.services[name] = sv
	return sv, true
}

// say records in a scope and the wider ones that an answer said that its server is brittle.
func (sv *service) say(at time.Time, from scope, limit int) {
	if at.After(sv.words[allScope].said) {
		sv.limit = limit
	}
	for sc := from; sc < scopeCount; sc++ {
		sv.words[sc].say(at)
	}
}

func (sv *service) deny(at time.Time, from scope) {
	for sc := from; sc < scopeCount; sc++ {
		sv.words[sc].deny(at)
	}
}

// announce returns the begin of the time in which the service is brittle, once.
func (sv *service) announce(now time.Time, name mp.ServiceName, source Source) []Change {
	if sv.announced || !sv.isBrittle(now) {
		return nil
	}
	sv.announced = true
	return []Change{{Service: name, Source: source, Limit: sv.limit, Age: now.Sub(sv.words[allScope].said)}}
}

// Expire forgets hosts that were not heard of and services that are no longer brittle, which it
// returns. It has to be called several times in pauseThreshold.
func (tr *Tracker) Expire(now time.Time) []Change {
	tr.members.expire(now)
	var changes []Change
	for name, sv := range tr.services {
		if sv.isBrittle(now) {
			continue
		}
		if sv.announced {
			sv.announced = false
			changes = append(changes, Change{Service: name, Limit: sv.limit, Age: now.Sub(sv.words[allScope].said)})
		}
		if now.Sub(sv.words[allScope].said) >= wordMemory {
			delete(tr.services, name)
		}
	}
	for id, se := range tr.servers {
		if _, ok := tr.services[se.Service]; !ok || now.Sub(se.usedAt) >= serverMemory {
			delete(tr.servers, id)
		}
	}
	return changes
}
