// Package pool lets concurrent requests share one scheduler: it blocks a request
// until the scheduler starts or refuses it.
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

// pumpInterval is how often waiting requests are looked at without an event,
// for changes that only time brings.
const pumpInterval = 50 * time.Millisecond

// Pool guards a scheduler.
type Pool struct {
	clock clockwork.Clock

	mu        sync.Mutex
	scheduler *schedule.Scheduler
	waiters   map[mp.RequestID]chan mp.Decision
}

// Option changes a pool under construction.
type Option func(*Pool)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(po *Pool) { po.clock = clock }
}

// New returns a pool over the scheduler and a function that stops it.
func New(scheduler *schedule.Scheduler, opts ...Option) (*Pool, func()) {
	po := &Pool{
		clock:     clockwork.NewRealClock(),
		scheduler: scheduler,
		waiters:   map[mp.RequestID]chan mp.Decision{},
	}
	for _, opt := range opts {
		opt(po)
	}
	return po, background.Every(po.clock, pumpInterval, po.pump)
}

// Configure replaces the engines and the number of hosts.
func (po *Pool) Configure(engines []schedule.Engine, hosts int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.scheduler.SetEngines(engines)
	po.scheduler.SetHosts(hosts)
	po.pumpLocked()
}

// State returns what the scheduler knows, for operators.
func (po *Pool) State() ([]schedule.EngineState, [mp.TierCount]int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.scheduler.Engines(po.clock.Now()), po.scheduler.Waiting()
}

// ObserveLoad passes on the load that an engine reported.
func (po *Pool) ObserveLoad(engine mp.EngineID, load mp.EngineLoad) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.scheduler.ObserveLoad(po.clock.Now(), engine, load)
	po.pumpLocked()
}

func (po *Pool) pump() {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.pumpLocked()
}

// pumpLocked expires and starts waiting requests.
func (po *Pool) pumpLocked() {
	if len(po.waiters) == 0 {
		return
	}
	now := po.clock.Now()
	for {
		id, ok := po.scheduler.Expire(now)
		if !ok {
			break
		}
		po.tell(id, mp.Decision{Action: mp.ActionRefuse, Reason: mp.KindWaitExpired})
	}
	for {
		st, ok := po.scheduler.Next(now)
		if !ok {
			break
		}
		po.tell(st.ID, mp.Decision{Action: mp.ActionStart, Engine: st.Engine, Priority: st.Priority})
	}
}

func (po *Pool) tell(id mp.RequestID, de mp.Decision) {
	if waiter, ok := po.waiters[id]; ok {
		waiter <- de // holds one decision, and gets only one
		delete(po.waiters, id)
	}
}

// Acquire blocks until the request may run on an engine. The error is an
// *mangopaddle.Error of a kind that says that nothing ran.
func (po *Pool) Acquire(ctx context.Context, wo mp.Request) (*Lease, error) {
	po.mu.Lock()
	de := po.scheduler.Submit(po.clock.Now(), wo)
	if de.Action != mp.ActionWait {
		po.mu.Unlock()
		return po.lease(wo.ID, de)
	}
	waiter := make(chan mp.Decision, 1)
	po.waiters[wo.ID] = waiter
	po.mu.Unlock()

	select {
	case de = <-waiter:
	case <-ctx.Done():
		de = po.abandon(wo.ID, waiter)
	}
	return po.lease(wo.ID, de)
}

// abandon takes back a request whose caller has left. If the scheduler started
// it in the meantime, the start is undone.
func (po *Pool) abandon(id mp.RequestID, waiter chan mp.Decision) mp.Decision {
	po.mu.Lock()
	defer po.mu.Unlock()
	select {
	case de := <-waiter:
		if de.Action == mp.ActionStart {
			po.scheduler.Done(po.clock.Now(), id, mp.Outcome{})
			po.pumpLocked()
		}
	default:
		po.scheduler.Cancel(po.clock.Now(), id)
		delete(po.waiters, id)
	}
	return mp.Decision{Action: mp.ActionRefuse, Reason: mp.KindCallerGone}
}

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
		return "the caller left while the request waited"
	default:
		return "the request could not be scheduled"
	}
}

// Lease is a request's place on an engine.
type Lease struct {
	pool     *Pool
	id       mp.RequestID
	engine   mp.EngineID
	priority int
	started  time.Time
}

// Engine returns the engine to run on.
func (le *Lease) Engine() mp.EngineID { return le.engine }

// Priority returns the request's place in the order of the engine's queue.
func (le *Lease) Priority() int { return le.priority }

// Started returns when the engine was given to the request.
func (le *Lease) Started() time.Time { return le.started }

// ObserveLoad passes on the load that the engine reported with an answer.
func (le *Lease) ObserveLoad(load mp.EngineLoad) {
	le.pool.ObserveLoad(le.engine, load)
}

// Reassign moves the request to another engine after a failure. After an error
// the lease is over.
func (le *Lease) Reassign(outcome mp.Outcome) error {
	po := le.pool
	po.mu.Lock()
	defer po.mu.Unlock()
	de := po.scheduler.Reassign(po.clock.Now(), le.id, outcome)
	po.pumpLocked()
	if de.Action == mp.ActionRefuse {
		return refusal(de)
	}
	le.engine, le.started = de.Engine, po.clock.Now()
	return nil
}

// Release gives the place back.
func (le *Lease) Release(outcome mp.Outcome) {
	po := le.pool
	po.mu.Lock()
	defer po.mu.Unlock()
	po.scheduler.Done(po.clock.Now(), le.id, outcome)
	po.pumpLocked()
}
