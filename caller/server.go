// Package caller is the HTTP server for the router's callers: the chat
// completions API, streaming and non-streaming, and a proxy for plain services
// (those that are not model engines). A caller is an API client. Its API key
// identifies the contract of its organisation, and each request runs in one of
// the contract's classes, which sets its service level. Package pool assigns
// completions to engines, package engine and package service send the requests.
package caller

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/clientlimit"
	"github.com/mangopaddle/mangopaddle/engine"
	"github.com/mangopaddle/mangopaddle/meter"
	"github.com/mangopaddle/mangopaddle/pool"
	"github.com/mangopaddle/mangopaddle/service"
)

// Limits restricts the size of requests and the speed at which answers must be read.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes mp.Bytes
	// MaxJSONDepth is the maximum nesting depth of a JSON body.
	MaxJSONDepth int
	// WriteTimeout is the time within which the caller must accept one event of
	// a stream.
	WriteTimeout time.Duration
}

// DefaultLimits returns the limits that apply unless WithLimits changes them.
func DefaultLimits() Limits {
	return Limits{MaxBodyBytes: 4 * mp.Mebibyte, MaxJSONDepth: 64, WriteTimeout: 15 * time.Second}
}

// Server handles the requests of callers.
type Server struct {
	view     *blackboard.View
	pool     *pool.Pool
	engines  *engine.Client
	services *service.Client
	meter    *meter.Meter
	clock    clockwork.Clock
	logger   zerolog.Logger
	limits   Limits
	retrier  *retrier
	// largeChecks holds a value while a large body is checked.
	largeChecks chan struct{}
}

// Option configures a Server.
type Option func(*Server)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option {
	return func(se *Server) { se.clock = clock }
}

// WithLimits sets the limits; the default is DefaultLimits.
func WithLimits(limits Limits) Option {
	return func(se *Server) { se.limits = limits }
}

// WithLogger sets the logger for internal errors; the default discards them.
func WithLogger(logger zerolog.Logger) Option {
	return func(se *Server) { se.logger = logger }
}

// New returns a server that takes its configuration from the view and its
// engines from the pool.
func New(view *blackboard.View, po *pool.Pool, engines *engine.Client, services *service.Client, me *meter.Meter, opts ...Option) *Server {
	se := &Server{
		view:     view,
		pool:     po,
		engines:  engines,
		services: services,
		meter:    me,
		clock:    clockwork.NewRealClock(),
		logger:   zerolog.Nop(),
		limits:   DefaultLimits(),
		retrier:  newRetrier(),

		largeChecks: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// handler serves one request. A returned error is written as the response
// unless the response has started.
type handler func(ex *exchange) error

// Handler returns the HTTP handler for callers.
func (se *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/models", se.wrap(se.serveModels))
	mux.Handle("GET /v1/models/{model}", se.wrap(se.serveModel))
	mux.Handle("POST /v1/chat/completions", se.wrap(se.serveCompletion))
	mux.Handle("POST /v1/completions", se.wrap(se.serveCompletion))
	mux.Handle("/services/{name}/{path...}", se.wrap(se.serveService))
	for _, path := range []string{"/v1/models", "/v1/models/{model}", "/v1/chat/completions", "/v1/completions"} {
		mux.Handle(path, se.wrap(methodNotAllowed))
	}
	mux.Handle("/", se.wrap(pathNotFound))
	return mux
}

func methodNotAllowed(ex *exchange) error {
	return mp.NewError(mp.KindMethodNotAllowed, "method %s is not allowed for %s", ex.request.Method, ex.request.URL.Path)
}

func pathNotFound(ex *exchange) error {
	return mp.NewError(mp.KindNotFound, "path %q does not exist", ex.request.URL.Path)
}

// RefuseHandler returns the HTTP handler of requests for which the host has no room. They
// are not run.
func (se *Server) RefuseHandler() http.Handler {
	return se.wrap(func(*exchange) error {
		return mp.NewError(mp.KindOverloaded, "this host has no room for another request")
	})
}

// exchange is one HTTP request and its response.
type exchange struct {
	id              mp.RequestID
	request         *http.Request
	writer          http.ResponseWriter
	control         *http.ResponseController
	snapshot        *blackboard.Snapshot
	arrival         time.Time
	body            *clientlimit.Body // received; nil for none
	responseStarted bool              // the status line was sent
}

// wrap adapts a handler to net/http: it assigns the request ID, takes the
// current configuration snapshot and turns the handler's error into a response.
func (se *Server) wrap(serve handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		ex := &exchange{
			id:       mp.NewRequestID(),
			request:  rq,
			writer:   rw,
			control:  http.NewResponseController(rw),
			snapshot: se.view.Load(),
			arrival:  se.clock.Now(),
		}
		rw.Header().Set(mp.HeaderRequestID, string(ex.id))
		defer se.meter.TrackInFlight()()
		defer func() { ex.body.Release() }()
		if ex.snapshot == nil {
			se.finish(ex, mp.NewError(mp.KindNotConfigured, "this host has no configuration yet; the request was not run"))
			return
		}
		se.finish(ex, serve(ex))
	})
}

// finish records the result and writes an error response if err is not nil and
// no response has started. If the caller has disconnected, it aborts the handler.
func (se *Server) finish(ex *exchange, err error) {
	if err == nil {
		se.meter.RecordAnswered()
		return
	}
	er := mp.AsError(err)
	se.meter.RecordFailed(er.Kind)
	if er.Kind == mp.KindInternal {
		se.logger.Error().Str("request_id", string(ex.id)).Err(errors.Trace(err)).Msg("request failed with an internal error")
	}
	if er.Kind == mp.KindCallerGone {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if !ex.responseStarted {
		writeError(ex, er)
	}
}
