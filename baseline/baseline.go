// Package baseline holds simple policies that the scheduler is compared with in
// replays.
package baseline

import (
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/schedule"
)

// target is an engine of a baseline.
type target struct {
	id      mp.EngineID
	slots   int
	own     int
	load    int
	leaving bool
}

// table finds the engines of a model and the engine of a request.
type table struct {
	engines map[mp.EngineID]*target
	models  map[mp.ModelID][]*target
	where   map[mp.RequestID]*target
	work    map[mp.RequestID]mp.Request
}

func newTable(engines []schedule.Engine) table {
	ta := table{
		engines: map[mp.EngineID]*target{},
		models:  map[mp.ModelID][]*target{},
		where:   map[mp.RequestID]*target{},
		work:    map[mp.RequestID]mp.Request{},
	}
	for _, en := range engines {
		if en.Distance == schedule.OtherRegion {
			continue
		}
		tg := &target{id: en.ID, slots: en.Slots, leaving: en.Leaving}
		ta.engines[en.ID] = tg
		for _, model := range en.Models {
			ta.models[model] = append(ta.models[model], tg)
		}
	}
	return ta
}

func (ta *table) start(wo mp.Request, tg *target) mp.Decision {
	tg.own++
	ta.where[wo.ID] = tg
	ta.work[wo.ID] = wo
	return mp.Decision{Action: mp.ActionStart, Engine: tg.id}
}

func (ta *table) end(id mp.RequestID) mp.Request {
	if tg, ok := ta.where[id]; ok {
		tg.own--
	}
	wo := ta.work[id]
	delete(ta.where, id)
	delete(ta.work, id)
	return wo
}

// ObserveLoad implements mangopaddle.Scheduler.
func (ta *table) ObserveLoad(_ time.Time, id mp.EngineID, load mp.EngineLoad) {
	if tg, ok := ta.engines[id]; ok {
		tg.load = load.Running + load.Waiting
	}
}

// RoundRobin sends each request to the next engine, without tiers.
type RoundRobin struct {
	table
	next map[mp.ModelID]int
}

var _ mp.Scheduler = (*RoundRobin)(nil)

// NewRoundRobin returns the policy.
func NewRoundRobin(engines []schedule.Engine) *RoundRobin {
	return &RoundRobin{table: newTable(engines), next: map[mp.ModelID]int{}}
}

// Submit implements mangopaddle.Scheduler.
func (rr *RoundRobin) Submit(_ time.Time, wo mp.Request) mp.Decision {
	list := rr.models[wo.Model]
	if len(list) == 0 {
		return mp.Decision{Action: mp.ActionRefuse, Reason: mp.KindNoBackend}
	}
	rr.next[wo.Model]++
	return rr.start(wo, list[rr.next[wo.Model]%len(list)])
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

// Cancel implements mangopaddle.Scheduler.
func (*RoundRobin) Cancel(time.Time, mp.RequestID) {}

// LeastLoad sends each request to the engine with the least reported load.
type LeastLoad struct {
	RoundRobin
}

// NewLeastLoad returns the policy.
func NewLeastLoad(engines []schedule.Engine) *LeastLoad {
	return &LeastLoad{RoundRobin: *NewRoundRobin(engines)}
}

// Submit implements mangopaddle.Scheduler.
func (ll *LeastLoad) Submit(_ time.Time, wo mp.Request) mp.Decision {
	var found *target
	for _, tg := range ll.models[wo.Model] {
		if found == nil || tg.load < found.load {
			found = tg
		}
	}
	if found == nil {
		return mp.Decision{Action: mp.ActionRefuse, Reason: mp.KindNoBackend}
	}
	return ll.start(wo, found)
}

// Reassign implements mangopaddle.Scheduler.
func (ll *LeastLoad) Reassign(now time.Time, id mp.RequestID, _ mp.Outcome) mp.Decision {
	return ll.Submit(now, ll.end(id))
}

// FIFO runs requests in the order of their arrival, under a limit for all
// engines of a model together.
type FIFO struct {
	table
	queues map[mp.ModelID][]mp.Request
	limit  map[mp.ModelID]int
	active map[mp.ModelID]int
	order  []mp.ModelID
}

var _ mp.Scheduler = (*FIFO)(nil)

// NewFIFO returns the policy of one of several hosts, which has its part of the
// limit.
func NewFIFO(engines []schedule.Engine, hosts int) *FIFO {
	fi := &FIFO{
		table:  newTable(engines),
		queues: map[mp.ModelID][]mp.Request{},
		limit:  map[mp.ModelID]int{},
		active: map[mp.ModelID]int{},
	}
	for model, list := range fi.models {
		for _, tg := range list {
			fi.limit[model] += tg.slots / hosts
		}
		fi.order = append(fi.order, model)
	}
	slices.Sort(fi.order)
	return fi
}

// Submit implements mangopaddle.Scheduler.
func (fi *FIFO) Submit(_ time.Time, wo mp.Request) mp.Decision {
	if len(fi.models[wo.Model]) == 0 {
		return mp.Decision{Action: mp.ActionRefuse, Reason: mp.KindNoBackend}
	}
	if fi.active[wo.Model] < fi.limit[wo.Model] {
		return fi.place(wo)
	}
	fi.queues[wo.Model] = append(fi.queues[wo.Model], wo)
	return mp.Decision{Action: mp.ActionWait}
}

// place sends a request to the engine with the fewest of its own.
func (fi *FIFO) place(wo mp.Request) mp.Decision {
	list := fi.models[wo.Model]
	found := list[0]
	for _, tg := range list[1:] {
		if tg.own < found.own {
			found = tg
		}
	}
	fi.active[wo.Model]++
	return fi.start(wo, found)
}

// Next implements mangopaddle.Scheduler.
func (fi *FIFO) Next(time.Time) (mp.Assignment, bool) {
	for _, model := range fi.order {
		queue := fi.queues[model]
		if len(queue) > 0 && fi.active[model] < fi.limit[model] {
			fi.queues[model] = queue[1:]
			de := fi.place(queue[0])
			return mp.Assignment{ID: queue[0].ID, Engine: de.Engine}, true
		}
	}
	return mp.Assignment{}, false
}

// Expire implements mangopaddle.Scheduler.
func (*FIFO) Expire(time.Time) (mp.RequestID, bool) { return "", false }

// Reassign implements mangopaddle.Scheduler.
func (fi *FIFO) Reassign(_ time.Time, id mp.RequestID, _ mp.Outcome) mp.Decision {
	wo := fi.end(id)
	fi.active[wo.Model]--
	return fi.place(wo)
}

// Done implements mangopaddle.Scheduler.
func (fi *FIFO) Done(_ time.Time, id mp.RequestID, _ mp.Outcome) {
	wo := fi.end(id)
	fi.active[wo.Model]--
}

// Cancel implements mangopaddle.Scheduler.
func (*FIFO) Cancel(time.Time, mp.RequestID) {}
