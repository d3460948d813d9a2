package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/background"
	"github.com/mangopaddle/mangopaddle/brittle"
	"github.com/mangopaddle/mangopaddle/coldstart"
	"github.com/mangopaddle/mangopaddle/fairness"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/httpserver"
	"github.com/mangopaddle/mangopaddle/metrics"
	"github.com/mangopaddle/mangopaddle/origin"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/quarantine"
	"github.com/mangopaddle/mangopaddle/retry"
)

// maintenanceInterval is the time between two maintenance runs.
const maintenanceInterval = time.Second

// leavingGraceDivisor is the fraction of the drain delay in which a server that has said
// that it is about to stop still gets requests if there is no other: it may have begun to
// drain before this host heard of it.
const leavingGraceDivisor = 2

// Gateway is one entry host: a reverse proxy that routes callers' requests to backend
// servers.
type Gateway struct {
	settings Settings
	clock    clockwork.Clock
	logger   zerolog.Logger
	view     *follow.View
	follower *follow.Follower
	backends *backend.Pool
	// forwards is for connections to other hosts; nil if the settings have no address for
	// forwarded requests.
	forwards    *backend.Pool
	forwardPort string // of all hosts
	// forwardPeersFunc takes the place of partition and forwardTable; nil unless set.
	forwardPeersFunc func() []peer.Address
	inspector        *inspector
	partition        *partitionMonitor
	counters         *counters
	droppedLines     func() int64 // number of dropped log lines

	placerMu  sync.Mutex
	placer    *placement.Placer
	loadTable *peer.LoadTable
	cold      *coldstart.Tracker
	// brittleTracker is guarded by placerMu, brittle is not.
	brittleTracker *brittle.Tracker
	brittle        brittleControl
	// usesColdStart reports that the configuration states cold times or rates of servers.
	usesColdStart bool
	fairness      *fairness.Tracker
	workloads     atomic.Pointer[workloads] // of the newest routing table
	// stepDurations is never nil.
	stepDurations atomic.Pointer[stepDurations]

	// overflow is nil unless the settings ask for it.
	overflow *overflowControl

	peers      *peer.Node
	peerDialer peer.Option
	admitDial  func(address string) error

	forwardTableMu sync.Mutex
	forwardTable   *peer.ForwardTable

	exceedingLogged map[exceedingKey]time.Time // used by the maintenance goroutine only

	reloadMu sync.Mutex
	// pendingSettings are changed settings that need a restart and have been
	// logged; lastReloadError is the last logged error of the settings file.
	pendingSettings Settings
	lastReloadError string

	originMu sync.Mutex
	// origins and softwareHistory tell at which software version streams began.
	origins         *origin.Table
	softwareHistory *origin.History
	// originWaits has room for the questions of other hosts that wait for a read of the list.
	originWaits chan struct{}
	// callerWaits are how long callers of each service are taken to wait for a stream.
	callerWaits map[mp.ServiceName]time.Duration

	quarantineMu sync.Mutex
	quarantine   *quarantine.List

	budgetMu     sync.Mutex
	retryBudgets map[mp.ServiceName]*retry.WindowBudget
	retrySlack   *retry.SharedSlack

	// buffers bounds what is held of all responses together.
	buffers  *backend.Buffers
	inFlight atomic.Int64
	// draining reports that the host is shutting down and not ready any more; refusing
	// that it also refuses new requests.
	draining, refusing atomic.Bool
	// endsAt is when a draining host gives up the requests that are left, in Unix
	// nanoseconds; ending is done from then on.
	endsAt      atomic.Int64
	ending      context.Context
	endRequests context.CancelFunc
	durations   *durations

	startedAt time.Time
	// loggedEvacuated are the evacuated data centres that were logged last. Only the
	// follower's callback uses it.
	loggedEvacuated []mp.DataCentreID
	// evacuatedServices are the services whose servers are all in evacuated data centres. Only
	// the follower's callback uses it.
	evacuatedServices map[mp.ServiceName]bool
	// evacuationsRefusedAt is when a refused list of evacuated data centres was logged last;
	// nil if none was.
	evacuationsRefusedAt atomic.Pointer[time.Time]
	// placedServers are those that the placer got last. Only the follower's callback uses it.
	placedServers []placement.Server
	// hasOtherSeeds reports that the seeds at the start were other hosts, from which
	// this one learns the state.
	hasOtherSeeds bool
	// sharesReads reports that one host reads the store for all data centres.
	sharesReads bool
	// maintainedAt is the time of the last maintenance run. Only the maintenance
	// goroutine uses it.
	maintainedAt time.Time
	// refusedSpeeds holds the implausible observations that were logged, by service. Only
	// the maintenance goroutine uses it.
	refusedSpeeds  map[mp.ServiceName]int64
	callerServer   *httpserver.Server
	forwardServer  *httpserver.Server // nil without an address for forwarded requests
	limiters       *limiters
	cleanups       []func()
	listenerErrors chan error
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(ga *Gateway) { ga.clock = clock }
}

// WithLogger sets the logger. The default discards all output.
func WithLogger(logger zerolog.Logger) Option {
	return func(ga *Gateway) { ga.logger = logger }
}

// WithDroppedLines sets a function that returns the number of dropped log lines,
// for the metrics.
func WithDroppedLines(droppedLines func() int64) Option {
	return func(ga *Gateway) { ga.droppedLines = droppedLines }
}

// WithPeerDialer sets how connections to other hosts are opened. The default is TCP.
func WithPeerDialer(dial peer.DialFunc) Option {
	return func(ga *Gateway) { ga.peerDialer = peer.WithDialer(dial) }
}

// WithAdmit sets a function that may refuse to open a connection to the address of a backend
// server, by an error. The default refuses none.
func WithAdmit(admit func(address string) error) Option {
	return func(ga *Gateway) { ga.admitDial = admit }
}

// New starts a gateway. The returned function stops it immediately; for a graceful
// shutdown, call Drain first. New returns an error if the settings are not valid or
// a listener cannot be opened.
func New(settings Settings, opts ...Option) (*Gateway, func(), error) {
	if err := settings.Check(); err != nil {
		return nil, nil, errors.Trace(err)
	}
	ga := &Gateway{
		settings:        settings,
		clock:           clockwork.NewRealClock(),
		logger:          zerolog.Nop(),
		view:            follow.NewView(),
		droppedLines:    func() int64 { return 0 },
		loadTable:       peer.NewLoadTable(settings.Host, settings.DataCentre),
		fairness:        fairness.New(),
		origins:         origin.NewTable(),
		softwareHistory: origin.NewHistory(),
		callerWaits:     map[mp.ServiceName]time.Duration{},
		originWaits:     make(chan struct{}, maxOriginWaits),
		quarantine:      quarantine.New(),
		durations:       newDurations(),
		buffers:         backend.NewBuffers(settings.bufferLimit()),
		exceedingLogged: map[exceedingKey]time.Time{},
		retryBudgets:    map[mp.ServiceName]*retry.WindowBudget{},
		retrySlack:      retry.NewSharedSlack(settings.RetrySlack, len(settings.Regions)),
		peerDialer:      func(*peer.Node) {},
		admitDial:       func(string) error { return nil },
		listenerErrors:  make(chan error, 4),
		refusedSpeeds:   map[mp.ServiceName]int64{},
	}
	ga.stepDurations.Store(&stepDurations{})
	for _, opt := range opts {
		opt(ga)
	}
	ga.ending, ga.endRequests = context.WithCancel(context.Background())
	ga.startedAt = ga.clock.Now()
	ga.sharesReads = follow.SharesReads(settings.maxDelay())
	ga.hasOtherSeeds = len(settings.Seeds) > 0 && !slices.Contains(settings.Seeds, settings.PeerAddress)
	ga.cold = newColdTracker(settings, ga.startedAt)
	ga.brittleTracker = newBrittleTracker(settings, ga.startedAt)
	ga.brittle.line = newPlaceLine()
	ga.placer = placement.New(placement.WithPeerLoad(ga.peerLoad), placement.WithColdStart(ga.cold), placement.WithBrittle(ga.brittleTracker),
		placement.WithLeavingGrace(settings.MaxDrainDelay.Std()/leavingGraceDivisor))
	if err := ga.start(); err != nil {
		ga.close()
		return nil, nil, errors.Trace(err)
	}
	return ga, ga.close, nil
}

// start opens the connections and listeners and starts the background work. On an
// error, the clean-up functions added so far must be run.
func (ga *Gateway) start() error {
	scope, exposition, closeMetrics, err := metrics.New()
	if err != nil {
		return errors.Trace(err)
	}
	ga.addCleanup(closeMetrics)
	ga.counters = newCounters(scope)
	if ga.settings.Overflow != nil {
		ga.overflow = newOverflowControl(ga.settings, newOverflowCounters(scope), ga.logger)
	}
	ga.limiters = newLimiters(ga.settings, ga.logger, scope)
	backends, closeBackends := backend.New(backend.WithClock(ga.clock), backend.WithBuffers(ga.buffers), backend.WithAdmit(ga.admitDial))
	ga.backends = backends
	ga.addCleanup(closeBackends)
	if err := ga.openForwards(); err != nil {
		return errors.Trace(err)
	}
	inspector, stopInspector := newInspector(ga.clock, ga.logger, backends, ga.recordCrash)
	ga.inspector = inspector
	ga.addCleanup(stopInspector)
	monitor, stopMonitor := newPartitionMonitor(ga.clock, ga.logger, backends, ga.view, ga.counters)
	ga.partition = monitor
	ga.addCleanup(stopMonitor)
	store, closeStore := platform.NewStore(ga.settings.StoreAddress, platform.WithStallTimeout(follow.StallTimeout))
	ga.addCleanup(closeStore)
	follower, stopFollower := follow.New(store, ga.view,
		follow.WithClock(ga.clock), follow.WithLogger(ga.logger), follow.WithOnChange(ga.updateServers),
		follow.WithReaderOrder(ga.readerOrder), follow.WithListInterval(ga.settings.listInterval()),
		follow.WithMaxListGap(ga.settings.maxDelay()), follow.WithSyncInterval(ga.syncInterval))
	ga.follower = follower
	ga.addCleanup(stopFollower)
	self := peer.Member{Address: peer.Address(ga.settings.PeerAddress), DataCentre: ga.settings.DataCentre}
	ga.forwardTable = peer.NewForwardTable(self, newRandom())
	peers, stopPeers, err := peer.New(self, peerAddresses(ga.settings.Seeds), ga,
		peer.WithClock(ga.clock), peer.WithLogger(ga.logger), ga.peerDialer, peer.WithOnDial(ga.overflow.observeRoundTrip))
	if err != nil {
		return errors.Trace(err)
	}
	ga.peers = peers
	ga.addCleanup(stopPeers)
	stopLoads, err := peer.NewLoadBroadcaster(ga.settings.Host, self, ga.settings.LoadAddress, peers, ga,
		peer.WithBroadcasterClock(ga.clock), peer.WithBroadcasterLogger(ga.logger), ga.withDemands(),
		peer.WithForwards(ga.listedForwards), peer.WithBrittle(ga.brittleReports))
	if err != nil {
		return errors.Trace(err)
	}
	ga.addCleanup(stopLoads)
	ga.addCleanup(background.Every(ga.clock, maintenanceInterval, ga.maintain))
	if ga.overflow != nil {
		ga.addCleanup(background.Every(ga.clock, overflowInterval, ga.stepOverflow))
	}

	if err := ga.listen(exposition); err != nil {
		return errors.Trace(err)
	}
	ga.logger.Info().Str("event", "started").Str("host", string(ga.settings.Host)).
		Str("data_centre", string(ga.settings.DataCentre)).Str("callers", ga.settings.CallerAddress).Msg("host started")
	return nil
}

func (ga *Gateway) addCleanup(cleanup func()) {
	ga.cleanups = append(ga.cleanups, cleanup)
}

// close runs the clean-up functions in reverse order.
func (ga *Gateway) close() {
	for ix := len(ga.cleanups) - 1; ix >= 0; ix-- {
		ga.cleanups[ix]()
	}
	ga.cleanups = nil
}

// ListenerErrors returns a channel that receives the errors of failed listeners.
func (ga *Gateway) ListenerErrors() <-chan error { return ga.listenerErrors }

// ConfigVersion returns the version of the configuration in force, or zero if there
// is none.
func (ga *Gateway) ConfigVersion() mp.Version { return ga.view.Load().Version() }

// AvailableServerCount returns the number of backend servers of a service that accept
// new requests.
func (ga *Gateway) AvailableServerCount(service mp.ServiceName) int {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	return ga.placer.ServerCount(service)
}

// Ready reports whether the host can serve callers: it has a configuration and at
// least one backend server, and is not draining.
func (ga *Gateway) Ready() bool {
	snapshot := ga.view.Load()
	return snapshot.Table != nil && len(snapshot.Servers) > 0 && !ga.draining.Load()
}

// serveReadiness handles the load balancer's readiness checks.
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
