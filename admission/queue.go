// Package admission orders the requests that wait for an engine: by tier, then
// use within the promised share before use above it, then by weighted fair
// queueing between organisations in token cost.
package admission

import (
	"container/heap"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Flow is the fair-queueing state of one organisation's class.
type Flow struct {
	// Weight is the flow's part of its tier; the promised share.
	Weight float64

	finish float64 // virtual time at which the last request ends
}

// Item is one waiting request.
type Item struct {
	ID   mp.RequestID
	Tier mp.Tier
	// Promised says that the request is within the promised share.
	Promised bool
	// Cost is the estimated work in tokens.
	Cost mp.Tokens
	// Flow is the organisation's class.
	Flow *Flow
	// Deadline is when the wait ends.
	Deadline time.Time

	start    float64
	sequence uint64
	index    [heapCount]int // position in each heap
}

// lane is the waiting requests of one tier, on one side of the share.
type lane struct {
	itemHeap
	cost    mp.Tokens
	virtual float64 // start tag of the request served last
}

// lanes is the lanes of a tier: promised use first.
type lanes [2]lane

func laneOf(promised bool) int {
	if promised {
		return 0
	}
	return 1
}

// Queue holds the waiting requests of one model. It is not safe for concurrent
// use.
type Queue struct {
	tiers     [mp.TierCount]lanes
	deadlines itemHeap
	items     map[mp.RequestID]*Item
	sequence  uint64
}

// New returns an empty queue.
func New() *Queue {
	qu := &Queue{items: map[mp.RequestID]*Item{}}
	qu.deadlines = itemHeap{kind: byDeadline}
	for ti := range qu.tiers {
		for la := range qu.tiers[ti] {
			qu.tiers[ti][la].kind = byStart
		}
	}
	return qu
}

// Len returns how many requests wait.
func (qu *Queue) Len() int { return len(qu.items) }

// TierLen returns how many requests of a tier wait.
func (qu *Queue) TierLen(tier mp.Tier) int {
	return qu.tiers[tier][0].Len() + qu.tiers[tier][1].Len()
}

// Push adds a request.
func (qu *Queue) Push(it *Item) {
	la := qu.lane(it)
	qu.sequence++
	it.sequence = qu.sequence
	it.start = max(la.virtual, it.Flow.finish)
	it.Flow.finish = it.start + float64(it.Cost)/max(it.Flow.Weight, 1)
	la.cost += it.Cost
	qu.items[it.ID] = it
	heap.Push(&la.itemHeap, it)
	heap.Push(&qu.deadlines, it)
}

func (qu *Queue) lane(it *Item) *lane {
	return &qu.tiers[it.Tier][laneOf(it.Promised)]
}

// Peek returns the request that is served next; nil if none waits.
func (qu *Queue) Peek() *Item {
	for ti := range qu.tiers {
		for la := range qu.tiers[ti] {
			if qu.tiers[ti][la].Len() > 0 {
				return qu.tiers[ti][la].items[0]
			}
		}
	}
	return nil
}

// Pop removes and returns the request that is served next; nil if none waits.
func (qu *Queue) Pop() *Item {
	it := qu.Peek()
	if it == nil {
		return nil
	}
	la := qu.lane(it)
	la.virtual = max(la.virtual, it.start)
	qu.remove(it)
	return it
}

// Remove takes out a request by its identifier; nil if it does not wait.
func (qu *Queue) Remove(id mp.RequestID) *Item {
	it, ok := qu.items[id]
	if !ok {
		return nil
	}
	it.Flow.finish -= float64(it.Cost) / max(it.Flow.Weight, 1)
	qu.remove(it)
	return it
}

func (qu *Queue) remove(it *Item) {
	la := qu.lane(it)
	heap.Remove(&la.itemHeap, it.index[byStart])
	heap.Remove(&qu.deadlines, it.index[byDeadline])
	la.cost -= it.Cost
	delete(qu.items, it.ID)
}

// Expired returns a request whose deadline has passed; nil if there is none.
func (qu *Queue) Expired(now time.Time) *Item {
	if qu.deadlines.Len() == 0 {
		return nil
	}
	it := qu.deadlines.items[0]
	if now.Before(it.Deadline) {
		return nil
	}
	return it
}

// CostAhead returns the cost of the requests that are served before a new one.
func (qu *Queue) CostAhead(tier mp.Tier, promised bool) mp.Tokens {
	var total mp.Tokens
	for ti := range tier {
		total += qu.tiers[ti][0].cost + qu.tiers[ti][1].cost
	}
	for la := 0; la <= laneOf(promised); la++ {
		total += qu.tiers[tier][la].cost
	}
	return total
}
