package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/platform"
)

const (
	// configurationWait is how long a watch of the configuration waits for a
	// change; each watch is a priced call.
	configurationWait = 10 * time.Second
	// listInterval is the pause between two reads of the changes of the list. With
	// the call itself and one retry it stays well within the time in which
	// leaving servers must get no more work.
	listInterval = 1200 * time.Millisecond
	// listWait lets a read of the list return at once if nothing changed.
	listWait = time.Millisecond
	// callTimeout bounds a call beyond its own wait.
	callTimeout = 1200 * time.Millisecond
	// firstPause and longestPause bound the jittered pause after a failed call.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// expiryInterval is how often servers that were kept are looked at.
	expiryInterval = 200 * time.Millisecond
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
	messages chan func(*belief) bool
	done     <-chan struct{}

	mu          sync.Mutex
	unavailable map[string]time.Time // by kind of call, since when
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

// WithChanged sets a function that is called with each new snapshot, on the
// goroutine that holds the belief.
func WithChanged(changed func(*Snapshot)) Option {
	return func(fo *Follower) { fo.changed = changed }
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
		messages:    make(chan func(*belief) bool),
		done:        ctx.Done(),
		unavailable: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(fo)
	}
	be := newBelief(fo.logger)
	var group sync.WaitGroup
	group.Go(func() { fo.hold(ctx, be) })
	group.Go(func() { fo.followConfiguration(ctx) })
	group.Go(func() { fo.followServers(ctx) })
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
		changed := false
		select {
		case <-ctx.Done():
			return
		case apply := <-fo.messages:
			changed = apply(be)
		case <-ticker.Chan():
			if changed = be.directory.Expire(fo.clock.Now()); !changed {
				continue
			}
		}
		snapshot := be.snapshot()
		fo.view.store(snapshot)
		if changed {
			fo.changed(snapshot)
		}
	}
}

func (fo *Follower) post(apply func(*belief) bool) {
	select {
	case fo.messages <- apply:
	case <-fo.done:
	}
}

// followConfiguration watches the operator's keys.
func (fo *Follower) followConfiguration(ctx context.Context) {
	var revision mp.Revision
	failures := 0
	for ctx.Err() == nil {
		page, err := fo.readConfiguration(ctx, revision)
		if err != nil {
			failures++
			if errors.Is(err, platform.ErrCompacted) {
				revision = 0
			}
			fo.noteFailure("configuration", err)
			fo.pause(ctx, failures)
			continue
		}
		failures = 0
		fo.noteAnswer("configuration")
		revision = max(revision, page.Revision)
		fo.offer(page)
	}
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
	fo.post(func(be *belief) bool { return be.adopt(fo.clock.Now(), data, FromStore) })
}

func (fo *Follower) readConfiguration(ctx context.Context, revision mp.Revision) (platform.Page, error) {
	if revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return fo.store.List(ctx, platform.OperatorPrefix)
	}
	ctx, cancel := context.WithTimeout(ctx, configurationWait+callTimeout)
	defer cancel()
	return fo.store.Watch(ctx, platform.OperatorPrefix, revision, configurationWait)
}

// followServers reads the changes of the list of backend servers.
func (fo *Follower) followServers(ctx context.Context) {
	var revision mp.Revision
	failures := 0
	for ctx.Err() == nil {
		page, err := fo.readServers(ctx, revision)
		if err != nil {
			failures++
			if errors.Is(err, platform.ErrCompacted) {
				revision = 0
			}
			fo.noteFailure("servers", err)
			fo.pause(ctx, failures)
			continue
		}
		failures = 0
		fo.noteAnswer("servers")
		whole := revision == 0
		revision = max(revision, page.Revision)
		fo.post(func(be *belief) bool {
			if whole {
				return be.replaceServers(fo.clock.Now(), page)
			}
			return be.applyServers(fo.clock.Now(), page)
		})
		fo.sleep(ctx, listInterval)
	}
}

func (fo *Follower) readServers(ctx context.Context, revision mp.Revision) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if revision == 0 {
		return fo.store.List(ctx, platform.ServersPrefix)
	}
	return fo.store.Watch(ctx, platform.ServersPrefix, revision, listWait)
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

// Unavailable says whether a call of the store fails now.
func (fo *Follower) Unavailable() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return len(fo.unavailable) > 0
}

// OfferConfiguration takes a configuration from another host.
func (fo *Follower) OfferConfiguration(data []byte) {
	fo.post(func(be *belief) bool { return be.adopt(fo.clock.Now(), data, FromPeer) })
}

// OfferServers takes another host's list that was current at a time.
func (fo *Follower) OfferServers(at time.Time, revision mp.Revision, servers []directory.Server) {
	fo.post(func(be *belief) bool { return be.takeServers(at, revision, servers) })
}
