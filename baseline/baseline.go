// Package baseline implements simple scheduling policies, with which package replay
// compares the scheduler of package schedule. They ignore tiers and shares, use only
// engines of the host's own region, and never refuse a request for a model that has an
// engine there.
package baseline

import (
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/schedule"
)

type engine struct {
	id       mp.EngineID
	slots    int
	inFlight int // requests of this host
	load     int // requests of all hosts, from the last load report
	draining bool
}

// engineTable indexes the engines by ID and model, and the running requests with the
// engines that they are assigned to.
type engineTable struct {
	engines  map[mp.EngineID]*engine
	models   map[mp.ModelID][]*engine
	assigned map[mp.RequestID]*engine
	requests map[mp.RequestID]mp.Request
}

func newEngineTable(engines []schedule.Engine) engineTable {
	et := engineTable{
		engines:  map[mp.EngineID]*engine{},
		models:   map[mp.ModelID][]*engine{},
		assigned: map[mp.RequestID]*engine{},
		requests: map[mp.RequestID]mp.Request{},
	}
	for _, spec := range engines {
		if spec.Distance == schedule.OtherRegion {
			continue
		}
		en := &engine{id: spec.ID, slots: spec.Slots, draining: spec.Draining}
		et.engines[spec.ID] = en
		for _, model := range spec.Models {
			et.models[model] = append(et.models[model], en)
		}
	}
	return et
}

// start assigns a request to an engine.
func (et *engineTable) start(rq mp.Request, en *engine) mp.Decision {
	en.inFlight++
	et.assigned[rq.ID] = en
	et.requests[rq.ID] = rq
	return mp.Decision{Action: mp.ActionStart, Engine: en.id}
}

// end removes a request from its engine and returns it.
func (et *engineTable) end(id mp.RequestID) mp.Request {
	if en, ok := et.assigned[id]; ok {
		en.inFlight--
	}
	rq := et.requests[id]
	delete(et.assigned, id)
	delete(et.requests, id)
	return rq
}

// ObserveLoad implements mangopaddle.Scheduler.
func (et *engineTable) ObserveLoad(_ time.Time, id mp.EngineID, load mp.EngineLoad) {
	if en, ok := et.engines[id]; ok {
		en.load = load.Running + load.Waiting
	}
}

// RoundRobin starts each request at once, on the next engine of its model.
type RoundRobin struct {
	engineTable
	next map[mp.ModelID]int
}

var _ mp.Scheduler = (*RoundRobin)(nil)

// NewRoundRobin returns a round-robin policy over the engines.
func NewRoundRobin(engines []schedule.Engine) *RoundRobin {
	return &RoundRobin{engineTable: newEngineTable(engines), next: map[mp.ModelID]int{}}
}

// Submit implements mangopaddle.Scheduler.
func (rr *RoundRobin) Submit(_ time.Time, rq mp.Request) mp.Decision {
	list := rr.models[rq.Model]
	if len(list) == 0 {
		return mp.Decision{Action: mp.ActionRefuse, Reason: mp.KindNoBackend}
	}
	rr.next[rq.Model]++
	return rr.start(rq, list[rr.next[rq.Model]%len(list)])
}

// Next implements mangopaddle.Scheduler.
func (*RoundRobin) Next(time.Time) (mp.Assignment, bool) { return mp.Assignment{}, false }

// Expire implements mangopaddle.Scheduler.
func (*RoundRobin) Expire(time.Time) (mp.RequestID, bool) { return "", false }

// Reassign implements mangopaddle.Scheduler.
func (rr *RoundRobin) Reassign(now time.Time, id mp.RequestID, _ mp.Outcome) mp.Decision {
	return rr.Submit(now, rr.end(id))
}

// Done implements mangopaddle.Scheduler.
func (rr *RoundRobin) Done(_ time.Time, id mp.RequestID, _ mp.Outcome) { rr.end(id) }

// Cancel implements mangopaddle.Scheduler. It does nothing: no request is queued.
func (*RoundRobin) Cancel(time.Time, mp.RequestID) {}

// LeastLoad starts each request at once, on the engine with the lowest reported load.
type LeastLoad struct {
	RoundRobin
}

// NewLeastLoad returns a least-load policy over the engines.
func NewLeastLoad(engines []schedule.Engine) *LeastLoad {
	return &LeastLoad{RoundRobin: *NewRoundRobin(engines)}
}

// Submit implements mangopaddle.Scheduler.
func (ll *LeastLoad) Submit(_ time.Time, rq mp.Request) mp.Decision {
	var best *engine
	for _, en := range ll.models[rq.Model] {
		if best == nil || en.load < best.load {
			best = en
		}
	}
	if best == nil {
		return mp.Decision{Action: mp.ActionRefuse, Reason: mp.KindNoBackend}
	}
	return ll.start(rq, best)
}

// Reassign implements mangopaddle.Scheduler.
func (ll *LeastLoad) Reassign(now time.Time, id mp.RequestID, _ mp.Outcome) mp.Decision {
	return ll.Submit(now, ll.end(id))
}

// FIFO starts requests in the order of their arrival, with one concurrency limit for
// all engines of a model.
type FIFO struct {
	engineTable
	queues       map[mp.ModelID][]mp.Request
	limit        map[mp.ModelID]int // of running requests
	active       map[mp.ModelID]int // running requests
	sortedModels []mp.ModelID       // for a deterministic order
}

var _ mp.Scheduler = (*FIFO)(nil)

// NewFIFO returns a FIFO policy for one of several hosts, among which the slots of each
// engine are divided equally. Its limit for a model is the sum over the model's engines.
func NewFIFO(engines []schedule.Engine, hosts int) *FIFO {
	fi := &FIFO{
		engineTable: newEngineTable(engines),
		queues:      map[mp.ModelID][]mp.Request{},
		limit:       map[mp.ModelID]int{},
		active:      map[mp.ModelID]int{},
	}
	for model, list := range fi.models {
		for _, en := range list {
			fi.limit[model] += en.slots / hosts
		}
		fi.sortedModels = append(fi.sortedModels, model)
	}
	slices.Sort(fi.sortedModels)
	return fi
}

// Submit implements mangopaddle.Scheduler.
func (fi *FIFO) Submit(_ time.Time, rq mp.Request) mp.Decision {
	if len(fi.models[rq.Model]) == 0 {
		return mp.Decision{Action: mp.ActionRefuse, Reason: mp.KindNoBackend}
	}
	if fi.active[rq.Model] < fi.limit[rq.Model] {
		return fi.startOnLeastBusy(rq)
	}
	fi.queues[rq.Model] = append(fi.queues[rq.Model], rq)
	return mp.Decision{Action: mp.ActionWait}
}

// startOnLeastBusy starts a request on the engine with the fewest requests of this
// host.
func (fi *FIFO) startOnLeastBusy(rq mp.Request) mp.Decision {
	list := fi.models[rq.Model]
	best := list[0]
	for _, en := range list[1:] {
		if en.inFlight < best.inFlight {
			best = en
		}
	}
	fi.active[rq.Model]++
	return fi.start(rq, best)
}

// Next implements mangopaddle.Scheduler.
func (fi *FIFO) Next(time.Time) (mp.Assignment, bool) {
	for _, model := range fi.sortedModels {
		queue := fi.queues[model]
		if len(queue) > 0 && fi.active[model] < fi.limit[model] {
			fi.queues[model] = queue[1:]
			de := fi.startOnLeastBusy(queue[0])
			return mp.Assignment{ID: queue[0].ID, Engine: de.Engine}, true
		}
	}
	return mp.Assignment{}, false
}

// Expire implements mangopaddle.Scheduler.
func (*FIFO) Expire(time.Time) (mp.RequestID, bool) { return "", false }

// Reassign implements mangopaddle.Scheduler.
func (fi *FIFO) Reassign(_ time.Time, id mp.RequestID, _ mp.Outcome) mp.Decision {
	rq := fi.end(id)
	fi.active[rq.Model]--
	return fi.startOnLeastBusy(rq)
}

// Done implements mangopaddle.Scheduler.
func (fi *FIFO) Done(_ time.Time, id mp.RequestID, _ mp.Outcome) {
	rq := fi.end(id)
	fi.active[rq.Model]--
}

// Cancel implements mangopaddle.Scheduler. It does nothing: a replay cancels no queued
// request.
func (*FIFO) Cancel(time.Time, mp.RequestID) {}
