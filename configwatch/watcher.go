// Package configwatch reads what the platform publishes: configuration revisions,
// with a watch, and the list of live and leaving machines.
package configwatch

import (
	"context"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/retry"

	"math/rand/v2"
)

const (
	watchWait    = 30 * time.Second
	callTimeout  = 5 * time.Second
	dialTimeout  = time.Second
	listInterval = time.Second
)

// Poster takes messages for the control goroutine.
type Poster interface {
	Post(me blackboard.Message) bool
}

// Watcher follows the published configuration and the list of machines.
type Watcher struct {
	clock   clockwork.Clock
	address string
	client  *http.Client
	poster  Poster
	random  *rand.Rand

	revision mp.Revision
	values   map[mp.ConfigKey]mp.Value
}

// Option changes a watcher under construction.
type Option func(*Watcher)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(wa *Watcher) { wa.clock = clock }
}

// New starts a watcher of the platform at an address and returns a function
// that stops it.
func New(address string, poster Poster, opts ...Option) func() {
	wa := &Watcher{
		clock:   clockwork.NewRealClock(),
		address: address,
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		}},
		poster: poster,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		values: map[mp.ConfigKey]mp.Value{},
	}
	for _, opt := range opts {
		opt(wa)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() {
		wa.watch(ctx)
		done <- struct{}{}
	}()
	go func() {
		wa.list(ctx)
		done <- struct{}{}
	}()
	return func() {
		cancel()
		<-done
		<-done
		wa.client.CloseIdleConnections()
	}
}

// watch follows the configuration until the context ends.
func (wa *Watcher) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if err := wa.next(ctx); err != nil {
			failures++
			wa.pause(ctx, retry.Backoff(failures, wa.random))
			continue
		}
		failures = 0
	}
}

func (wa *Watcher) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-wa.clock.After(wait):
	}
}

// next waits for a change and offers the set that contains it.
func (wa *Watcher) next(ctx context.Context) error {
	changes, err := wa.changes(ctx, wa.revision)
	if err != nil {
		return errors.Trace(err)
	}
	wa.poster.Post(platformAnswered{at: wa.clock.Now()})
	if changes.Revision <= wa.revision {
		return nil // nothing new, or a stale replica
	}
	values := maps.Clone(wa.values)
	for _, change := range changes.Changes {
		if err := wa.fetch(ctx, values, change, changes.Revision); err != nil {
			return errors.Trace(err)
		}
	}
	wa.revision, wa.values = changes.Revision, values
	wa.offer()
	return nil
}

// offer posts the newest set until the control goroutine takes it.
func (wa *Watcher) offer() {
	offer := &blackboard.Offer{Revision: wa.revision, Values: wa.values}
	for !wa.poster.Post(offered{offer: offer}) {
		wa.clock.Sleep(callTimeout / 100)
	}
}

type changesQuery struct {
	After mp.Revision `url:"after"`
	// Wait is in Go's notation for time spans.
	Wait string `url:"wait"`
}

func (wa *Watcher) changes(ctx context.Context, after mp.Revision) (mp.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	query := changesQuery{After: after, Wait: watchWait.String()}
	if after == 0 {
		query.Wait = "0s"
	}
	var found mp.Changes
	err := wa.get(ctx, sling.New().Base("http://"+wa.address).Get("/v1/changes").QueryStruct(query), &found)
	return found, errors.Annotate(err, "configuration watch")
}

// fetch reads a changed value. A value that was written behind the revision
// would mix two sets, so it is an error, and the watch is asked again.
func (wa *Watcher) fetch(ctx context.Context, values map[mp.ConfigKey]mp.Value, change mp.Change, revision mp.Revision) error {
	if change.Deleted {
		delete(values, change.Key)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var value mp.Value
	err := wa.get(ctx, sling.New().Base("http://"+wa.address).Get("/v1/keys/"+string(change.Key)), &value)
	if err != nil {
		return errors.Annotatef(err, "configuration value %q", change.Key)
	}
	if value.Revision > revision || value.Revision < change.Revision {
		return errors.Errorf("configuration value %q is of revision %d, not of %d", change.Key, value.Revision, change.Revision)
	}
	values[change.Key] = value
	return nil
}

// list follows the list of machines until the context ends.
func (wa *Watcher) list(ctx context.Context) {
	for ctx.Err() == nil {
		if machines, err := wa.machines(ctx); err == nil {
			wa.poster.Post(machinesListed{list: machines})
		}
		wa.pause(ctx, listInterval)
	}
}

func (wa *Watcher) machines(ctx context.Context) (mp.HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list mp.HostList
	err := wa.get(ctx, sling.New().Base("http://"+wa.address).Get("/v1/hosts"), &list)
	return list, errors.Annotate(err, "list of machines")
}

func (wa *Watcher) get(ctx context.Context, call *sling.Sling, into any) error {
	request, err := call.Request()
	if err != nil {
		return errors.Trace(err)
	}
	response, err := call.Client(wa.client).Do(request.WithContext(ctx), into, nil) //nolint:bodyclose // sling closes it
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("the platform answered with status %d", response.StatusCode)
	}
	return nil
}
