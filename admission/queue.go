// Package admission is the queue of requests that wait for an engine. It orders
// them by tier, the most urgent first; within a tier it puts requests within the
// promised rate before those above it, and then applies start-time fair queueing
// between the classes of the organisations, weighted by promised rate and measured
// in token cost. Package schedule decides which requests are queued at all, and when
// the next one starts. Package admission does no I/O and reads no clock.
package admission

import (
	"container/heap"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Flow is the fair-queueing state of one organisation's class.
type Flow struct {
	// Weight is the flow's weight within its tier: the promised rate in tokens per
	// second. A weight below 1 counts as 1.
	Weight float64

	// finishTag is the virtual finish time of the last request pushed. It serves the queue
	// within the promised rate and the one above it: what a class has waiting within its
	// promise counts against its requests above it.
	finishTag float64
}

// Item is one waiting request.
type Item struct {
	ID   mp.RequestID
	Tier mp.Tier
	// Promised marks a request within the promised rate.
	Promised bool
	// Cost is the estimated cost in answer tokens; see schedule.Cost.
	Cost mp.Tokens
	// Flow is the state of the organisation's class.
	Flow *Flow
	// Deadline is the time at which the request expires if it still waits.
	Deadline time.Time

	startTag float64        // virtual start time
	service  float64        // virtual time that the flow was charged: the cost divided by its weight
	sequence uint64         // order of arrival
	index    [heapCount]int // position in each heap
}

// fairQueue holds those waiting requests of one tier that are within the promised
// rate, or those above it.
type fairQueue struct {
	itemHeap
	cost        mp.Tokens // total of the waiting requests
	virtualTime float64   // start tag of the request served last
}

// tierQueues are the queues of a tier: within the promised rate, then above it.
type tierQueues [2]fairQueue

func fairQueueIndex(promised bool) int {
	if promised {
		return 0
	}
	return 1
}

// Queue holds the waiting requests of one model. It is not safe for concurrent
// use.
type Queue struct {
	tiers     [mp.TierCount]tierQueues
	deadlines itemHeap
	items     map[mp.RequestID]*Item
	sequence  uint64
}

// New returns an empty queue.
func New() *Queue {
	qu := &Queue{items: map[mp.RequestID]*Item{}}
	qu.deadlines = itemHeap{kind: byDeadline}
	for ti := range qu.tiers {
		for ix := range qu.tiers[ti] {
			qu.tiers[ti][ix].kind = byStartTag
		}
	}
	return qu
}

// Len returns the number of waiting requests.
func (qu *Queue) Len() int { return len(qu.items) }

// TierLen returns the number of waiting requests of a tier.
func (qu *Queue) TierLen(tier mp.Tier) int {
	return qu.tiers[tier][0].Len() + qu.tiers[tier][1].Len()
}

// Push adds a request. Its start tag is the later of the queue's virtual time and
// the flow's last finish tag.
func (qu *Queue) Push(it *Item) {
	fq := qu.fairQueue(it)
	qu.sequence++
	it.sequence = qu.sequence
	it.startTag = max(fq.virtualTime, it.Flow.finishTag)
	it.service = float64(it.Cost) / max(it.Flow.Weight, 1)
	it.Flow.finishTag = it.startTag + it.service
	fq.cost += it.Cost
	qu.items[it.ID] = it
	heap.Push(&fq.itemHeap, it)
	heap.Push(&qu.deadlines, it)
}

func (qu *Queue) fairQueue(it *Item) *fairQueue {
	return &qu.tiers[it.Tier][fairQueueIndex(it.Promised)]
}

// Peek returns the request at the head of the queue, or nil if the queue is empty.
func (qu *Queue) Peek() *Item {
	for ti := range qu.tiers {
		for ix := range qu.tiers[ti] {
			if qu.tiers[ti][ix].Len() > 0 {
				return qu.tiers[ti][ix].items[0]
			}
		}
	}
	return nil
}

// Pop removes and returns the request at the head of the queue, or nil if the
// queue is empty.
func (qu *Queue) Pop() *Item {
	it := qu.Peek()
	if it == nil {
		return nil
	}
	fq := qu.fairQueue(it)
	fq.virtualTime = max(fq.virtualTime, it.startTag)
	qu.remove(it)
	return it
}

// Remove removes and returns a request by its identifier, or nil if it is not in
// the queue. Its cost is taken back from the flow's finish tag.
func (qu *Queue) Remove(id mp.RequestID) *Item {
	it, ok := qu.items[id]
	if !ok {
		return nil
	}
	it.Flow.finishTag -= it.service
	qu.remove(it)
	return it
}

func (qu *Queue) remove(it *Item) {
	fq := qu.fairQueue(it)
	heap.Remove(&fq.itemHeap, it.index[byStartTag])
	heap.Remove(&qu.deadlines, it.index[byDeadline])
	fq.cost -= it.Cost
	delete(qu.items, it.ID)
}

// Expired returns a request whose deadline has passed, without removing it, or nil
// if there is none.
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

// CostAhead returns the total cost of the requests in the queues that a new request
// would wait behind.
func (qu *Queue) CostAhead(tier mp.Tier, promised bool) mp.Tokens {
	var total mp.Tokens
	for ti := range tier {
		total += qu.tiers[ti][0].cost + qu.tiers[ti][1].cost
	}
	for ix := 0; ix <= fairQueueIndex(promised); ix++ {
		total += qu.tiers[tier][ix].cost
	}
	return total
}
