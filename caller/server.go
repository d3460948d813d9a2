// Package caller serves the callers of the router: the chat completions API,
// with streams and whole answers, and the plain services.
package caller

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/engine"
	"github.com/mangopaddle/mangopaddle/meter"
	"github.com/mangopaddle/mangopaddle/pool"
	"github.com/mangopaddle/mangopaddle/service"
)

// Limits bounds what a caller may send and how slow it may be.
type Limits struct {
	// MaxBodySize bounds a request's body.
	MaxBodySize mp.Bytes
	// MaxJSONDepth bounds the nesting of a JSON body.
	MaxJSONDepth int
	// ReadTimeout bounds the time in which a body must arrive.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time in which a caller must take one chunk.
	WriteTimeout time.Duration
}

// DefaultLimits returns the limits that suit most callers.
func DefaultLimits() Limits {
	return Limits{MaxBodySize: 4 * mp.Mebibyte, MaxJSONDepth: 64, ReadTimeout: 15 * time.Second, WriteTimeout: 15 * time.Second}
}

// Server answers callers.
type Server struct {
	view     *blackboard.View
	pool     *pool.Pool
	engines  *engine.Client
	services *service.Client
	meter    *meter.Meter
	clock    clockwork.Clock
	logger   zerolog.Logger
	limits   Limits
	retries  *retries
}

// Option changes a server under construction.
type Option func(*Server)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(se *Server) { se.clock = clock }
}

// WithLimits sets the limits.
func WithLimits(limits Limits) Option {
	return func(se *Server) { se.limits = limits }
}

// WithLogger sets where failures inside the server are logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(se *Server) { se.logger = logger }
}

// New returns a server.
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
		retries:  newRetries(),
	}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// handler answers a request or returns why it could not.
type handler func(ex *exchange) error

// Handler returns the HTTP interface for callers.
func (se *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/models", se.wrap(se.serveModels))
	mux.Handle("GET /v1/models/{model}", se.wrap(se.serveModel))
	mux.Handle("POST /v1/chat/completions", se.wrap(se.serveCompletion))
	mux.Handle("POST /v1/completions", se.wrap(se.serveCompletion))
	mux.Handle("/services/{name}/{path...}", se.wrap(se.serveService))
	for _, path := range []string{"/v1/models", "/v1/models/{model}", "/v1/chat/completions", "/v1/completions"} {
		mux.Handle(path, se.wrap(refuseMethod))
	}
	mux.Handle("/", se.wrap(refusePath))
	return mux
}

func refuseMethod(ex *exchange) error {
	return mp.NewError(mp.KindMethodNotAllowed, "method %s is not allowed for %s", ex.request.Method, ex.request.URL.Path)
}

func refusePath(ex *exchange) error {
	return mp.NewError(mp.KindNotFound, "path %q does not exist", ex.request.URL.Path)
}

// exchange is one request with its answer.
type exchange struct {
	id       mp.RequestID
	request  *http.Request
	writer   http.ResponseWriter
	control  *http.ResponseController
	snapshot *blackboard.Snapshot
	arrival  time.Time
	begun    bool // the answer's status was sent
}

// wrap runs a handler and turns its error into an answer.
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
		if ex.snapshot == nil {
			se.finish(ex, mp.NewError(mp.KindNotConfigured, "this host has no configuration yet; the request was not run"))
			return
		}
		se.finish(ex, serve(ex))
	})
}

// finish counts the answer and writes the error, if there is one.
func (se *Server) finish(ex *exchange, err error) {
	if err == nil {
		se.meter.RecordAnswered()
		return
	}
	er := mp.AsError(err)
	se.meter.RecordFailed(er.Kind)
	if er.Kind == mp.KindInternal {
		se.logger.Error().Str("request_id", string(ex.id)).Err(errors.Trace(err)).Msg("request failed inside the host")
	}
	if er.Kind == mp.KindCallerGone {
		panic(http.ErrAbortHandler) // ends the connection without an answer
	}
	if !ex.begun {
		writeError(ex, er)
	}
}
