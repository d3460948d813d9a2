// Package fakeengine is a stand-in for a model engine. It serves the chat
// completions API over a modelled engine: continuous batching, priorities, a
// prefix cache, lagging load reports, resume, cancel, and faults on demand.
package fakeengine

import (
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/enginemodel"
)

// Fault is a way in which the stand-in misbehaves.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultUnavailable answers every new request with 503.
	FaultUnavailable
	// FaultHang keeps connections open and sends nothing more.
	FaultHang
	// FaultTruncate ends each stream early, without an error.
	FaultTruncate
	// FaultCrash resets each connection.
	FaultCrash
)

// Engine is the stand-in.
type Engine struct {
	clock        clockwork.Clock
	params       enginemodel.Params
	models       []mp.ModelID
	answerTokens mp.Tokens
	keepAlive    time.Duration
	loadLag      time.Duration

	mu        sync.Mutex
	model     *enginemodel.Engine
	streams   map[mp.RequestID]*stream
	fault     Fault
	faultAt   mp.Tokens
	slowdown  float64
	wake      chan struct{}
	report    mp.EngineLoad
	reportAt  time.Time
	generated mp.Tokens
	started   int
	cancelled int
}

// stream is one request that the engine works on.
type stream struct {
	sequence *enginemodel.Sequence
	changed  chan struct{} // holds one wake-up
	produced mp.Tokens     // that were delivered
	finished bool
}

// Option changes a stand-in under construction.
type Option func(*Engine)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(en *Engine) { en.clock = clock }
}

// WithParams sets size and speed.
func WithParams(pa enginemodel.Params) Option {
	return func(en *Engine) { en.params = pa }
}

// WithModels sets the models that are loaded.
func WithModels(models ...mp.ModelID) Option {
	return func(en *Engine) { en.models = models }
}

// WithMeanAnswerTokens sets the mean length of an answer without max_tokens.
func WithMeanAnswerTokens(tokens mp.Tokens) Option {
	return func(en *Engine) { en.answerTokens = tokens }
}

// WithLoadReportInterval sets the age that load reports may have.
func WithLoadReportInterval(lag time.Duration) Option {
	return func(en *Engine) { en.loadLag = lag }
}

// WithKeepAliveInterval sets how often a stream without news gets a comment.
func WithKeepAliveInterval(interval time.Duration) Option {
	return func(en *Engine) { en.keepAlive = interval }
}

const (
	defaultAnswerTokens = 24
	defaultKeepAlive    = time.Second
)

// New returns a running stand-in and a function that stops it.
func New(opts ...Option) (*Engine, func()) {
	en := &Engine{
		clock:        clockwork.NewRealClock(),
		params:       enginemodel.DefaultParams(),
		answerTokens: defaultAnswerTokens,
		keepAlive:    defaultKeepAlive,
		streams:      map[mp.RequestID]*stream{},
		slowdown:     1,
		wake:         make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(en)
	}
	en.model = enginemodel.New(en.params)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		en.run(stop)
	}()
	return en, func() {
		close(stop)
		<-done
	}
}

// run steps the modelled engine until it is stopped. The tokens of an iteration
// are delivered at its end.
func (en *Engine) run(stop <-chan struct{}) {
	for {
		took, progress := en.step()
		if took == 0 {
			select {
			case <-stop:
				return
			case <-en.wake:
			}
			continue
		}
		select {
		case <-stop:
			return
		case <-en.clock.After(took):
		}
		en.deliver(progress)
	}
}

// step begins an iteration. Its progress is valid until the next one.
func (en *Engine) step() (time.Duration, []enginemodel.Progress) {
	en.mu.Lock()
	defer en.mu.Unlock()
	took, progress := en.model.Step()
	return time.Duration(float64(took) * en.slowdown), progress
}

// deliver wakes the streams that gained a token.
func (en *Engine) deliver(progress []enginemodel.Progress) {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, pr := range progress {
		en.generated++
		st, ok := en.streams[pr.Sequence.ID]
		if !ok {
			continue
		}
		st.produced = pr.Sequence.Produced
		st.finished = pr.Finished
		notify(st.changed)
	}
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// SetFault switches a fault on for new and running requests. Streams meet it
// behind the given count of tokens.
func (en *Engine) SetFault(fault Fault, behind mp.Tokens) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.fault, en.faultAt = fault, behind
	for _, st := range en.streams {
		notify(st.changed)
	}
}

// SetSlowdown multiplies the time of every iteration.
func (en *Engine) SetSlowdown(factor float64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.slowdown = factor
}

// Stats counts what a stand-in did.
type Stats struct {
	// Generated counts tokens, wasted ones included.
	Generated mp.Tokens
	// Started counts requests that were accepted.
	Started int
	// Cancelled counts requests that ended before their last token.
	Cancelled int
	// Running and Waiting are the load right now.
	Running, Waiting int
}

// Stats returns the counts so far.
func (en *Engine) Stats() Stats {
	en.mu.Lock()
	defer en.mu.Unlock()
	return Stats{
		Generated: en.generated,
		Started:   en.started,
		Cancelled: en.cancelled,
		Running:   en.model.Running(),
		Waiting:   en.model.Waiting(),
	}
}

// Handler returns the HTTP interface of the engine.
func (en *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", en.serveCompletion)
	mux.HandleFunc("POST /v1/completions", en.serveCompletion)
	mux.HandleFunc("POST /v1/requests/{id}/cancel", en.serveCancel)
	mux.HandleFunc("GET /v1/load", en.serveLoad)
	return mux
}
