package routing

import (
	"hash/fnv"
	"math"
	"slices"
	"strings"

	mp "github.com/mangopaddle/mangopaddle"
)

// Table finds the routes, organisations and services of a configuration.
type Table struct {
	// Version and Limits are those of the configuration.
	Version            mp.Version
	Limits             Limits
	routesByHost       map[string][]*Route // sorted by descending length of the path prefix
	organisationsByKey map[string]*Organisation
	allowsAnonymous    bool
	services           map[mp.ServiceName]*Service
	// The distinct priorities in use, in ascending order.
	routePriorities        []int
	organisationPriorities []int
}

// New returns the routing table of a configuration.
func New(co Configuration) *Table {
	ta := &Table{
		Version:            co.Version,
		Limits:             co.Limits,
		routesByHost:       map[string][]*Route{},
		organisationsByKey: map[string]*Organisation{},
		allowsAnonymous:    co.AllowsAnonymous,
		services:           map[mp.ServiceName]*Service{},
	}
	for ix := range co.Routes {
		ro := &co.Routes[ix]
		host := strings.ToLower(ro.Host)
		ta.routesByHost[host] = append(ta.routesByHost[host], ro)
		ta.routePriorities = insertUnique(ta.routePriorities, ro.Priority)
	}
	for _, routes := range ta.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for ix := range co.Organisations {
		or := &co.Organisations[ix]
		if or.Priority != nil {
			ta.organisationPriorities = insertUnique(ta.organisationPriorities, *or.Priority)
		}
		for _, key := range or.APIKeys {
			if key != "" { // requests without a key have an empty one
				ta.organisationsByKey[key] = or
			}
		}
	}
	for ix := range co.Services {
		ta.services[co.Services[ix].Name] = &co.Services[ix]
	}
	return ta
}

// Match returns the route with the longest matching path prefix, and false if there is
// none. The host may include a port.
func (ta *Table) Match(host, path string) (*Route, bool) {
	for _, ro := range ta.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, ro.PathPrefix) {
			return ro, true
		}
	}
	return nil, false
}

// hostName returns the host in lower case, without its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Authorise reports whether a request with an API key may use a route, and returns the
// organisation with the key; nil if the request needs none.
func (ta *Table) Authorise(ro *Route, key string) (*Organisation, bool) {
	if ro.Public || ta.allowsAnonymous {
		return nil, true
	}
	or, ok := ta.organisationsByKey[key]
	return or, ok
}

// Service returns the service with a name, and false if there is none.
func (ta *Table) Service(name mp.ServiceName) (*Service, bool) {
	se, ok := ta.services[name]
	return se, ok
}

// Routes returns all routes, in no particular order.
func (ta *Table) Routes() []*Route {
	var routes []*Route
	for _, group := range ta.routesByHost {
		routes = append(routes, group...)
	}
	return routes
}

// ServiceFor selects the service of a request by weight. It hashes the request ID, so
// that all attempts with the same ID go to the same service. The name is empty if the
// weights add up to zero.
func (ro *Route) ServiceFor(id mp.RequestID) mp.ServiceName {
	var total uint64
	for _, we := range ro.WeightedServices {
		total += we.limitedWeight()
	}
	if total == 0 {
		return ""
	}
	point := hashID(id, total) % total
	for _, we := range ro.WeightedServices {
		if point < we.limitedWeight() {
			return we.Service
		}
		point -= we.limitedWeight()
	}
	return ""
}

// hashID returns a hash of a request ID with 32 bits, or 64 if the total needs them.
func hashID(id mp.RequestID, total uint64) uint64 {
	if total > math.MaxUint32 {
		ha := fnv.New64a()
		_, _ = ha.Write([]byte(id))
		return ha.Sum64()
	}
	ha := fnv.New32a()
	_, _ = ha.Write([]byte(id))
	return uint64(ha.Sum32())
}

// limitedWeight returns the weight, limited so that a sum of weights doesn't overflow.
func (ws WeightedService) limitedWeight() uint64 {
	return uint64(min(max(0, ws.Weight), math.MaxUint32))
}
