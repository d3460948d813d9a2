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
	"github.com/mangopaddle/mangopaddle/background"
	"github.com/mangopaddle/mangopaddle/blackboard"
)

const (
	defaultInterval = time.Second
	callTimeout     = 500 * time.Millisecond
	workers         = 8
)

// MaxRemoteReads bounds the engines of other data centres that are read in a round;
// the next round goes on behind them.
const MaxRemoteReads = 32

// Observer takes reported loads.
type Observer interface {
	ObserveLoad(engine mp.EngineID, load mp.EngineLoad)
}

// Poller reads load reports in turn.
type Poller struct {
	clock    clockwork.Clock
	view     *blackboard.View
	observer Observer
	interval time.Duration
	client   *http.Client
	away     int // where the next round begins among the engines of other data centres
}

// Option changes a watcher under construction.
type Option func(*Poller)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(wa *Poller) { wa.clock = clock }
}

// WithInterval sets the time between two reports of an engine.
func WithInterval(interval time.Duration) Option {
	return func(wa *Poller) { wa.interval = interval }
}

// New starts a watcher of the engines in the view and returns a function that
// stops it.
func New(view *blackboard.View, observer Observer, opts ...Option) func() {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext}
	wa := &Poller{
		clock:    clockwork.NewRealClock(),
		view:     view,
		observer: observer,
		interval: defaultInterval,
		client:   &http.Client{Transport: transport, Timeout: callTimeout},
	}
	for _, opt := range opts {
		opt(wa)
	}
	stop := background.Run(wa.run)
	return func() {
		stop()
		transport.CloseIdleConnections()
	}
}

// run reads every engine's report once an interval. The first round begins at a
// random time, so that hosts don't read in step.
func (wa *Poller) run(ctx context.Context) {
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

func (wa *Poller) round(ctx context.Context) {
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
	for _, ta := range wa.choose(sn) {
		targets <- ta
	}
	close(targets)
	group.Wait()
}

// choose returns the engines of this round: all of the data centre, and some of
// the others in turn.
func (wa *Poller) choose(sn *blackboard.Snapshot) []target {
	var home, away []target
	for _, en := range sn.Engines() {
		ta := target{id: en.Name, address: en.Address}
		if en.DataCentre == sn.DataCentre {
			home = append(home, ta)
		} else {
			away = append(away, ta)
		}
	}
	for range min(MaxRemoteReads, len(away)) {
		home = append(home, away[wa.away%len(away)])
		wa.away++
	}
	return home
}

// read passes one report on. An engine that gives none is left to the requests
// to find out.
func (wa *Poller) read(ctx context.Context, ta target) {
	load, err := wa.fetch(ctx, ta.address)
	if err == nil {
		wa.observer.ObserveLoad(ta.id, load)
	}
}

func (wa *Poller) fetch(ctx context.Context, address string) (mp.EngineLoad, error) {
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
