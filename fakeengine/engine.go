// Package fakeengine is a fake model engine for tests and demos. It serves the
// chat completions API on top of a simulated engine with continuous batching,
// priorities and a prefix cache. It supports cached load reports, resuming,
// cancelling and fault injection.
package fakeengine

import (
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/enginemodel"
)

// Fault is a failure mode that SetFault injects.
type Fault int

// Injectable faults.
const (
	FaultNone Fault = iota
	// FaultUnavailable responds to every new request with status 503.
	FaultUnavailable
	// FaultPause responds to every new request with status 503 and asks for a pause of an
	// hour.
	FaultPause
	// FaultHang keeps connections open but sends nothing more.
	FaultHang
	// FaultTruncate ends each stream early without an error.
	FaultTruncate
	// FaultCrash aborts each connection.
	FaultCrash
)

// Engine is a fake engine.
type Engine struct {
	clock              clockwork.Clock
	params             enginemodel.Params
	models             []mp.ModelID
	meanAnswerTokens   mp.Tokens
	keepAliveInterval  time.Duration
	loadReportInterval time.Duration

	mu         sync.Mutex
	simulated  *enginemodel.Engine
	streams    map[mp.RequestID]*stream
	fault      Fault
	faultAfter mp.Tokens
	slowdown   float64
	wake       chan struct{}
	report     mp.EngineLoad
	reportAt   time.Time
	generated  mp.Tokens
	started    int
	cancelled  int
}

// stream is one accepted request.
type stream struct {
	sequence *enginemodel.Sequence
	changed  chan struct{} // capacity 1; signals progress or cancellation
	produced mp.Tokens     // delivered to the stream so far
	finished bool
}

// Option configures an Engine.
type Option func(*Engine)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option {
	return func(en *Engine) { en.clock = clock }
}

// WithParams sets the size and speed of the simulated engine; the default is
// enginemodel.DefaultParams.
func WithParams(pa enginemodel.Params) Option {
	return func(en *Engine) { en.params = pa }
}

// WithModels sets the loaded models; without it, every request is refused.
func WithModels(models ...mp.ModelID) Option {
	return func(en *Engine) { en.models = models }
}

// WithMeanAnswerTokens sets the mean length of the answer to a request without
// max_tokens; the default is 24 tokens.
func WithMeanAnswerTokens(tokens mp.Tokens) Option {
	return func(en *Engine) { en.meanAnswerTokens = tokens }
}

// WithLoadReportInterval sets how long a load report is served before it is
// refreshed; by default, each report is new.
func WithLoadReportInterval(interval time.Duration) Option {
	return func(en *Engine) { en.loadReportInterval = interval }
}

// WithKeepAliveInterval sets how often an idle stream gets a keep-alive comment;
// the default is 1 s.
func WithKeepAliveInterval(interval time.Duration) Option {
	return func(en *Engine) { en.keepAliveInterval = interval }
}

const (
	defaultMeanAnswerTokens  = 24
	defaultKeepAliveInterval = time.Second
)

// New starts a fake engine and returns it with a function that stops it.
func New(opts ...Option) (*Engine, func()) {
	en := &Engine{
		clock:             clockwork.NewRealClock(),
		params:            enginemodel.DefaultParams(),
		meanAnswerTokens:  defaultMeanAnswerTokens,
		keepAliveInterval: defaultKeepAliveInterval,
		streams:           map[mp.RequestID]*stream{},
		slowdown:          1,
		wake:              make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(en)
	}
	en.simulated = enginemodel.New(en.params)
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

// run steps the simulated engine until stop is closed. The tokens of a step are
// delivered when its simulated time has passed.
func (en *Engine) run(stop <-chan struct{}) {
	for {
		duration, progress := en.step()
		if duration == 0 {
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
		case <-en.clock.After(duration):
		}
		en.deliver(progress)
	}
}

// step runs a step of the simulated engine and returns its duration and progress. The
// progress is valid until the next call.
func (en *Engine) step() (time.Duration, []enginemodel.Progress) {
	en.mu.Lock()
	defer en.mu.Unlock()
	duration, progress := en.simulated.Step()
	return time.Duration(float64(duration) * en.slowdown), progress
}

// deliver hands new tokens to their streams and wakes them.
func (en *Engine) deliver(progress []enginemodel.Progress) {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, pr := range progress {
		en.generated++
		st, ok := en.streams[pr.Sequence.ID]
		if !ok {
			continue
		}
		st.produced = pr.Sequence.ProducedTokens
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

// SetFault injects a fault into new and running requests; FaultNone ends it. A
// stream fails once it has produced the given number of tokens. On a response that
// is not streamed, FaultHang and FaultCrash take effect regardless of that number,
// and FaultTruncate has no effect.
func (en *Engine) SetFault(fault Fault, after mp.Tokens) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.fault, en.faultAfter = fault, after
	for _, st := range en.streams {
		notify(st.changed)
	}
}

// SetSlowdown multiplies the duration of every step by factor.
func (en *Engine) SetSlowdown(factor float64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.slowdown = factor
}

// Stats holds the counters and the current load of a fake engine.
type Stats struct {
	// Generated counts all generated tokens, including those of cancelled
	// requests.
	Generated mp.Tokens
	// Started counts accepted requests.
	Started int
	// Cancelled counts requests that ended before their last token.
	Cancelled int
	// Running and Waiting are the current numbers of running and queued
	// requests.
	Running, Waiting int
}

// Stats returns the current counters and load.
func (en *Engine) Stats() Stats {
	en.mu.Lock()
	defer en.mu.Unlock()
	return Stats{
		Generated: en.generated,
		Started:   en.started,
		Cancelled: en.cancelled,
		Running:   en.simulated.Running(),
		Waiting:   en.simulated.Waiting(),
	}
}

// Handler returns the engine's HTTP handler.
func (en *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", en.serveCompletion)
	mux.HandleFunc("POST /v1/completions", en.serveCompletion)
	mux.HandleFunc("POST /v1/requests/{id}/cancel", en.serveCancel)
	mux.HandleFunc("GET /v1/load", en.serveLoad)
	return mux
}
