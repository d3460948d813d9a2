// Package loadwatch polls the load reports of the engines that a host may use for the
// router's own API, so that the host accounts for the requests that other hosts send
// there. The hosts of the gateway exchange their loads instead (package peer).
package loadwatch

import (
	"context"
	"encoding/json"
	"io"
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
	workerCount     = 8 // concurrent polls
	// maxReportBytes is the longest report that is read.
	maxReportBytes = 64 << 10
)

// MaxRemotePolls is the maximum number of engines of other data centres that are
// polled in a round. The next round continues after them.
const MaxRemotePolls = 32

// Observer receives the reported loads.
type Observer interface {
	// ObserveLoad may be called from several goroutines at once.
	ObserveLoad(engine mp.EngineID, load mp.EngineLoad)
}

// Poller polls the load reports of engines.
type Poller struct {
	clock    clockwork.Clock
	view     *blackboard.View
	observer Observer
	interval time.Duration
	client   *http.Client
	// nextRemote is the index, modulo their number, at which the next round starts among
	// the engines of other data centres.
	nextRemote int
}

// Option configures a poller.
type Option func(*Poller)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(po *Poller) { po.clock = clock }
}

// WithInterval sets the interval between the end of a round and the next round. The
// default is one second.
func WithInterval(interval time.Duration) Option {
	return func(po *Poller) { po.interval = interval }
}

// New starts a poller of the engines in the view's snapshot and returns a function
// that stops it.
func New(view *blackboard.View, observer Observer, opts ...Option) func() {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext}
	po := &Poller{
		clock:    clockwork.NewRealClock(),
		view:     view,
		observer: observer,
		interval: defaultInterval,
		client:   &http.Client{Transport: transport, Timeout: callTimeout},
	}
	for _, opt := range opts {
		opt(po)
	}
	stop := background.Run(po.run)
	return func() {
		stop()
		transport.CloseIdleConnections()
	}
}

// run starts each round an interval after the end of the last one, and the first one
// after a random fraction of the interval, so that hosts do not poll in lockstep.
func (po *Poller) run(ctx context.Context) {
	wait := time.Duration(rand.Int64N(int64(po.interval)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-po.clock.After(wait):
		}
		po.round(ctx)
		wait = po.interval
	}
}

// target is an engine to poll.
type target struct {
	id      mp.EngineID
	address string
}

// round polls the chosen engines concurrently.
func (po *Poller) round(ctx context.Context) {
	sn := po.view.Load()
	if sn == nil {
		return
	}
	targets := make(chan target)
	var group sync.WaitGroup
	for range workerCount {
		group.Go(func() {
			for ta := range targets {
				po.poll(ctx, ta)
			}
		})
	}
	for _, ta := range po.chooseTargets(sn) {
		targets <- ta
	}
	close(targets)
	group.Wait()
}

// chooseTargets returns the engines to poll in this round: all engines of the data
// centre, and a number of the others in rotation.
func (po *Poller) chooseTargets(sn *blackboard.Snapshot) []target {
	var local, remote []target
	for _, en := range sn.Engines() {
		ta := target{id: en.Name, address: en.Address}
		if en.DataCentre == sn.DataCentre {
			local = append(local, ta)
		} else {
			remote = append(remote, ta)
		}
	}
	for range min(MaxRemotePolls, len(remote)) {
		local = append(local, remote[po.nextRemote%len(remote)])
		po.nextRemote++
	}
	return local
}

// poll passes the report of an engine to the observer. It ignores errors: a failing
// engine is detected by its requests.
func (po *Poller) poll(ctx context.Context, ta target) {
	load, err := po.fetch(ctx, ta.address)
	if err == nil {
		po.observer.ObserveLoad(ta.id, load)
	}
}

func (po *Poller) fetch(ctx context.Context, address string) (mp.EngineLoad, error) {
	var load mp.EngineLoad
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return load, errors.Trace(err)
	}
	response, err := po.client.Do(request)
	if err != nil {
		return load, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return load, errors.Errorf("status %d", response.StatusCode)
	}
	return load, errors.Trace(json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&load))
}
