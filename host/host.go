// Package host assembles an entry host for the router's own API: the control loop,
// the scheduler, and the listeners for callers and operators. It also shuts the host
// down gracefully.
package host

import (
	"context"
	"net"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/caller"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/configapply"
	"github.com/mangopaddle/mangopaddle/configwatch"
	"github.com/mangopaddle/mangopaddle/control"
	"github.com/mangopaddle/mangopaddle/engine"
	"github.com/mangopaddle/mangopaddle/httpserver"
	"github.com/mangopaddle/mangopaddle/loadwatch"
	"github.com/mangopaddle/mangopaddle/meter"
	"github.com/mangopaddle/mangopaddle/metrics"
	"github.com/mangopaddle/mangopaddle/operator"
	"github.com/mangopaddle/mangopaddle/pausewatch"
	"github.com/mangopaddle/mangopaddle/pool"
	"github.com/mangopaddle/mangopaddle/publish"
	"github.com/mangopaddle/mangopaddle/schedule"
	"github.com/mangopaddle/mangopaddle/serverlist"
	"github.com/mangopaddle/mangopaddle/service"
)

// listenerCount is the number of listeners: for callers and operators.
const listenerCount = 2

// Host is a running entry host.
type Host struct {
	settings config.Settings
	clock    clockwork.Clock
	logger   zerolog.Logger
	version  string

	view         *blackboard.View
	loop         *control.Loop
	meter        *meter.Meter
	callerServer *httpserver.Server

	callerAddress   net.Addr
	operatorAddress net.Addr
	cleanups        []func()
	listenerErrors  chan error
	drain           sync.Once
}

// Option configures a host.
type Option func(*Host)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option {
	return func(ho *Host) { ho.clock = clock }
}

// WithLogger sets the logger; the default discards all lines.
func WithLogger(logger zerolog.Logger) Option {
	return func(ho *Host) { ho.logger = logger }
}

// WithVersion sets the version that is shown to operators.
func WithVersion(version string) Option {
	return func(ho *Host) { ho.version = version }
}

// New starts a host and returns it with a function that stops it at once. For a
// graceful shutdown, call Drain first. It returns an error if the settings are
// invalid, the TLS certificate can't be loaded or a listener can't be opened.
func New(settings config.Settings, opts ...Option) (*Host, func(), error) {
	if err := settings.Check(); err != nil {
		return nil, nil, errors.Trace(err)
	}
	ho := &Host{
		settings:       settings,
		clock:          clockwork.NewRealClock(),
		logger:         zerolog.Nop(),
		view:           blackboard.NewView(),
		listenerErrors: make(chan error, listenerCount),
	}
	for _, opt := range opts {
		opt(ho)
	}
	if err := ho.build(); err != nil {
		ho.close()
		return nil, nil, errors.Trace(err)
	}
	return ho, ho.close, nil
}

func (ho *Host) build() error {
	scope, exposition, closeMetrics, err := metrics.New()
	if err != nil {
		return errors.Trace(err)
	}
	ho.addCleanup(closeMetrics)
	ho.meter = meter.New(scope, meter.WithClock(ho.clock))

	po, stopPool := pool.New(schedule.New(schedule.WithSeed(schedulerSeed(qualifiedName(ho.settings)))), pool.WithClock(ho.clock))
	ho.addCleanup(stopPool)
	if err := ho.startLoop(po, scope); err != nil {
		return errors.Trace(err)
	}
	ho.addCleanup(configwatch.New(ho.settings.StoreAddress, ho.loop, configwatch.WithClock(ho.clock), configwatch.WithLogger(ho.logger)))

	ho.addCleanup(loadwatch.New(ho.view, po, loadwatch.WithClock(ho.clock)))

	engines, closeEngines := engine.New(engine.WithClock(ho.clock), engine.WithStreamIdleTimeout(ho.settings.StreamIdleTimeout))
	ho.addCleanup(closeEngines)
	services, closeServices := service.New()
	ho.addCleanup(closeServices)

	limits := caller.DefaultLimits()
	limits.MaxBodyBytes, limits.WriteTimeout = ho.settings.MaxBodyBytes, ho.settings.WriteTimeout
	callers := caller.New(ho.view, po, engines, services, ho.meter,
		caller.WithClock(ho.clock), caller.WithLimits(limits), caller.WithLogger(ho.logger))
	operators := operator.New(ho.loop, ho.view, po, ho.meter, exposition, ho.version)
	return ho.listen(callers, operators.Handler(), scope)
}

func (ho *Host) startLoop(po *pool.Pool, scope tally.Scope) error {
	decoder, err := config.NewDecoder()
	if err != nil {
		return errors.Trace(err)
	}
	controllers := []control.Controller{
		pausewatch.New(),
		configapply.New(decoder, ho.logger, scope),
		serverlist.New(),
		publish.New(ho.view, po),
	}
	loop, stop := control.New(blackboard.New(ho.settings.Host, ho.settings.DataCentre), controllers,
		control.WithClock(ho.clock), control.WithLogger(ho.logger), control.WithScope(scope))
	ho.loop = loop
	ho.addCleanup(stop)
	return nil
}

func (ho *Host) addCleanup(cleanup func()) {
	ho.cleanups = append(ho.cleanups, cleanup)
}

// close runs the clean-up functions in reverse order of registration.
func (ho *Host) close() {
	for ix := len(ho.cleanups) - 1; ix >= 0; ix-- {
		ho.cleanups[ix]()
	}
	ho.cleanups = nil
}

// CallerAddress returns the address of the listener for callers.
func (ho *Host) CallerAddress() string { return ho.callerAddress.String() }

// OperatorAddress returns the address of the listener for operators.
func (ho *Host) OperatorAddress() string { return ho.operatorAddress.String() }

// ListenerErrors returns a channel that receives the error of each listener that
// fails.
func (ho *Host) ListenerErrors() <-chan error { return ho.listenerErrors }

// Ready reports whether the host has a configuration. Unlike /readyz, it stays true
// while the host drains.
func (ho *Host) Ready() bool { return ho.view.Load() != nil }

// stopping is a message to the control loop that marks the host as stopping.
type stopping struct{}

// Apply implements blackboard.Message.
func (stopping) Apply(bo *blackboard.Board) {
	bo.Stopping = true
	bo.SnapshotStale = true
}

// Drain shuts the host down gracefully: the host reports that it is not ready,
// continues to accept requests for the lame-duck period, and then finishes
// those in flight. It returns an error if requests are still in flight when the
// drain timeout ends, or when ctx is done. Only the first call has an effect.
func (ho *Host) Drain(ctx context.Context) error {
	var err error
	ho.drain.Do(func() { err = ho.drainOnce(ctx) })
	return err
}

func (ho *Host) drainOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ho.settings.LameDuckPeriod+ho.settings.DrainTimeout)
	defer cancel()
	ho.loop.Post(stopping{})
	ho.logger.Info().Int64("in_flight", ho.meter.InFlight()).Msg("draining host")
	select {
	case <-ho.clock.After(ho.settings.LameDuckPeriod):
	case <-ctx.Done():
	}
	if err := ho.callerServer.Drain(ctx, func() bool { return false }); err != nil {
		return errors.Annotatef(err, "%d requests still in flight at shutdown", ho.meter.InFlight())
	}
	ho.logger.Info().Msg("host drained")
	return nil
}
