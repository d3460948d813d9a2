package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/platform"
)

const (
	// watchTimeout is how long the store holds a watch call open without a change. A
	// long wait saves watch calls, each of which is charged for.
	watchTimeout = 10 * time.Second
	// watchCheckInterval is how often a host without a watch checks whether it
	// should start one.
	watchCheckInterval = 300 * time.Millisecond
	// watchBackoffOrder is by how many positions further behind in the reader order a
	// failed watch backs off than a list call, which also finds out that the store is
	// back.
	watchBackoffOrder = 2
	// StallTimeout is the time without a byte from the store after which a call should
	// fail, on top of the time that the store may hold it open.
	StallTimeout = time.Second
	// maxTransferTime bounds a call as a whole. It leaves time for a configuration of a
	// megabyte on a link of 2 Mbit/s.
	maxTransferTime = 8 * time.Second
	// expiryInterval is how often servers that are retained after a store outage are
	// checked for expiry.
	expiryInterval = 200 * time.Millisecond
	// minListDelay is the minimum wait before the age of the list is checked again,
	// so that the check does not spin when the next list call is almost due.
	minListDelay = 20 * time.Millisecond
	// minListSpacing is the fraction of the list interval, as its divisor, that passes
	// at least between two list calls.
	minListSpacing = 4
	// defaultListInterval is the default interval between two list calls.
	defaultListInterval = 1800 * time.Millisecond
	// defaultMaxListGap is shorter than the drain of a server, or the expiry of its entry.
	defaultMaxListGap = 3 * time.Second
)

// Store is the part of the platform's store that the follower uses. Its calls fail when
// nothing arrives for StallTimeout.
type Store interface {
	// List returns all items below a prefix and the position of the store.
	List(ctx context.Context, prefix string) (platform.Page, error)
	// Watch waits for changes below a prefix after a position, for at most the
	// given time. It fails if the store has no history after that position.
	Watch(ctx context.Context, prefix string, after mp.Position, wait time.Duration) (platform.Page, error)
}

// Follower replicates the store. One goroutine owns the state; the list and
// watch goroutines and the callers of its methods send it updates.
type Follower struct {
	clock        clockwork.Clock
	logger       zerolog.Logger
	store        Store
	view         *View
	onChange     func(*Snapshot)
	listInterval time.Duration
	maxListGap   time.Duration
	readerOrder  func() int
	updates      chan update
	done         <-chan struct{}
	// relist requests an immediate list call.
	relist chan struct{}
	// syncInterval returns the shortest time between two list calls that Sync requests.
	syncInterval func() time.Duration

	mu sync.Mutex
	// listed is closed and replaced when a list call ends.
	listed chan struct{}
	// watchPosition is the position after which the watch continues; zero until the list
	// was read.
	watchPosition mp.Position
	failingSince  map[string]time.Time // by store call, "list" or "watch"
	// newestReported is the newest version that another host was heard to have.
	newestReported mp.Version
}

// update is a change of the state. apply reports whether the state changed.
type update struct {
	apply func(*state) bool
	// applied is closed once the view shows the update.
	applied chan struct{}
}

// Option configures a follower.
type Option func(*Follower)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(fo *Follower) { fo.clock = clock }
}

// WithLogger sets the logger for state changes and store outages. The default
// discards them.
func WithLogger(logger zerolog.Logger) Option {
	return func(fo *Follower) { fo.logger = logger }
}

// WithOnChange sets a callback for each changed snapshot. It runs on the update
// goroutine, before the view shows the snapshot.
func WithOnChange(onChange func(*Snapshot)) Option {
	return func(fo *Follower) { fo.onChange = onChange }
}

// WithListInterval sets the interval between two list calls. The default is 1.8 s.
func WithListInterval(listInterval time.Duration) Option {
	return func(fo *Follower) { fo.listInterval = listInterval }
}

// WithMaxListGap sets the longest time without a confirmation of the list in which no server
// can come and go unnoticed. The default is 3 s.
func WithMaxListGap(maxListGap time.Duration) Option {
	return func(fo *Follower) { fo.maxListGap = maxListGap }
}

// WithReaderOrder sets a function that returns this host's position in the order in
// which the live hosts of its data centre read the store. The first host, at position
// zero, reads the store and shares the result; the others read it only if, in time, they
// receive neither a newer list nor a confirmation of the one they have. The default
// position is zero.
func WithReaderOrder(readerOrder func() int) Option {
	return func(fo *Follower) { fo.readerOrder = readerOrder }
}

// WithSyncInterval sets a function that returns the shortest time between two list calls that
// Sync requests, because all hosts share the rate of the store. The default is MinSyncInterval.
func WithSyncInterval(syncInterval func() time.Duration) Option {
	return func(fo *Follower) { fo.syncInterval = syncInterval }
}

// New starts a follower of the store that publishes to the view. It returns the
// follower and a function that stops it.
func New(store Store, view *View, opts ...Option) (*Follower, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	fo := &Follower{
		clock:        clockwork.NewRealClock(),
		logger:       zerolog.Nop(),
		store:        store,
		view:         view,
		onChange:     func(*Snapshot) {},
		updates:      make(chan update),
		done:         ctx.Done(),
		listInterval: defaultListInterval,
		maxListGap:   defaultMaxListGap,
		readerOrder:  func() int { return 0 },
		relist:       make(chan struct{}, 1),
		listed:       make(chan struct{}),
		syncInterval: func() time.Duration { return MinSyncInterval },
		failingSince: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(fo)
	}
	st := newState(fo.logger, fo.maxListGap)
	var group sync.WaitGroup
	group.Go(func() { fo.runUpdates(ctx, st) })
	group.Go(func() { fo.runWatch(ctx) })
	group.Go(func() { fo.runList(ctx) })
	return fo, func() {
		cancel()
		group.Wait()
	}
}

// runUpdates applies updates to the state, expires retained servers and
// publishes snapshots.
func (fo *Follower) runUpdates(ctx context.Context, st *state) {
	ticker := fo.clock.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case up := <-fo.updates:
			fo.publish(st, up.apply(st))
			close(up.applied)
		case <-ticker.Chan():
			expired := st.expireServers(fo.clock.Now())
			if st.expireEvacuations(fo.clock.Now()) || expired {
				fo.publish(st, true)
			}
		}
	}
}

// publish stores a snapshot in the view. The callback runs first, so that a
// request that waits for the first configuration can be placed as soon as the
// view is ready.
func (fo *Follower) publish(st *state, changed bool) {
	st.recordListGap()
	snapshot := st.snapshot()
	if changed {
		fo.onChange(snapshot)
	}
	fo.view.store(snapshot)
}

// submit sends an update to the update goroutine and returns once the view shows
// it, or when the follower stops.
func (fo *Follower) submit(apply func(*state) bool) {
	up := update{apply: apply, applied: make(chan struct{})}
	select {
	case fo.updates <- up:
	case <-fo.done:
		return
	}
	select {
	case <-up.applied:
	case <-fo.done:
	}
}

// Refresh requests an immediate list call. It does not wait for it.
func (fo *Follower) Refresh() {
	select {
	case fo.relist <- struct{}{}:
	default:
	}
}

// applyConfigurationFrom applies the configuration in a page, if there is one. A
// deleted configuration is logged and the current one stays.
func (fo *Follower) applyConfigurationFrom(page platform.Page) {
	data, err := latestConfiguration(page.Items)
	if err != nil {
		fo.logger.Error().Str("event", "configuration_refused").Err(err).Msg("configuration was deleted from the store; keeping the current one")
		return
	}
	if data == nil {
		return
	}
	fo.submit(func(st *state) bool { return st.applyStoredConfiguration(data) })
}

// backoff waits after a failed call, with jitter so that hosts do not retry in
// lockstep.
func (fo *Follower) backoff(ctx context.Context, order, failures int) {
	limit := fo.readPlan().MaxBackoff(order, failures)
	fo.sleep(ctx, limit/2+time.Duration(rand.Int64N(int64(limit/2))))
}

func (fo *Follower) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-fo.clock.After(wait):
	}
}

// ReportVersion records that a host has a version of the configuration. If it is newer
// than all that this host has heard of, it logs that this one is behind.
func (fo *Follower) ReportVersion(host string, version mp.Version) {
	inForce := fo.view.Load().Version()
	if version <= inForce {
		return
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if version <= fo.newestReported {
		return
	}
	fo.newestReported = version
	fo.logger.Info().Str("event", "configuration_behind").Str("peer", host).Int64("version", int64(version)).
		Int64("version_in_force", int64(inForce)).Msg("another host has a newer configuration")
}

// MergeConfiguration applies a peer's compressed configuration if its version is higher.
func (fo *Follower) MergeConfiguration(compressed []byte) {
	fo.submit(func(st *state) bool { return st.applyPeerConfiguration(compressed) })
}

// Confirm records another host's confirmation. It has no effect on a part of the state
// of which this host has another position or version, or has already recorded a later time.
func (fo *Follower) Confirm(co Confirmation) {
	fo.submit(func(st *state) bool {
		st.confirm(co)
		return false
	})
}

// MergeServers applies a peer's server list that was current at a time, if it is
// newer than this host's.
func (fo *Follower) MergeServers(at time.Time, position mp.Position, servers []directory.Server) {
	fo.submit(func(st *state) bool { return st.mergeServers(at, position, servers) })
}
