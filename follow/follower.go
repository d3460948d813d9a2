package follow

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/platform"
)

const (
	// watchWait is how long a watch waits for a change; each watch is a priced
	// call.
	watchWait = 10 * time.Second
	// watchPause is how often a host that doesn't watch looks whether it should.
	watchPause = 300 * time.Millisecond
	// rankPause is how much older the list may be for each host that reads the
	// store before this one, and mostRank bounds them.
	rankPause = 150 * time.Millisecond
	mostRank  = 4
	// callTimeout bounds a call beyond its own wait.
	callTimeout = time.Second
	// firstPause and longestPause bound the jittered pause after a failed call.
	firstPause   = 100 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// expiryInterval is how often servers that were kept are looked at.
	expiryInterval = 200 * time.Millisecond
	// leastWait keeps a failing reader from spinning.
	leastWait = 20 * time.Millisecond
	// defaultInterval is the time between two reads of the list.
	defaultInterval = 1800 * time.Millisecond
)

// Store is what the follower needs of the platform's store.
type Store interface {
	List(ctx context.Context, prefix string) (platform.Page, error)
	Watch(ctx context.Context, prefix string, after mp.Revision, wait time.Duration) (platform.Page, error)
}

// Follower follows the store. One goroutine holds the belief; others call the
// store and send it what they read.
type Follower struct {
	clock    clockwork.Clock
	logger   zerolog.Logger
	store    Store
	view     *View
	changed  func(*Snapshot)
	interval time.Duration
	rank     func() int
	messages chan message
	done     <-chan struct{}
	// revision is that behind which the watch goes on; zero until the list was
	// read.
	revision atomic.Uint64
	// again asks for the list at once.
	again chan struct{}

	mu          sync.Mutex
	unavailable map[string]time.Time // by kind of call, since when
}

// message changes the belief. Apply reports whether it did.
type message struct {
	apply func(*belief) bool
	// applied is closed once the new belief can be read.
	applied chan struct{}
}

// Option changes a follower under construction.
type Option func(*Follower)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(fo *Follower) { fo.clock = clock }
}

// WithLogger sets where changes of belief are logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(fo *Follower) { fo.logger = logger }
}

// WithOnChange sets a function that is called with each new snapshot, on the
// goroutine that holds the belief.
func WithOnChange(changed func(*Snapshot)) Option {
	return func(fo *Follower) { fo.changed = changed }
}

// WithInterval sets the time between two reads of the list.
func WithInterval(interval time.Duration) Option {
	return func(fo *Follower) { fo.interval = interval }
}

// WithRank sets a function that returns how many live hosts of the data centre
// read the store before this one and tell it what they read. Without one the
// host reads for itself.
func WithRank(rank func() int) Option {
	return func(fo *Follower) { fo.rank = rank }
}

// New starts following a store and returns a function that stops it.
func New(store Store, view *View, opts ...Option) (*Follower, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	fo := &Follower{
		clock:       clockwork.NewRealClock(),
		logger:      zerolog.Nop(),
		store:       store,
		view:        view,
		changed:     func(*Snapshot) {},
		messages:    make(chan message),
		done:        ctx.Done(),
		interval:    defaultInterval,
		rank:        func() int { return 0 },
		again:       make(chan struct{}, 1),
		unavailable: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(fo)
	}
	be := newBelief(fo.logger)
	var group sync.WaitGroup
	group.Go(func() { fo.hold(ctx, be) })
	group.Go(func() { fo.watch(ctx) })
	group.Go(func() { fo.read(ctx) })
	return fo, func() {
		cancel()
		group.Wait()
	}
}

// hold applies messages to the belief and publishes it.
func (fo *Follower) hold(ctx context.Context, be *belief) {
	ticker := fo.clock.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case me := <-fo.messages:
			fo.publish(be, me.apply(be))
			close(me.applied)
		case <-ticker.Chan():
			if be.directory.Expire(fo.clock.Now()) {
				fo.publish(be, true)
			}
		}
	}
}

// publish shows the belief. Whoever sees it finds what follows from it done: a
// request that waited for the first configuration is placed at once.
func (fo *Follower) publish(be *belief, changed bool) {
	snapshot := be.snapshot()
	if changed {
		fo.changed(snapshot)
	}
	fo.view.store(snapshot)
}

// post changes the belief and returns once the change can be read.
func (fo *Follower) post(apply func(*belief) bool) {
	me := message{apply: apply, applied: make(chan struct{})}
	select {
	case fo.messages <- me:
	case <-fo.done:
		return
	}
	select {
	case <-me.applied:
	case <-fo.done:
	}
}

// watch brings changes as they happen. It is not relied on: a watch may be cut,
// hang or miss changes that the next read of the list finds.
func (fo *Follower) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		after := fo.revision.Load()
		if after == 0 || fo.rank() > 0 {
			fo.sleep(ctx, watchPause)
			continue
		}
		page, err := fo.watchOnce(ctx, mp.Revision(after))
		if err != nil {
			failures++
			fo.noteFailure("watch", err)
			fo.pause(ctx, failures)
			continue
		}
		failures = 0
		fo.noteAnswer("watch")
		fo.advance(page.Revision)
		fo.take(page)
	}
}

// watchOnce waits for one change. History that was dropped is read again as a
// list.
func (fo *Follower) watchOnce(ctx context.Context, after mp.Revision) (platform.Page, error) {
	waiting, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	page, err := fo.store.Watch(waiting, "", after, watchWait)
	if errors.Is(err, platform.ErrCompacted) {
		fo.revision.Store(0)
		fo.Refresh()
	}
	return page, err
}

// Refresh asks for the list at once.
func (fo *Follower) Refresh() {
	select {
	case fo.again <- struct{}{}:
	default:
	}
}

// advance moves the revision behind which the watch goes on.
func (fo *Follower) advance(revision mp.Revision) {
	for {
		known := fo.revision.Load()
		if uint64(revision) <= known || fo.revision.CompareAndSwap(known, uint64(revision)) {
			return
		}
	}
}

// take posts the changes of a watch.
func (fo *Follower) take(page platform.Page) {
	servers := platform.Page{Revision: page.Revision}
	for _, it := range page.Items {
		if strings.HasPrefix(string(it.Key), platform.ServersPrefix) {
			servers.Items = append(servers.Items, it)
		}
	}
	fo.offer(page)
	if len(servers.Items) > 0 {
		fo.post(func(be *belief) bool { return be.applyServers(fo.clock.Now(), servers) })
	}
}

// read reads the list of backend servers at an interval. The store's revision in
// the answer tells whether the configuration may have changed too.
func (fo *Follower) read(ctx context.Context) {
	var configuration mp.Revision // that the configuration was read at
	failures := 0
	for ctx.Err() == nil {
		revision, err := fo.readOnce(ctx, configuration)
		configuration = max(configuration, revision)
		if err != nil {
			failures++
			fo.noteFailure("list", err)
			fo.pause(ctx, failures)
			continue
		}
		failures = 0
		fo.noteAnswer("list")
		fo.untilOld(ctx)
	}
}

// untilOld waits until the list is old enough to be read again, or until it is
// asked for. Hosts that come later in the order wait a little longer: they need
// not read if another host tells them that nothing has changed.
func (fo *Follower) untilOld(ctx context.Context) {
	for {
		age := fo.clock.Since(fo.view.Load().ListConfirmedAt)
		rank := min(fo.rank(), mostRank)
		wait := fo.interval - age
		if rank > 0 {
			wait += fo.interval/2 + time.Duration(rank)*rankPause
		}
		if wait <= 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-fo.again:
			return
		case <-fo.clock.After(max(wait, leastWait)):
		}
	}
}

// readOnce reads the list, and the configuration if the store has changed since
// a revision. It returns the revision that the configuration was read at.
func (fo *Follower) readOnce(ctx context.Context, configuration mp.Revision) (mp.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := fo.clock.Now()
	servers, err := fo.store.List(ctx, platform.ServersPrefix)
	if err != nil {
		return configuration, errors.Trace(err)
	}
	fo.advance(servers.Revision)
	fo.post(func(be *belief) bool { return be.replaceServers(asked, servers) })
	if servers.Revision <= configuration {
		return configuration, nil
	}
	operator, err := fo.store.List(ctx, platform.OperatorPrefix)
	if err != nil {
		return configuration, errors.Trace(err)
	}
	fo.offer(operator)
	return operator.Revision, nil
}

func (fo *Follower) offer(page platform.Page) {
	data, err := configurationIn(page.Items)
	if err != nil {
		fo.logger.Error().Str("event", "configuration_refused").Err(err).Msg("the configuration in force stays")
		return
	}
	if data == nil {
		return
	}
	fo.post(func(be *belief) bool { return be.adopt(data, SourceStore) })
}

// pause waits after failed calls, with jitter, so that hosts don't return in
// step.
func (fo *Follower) pause(ctx context.Context, failures int) {
	bound := min(longestPause, firstPause<<min(failures, 8))
	fo.sleep(ctx, bound/2+time.Duration(rand.Int64N(int64(bound/2))))
}

func (fo *Follower) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-fo.clock.After(wait):
	}
}

// noteFailure logs that a dependency was lost, once.
func (fo *Follower) noteFailure(call string, err error) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if _, ok := fo.unavailable[call]; ok {
		return
	}
	fo.unavailable[call] = fo.clock.Now()
	fo.logger.Warn().Str("event", "store_lost").Str("call", call).Err(err).Msg("the store doesn't answer")
}

// noteAnswer logs that a dependency was regained.
func (fo *Follower) noteAnswer(call string) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	since, ok := fo.unavailable[call]
	if !ok {
		return
	}
	delete(fo.unavailable, call)
	fo.logger.Info().Str("event", "store_regained").Str("call", call).Dur("after", fo.clock.Since(since)).Msg("the store answers")
}

// StoreUnavailable says whether a call of the store fails now.
func (fo *Follower) StoreUnavailable() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return len(fo.unavailable) > 0
}

// MergeConfiguration takes a configuration from another host.
func (fo *Follower) MergeConfiguration(data []byte) {
	fo.post(func(be *belief) bool { return be.adopt(data, SourcePeer) })
}

// ConfirmServers takes another host's word that the list of a revision was
// current at a time.
func (fo *Follower) ConfirmServers(at time.Time, revision mp.Revision) {
	fo.post(func(be *belief) bool {
		be.directory.Confirm(at, revision)
		return false
	})
}

// MergeServers takes another host's list that was current at a time.
func (fo *Follower) MergeServers(at time.Time, revision mp.Revision, servers []directory.Server) {
	fo.post(func(be *belief) bool { return be.takeServers(at, revision, servers) })
}
