package gateway

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/background"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/httpserver"
	"github.com/mangopaddle/mangopaddle/metrics"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/retry"
)

const (
	pruneInterval = time.Second
)

// Gateway is a running host.
type Gateway struct {
	settings Settings
	clock    clockwork.Clock
	logger   zerolog.Logger
	view     *follow.View
	follower *follow.Follower
	backends *backend.Pool
	counters *counters
	dropped  func() int64 // log lines

	placerMu sync.Mutex
	placer   *placement.Placer
	sheets   *peer.LoadTable

	peers *peer.Node

	reloadMu sync.Mutex
	// waiting are settings that need a restart and were logged; reloadFault is the
	// last fault of the file that was logged.
	waiting     Settings
	reloadFault string

	budgetMu sync.Mutex
	budgets  map[mp.ServiceName]*retry.WindowBudget

	inFlight atomic.Int64
	// stopping says that the host leaves the balancer; closing that it takes no
	// request any more.
	stopping, closing atomic.Bool

	startedAt time.Time
	// maintainedAt is when maintenance ran last; its goroutine alone uses it.
	maintainedAt time.Time
	callers      *http.Server
	cleanups     []func()
	failed       chan error
}

// Option changes a gateway under construction.
type Option func(*Gateway)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(ga *Gateway) { ga.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) Option {
	return func(ga *Gateway) { ga.logger = logger }
}

// WithDroppedLines sets a function that counts the log lines that were dropped.
func WithDroppedLines(dropped func() int64) Option {
	return func(ga *Gateway) { ga.dropped = dropped }
}

// New starts a host and returns it with a function that ends it at once. For a
// graceful shutdown call Drain first.
func New(settings Settings, opts ...Option) (*Gateway, func(), error) {
	if err := settings.Check(); err != nil {
		return nil, nil, errors.Trace(err)
	}
	ga := &Gateway{
		settings: settings,
		clock:    clockwork.NewRealClock(),
		logger:   zerolog.Nop(),
		view:     follow.NewView(),
		dropped:  func() int64 { return 0 },
		sheets:   peer.NewLoadTable(settings.Host),
		budgets:  map[mp.ServiceName]*retry.WindowBudget{},
		failed:   make(chan error, 4),
	}
	for _, opt := range opts {
		opt(ga)
	}
	ga.startedAt = ga.clock.Now()
	ga.placer = placement.New(placement.WithPeerLoad(ga.othersLoad))
	if err := ga.start(); err != nil {
		ga.close()
		return nil, nil, errors.Trace(err)
	}
	return ga, ga.close, nil
}

func (ga *Gateway) start() error {
	scope, exposition, closeMetrics, err := metrics.New()
	if err != nil {
		return errors.Trace(err)
	}
	ga.addCleanup(closeMetrics)
	ga.counters = newCounters(scope)
	backends, closeBackends := backend.New(backend.WithClock(ga.clock))
	ga.backends = backends
	ga.addCleanup(closeBackends)
	store, closeStore := platform.New(ga.settings.StoreAddress)
	ga.addCleanup(closeStore)
	follower, stopFollower := follow.New(store, ga.view,
		follow.WithClock(ga.clock), follow.WithLogger(ga.logger), follow.WithOnChange(ga.updateServers),
		follow.WithRank(ga.rank), follow.WithInterval(ga.settings.readInterval()))
	ga.follower = follower
	ga.addCleanup(stopFollower)
	self := peer.Member{Address: peer.Address(ga.settings.PeerAddress), DataCentre: ga.settings.DataCentre}
	peers, stopPeers, err := peer.New(self, addresses(ga.settings.Seeds), ga,
		peer.WithClock(ga.clock), peer.WithLogger(ga.logger))
	if err != nil {
		return errors.Trace(err)
	}
	ga.peers = peers
	ga.addCleanup(stopPeers)
	stopLoads, err := peer.NewLoadBroadcaster(ga.settings.Host, self, ga.settings.LoadAddress, peers, ga,
		peer.WithBroadcasterClock(ga.clock), peer.WithBroadcasterLogger(ga.logger))
	if err != nil {
		return errors.Trace(err)
	}
	ga.addCleanup(stopLoads)
	ga.addCleanup(background.Every(ga.clock, pruneInterval, ga.maintain))

	if ga.callers, err = ga.serve(ga.settings.CallerAddress, http.HandlerFunc(ga.serveCaller)); err != nil {
		return errors.Annotate(err, "listener for callers")
	}
	if _, err = ga.serve(ga.settings.ReadinessAddress, http.HandlerFunc(ga.serveReadiness)); err != nil {
		return errors.Annotate(err, "listener for readiness")
	}
	if _, err = ga.serve(ga.settings.MetricsAddress, exposition); err != nil {
		return errors.Annotate(err, "listener for metrics")
	}
	ga.logger.Info().Str("event", "started").Str("host", string(ga.settings.Host)).
		Str("data_centre", string(ga.settings.DataCentre)).Str("callers", ga.settings.CallerAddress).Msg("host started")
	return nil
}

// serve serves a handler at an address until the host ends.
func (ga *Gateway) serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	server, stop := httpserver.New(listener, handler, func(err error) { ga.failed <- err })
	ga.addCleanup(stop)
	return server, nil
}

func (ga *Gateway) addCleanup(cleanup func()) {
	ga.cleanups = append(ga.cleanups, cleanup)
}

// close runs the clean-ups, the newest first.
func (ga *Gateway) close() {
	for ix := len(ga.cleanups) - 1; ix >= 0; ix-- {
		ga.cleanups[ix]()
	}
	ga.cleanups = nil
}

// ListenerErrors returns a channel that brings the error of a listener that broke.
func (ga *Gateway) ListenerErrors() <-chan error { return ga.failed }

// Version returns the version of the configuration in force, zero for none.
func (ga *Gateway) Version() mp.Version { return ga.view.Load().Version() }

// AvailableServers returns how many backend servers of a service take new requests.
func (ga *Gateway) AvailableServers(service mp.ServiceName) int {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	return ga.placer.ServerCount(service)
}

// Ready says whether the host can serve callers.
func (ga *Gateway) Ready() bool {
	snapshot := ga.view.Load()
	return snapshot.Table != nil && len(snapshot.Servers) > 0 && !ga.stopping.Load()
}

func (ga *Gateway) serveReadiness(rw http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path != platform.ReadinessPath {
		http.NotFound(rw, rq)
		return
	}
	if !ga.Ready() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rw.WriteHeader(http.StatusOK)
}
