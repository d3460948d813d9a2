package admission

// heapKind selects the order of a heap. It is also the index of an item's position
// in that heap.
type heapKind int

const (
	byStartTag heapKind = iota
	byDeadline
	heapCount
)

// itemHeap is a heap of items. Each item stores its index in the heap, so that it
// can be removed from any position.
type itemHeap struct {
	kind  heapKind
	items []*Item
}

// startsBefore orders items by start tag, and items with equal tags by arrival.
func startsBefore(ia, ib *Item) bool {
	if ia.startTag != ib.startTag {
		return ia.startTag < ib.startTag
	}
	return ia.sequence < ib.sequence
}

// Len implements heap.Interface.
func (ih *itemHeap) Len() int { return len(ih.items) }

// Less implements heap.Interface.
func (ih *itemHeap) Less(a, b int) bool {
	if ih.kind == byDeadline {
		return ih.items[a].Deadline.Before(ih.items[b].Deadline)
	}
	return startsBefore(ih.items[a], ih.items[b])
}

// Swap implements heap.Interface.
func (ih *itemHeap) Swap(a, b int) {
	ih.items[a], ih.items[b] = ih.items[b], ih.items[a]
	ih.items[a].index[ih.kind] = a
	ih.items[b].index[ih.kind] = b
}

// Push implements heap.Interface.
func (ih *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index[ih.kind] = len(ih.items)
	ih.items = append(ih.items, it)
}

// Pop implements heap.Interface.
func (ih *itemHeap) Pop() any {
	last := len(ih.items) - 1
	it := ih.items[last]
	ih.items[last] = nil
	ih.items = ih.items[:last]
	return it
}
