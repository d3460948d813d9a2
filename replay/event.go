package replay

import (
	"container/heap"
	"time"
)

// event is a function to run at a virtual time.
type event struct {
	at       time.Duration // since the start of the replay
	sequence uint64        // order of events at the same time
	run      func()
}

// eventQueue is a heap of events, ordered by time, and by insertion if equal.
type eventQueue struct {
	list     []event
	sequence uint64
}

// Len implements heap.Interface.
func (eq *eventQueue) Len() int { return len(eq.list) }

// Less implements heap.Interface.
func (eq *eventQueue) Less(a, b int) bool {
	if eq.list[a].at != eq.list[b].at {
		return eq.list[a].at < eq.list[b].at
	}
	return eq.list[a].sequence < eq.list[b].sequence
}

// Swap implements heap.Interface.
func (eq *eventQueue) Swap(a, b int) { eq.list[a], eq.list[b] = eq.list[b], eq.list[a] }

// Push implements heap.Interface.
func (eq *eventQueue) Push(x any) { eq.list = append(eq.list, x.(event)) }

// Pop implements heap.Interface.
func (eq *eventQueue) Pop() any {
	last := len(eq.list) - 1
	top := eq.list[last]
	eq.list[last] = event{}
	eq.list = eq.list[:last]
	return top
}

func (eq *eventQueue) add(at time.Duration, run func()) {
	eq.sequence++
	heap.Push(eq, event{at: at, sequence: eq.sequence, run: run})
}

func (eq *eventQueue) next() event {
	return heap.Pop(eq).(event)
}
