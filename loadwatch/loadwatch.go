// Package loadwatch reads the load reports of the engines that a host may use,
// so that it notices what other hosts send there.
package loadwatch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
)

const (
	defaultInterval = time.Second
	callTimeout     = 500 * time.Millisecond
	workers         = 8
)

// Observer takes reported loads.
type Observer interface {
	ObserveLoad(engine mp.EngineID, load mp.EngineLoad)
}

// Watcher reads load reports in turn.
type Watcher struct {
	clock    clockwork.Clock
	view     *blackboard.View
	observer Observer
	interval time.Duration
	client   *http.Client
}

// Option changes a watcher under construction.
type Option func(*Watcher)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(wa *Watcher) { wa.clock = clock }
}

// WithInterval sets the time between two reports of an engine.
func WithInterval(interval time.Duration) Option {
	return func(wa *Watcher) { wa.interval = interval }
}

// New starts a watcher of the engines in the view and returns a function that
// stops it.
func New(view *blackboard.View, observer Observer, opts ...Option) func() {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext}
	wa := &Watcher{
		clock:    clockwork.NewRealClock(),
		view:     view,
		observer: observer,
		interval: defaultInterval,
		client:   &http.Client{Transport: transport, Timeout: callTimeout},
	}
	for _, opt := range opts {
		opt(wa)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		wa.run(ctx)
	}()
	return func() {
		cancel()
		<-done
		transport.CloseIdleConnections()
	}
}

// run reads every engine's report once an interval. The first round begins at a
// random time, so that hosts don't read in step.
func (wa *Watcher) run(ctx context.Context) {
	wait := time.Duration(rand.Int64N(int64(wa.interval)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-wa.clock.After(wait):
		}
		wa.round(ctx)
		wait = wa.interval
	}
}

// target is an engine to read.
type target struct {
	id      mp.EngineID
	address string
}

func (wa *Watcher) round(ctx context.Context) {
	sn := wa.view.Load()
	if sn == nil {
		return
	}
	targets := make(chan target)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for ta := range targets {
				wa.read(ctx, ta)
			}
		})
	}
	for en := range sn.Engines() {
		targets <- target{id: en.Name, address: en.Address}
	}
	close(targets)
	group.Wait()
}

// read passes one report on. An engine that gives none is left to the requests
// to find out.
func (wa *Watcher) read(ctx context.Context, ta target) {
	load, err := wa.fetch(ctx, ta.address)
	if err == nil {
		wa.observer.ObserveLoad(ta.id, load)
	}
}

func (wa *Watcher) fetch(ctx context.Context, address string) (mp.EngineLoad, error) {
	var load mp.EngineLoad
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return load, errors.Trace(err)
	}
	response, err := wa.client.Do(request)
	if err != nil {
		return load, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return load, errors.Errorf("status %d", response.StatusCode)
	}
	return load, errors.Trace(json.NewDecoder(response.Body).Decode(&load))
}
