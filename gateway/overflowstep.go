package gateway

import (
	"math"
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/overflow"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/placement"
)

// demandsOf are the demands of a data centre with their age.
type demandsOf struct {
	demands []peer.Demand
	age     time.Duration
}

// stepOverflow brings the splits of all services closer to the plan for the present loads.
func (ga *Gateway) stepOverflow() {
	now := ga.clock.Now()
	capacities := map[mp.ServiceName]map[mp.DataCentreID]placement.Capacity{}
	ga.placerMu.Lock()
	services := ga.placer.Services()
	for _, service := range services {
		capacities[service] = ga.placer.Capacities(now, service)
	}
	ga.placerMu.Unlock()
	ga.overflow.step(now, services, capacities)
}

// withDemands makes the load updates carry demands if overflow is on.
func (ga *Gateway) withDemands() peer.LoadBroadcasterOption {
	if ga.overflow == nil {
		return peer.WithDemands(nil)
	}
	return peer.WithDemands(func(aggregate bool) []peer.Demand { return ga.overflow.sharedDemands(ga.clock.Now(), aggregate) })
}

func (oc *overflowControl) step(now time.Time, services []mp.ServiceName, capacities map[mp.ServiceName]map[mp.DataCentreID]placement.Capacity) {
	demands := oc.allDemands(now)
	splits := map[overflow.Class]overflow.Split{}
	for _, service := range services {
		loads := loadsOf(service, capacities[service], demands)
		if !hasCapacity(loads) {
			continue // the number of servers isn't known, or none can be used
		}
		for _, ch := range oc.splitter.Step(service, loads) {
			oc.logChange(ch)
		}
		for _, le := range loads[oc.home].Levels {
			splits[overflow.Class{Service: service, Priority: le.Priority}] = oc.splitter.Split(service, le.Priority)
		}
	}
	oc.splitter.Retain(services)
	oc.splits.Store(&splits)
}

// allDemands returns the demands by data centre.
func (oc *overflowControl) allDemands(now time.Time) map[mp.DataCentreID]demandsOf {
	all := map[mp.DataCentreID]demandsOf{oc.home: {demands: oc.sharedDemands(now, true)}}
	oc.mu.Lock()
	defer oc.mu.Unlock()
	oc.demands.DataCentres(now, func(dc mp.DataCentreID, demands []peer.Demand, age time.Duration) {
		if dc != oc.home {
			all[dc] = demandsOf{demands: demands, age: age}
		}
	})
	return all
}

// loadsOf returns the loads of a service. The work to which no split applies is spread over all
// servers. A data centre from which nothing was received has no spare capacity.
func loadsOf(service mp.ServiceName, capacities map[mp.DataCentreID]placement.Capacity, demands map[mp.DataCentreID]demandsOf) overflow.Loads {
	var servers, pinned float64
	for _, ca := range capacities {
		servers += ca.Servers
	}
	loads := overflow.Loads{}
	for dc, of := range demands {
		lo := overflow.Load{Age: of.age}
		for _, de := range of.demands {
			if de.Service != service {
				continue
			}
			pinned += de.Pinned
			if de.Rate > 0 {
				lo.Levels = append(lo.Levels, levelOf(de))
			}
		}
		loads[dc] = lo
	}
	left := 1 - min(maxPinnedRatio, pinned/max(servers, math.SmallestNonzeroFloat64))
	for dc, ca := range capacities {
		lo, ok := loads[dc]
		if !ok {
			lo.Age = math.MaxInt64
		}
		lo.Servers = ca.Servers * left
		lo.Levels = withQueued(lo.Levels, ca.Queued)
		loads[dc] = lo
	}
	return loads
}

func levelOf(de peer.Demand) overflow.Level {
	return overflow.Level{
		Priority: de.Priority, Rate: de.Rate, Work: time.Duration(de.Busy / de.Rate * float64(time.Second)),
		Bytes: mp.Bytes(de.Bytes / de.Rate),
	}
}

// withQueued adds queued work to the least urgent level, since its priorities aren't known: what
// is more urgent doesn't wait behind it.
func withQueued(levels []overflow.Level, queued time.Duration) []overflow.Level {
	if queued <= 0 {
		return levels
	}
	if len(levels) == 0 {
		return []overflow.Level{{Queued: queued}}
	}
	last := 0
	for ix := range levels {
		if levels[ix].Priority > levels[last].Priority {
			last = ix
		}
	}
	levels = slices.Clone(levels)
	levels[last].Queued += queued
	return levels
}

func hasCapacity(loads overflow.Loads) bool {
	for _, lo := range loads {
		if lo.Servers > 0 {
			return true
		}
	}
	return false
}
