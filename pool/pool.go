// Package pool makes a scheduler of package schedule usable by concurrent requests: it
// serialises the calls, blocks each request until the scheduler starts or refuses it,
// and gives a started request a lease on its engine.
package pool

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/background"
	"github.com/mangopaddle/mangopaddle/schedule"
)

// dispatchInterval is the interval at which waiting requests are dispatched without
// an event, for changes that only time brings, such as deadlines.
const dispatchInterval = 50 * time.Millisecond

// Pool guards a scheduler with a mutex. It is safe for concurrent use.
type Pool struct {
	clock clockwork.Clock

	mu        sync.Mutex
	scheduler *schedule.Scheduler
	waiters   map[mp.RequestID]chan mp.Decision // of requests that wait
}

// Option configures a Pool.
type Option func(*Pool)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(po *Pool) { po.clock = clock }
}

// New returns a pool around the scheduler and a function that stops its periodic
// dispatch.
func New(scheduler *schedule.Scheduler, opts ...Option) (*Pool, func()) {
	po := &Pool{
		clock:     clockwork.NewRealClock(),
		scheduler: scheduler,
		waiters:   map[mp.RequestID]chan mp.Decision{},
	}
	for _, opt := range opts {
		opt(po)
	}
	return po, background.Every(po.clock, dispatchInterval, po.dispatch)
}

// Configure replaces the engines and the number of hosts that share them.
func (po *Pool) Configure(engines []schedule.Engine, hosts int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.scheduler.SetEngines(engines)
	po.scheduler.SetHosts(hosts)
	po.dispatchLocked()
}

// State returns the state of each engine and the number of waiting requests by
// tier, for operators.
func (po *Pool) State() ([]schedule.EngineState, [mp.TierCount]int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.scheduler.Engines(po.clock.Now()), po.scheduler.Waiting()
}

// ObserveLoad passes a load report of an engine to the scheduler.
func (po *Pool) ObserveLoad(engine mp.EngineID, load mp.EngineLoad) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.scheduler.ObserveLoad(po.clock.Now(), engine, load)
	po.dispatchLocked()
}

func (po *Pool) dispatch() {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.dispatchLocked()
}

// dispatchLocked expires and starts waiting requests. The caller holds mu.
func (po *Pool) dispatchLocked() {
	if len(po.waiters) == 0 {
		return
	}
	now := po.clock.Now()
	for {
		id, ok := po.scheduler.Expire(now)
		if !ok {
			break
		}
		po.deliver(id, mp.Decision{Action: mp.ActionRefuse, Reason: mp.KindWaitExpired})
	}
	for {
		as, ok := po.scheduler.Next(now)
		if !ok {
			break
		}
		po.deliver(as.ID, mp.Decision{Action: mp.ActionStart, Engine: as.Engine, Priority: as.Priority})
	}
}

// deliver passes a decision to the request that waits for it.
func (po *Pool) deliver(id mp.RequestID, de mp.Decision) {
	if waiter, ok := po.waiters[id]; ok {
		waiter <- de // never blocks: the channel is buffered and gets one decision
		delete(po.waiters, id)
	}
}

// Acquire blocks until the request may run on an engine, is refused, or ctx is
// done. The error is a *mangopaddle.Error with the reason of the refusal, or with
// mangopaddle.KindCallerGone if ctx was done; in either case nothing was run.
func (po *Pool) Acquire(ctx context.Context, rq mp.Request) (*Lease, error) {
	po.mu.Lock()
	de := po.scheduler.Submit(po.clock.Now(), rq)
	if de.Action != mp.ActionWait {
		po.mu.Unlock()
		return po.lease(rq.ID, de)
	}
	waiter := make(chan mp.Decision, 1)
	po.waiters[rq.ID] = waiter
	po.mu.Unlock()

	select {
	case de = <-waiter:
	case <-ctx.Done():
		de = po.cancel(rq.ID, waiter)
	}
	return po.lease(rq.ID, de)
}

// cancel withdraws a request whose context is done. If the scheduler started it in
// the meantime, it is reported as done, without an answer.
func (po *Pool) cancel(id mp.RequestID, waiter chan mp.Decision) mp.Decision {
	po.mu.Lock()
	defer po.mu.Unlock()
	select {
	case de := <-waiter:
		if de.Action == mp.ActionStart {
			po.scheduler.Done(po.clock.Now(), id, mp.Outcome{})
			po.dispatchLocked()
		}
	default:
		po.scheduler.Cancel(po.clock.Now(), id)
		delete(po.waiters, id)
	}
	return mp.Decision{Action: mp.ActionRefuse, Reason: mp.KindCallerGone}
}

// lease returns the lease of a started request, or the error of a refused one.
func (po *Pool) lease(id mp.RequestID, de mp.Decision) (*Lease, error) {
	if de.Action == mp.ActionRefuse {
		return nil, refusal(de)
	}
	return &Lease{pool: po, id: id, engine: de.Engine, priority: de.Priority, started: po.clock.Now()}, nil
}

func refusal(de mp.Decision) error {
	return mp.NewError(de.Reason, "%s", refusalText(de.Reason)).WithRetryAfter(de.RetryAfter)
}

func refusalText(reason mp.Kind) string {
	switch reason {
	case mp.KindShareExceeded:
		return "the organisation uses the most that its contract allows for this class; the request was not run"
	case mp.KindOverloaded:
		return "the request would wait longer than its class allows; it was not run"
	case mp.KindWaitExpired:
		return "no engine became free within the longest wait of the class; the request was not run"
	case mp.KindNoBackend:
		return "no engine serves this model now; the request was not run"
	case mp.KindCallerGone:
		return "the caller disconnected while the request waited"
	default:
		return "the request could not be scheduled"
	}
}

// Lease is the assignment of a request to an engine. It has to be released.
type Lease struct {
	pool     *Pool
	id       mp.RequestID
	engine   mp.EngineID
	priority int
	started  time.Time
}

// Engine returns the engine that the request is assigned to.
func (le *Lease) Engine() mp.EngineID { return le.engine }

// Priority returns the request's priority in the engine's queue; a lower value runs
// first.
func (le *Lease) Priority() int { return le.priority }

// Started returns the time at which the current engine was assigned.
func (le *Lease) Started() time.Time { return le.started }

// ObserveLoad passes the load that the engine reported with its response to the
// scheduler.
func (le *Lease) ObserveLoad(load mp.EngineLoad) {
	le.pool.ObserveLoad(le.engine, load)
}

// Reassign assigns the request to an engine again after a failed attempt, preferably to
// another one. The error is a *mangopaddle.Error with the reason of the refusal;
// after it the lease has ended.
func (le *Lease) Reassign(outcome mp.Outcome) error {
	po := le.pool
	po.mu.Lock()
	defer po.mu.Unlock()
	de := po.scheduler.Reassign(po.clock.Now(), le.id, outcome)
	po.dispatchLocked()
	if de.Action == mp.ActionRefuse {
		return refusal(de)
	}
	le.engine, le.started = de.Engine, po.clock.Now()
	return nil
}

// Release ends the lease and reports the outcome of the last attempt.
func (le *Lease) Release(outcome mp.Outcome) {
	po := le.pool
	po.mu.Lock()
	defer po.mu.Unlock()
	po.scheduler.Done(po.clock.Now(), le.id, outcome)
	po.dispatchLocked()
}
