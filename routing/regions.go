package routing

import (
	"fmt"
	"slices"

	mp "github.com/mangopaddle/mangopaddle"
)

// Regions are the regions in which a request may be served, as its route and its
// organisation restrict them. The zero value allows any region.
type Regions struct {
	// lists are those of the route and of the organisation, as far as they have one. A
	// region must be on each of them.
	lists [][]mp.RegionID
}

// AllowedRegions returns the regions in which an organisation's requests on a route may be
// served. The organisation may be nil.
func AllowedRegions(ro *Route, organisation *Organisation) Regions {
	var re Regions
	if len(ro.Regions) > 0 {
		re.lists = append(re.lists, ro.Regions)
	}
	if organisation != nil && len(organisation.Regions) > 0 {
		re.lists = append(re.lists, organisation.Regions)
	}
	return re
}

// IsRestricted reports whether there are regions that are not allowed.
func (re Regions) IsRestricted() bool { return len(re.lists) > 0 }

// Allows reports whether a request may be served in a region. An empty one stands for an
// unknown region.
func (re Regions) Allows(region mp.RegionID) bool {
	for _, list := range re.lists {
		if region == "" || !slices.Contains(list, region) {
			return false
		}
	}
	return true
}

// String returns the lists of regions, for log lines. A region must be on each of them.
func (re Regions) String() string { return fmt.Sprint(re.lists) }
