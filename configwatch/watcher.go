// Package configwatch watches the platform's store for the published configuration
// set and the list of live and draining machines, which configure the router's own
// API, and posts them to the blackboard. Package follow watches the store for the
// gateway.
package configwatch

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/background"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/retry"
)

const (
	// watchTimeout is how long the store holds a watch call open without a change.
	watchTimeout = 30 * time.Second
	// stallTimeout is the time without a byte from the store after which a call fails,
	// on top of the time that the store may hold it open.
	stallTimeout = 5 * time.Second
	// maxTransferTime bounds a call as a whole.
	maxTransferTime = 30 * time.Second
	// postRetryInterval is the interval between two attempts to post a message while
	// the control queue is full.
	postRetryInterval = 50 * time.Millisecond
)

// Poster queues messages for the control goroutine.
type Poster interface {
	// Post returns false if the queue is full.
	Post(me blackboard.Message) bool
}

// Watcher watches the published configuration set and the list of machines.
type Watcher struct {
	clock  clockwork.Clock
	logger zerolog.Logger
	store  *platform.Store
	poster Poster
	random *rand.Rand

	// position is the store's position at the newest response; zero if the next call has
	// to be a full read.
	position         mp.Position
	setRevision      mp.Revision // of the last set that was posted
	machinesRevision mp.Revision // of the last list of machines that was posted
	// values are the values of the last set that was posted, with the revision of
	// their last change.
	values map[mp.ConfigKey]mp.PublishedValue
}

// Option configures a watcher.
type Option func(*Watcher)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(wa *Watcher) { wa.clock = clock }
}

// WithLogger sets the logger for store outages and invalid values. The default
// discards them.
func WithLogger(logger zerolog.Logger) Option {
	return func(wa *Watcher) { wa.logger = logger }
}

// New starts a watcher of the store at an address and returns a function that
// stops it.
func New(address string, poster Poster, opts ...Option) func() {
	store, closeStore := platform.NewStore(address, platform.WithStallTimeout(stallTimeout))
	wa := &Watcher{
		clock:  clockwork.NewRealClock(),
		logger: zerolog.Nop(),
		store:  store,
		poster: poster,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		values: map[mp.ConfigKey]mp.PublishedValue{},
	}
	for _, opt := range opts {
		opt(wa)
	}
	stop := background.Run(wa.watch)
	return func() {
		stop()
		closeStore()
	}
}

// watch reads and watches the store until the context ends.
func (wa *Watcher) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		page, err := wa.next(ctx)
		if err != nil {
			if failures == 0 && ctx.Err() == nil {
				wa.logger.Warn().Str("event", "store_lost").Err(err).Msg("store unavailable")
			}
			failures++
			wa.position = mp.Position{} // a read returns as soon as the store is available, a watch only on a change
			wa.sleep(ctx, retry.Backoff(failures, wa.random))
			continue
		}
		if failures > 0 {
			wa.logger.Info().Str("event", "store_regained").Int("failures", failures).Msg("store available again")
		}
		failures = 0
		wa.poster.Post(storeResponded{at: wa.clock.Now()})
		wa.handlePage(ctx, page)
	}
}

func (wa *Watcher) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-wa.clock.After(wait):
	}
}

// next reads all values on the first call and after a failure, and otherwise waits
// for changes.
func (wa *Watcher) next(ctx context.Context) (platform.Page, error) {
	if wa.position.IsZero() {
		ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
		defer cancel()
		return wa.store.List(ctx, platform.ConfigSetPrefix)
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+maxTransferTime)
	defer cancel()
	return wa.store.Watch(ctx, platform.ConfigSetPrefix, wa.position, watchTimeout)
}

// handlePage posts the newer values of a page. A store replica that lags may return
// older ones.
func (wa *Watcher) handlePage(ctx context.Context, page platform.Page) {
	if wa.position.Before(page.Position) {
		wa.position = page.Position
	}
	for _, it := range page.Items {
		if it.Deleted {
			continue // the last published value stays in use
		}
		switch it.Key {
		case platform.ConfigSetKey:
			wa.postConfigSet(ctx, it)
		case platform.MachinesKey:
			wa.postMachineList(ctx, it)
		}
	}
}

// postConfigSet posts the item as the configuration set if it is newer than the last
// one. A value that has not changed keeps its revision, so that it need not be
// decoded again.
func (wa *Watcher) postConfigSet(ctx context.Context, it platform.Item) {
	if it.Revision <= wa.setRevision {
		return
	}
	published, err := platform.DecodeConfigSet(it.Value)
	if err != nil {
		wa.logger.Error().Str("event", "configuration_refused").Uint64("revision", uint64(it.Revision)).Err(err).Msg("cannot decode configuration set; keeping the current one")
		return
	}
	values := make(map[mp.ConfigKey]mp.PublishedValue, len(published))
	for key, value := range published {
		known, ok := wa.values[key]
		if !ok || !bytes.Equal(known.Value, value) {
			known = mp.PublishedValue{Key: key, Revision: it.Revision, Value: value}
		}
		values[key] = known
	}
	wa.setRevision, wa.values = it.Revision, values
	wa.post(ctx, configPublished{configSet: &blackboard.PendingConfig{Revision: it.Revision, Values: values}})
}

// postMachineList posts the item as the list of machines if it is newer than the last
// one.
func (wa *Watcher) postMachineList(ctx context.Context, it platform.Item) {
	if it.Revision <= wa.machinesRevision {
		return
	}
	machineList, err := platform.DecodeMachines(it.Value)
	if err != nil {
		wa.logger.Error().Str("event", "machines_refused").Uint64("revision", uint64(it.Revision)).Err(err).Msg("cannot decode list of machines; keeping the current one")
		return
	}
	wa.machinesRevision = it.Revision
	wa.post(ctx, machinesListed{machineList: machineList})
}

// post posts a message, and retries while the control queue is full.
func (wa *Watcher) post(ctx context.Context, me blackboard.Message) {
	for ctx.Err() == nil && !wa.poster.Post(me) {
		wa.sleep(ctx, postRetryInterval)
	}
}
