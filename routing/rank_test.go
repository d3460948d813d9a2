package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/routing"
)

func TestRank(t *testing.T) {
	urgent, normal, low := 0, 1, 4
	type want struct{ order, priority int }
	tests := []struct {
		name              string
		organisations     []*int // priorities of the organisations
		organisationIndex int    // index of the request's organisation; -1 for none
		wants             []want // indexed by the priority of the route
	}{
		{"no organisation has a priority", []*int{nil, nil}, 1, []want{{0, 0}, {1, 1}, {2, 2}}},
		{"no organisation", nil, -1, []want{{0, 0}, {1, 1}, {2, 2}}},
		{"all organisations have the same priority", []*int{&normal, &normal}, 0, []want{{0, 0}, {1, 1}, {2, 2}}},
		{"the more urgent organisation", []*int{&normal, &urgent}, 1, []want{{0, 0}, {1, 0}, {2, 1}}},
		{"the less urgent organisation", []*int{&normal, &urgent}, 0, []want{{3, 0}, {4, 1}, {5, 2}}},
		{"the most urgent of three organisations", []*int{&low, &urgent, &normal}, 1, []want{{0, 0}, {1, 0}, {2, 0}}},
		{"organisation without a priority ranks with the least urgent", []*int{&urgent, nil, &normal}, 1, []want{{3, 0}, {4, 1}, {5, 2}}},
		{"no organisation, while others have priorities", []*int{&urgent, &normal}, -1, []want{{3, 0}, {4, 1}, {5, 2}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			co := routing.Configuration{Routes: []routing.Route{{Priority: 1}, {Priority: 2}, {Priority: 0}}}
			for _, priority := range test.organisations {
				co.Organisations = append(co.Organisations, routing.Organisation{Priority: priority})
			}
			ta := routing.New(co)
			var organisation *routing.Organisation
			if test.organisationIndex >= 0 {
				organisation = &co.Organisations[test.organisationIndex]
			}
			for priority, want := range test.wants {
				rank := ta.Rank(&routing.Route{Priority: priority}, organisation)
				require.Equal(t, routing.Rank{Order: want.order, Priority: want.priority}, rank, "route of priority %d", priority)
			}
		})
	}
}
