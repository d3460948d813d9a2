package routing

import (
	"hash/fnv"
	"slices"
	"strings"

	mp "github.com/mangopaddle/mangopaddle"
)

// Table answers which route and organisation a request belongs to.
type Table struct {
	Version  mp.Version
	Limits   Limits
	byHost   map[string][]*Route // the longest prefix first
	holders  map[string]*Organisation
	services map[mp.ServiceName]*Service
	// The priorities in use, sorted, each once.
	routePriorities        []int
	organisationPriorities []int
}

// New returns the table of a configuration.
func New(co Configuration) *Table {
	ta := &Table{
		Version:  co.Version,
		Limits:   co.Limits,
		byHost:   map[string][]*Route{},
		holders:  map[string]*Organisation{},
		services: map[mp.ServiceName]*Service{},
	}
	for ix := range co.Routes {
		ro := &co.Routes[ix]
		host := strings.ToLower(ro.Host)
		ta.byHost[host] = append(ta.byHost[host], ro)
		ta.routePriorities = insert(ta.routePriorities, ro.Priority)
	}
	for _, routes := range ta.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for ix := range co.Organisations {
		or := &co.Organisations[ix]
		if or.Priority != nil {
			ta.organisationPriorities = insert(ta.organisationPriorities, *or.Priority)
		}
		for _, key := range or.Keys {
			ta.holders[key] = or
		}
	}
	for ix := range co.Services {
		ta.services[co.Services[ix].Name] = &co.Services[ix]
	}
	return ta
}

// Match returns the route with the longest prefix of the path, false if none
// fits. The host may carry a port.
func (ta *Table) Match(host, path string) (*Route, bool) {
	for _, ro := range ta.byHost[hostName(host)] {
		if strings.HasPrefix(path, ro.PathPrefix) {
			return ro, true
		}
	}
	return nil, false
}

func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// OrganisationByKey returns the organisation that holds a key.
func (ta *Table) OrganisationByKey(key string) (*Organisation, bool) {
	or, ok := ta.holders[key]
	return or, ok
}

// NeedsKeys says whether any organisation is configured. Without one, requests
// carry no keys.
func (ta *Table) NeedsKeys() bool {
	return len(ta.holders) > 0
}

// Service returns a service by name.
func (ta *Table) Service(name mp.ServiceName) (*Service, bool) {
	se, ok := ta.services[name]
	return se, ok
}

// Routes returns all routes.
func (ta *Table) Routes() []*Route {
	var routes []*Route
	for _, group := range ta.byHost {
		routes = append(routes, group...)
	}
	return routes
}

// ServiceFor picks the service of a request by the weights of its route. The
// same request always goes to the same one.
func (ro *Route) ServiceFor(id mp.RequestID) mp.ServiceName {
	if len(ro.WeightedServices) == 1 {
		return ro.WeightedServices[0].Service
	}
	total := 0
	for _, sh := range ro.WeightedServices {
		total += sh.Weight
	}
	if total <= 0 {
		return ""
	}
	ha := fnv.New32a()
	_, _ = ha.Write([]byte(id))
	point := int(ha.Sum32() % uint32(total))
	for _, sh := range ro.WeightedServices {
		if point < sh.Weight {
			return sh.Service
		}
		point -= sh.Weight
	}
	return ""
}
