// Package placement decides which backend server gets a request. It does no I/O
// and reads no clock.
//
// Model engines are chosen by the shared parts of the prompt: all hosts rank the
// engines of a part alike, so that it is read once and found in memory by the
// requests that follow, whichever host sends them.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// PromptSegment is a part of a prompt that requests may share.
type PromptSegment struct {
	ID     uint64
	Tokens mp.Tokens
}

// Request is a request as the placement sees it.
type Request struct {
	Service mp.ServiceName
	// Prompt holds the parts of the prompt in order; the last one belongs to the
	// request alone.
	Prompt []PromptSegment
	// PromptTokens is the length of the whole prompt.
	PromptTokens mp.Tokens
	// BodyBytes is the length of the request's body.
	BodyBytes int
	// LatencyTarget is the time until the answer, or until the first event.
	LatencyTarget time.Duration
	// TimeToDeadline is the time until the deadline; zero for none.
	TimeToDeadline time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// JitterSensitive marks a stream whose events must follow each other closely.
	JitterSensitive bool
	// Exclude are servers that the request must not go to.
	Exclude []mp.ServerID
}

// shared returns the length of the shared parts and the identifier that a home
// is chosen by.
func (wo *Request) shared() (mp.Tokens, uint64) {
	if len(wo.Prompt) < 2 {
		return 0, 0
	}
	var tokens mp.Tokens
	for _, pa := range wo.Prompt[:len(wo.Prompt)-1] {
		tokens += pa.Tokens
	}
	return tokens, wo.Prompt[len(wo.Prompt)-2].ID
}

// Choice is a chosen server with what the choice was made by.
type Choice struct {
	Server Server
	// ExpectedLatency is the time until the first event or the answer.
	ExpectedLatency time.Duration
	// QueueWait is the part of it that the prompts before this one take.
	QueueWait time.Duration
	// MeanQueueWait is the mean of that at all engines of the service.
	MeanQueueWait time.Duration
	// PrefixCached says that the shared parts of the prompt are expected in the engine's
	// memory.
	PrefixCached bool
	// InFlight is how many requests of this host the server had.
	InFlight int
	// PrefillTokens counts the prompt tokens that the request adds to the engine's queue.
	PrefillTokens mp.Tokens
	// JitterSensitive says that the work is a steady stream.
	JitterSensitive bool
	// reading is the part of the expected time that the engine's reading takes at
	// the usual speed.
	reading time.Duration
}

// Outcome is how a request at a backend server ended.
type Outcome int

// The outcomes.
const (
	// Succeeded is a whole answer.
	Succeeded Outcome = iota
	// Failed is an answer that failed, broke off or could not be trusted.
	Failed
	// Rejected is a request that the server did not run because it was full.
	Rejected
	// Unreachable is a server that could not be connected to.
	Unreachable
	// WrongServer is an address that another server has.
	WrongServer
	// Cancelled is a request that the host or its caller gave up.
	Cancelled
)

// Placer chooses backend servers. It is not safe for concurrent use.
type Placer struct {
	random   *rand.Rand
	others   func(mp.ServerID) Load
	servers  map[mp.ServerID]*server
	services map[mp.ServiceName][]*server
}

// Option changes a placer under construction.
type Option func(*Placer)

// WithSeed sets the seed of the choice between equal servers.
func WithSeed(seed uint64) Option {
	return func(pl *Placer) { pl.random = rand.New(rand.NewPCG(seed, seed)) }
}

// Load is what hosts have outstanding at a server.
type Load struct {
	// PrefillTokens counts the prompt tokens of requests without a first event.
	PrefillTokens mp.Tokens
	// Streams counts the steady streams in progress.
	Streams int
}

// WithPeerLoad sets what other hosts have outstanding at a server.
func WithPeerLoad(others func(mp.ServerID) Load) Option {
	return func(pl *Placer) { pl.others = others }
}

// New returns a placer without servers.
func New(opts ...Option) *Placer {
	pl := &Placer{
		random:   rand.New(rand.NewPCG(1, 1)),
		others:   func(mp.ServerID) Load { return Load{} },
		servers:  map[mp.ServerID]*server{},
		services: map[mp.ServiceName][]*server{},
	}
	for _, opt := range opts {
		opt(pl)
	}
	return pl
}

// SetServers replaces the servers that may get requests and keeps what is known
// of those that stay.
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
	for _, group := range services {
		reserve(group)
	}
}

// ServerCount returns how many servers of a service may get requests.
func (pl *Placer) ServerCount(service mp.ServiceName) int { return len(pl.services[service]) }

// Choose returns a server for the work, false if there is none.
func (pl *Placer) Choose(now time.Time, wo *Request) (Choice, bool) {
	candidates := pl.candidates(now, wo)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if !candidates[0].Engine {
		return pl.chooseReplica(now, candidates), true
	}
	return pl.chooseEngine(now, wo, candidates), true
}

// candidates returns the servers that may get the work: those that are not
// avoided, or else all.
func (pl *Placer) candidates(now time.Time, wo *Request) []*server {
	var sound, others []*server
	for _, se := range pl.services[wo.Service] {
		switch {
		case slices.Contains(wo.Exclude, se.ID):
		case se.isAvoided(now):
			others = append(others, se)
		default:
			sound = append(sound, se)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return others
}

// failureCost is what a server that always fails seems farther away than one
// that never does.
const failureCost = time.Second

// slotCost is what each own request in flight adds to a plain server's expected
// time.
const slotCost = 10 * time.Millisecond

// costStep is by how much expected times must differ to matter. Without it a
// server that failed long ago would never be tried again.
const costStep = 2 * time.Millisecond

// chooseReplica returns the plain server with the least expected time.
func (pl *Placer) chooseReplica(now time.Time, candidates []*server) Choice {
	best, ties := candidates[0], 0
	var least time.Duration
	for _, se := range candidates {
		expected := roundTrip[se.Distance] + time.Duration(se.inFlight)*slotCost +
			time.Duration(se.failureShare(now)*float64(failureCost))
		expected = expected.Round(costStep)
		switch {
		case ties == 0 || expected < least:
			best, least, ties = se, expected, 1
		case expected == least:
			ties++
			if pl.random.IntN(ties) == 0 {
				best = se
			}
		}
	}
	return Choice{Server: best.Server, ExpectedLatency: least, InFlight: best.inFlight}
}

// RecordStart records that the work was sent to the chosen server.
func (pl *Placer) RecordStart(ch Choice) {
	if se, ok := pl.servers[ch.Server.ID]; ok {
		se.inFlight++
		se.unread += ch.PrefillTokens
		if ch.JitterSensitive {
			se.streams++
		}
	}
}

// RecordFirstEvent records that the first event or the answer came after a time.
func (pl *Placer) RecordFirstEvent(now time.Time, ch Choice, took time.Duration) {
	se, ok := pl.servers[ch.Server.ID]
	if !ok {
		return
	}
	se.unread = max(0, se.unread-ch.PrefillTokens)
	if se.Engine {
		se.observeSpeed(now, took-roundTrip[se.Distance], ch.reading)
	}
}

// RecordEnd records how the work ended. Began says whether its first event came.
func (pl *Placer) RecordEnd(now time.Time, ch Choice, began bool, outcome Outcome) {
	se, ok := pl.servers[ch.Server.ID]
	if !ok {
		return
	}
	se.inFlight = max(0, se.inFlight-1)
	if ch.JitterSensitive {
		se.streams = max(0, se.streams-1)
	}
	if !began {
		se.unread = max(0, se.unread-ch.PrefillTokens)
	}
	switch outcome {
	case Succeeded:
		se.succeed(now)
	case Failed:
		if se.fail(now) && pl.mayEject(now, se) {
			se.eject(now)
		}
	case Unreachable, WrongServer:
		se.avoid(now)
	case Rejected:
		se.until = now.Add(rejectedTime)
	case Cancelled:
	}
}

// ejectedPart is the share of a service, one in this many, that may be ejected.
const ejectedPart = 2

func (pl *Placer) mayEject(now time.Time, failing *server) bool {
	servers := pl.services[failing.Service]
	avoided := 1
	for _, se := range servers {
		if se != failing && se.isAvoided(now) {
			avoided++
		}
	}
	return avoided*ejectedPart <= len(servers)
}

// readTime returns how long an engine reads a prompt.
func readTime(tokens mp.Tokens) time.Duration {
	return time.Duration(float64(tokens) / initialReadRate * float64(time.Second))
}

// Loads returns what this host has outstanding at engines.
func (pl *Placer) Loads() map[mp.ServerID]Load {
	loads := map[mp.ServerID]Load{}
	for id, se := range pl.servers {
		if se.unread > 0 || se.streams > 0 {
			loads[id] = Load{PrefillTokens: se.unread, Streams: se.streams}
		}
	}
	return loads
}
