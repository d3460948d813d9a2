// Package placement decides which backend server gets a request of the gateway.
// For the router's own API, package schedule decides. Package placement does no
// I/O and reads no clock.
//
// Model engines are chosen by the shared prefix of the prompt: all hosts rank
// the engines for a prefix alike (rendezvous hashing), so that one engine, or one
// in each region for a short prefix, prefills and caches the prefix. Later
// requests with that prefix are served from its cache, whichever host sends them.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/brittle"
	"github.com/mangopaddle/mangopaddle/coldstart"
	"github.com/mangopaddle/mangopaddle/speed"
)

// PromptSegment is a section of a prompt that several requests may have in
// common.
type PromptSegment struct {
	// ID identifies the content of the segment.
	ID uint64
	// Tokens is the length of the segment.
	Tokens mp.Tokens
}

// Request describes a request to be placed.
type Request struct {
	Service mp.ServiceName
	// Prompt holds the segments of the prompt in order. The last one is unique
	// to the request; those before it form the shared prefix.
	Prompt []PromptSegment
	// PromptTokens is the length of the whole prompt.
	PromptTokens mp.Tokens
	// BodyBytes is the length of the request body.
	BodyBytes int
	// LatencyTarget is the target for the time to the first event of a stream,
	// or to the whole response.
	LatencyTarget time.Duration
	// UrgentLatencyTarget is the shortest latency target of the more urgent
	// requests that wait in the same queues; zero if there are none.
	UrgentLatencyTarget time.Duration
	// MoreUrgent are the classes of the more urgent requests that wait in the same
	// queues. The request may not wait longer than any of them.
	MoreUrgent []UrgentClass
	// QueueShare is the fraction of the maximum queue wait of the priority that the request
	// may wait: less than 1 if its organisation has more than its fair part. Zero stands for 1.
	QueueShare float64
	// TimeToDeadline is the time until the deadline; zero if there is none.
	TimeToDeadline time.Duration
	// Priority is the priority level; 0 is the most urgent.
	Priority int
	// JitterSensitive marks a stream whose events must follow each other
	// closely.
	JitterSensitive bool
	// Exclude lists servers that the request must not be sent to.
	Exclude []mp.ServerID
	// AllowsRegion reports whether the request may be sent to servers in a region; nil if
	// it may be sent to any.
	AllowsRegion func(mp.RegionID) bool
	// Software is the software version that began the stream with which the request goes on;
	// empty if any may serve it.
	Software mp.SoftwareVersion
	// Split returns the data centre to which a draw sends the request; nil if it may be sent to
	// any. It applies if MayOverflow is true.
	Split func(draw uint64) mp.DataCentreID
	// NotLeaving excludes servers that are about to stop even if there are no others.
	NotLeaving bool
}

// excludes reports whether the request must not be sent to a server.
func (rq *Request) excludes(se *server) bool {
	return slices.Contains(rq.Exclude, se.ID) || (rq.AllowsRegion != nil && !rq.AllowsRegion(se.Region)) ||
		(rq.Software != "" && se.Software != rq.Software)
}

// sharedPrefix returns the length of the shared prefix and its ID, which is
// that of its last segment. Both are zero if there is no shared prefix.
func (rq *Request) sharedPrefix() (mp.Tokens, uint64) {
	if len(rq.Prompt) < 2 {
		return 0, 0
	}
	var tokens mp.Tokens
	for _, ps := range rq.Prompt[:len(rq.Prompt)-1] {
		tokens += ps.Tokens
	}
	return tokens, rq.Prompt[len(rq.Prompt)-2].ID
}

// Choice is a chosen server, with the estimates that led to the choice.
type Choice struct {
	Server Server
	// ExpectedLatency is the time until the first event or the response.
	ExpectedLatency time.Duration
	// QueueWait is the time within ExpectedLatency that is spent behind the queued
	// prompts that are at least as urgent and the prompt that is being prefilled.
	QueueWait time.Duration
	// LessUrgentWait is the time within ExpectedLatency for the other queued prompts.
	// The engine prefills them after this one; as a part of ExpectedLatency, they count
	// in the comparison of engines, because the request delays them.
	LessUrgentWait time.Duration
	// Level is the level of the prefill queue that the prompt is added to.
	Level int
	// MeanQueueWait is the mean queue wait over the candidate engines that are
	// not reserved for jitter-sensitive streams.
	MeanQueueWait time.Duration
	// PrefixCached reports whether the shared prefix is expected to be in the
	// engine's cache.
	PrefixCached bool
	// InFlight is the number of requests that this host had in flight at the
	// server.
	InFlight int
	// PrefillTokens is the number of prompt tokens that the request adds to the
	// engine's prefill queue.
	PrefillTokens mp.Tokens
	// JitterSensitive reports whether the request is a jitter-sensitive stream.
	JitterSensitive bool
	// Cold reports that the server is cold: it gets no more requests from this host for a
	// time.
	Cold bool
	// chosenAt is the time of the choice of a cold server.
	chosenAt time.Time
	// Brittle reports that the server is brittle, and the request has a place there.
	Brittle bool
	// InSplit reports that the server is in the data centre that Request.Split returned.
	InSplit bool
	// nominalLatency is the time that the engine takes at the nominal speed,
	// without the network.
	nominalLatency time.Duration
}

// Outcome is how a request to a backend server ended.
type Outcome int

// Outcomes of a request.
const (
	// Succeeded is a complete response.
	Succeeded Outcome = iota
	// Failed is a request without a valid response: none arrived, or it broke
	// off, was not signed or reported a failure.
	Failed
	// Rejected is a request that the server stated it did not run, as a full
	// server does.
	Rejected
	// Unreachable is a server that could not be connected to.
	Unreachable
	// Misdirected is a request that another server received, which has taken over
	// the address.
	Misdirected
	// Cancelled is a request that the host or its caller gave up.
	Cancelled
)

// Placer chooses backend servers. It is not safe for concurrent use.
type Placer struct {
	random   *rand.Rand
	peerLoad func(mp.ServerID) Load
	servers  map[mp.ServerID]*server
	services map[mp.ServiceName][]*server
	// reservations holds the engines that are reserved for jitter-sensitive
	// streams, by service.
	reservations map[mp.ServiceName]*reservation
	// speeds holds how fast the engines are, by service.
	speeds map[mp.ServiceName]*speed.Estimator
	// notices holds what servers have said of themselves, whether they are listed or not.
	notices      map[lifetime]*notice
	leavingGrace time.Duration
	cold         *coldstart.Tracker
	brittle      *brittle.Tracker
}

// Option configures a placer.
type Option func(*Placer)

// WithSeed sets the seed for random choices between equally good servers.
func WithSeed(seed uint64) Option {
	return func(pl *Placer) { pl.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithPeerLoad sets the function that returns the load that other hosts have
// outstanding at a server.
func WithPeerLoad(peerLoad func(mp.ServerID) Load) Option {
	return func(pl *Placer) { pl.peerLoad = peerLoad }
}

// New returns a placer without servers.
func New(opts ...Option) *Placer {
	pl := &Placer{
		random:   rand.New(rand.NewPCG(1, 1)),
		peerLoad: func(mp.ServerID) Load { return Load{} },
		servers:  map[mp.ServerID]*server{},
		services: map[mp.ServiceName][]*server{},

		reservations: map[mp.ServiceName]*reservation{},
		speeds:       map[mp.ServiceName]*speed.Estimator{},
		notices:      map[lifetime]*notice{},
		cold:         coldstart.New("", time.Time{}),
		brittle:      brittle.New("", "", time.Time{}),
	}
	for _, opt := range opts {
		opt(pl)
	}
	return pl
}

// SetServers replaces the set of servers that may get requests. The state of
// servers that remain is kept.
func (pl *Placer) SetServers(descriptions []Server) {
	kept := make(map[mp.ServerID]*server, len(descriptions))
	services := map[mp.ServiceName][]*server{}
	for _, description := range descriptions {
		se, ok := pl.servers[description.ID]
		if !ok {
			se = newServer(description)
		}
		se.Server = description
		kept[description.ID] = se
		services[description.Service] = append(services[description.Service], se)
	}
	pl.servers, pl.services = kept, services
	for name := range pl.reservations {
		if _, ok := services[name]; !ok {
			delete(pl.reservations, name)
		}
	}
	for name := range services {
		pl.updateReservation(name)
	}
	pl.keepSpeeds()
}

// updateReservation decides anew which engines of a service are reserved, of those that
// stay.
func (pl *Placer) updateReservation(service mp.ServiceName) {
	engines, ok := pl.services[service]
	if !ok {
		return
	}
	re, ok := pl.reservations[service]
	if !ok {
		re = &reservation{}
		pl.reservations[service] = re
	}
	for _, se := range engines {
		se.reserved = false
	}
	re.setEngines(pl.staying(engines))
}

// ReservedEngines returns the number of engines of a service that are reserved for
// jitter-sensitive streams.
func (pl *Placer) ReservedEngines(service mp.ServiceName) int {
	if re, ok := pl.reservations[service]; ok {
		return re.count
	}
	return 0
}

// ServerCount returns the number of servers of a service that may get requests.
func (pl *Placer) ServerCount(service mp.ServiceName) int { return len(pl.services[service]) }

// Choose returns a server for the request, or false if there is none. It does
// not count the request as sent; RecordStart does.
func (pl *Placer) Choose(now time.Time, rq *Request) (Choice, bool) {
	candidates := pl.candidates(now, rq)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if candidates[0].IsEngine {
		pl.reservations[rq.Service].adjust(now, pl.streams)
	}
	ch := pl.orCold(now, rq, pl.chooseInSplit(now, rq, candidates))
	ch.Brittle = !pl.brittle.IsIdle() && pl.brittle.IsBrittle(now, ch.Server.Brittle())
	return ch, true
}

// candidates returns the servers that may get the request: those that are not
// avoided, or all of them if every one is avoided. Servers that are about to stop are
// returned only if there are no others and their grace isn't over. Cold servers are returned
// only if no other one is in order, and this host may send to them now. Excluded servers and
// those in a pause or an evacuated data centre are never returned, nor are brittle ones without
// a free place; while there are such that aren't avoided, a place is worth a wait, and avoided
// ones aren't returned.
func (pl *Placer) candidates(now time.Time, rq *Request) []*server {
	var healthy, avoided, leaving []*server
	lacking := false
	for _, se := range pl.services[rq.Service] {
		switch {
		case pl.isOut(now, rq, se) || pl.isCold(now, se):
		case pl.lacksPlace(now, se):
			lacking = lacking || !se.isAvoided(now) && !pl.isLeaving(se)
		case pl.isLeaving(se):
			if !rq.NotLeaving && pl.maySendToLeaving(now, se) {
				leaving = append(leaving, se)
			}
		case se.isAvoided(now):
			avoided = append(avoided, se)
		default:
			healthy = append(healthy, se)
		}
	}
	if len(healthy) > 0 {
		return pl.slowStart(now, rq, healthy)
	}
	if lacking {
		return pl.coldCandidates(now, rq)
	}
	for _, group := range [...][]*server{pl.coldCandidates(now, rq), avoided} {
		if len(group) > 0 {
			return group
		}
	}
	return leaving
}

// isOut reports whether a server must not get the request, whatever others there are.
func (pl *Placer) isOut(now time.Time, rq *Request, se *server) bool {
	return se.Evacuated || rq.excludes(se) || pl.pauseLeft(now, se) > 0
}

// failureCost is the expected latency added to a server whose requests all
// fail; it is scaled by the failure ratio.
const failureCost = time.Second

// inFlightCost is the expected latency that each of this host's requests in
// flight adds to a replica of a plain service.
const inFlightCost = 10 * time.Millisecond

// costResolution is the smallest difference of expected latencies that matters.
// Without it a server that failed long ago would never be tried again.
const costResolution = 2 * time.Millisecond

// chooseReplica returns the replica of a plain service with the lowest expected
// latency. Ties are broken at random.
func (pl *Placer) chooseReplica(now time.Time, candidates []*server) Choice {
	best, ties := candidates[0], 0
	var lowest time.Duration
	for _, se := range candidates {
		expected := roundTrip[se.Distance] + time.Duration(se.inFlight)*inFlightCost +
			time.Duration(se.failureRatio(now)*float64(failureCost))
		expected = expected.Round(costResolution)
		switch {
		case ties == 0 || expected < lowest:
			best, lowest, ties = se, expected, 1
		case expected == lowest:
			ties++
			if pl.random.IntN(ties) == 0 {
				best = se
			}
		}
	}
	return Choice{Server: best.Server, ExpectedLatency: lowest, InFlight: best.inFlight}
}

// RecordStart records that the request was sent to the chosen server.
func (pl *Placer) RecordStart(ch Choice) {
	if se, ok := pl.servers[ch.Server.ID]; ok {
		se.inFlight++
		se.queue.add(ch.Level, ch.PrefillTokens)
		if ch.JitterSensitive {
			se.streams++
		}
		if ch.Cold {
			pl.cold.RecordRequest(ch.chosenAt, se.ID, se.ColdRequestRate)
		}
	}
}

// RecordFirstEvent records the latency of the first event, or of the response.
func (pl *Placer) RecordFirstEvent(now time.Time, ch Choice, latency time.Duration) {
	se, ok := pl.servers[ch.Server.ID]
	if !ok {
		return
	}
	se.queue.remove(ch.Level, ch.PrefillTokens)
	if se.IsEngine {
		se.observeLatency(now, latency-roundTrip[se.Distance], ch.nominalLatency)
	}
}

// RecordEnd records how the request ended. firstEventSeen tells whether
// RecordFirstEvent was called for it; if not, its prompt still counts as queued
// for prefill, and RecordEnd subtracts its tokens.
func (pl *Placer) RecordEnd(now time.Time, ch Choice, firstEventSeen bool, outcome Outcome) {
	se, ok := pl.servers[ch.Server.ID]
	if !ok {
		return
	}
	se.inFlight = max(0, se.inFlight-1)
	if ch.JitterSensitive {
		se.streams = max(0, se.streams-1)
	}
	if !firstEventSeen {
		se.queue.remove(ch.Level, ch.PrefillTokens)
	}
	pl.recordBrittleEnd(now, se, firstEventSeen, outcome)
	switch outcome {
	case Succeeded:
		se.recordSuccess(now)
	case Failed:
		pl.recordFailure(now, se)
	case Unreachable, Misdirected:
		se.backOff(now)
	case Rejected:
		se.avoidUntil = now.Add(rejectedCoolDown)
	case Cancelled:
	}
}

// RecordSilence records that the server of a request is silent, which counts as a failure.
// The request goes on.
func (pl *Placer) RecordSilence(now time.Time, ch Choice) {
	if se, ok := pl.servers[ch.Server.ID]; ok {
		pl.recordFailure(now, se)
	}
}

// recordFailure counts a failure of a server and ejects it if there were too many.
func (pl *Placer) recordFailure(now time.Time, se *server) {
	if se.recordFailure(now) && pl.mayEject(now, se) {
		se.eject(now)
	}
}

// maxAvoidedDivisor bounds ejection: a server is not ejected if this would leave
// more than one in this many servers of its service avoided.
const maxAvoidedDivisor = 2

// mayEject reports whether ejecting the failing server leaves enough servers of
// its service in use.
func (pl *Placer) mayEject(now time.Time, failing *server) bool {
	servers := pl.services[failing.Service]
	avoided := 1
	inUse := 0
	for _, se := range servers {
		if se.Evacuated {
			continue
		}
		inUse++
		if se != failing && pl.isUnavailable(now, se) {
			avoided++
		}
	}
	return avoided*maxAvoidedDivisor <= inUse
}
