package routing

import "slices"

// Rank says how urgent a request is.
type Rank struct {
	// Order is the place in the order in which work is run, 0 first: by the
	// priority of the organisation, then by that of the route.
	Order int
	// Priority is that of the route, raised by one for each priority of
	// organisations that goes after its own; 0 is the most urgent.
	Priority int
}

// Rank returns the rank of a route's requests for an organisation, nil for none.
// The priority of organisations goes before that of routes, which decides among
// organisations that have the same. One without a priority goes with the last.
func (ta *Table) Rank(ro *Route, holder *Organisation) Rank {
	after := 0 // priorities of organisations that go after this one
	before := len(ta.organisationPriorities) - 1
	if holder != nil && holder.Priority != nil {
		before, _ = slices.BinarySearch(ta.organisationPriorities, *holder.Priority)
		after = len(ta.organisationPriorities) - 1 - before
	}
	inRoutes, _ := slices.BinarySearch(ta.routePriorities, ro.Priority)
	return Rank{
		Order:    max(0, before)*len(ta.routePriorities) + inRoutes,
		Priority: max(0, ro.Priority-after),
	}
}

// insert returns sorted values with one more, each once.
func insert(values []int, value int) []int {
	ix, found := slices.BinarySearch(values, value)
	if found {
		return values
	}
	return slices.Insert(values, ix, value)
}
