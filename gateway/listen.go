package gateway

import (
	"net"
	"net/http"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/clientlimit"
	"github.com/mangopaddle/mangopaddle/httpserver"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/routing"
)

// maxHeaderBytes is the largest header that a configuration can allow. The limiter applies
// the one in force.
const maxHeaderBytes = 1 << 20

// limiters bound the clients of the listeners. They share one budget of memory.
type limiters struct {
	callers, readiness, metrics, hosts *clientlimit.Limiter
	budget                             *clientlimit.Budget
	reporter                           *clientlimit.Reporter
}

func newLimiters(settings Settings, logger zerolog.Logger, scope tally.Scope) *limiters {
	budget := clientlimit.NewBudget(clientlimit.Memory(mp.Bytes(settings.MemoryMB) * mp.Mebibyte))
	reporter := clientlimit.NewReporter(logger, scope)
	descriptors := clientlimit.Descriptors()
	operators := clientlimit.OperatorLimits(budget.Limit(), descriptors)
	return &limiters{
		callers:   clientlimit.New(clientlimit.CallerLimits(budget.Limit(), descriptors), budget, reporter),
		readiness: clientlimit.New(operators, budget, reporter),
		metrics:   clientlimit.New(operators, budget, reporter),
		hosts:     clientlimit.New(clientlimit.CallerLimits(budget.Limit()/2, descriptors/2), budget, reporter),
		budget:    budget,
		reporter:  reporter,
	}
}

// configure applies the limits of a configuration to callers and to the hosts that forward
// requests.
func (li *limiters) configure(limits routing.Limits) {
	configured := clientlimit.Configured{
		MaxHeaderBytes: limits.MaxHeaderBytes,
		HeaderTimeout:  limits.HeaderTimeout,
		IdleTimeout:    limits.IdleTimeout,
	}
	li.callers.Configure(configured)
	if configured.MaxHeaderBytes > 0 {
		configured.MaxHeaderBytes += forwardHeaderBytes
	}
	configured.IdleTimeout = 0 // other hosts close idle connections before the default time
	li.hosts.Configure(configured)
}

// listen starts the HTTP servers for callers, readiness checks and metrics.
func (ga *Gateway) listen(exposition http.Handler) error {
	var err error
	ga.callerServer, err = ga.serve(ga.settings.CallerAddress, http.HandlerFunc(ga.serveCaller), ga.limiters.callers,
		httpserver.WithMaxHeaderBytes(maxHeaderBytes), httpserver.WithRefuse(http.HandlerFunc(ga.refuseCaller)))
	if err != nil {
		return errors.Annotate(err, "listener for callers")
	}
	if err = ga.listenForwards(); err != nil {
		return errors.Annotate(err, "listener for other hosts' requests")
	}
	if _, err = ga.serve(ga.settings.ReadinessAddress, http.HandlerFunc(ga.serveReadiness), ga.limiters.readiness); err != nil {
		return errors.Annotate(err, "listener for readiness")
	}
	if _, err = ga.serve(ga.settings.MetricsAddress, exposition, ga.limiters.metrics); err != nil {
		return errors.Annotate(err, "listener for metrics")
	}
	return nil
}

// serve starts an HTTP server on an address. It runs until the gateway is closed.
func (ga *Gateway) serve(address string, handler http.Handler, limiter *clientlimit.Limiter, opts ...httpserver.Option) (*httpserver.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return ga.serveOn(listener, handler, limiter, opts...), nil
}

// serveOn is serve with a listener.
func (ga *Gateway) serveOn(listener net.Listener, handler http.Handler, limiter *clientlimit.Limiter, opts ...httpserver.Option) *httpserver.Server {
	server, stop := httpserver.New(listener, handler, func(err error) { ga.listenerErrors <- err },
		append(opts, httpserver.WithLimiter(limiter))...)
	ga.addCleanup(stop)
	return server
}

// refuseCaller responds to a request for which the host has no room.
func (ga *Gateway) refuseCaller(rw http.ResponseWriter, rq *http.Request) {
	ga.refuse(ga.newRequest(rw, rq))
}

// refuse responds to a request for which the host has no room.
func (ga *Gateway) refuse(re *request) {
	headers, _ := platform.DecodeRequestHeaders(re.rq.Header) // the refusal only needs the identifier
	re.headers = headers
	ga.respondError(re, mp.NewError(mp.KindOverloaded, "no room for another request"))
}
