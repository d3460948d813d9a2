package routing

import "slices"

// Rank is the urgency of a request, in two forms.
type Rank struct {
	// Order is the position among all priorities in use, 0 first: sorted by the
	// priority of the organisation, then by that of the route. The gateway sends it to
	// engines in the priority header.
	Order int
	// Priority is the priority of the route, made more urgent by one level for each
	// organisation priority in use that is less urgent than the organisation's own; 0
	// is the most urgent. Package placement determines by it how long the request may
	// wait for an engine.
	Priority int
}

// Rank returns the rank of a route's requests for an organisation, which may be nil.
// The priority of the organisation takes precedence over that of the route, which
// orders the requests of organisations with the same priority. Requests without an
// organisation priority rank with the least urgent ones.
func (ta *Table) Rank(ro *Route, organisation *Organisation) Rank {
	lessUrgent := 0 // number of less urgent organisation priorities
	index := len(ta.organisationPriorities) - 1
	if organisation != nil && organisation.Priority != nil {
		index, _ = slices.BinarySearch(ta.organisationPriorities, *organisation.Priority)
		lessUrgent = len(ta.organisationPriorities) - 1 - index
	}
	routeIndex, _ := slices.BinarySearch(ta.routePriorities, ro.Priority)
	return Rank{
		Order:    max(0, index)*len(ta.routePriorities) + routeIndex,
		Priority: max(0, ro.Priority-lessUrgent),
	}
}

// MaxPriorityRaise returns by how many levels an organisation makes the priority of a
// route more urgent at most.
func (ta *Table) MaxPriorityRaise() int { return max(0, len(ta.organisationPriorities)-1) }

// insertUnique inserts a value into sorted values, unless they contain it.
func insertUnique(values []int, value int) []int {
	ix, found := slices.BinarySearch(values, value)
	if found {
		return values
	}
	return slices.Insert(values, ix, value)
}
