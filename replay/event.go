package replay

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// events is a heap of events, the first one on top.
type events struct {
	list     []event
	sequence uint64
}

// Len implements heap.Interface.
func (ev *events) Len() int { return len(ev.list) }

// Less implements heap.Interface.
func (ev *events) Less(a, b int) bool {
	if ev.list[a].at != ev.list[b].at {
		return ev.list[a].at < ev.list[b].at
	}
	return ev.list[a].sequence < ev.list[b].sequence
}

// Swap implements heap.Interface.
func (ev *events) Swap(a, b int) { ev.list[a], ev.list[b] = ev.list[b], ev.list[a] }

// Push implements heap.Interface.
func (ev *events) Push(x any) { ev.list = append(ev.list, x.(event)) }

// Pop implements heap.Interface.
func (ev *events) Pop() any {
	last := len(ev.list) - 1
	top := ev.list[last]
	ev.list[last] = event{}
	ev.list = ev.list[:last]
	return top
}

func (ev *events) add(at time.Duration, run func()) {
	ev.sequence++
	heap.Push(ev, event{at: at, sequence: ev.sequence, run: run})
}

func (ev *events) next() event {
	return heap.Pop(ev).(event)
}
