package gateway

import (
	"context"
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
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/metrics"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/retry"
	"github.com/mangopaddle/mangopaddle/routing"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10 // bytes
	pruneInterval = time.Second
	// acceptTime is how long a stopping host goes on accepting: the balancer asks
	// each second and takes a host out after two refusals.
	acceptTime = 2800 * time.Millisecond
	// lastMoment is left of the time to stop when the host ends.
	lastMoment = 300 * time.Millisecond
	// mostHosts is by how many hosts the retry slack is divided.
	mostHosts = 100
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
	sheets   *peer.Sheets

	peers *peer.Node

	reloadMu sync.Mutex
	// waiting are settings that need a restart and were logged; reloadFault is the
	// last fault of the file that was logged.
	waiting     Settings
	reloadFault string

	budgetMu sync.Mutex
	budgets  map[mp.ServiceName]*retry.Window

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

// WithDropped sets a function that counts the log lines that were dropped.
func WithDropped(dropped func() int64) Option {
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
		sheets:   peer.NewSheets(settings.Host),
		budgets:  map[mp.ServiceName]*retry.Window{},
		failed:   make(chan error, 4),
	}
	for _, opt := range opts {
		opt(ga)
	}
	ga.startedAt = ga.clock.Now()
	ga.placer = placement.New(placement.WithOthers(ga.othersLoad))
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
	store, closeStore := platform.New(ga.settings.Store)
	ga.addCleanup(closeStore)
	follower, stopFollower := follow.New(store, ga.view,
		follow.WithClock(ga.clock), follow.WithLogger(ga.logger), follow.WithChanged(ga.updateServers),
		follow.WithRank(ga.rank), follow.WithInterval(ga.settings.readInterval()))
	ga.follower = follower
	ga.addCleanup(stopFollower)
	self := peer.Member{Address: peer.Address(ga.settings.Peers), DataCentre: ga.settings.DataCentre}
	peers, stopPeers, err := peer.New(self, addresses(ga.settings.Seeds), ga,
		peer.WithClock(ga.clock), peer.WithLogger(ga.logger))
	if err != nil {
		return errors.Trace(err)
	}
	ga.peers = peers
	ga.addCleanup(stopPeers)
	stopLoads, err := peer.NewLoads(ga.settings.Host, self, ga.settings.Loads, peers, ga,
		peer.WithLoadsClock(ga.clock), peer.WithLoadsLogger(ga.logger))
	if err != nil {
		return errors.Trace(err)
	}
	ga.addCleanup(stopLoads)
	ga.every(pruneInterval, ga.maintain)

	callers := newServer(http.HandlerFunc(ga.serveCaller))
	ga.callers = callers
	listeners := []struct {
		name, address string
		server        *http.Server
	}{
		{"callers", ga.settings.Callers, callers},
		{"readiness", ga.settings.Readiness, newServer(http.HandlerFunc(ga.serveReadiness))},
		{"metrics", ga.settings.Metrics, newServer(exposition)},
	}
	for _, li := range listeners {
		if err := ga.listen(li.address, li.server); err != nil {
			return errors.Annotatef(err, "listener for %s", li.name)
		}
	}
	ga.logger.Info().Str("event", "started").Str("host", string(ga.settings.Host)).
		Str("data_centre", string(ga.settings.DataCentre)).Str("callers", ga.settings.Callers).Msg("host started")
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

func (ga *Gateway) listen(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			ga.failed <- errors.Trace(err)
		}
	}()
	ga.addCleanup(func() {
		_ = server.Close()
		<-done
	})
	return nil
}

// pauseLimit is the gap between two rounds of maintenance that counts as a pause
// of the machine.
const pauseLimit = 2500 * time.Millisecond

// maintain closes old idle connections. After a pause of the machine none is
// trusted: the monotonic clock doesn't count a suspension, the wall clock does.
func (ga *Gateway) maintain() {
	now := ga.clock.Now()
	gap := max(now.Sub(ga.maintainedAt), now.Round(0).Sub(ga.maintainedAt.Round(0)))
	if !ga.maintainedAt.IsZero() && gap > pauseLimit {
		ga.logger.Warn().Str("event", "paused").Dur("gap_ms", gap).Msg("the machine was paused; idle connections are closed")
		ga.backends.Forget()
		ga.follower.Refresh()
	}
	ga.maintainedAt = now
	ga.backends.Prune()
	ga.report()
}

// every calls a function at an interval until the host ends.
func (ga *Gateway) every(interval time.Duration, call func()) {
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := ga.clock.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.Chan():
				call()
			}
		}
	}()
	ga.addCleanup(func() {
		close(stop)
		<-done
	})
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

// Failed returns a channel that brings the error of a listener that broke.
func (ga *Gateway) Failed() <-chan error { return ga.failed }

// Version returns the version of the configuration in force, zero for none.
func (ga *Gateway) Version() mp.Version { return ga.view.Load().Version() }

// Takers returns how many backend servers of a service take new requests.
func (ga *Gateway) Takers(service mp.ServiceName) int {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	return ga.placer.Count(service)
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

// updateServers gives the placer the servers that take new requests.
func (ga *Gateway) updateServers(snapshot *follow.Snapshot) {
	if snapshot.Table == nil {
		return
	}
	steady := steadyServices(snapshot.Table)
	servers := make([]placement.Server, 0, len(snapshot.Servers))
	for _, se := range snapshot.Servers {
		if se.State != directory.Ready {
			continue
		}
		service, ok := snapshot.Table.Service(se.Service)
		servers = append(servers, placement.Server{
			ID:       se.ID,
			Service:  se.Service,
			Address:  se.Address,
			Slots:    se.Slots,
			Distance: ga.distance(se.DataCentre),
			Engine:   ok && service.Engine != nil,
			Steady:   steady[se.Service],
		})
	}
	ga.placerMu.Lock()
	ga.placer.SetServers(servers)
	ga.placerMu.Unlock()
}

// steadyServices returns the services that steady streams are sent to.
func steadyServices(table *routing.Table) map[mp.ServiceName]bool {
	steady := map[mp.ServiceName]bool{}
	for _, ro := range table.Routes() {
		for _, share := range ro.Shares {
			if isSteady(table, ro, share.Service) {
				steady[share.Service] = true
			}
		}
	}
	return steady
}

// isSteady says whether the events of a route's answers must follow each other
// closely at a service.
func isSteady(table *routing.Table, ro *routing.Route, name mp.ServiceName) bool {
	service, ok := table.Service(name)
	return ok && service.Engine != nil && placement.Steady(ro.LongestGap, service.Engine.EventTokens)
}

// othersLoad returns what other hosts have outstanding at a server. The caller
// holds the lock of the placer.
func (ga *Gateway) othersLoad(id mp.ServerID) placement.Load {
	return placement.Load(ga.sheets.Total(id))
}

func (ga *Gateway) distance(dc mp.DataCentreID) placement.Distance {
	switch {
	case dc == ga.settings.DataCentre:
		return placement.SameDataCentre
	case ga.settings.Regions[dc] == ga.settings.Region:
		return placement.SameRegion
	default:
		return placement.OtherRegion
	}
}

// countRequest counts a request for the retry budget of its service.
func (ga *Gateway) countRequest(re *request) {
	ga.budgetMu.Lock()
	defer ga.budgetMu.Unlock()
	ga.budget(re.service).Request(ga.clock.Now())
}

func (ga *Gateway) withdrawRetry(re *request) bool {
	ga.budgetMu.Lock()
	defer ga.budgetMu.Unlock()
	return ga.budget(re.service).Withdraw(ga.clock.Now())
}

func (ga *Gateway) budget(service mp.ServiceName) *retry.Window {
	bu, ok := ga.budgets[service]
	if !ok {
		bu = retry.NewWindow(ga.settings.RetryWindow.Std(), ga.settings.RetryRatio, ga.settings.RetrySlack/mostHosts)
		ga.budgets[service] = bu
	}
	return bu
}

// Drain is a graceful shutdown: the host says that it is not ready, accepts
// requests until the balancer has noticed, and finishes those in progress.
func (ga *Gateway) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ga.settings.StopTime.Std()-lastMoment)
	defer cancel()
	ga.stopping.Store(true)
	ga.logger.Info().Str("event", "stopping").Int64("in_flight", ga.inFlight.Load()).Msg("host stopping")
	select {
	case <-ga.clock.After(acceptTime):
	case <-ctx.Done():
	}
	ga.closing.Store(true)
	if err := ga.callers.Shutdown(ctx); err != nil {
		return errors.Annotatef(err, "%d requests were still in progress", ga.inFlight.Load())
	}
	ga.logger.Info().Str("event", "stopped").Msg("host drained")
	return nil
}
