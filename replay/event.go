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

// eventQueue is a heap of events, ordered by time and then by insertion.
type eventQueue struct {
	list     []event
	sequence uint64
}

// Len implements heap.Interface.
func (ev *eventQueue) Len() int { return len(ev.list) }

// Less implements heap.Interface.
func (ev *eventQueue) Less(a, b int) bool {
	if ev.list[a].at != ev.list[b].at {
		return ev.list[a].at < ev.list[b].at
	}
	return ev.list[a].sequence < ev.list[b].sequence
}

// Swap implements heap.Interface.
func (ev *eventQueue) Swap(a, b int) { ev.list[a], ev.list[b] = ev.list[b], ev.list[a] }

// Push implements heap.Interface.
func (ev *eventQueue) Push(x any) { ev.list = append(ev.list, x.(event)) }

// Pop implements heap.Interface.
func (ev *eventQueue) Pop() any {
	last := len(ev.list) - 1
	top := ev.list[last]
	ev.list[last] = event{}
	ev.list = ev.list[:last]
	return top
}

func (ev *eventQueue) add(at time.Duration, run func()) {
	ev.sequence++
	heap.Push(ev, event{at: at, sequence: ev.sequence, run: run})
}

func (ev *eventQueue) next() event {
	return heap.Pop(ev).(event)
}
