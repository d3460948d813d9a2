// Package configwatch follows what the own interface is configured by: the
// published configuration set, and the list of live and leaving machines.
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
	watchWait   = 30 * time.Second
	callTimeout = 5 * time.Second
	// postPause lies between two tries to hand a set to a busy control goroutine.
	postPause = 50 * time.Millisecond
)

// Poster takes messages for the control goroutine.
type Poster interface {
	Post(me blackboard.Message) bool
}

// Watcher follows the published configuration and the list of machines.
type Watcher struct {
	clock  clockwork.Clock
	logger zerolog.Logger
	store  *platform.Store
	poster Poster
	random *rand.Rand

	// revision is that of the newest answer; zero if everything is to be read.
	revision mp.Revision
	set      mp.Revision // of the set that was offered last
	machines mp.Revision // of the list that was handed on last
	values   map[mp.ConfigKey]mp.PublishedValue
}

// Option changes a watcher under construction.
type Option func(*Watcher)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(wa *Watcher) { wa.clock = clock }
}

// WithLogger sets where a lost and a regained store are logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(wa *Watcher) { wa.logger = logger }
}

// New starts a watcher of the store at an address and returns a function that
// stops it.
func New(address string, poster Poster, opts ...Option) func() {
	store, closeStore := platform.New(address)
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

// watch follows the store until the context ends.
func (wa *Watcher) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		page, err := wa.next(ctx)
		if err != nil {
			if failures == 0 && ctx.Err() == nil {
				wa.logger.Warn().Str("event", "store_lost").Err(err).Msg("the store doesn't answer")
			}
			failures++
			wa.revision = 0 // a read tells at once when the store is back, a watch waits
			wa.sleep(ctx, retry.Backoff(failures, wa.random))
			continue
		}
		if failures > 0 {
			wa.logger.Info().Str("event", "store_regained").Int("failures", failures).Msg("the store answers")
		}
		failures = 0
		wa.poster.Post(platformAnswered{at: wa.clock.Now()})
		wa.take(ctx, page)
	}
}

func (wa *Watcher) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-wa.clock.After(wait):
	}
}

// next reads everything the first time and after a failure, and else waits for
// changes.
func (wa *Watcher) next(ctx context.Context) (platform.Page, error) {
	if wa.revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return wa.store.List(ctx, platform.ConfigSetPrefix)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	return wa.store.Watch(ctx, platform.ConfigSetPrefix, wa.revision, watchWait)
}

// take hands on what a page brings. Pages of a replica that lags may be older than
// what is known.
func (wa *Watcher) take(ctx context.Context, page platform.Page) {
	wa.revision = max(wa.revision, page.Revision)
	for _, it := range page.Items {
		if it.Deleted {
			continue // what was published last stays in force
		}
		switch it.Key {
		case platform.ConfigSetKey:
			wa.offer(ctx, it)
		case platform.MachinesKey:
			wa.list(ctx, it)
		}
	}
}

// offer hands on a newer set.
func (wa *Watcher) offer(ctx context.Context, it platform.Item) {
	if it.Revision <= wa.set {
		return
	}
	published, err := platform.DecodeConfigSet(it.Value)
	if err != nil {
		wa.logger.Error().Str("event", "configuration_refused").Uint64("revision", uint64(it.Revision)).Err(err).Msg("the configuration in force stays")
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
	wa.set, wa.values = it.Revision, values
	wa.post(ctx, offered{offer: &blackboard.PendingConfig{Revision: it.Revision, Values: values}})
}

// list hands on a newer list.
func (wa *Watcher) list(ctx context.Context, it platform.Item) {
	if it.Revision <= wa.machines {
		return
	}
	list, err := platform.DecodeMachines(it.Value)
	if err != nil {
		wa.logger.Error().Str("event", "machines_refused").Uint64("revision", uint64(it.Revision)).Err(err).Msg("the known list of machines stays")
		return
	}
	wa.machines = it.Revision
	wa.post(ctx, machinesListed{list: list})
}

// post tries until the control goroutine takes the message.
func (wa *Watcher) post(ctx context.Context, me blackboard.Message) {
	for ctx.Err() == nil && !wa.poster.Post(me) {
		wa.sleep(ctx, postPause)
	}
}
