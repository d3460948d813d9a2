package overflow

import (
	"maps"
	"math"
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// defaultMaxAge is the age after which a load isn't used any more: load reports that come
	// every second or two may be lost twice in a row.
	defaultMaxAge = 5 * time.Second
	// awayGain is the fraction of a difference by which a split approaches the plan in one step
	// while more work is sent away. Loads that are a few steps old don't show yet what was sent
	// last, so that a larger fraction would overshoot.
	awayGain = 0.25
	// returnGain is the same while less is sent away. Bringing work back to its own data centre
	// floods nobody else.
	returnGain = 0.5
	// deadBand is the smallest difference from the plan at which a split changes. It is a little
	// more than the resolution of the plan, one portion.
	deadBand = 1.2 / portions
)

// Splitter holds the splits of one data centre by service and priority. It is not safe for
// concurrent use.
type Splitter struct {
	home     mp.DataCentreID
	link     LinkFunc
	weight   float64
	maxAge   time.Duration
	services map[mp.ServiceName]map[int]Split
}

// Option configures a Splitter.
type Option func(*Splitter)

// WithRoundTripWeight sets the price of a millisecond of round trip relative to one of wait.
// The default is 1.
func WithRoundTripWeight(weight float64) Option {
	return func(sp *Splitter) { sp.weight = weight }
}

// WithMaxAge sets the age after which a load isn't used any more.
func WithMaxAge(maxAge time.Duration) Option {
	return func(sp *Splitter) { sp.maxAge = maxAge }
}

// New returns a splitter for a data centre, in which all work stays.
func New(home mp.DataCentreID, link LinkFunc, opts ...Option) *Splitter {
	sp := &Splitter{home: home, link: link, weight: 1, maxAge: defaultMaxAge, services: map[mp.ServiceName]map[int]Split{}}
	for _, opt := range opts {
		opt(sp)
	}
	return sp
}

// Split returns the split of a service and priority.
func (sp *Splitter) Split(service mp.ServiceName, priority int) Split {
	if split, ok := sp.services[service][priority]; ok {
		return split
	}
	return Split{home: sp.home}
}

// Retain drops the splits of all other services.
func (sp *Splitter) Retain(services []mp.ServiceName) {
	maps.DeleteFunc(sp.services, func(service mp.ServiceName, _ map[int]Split) bool {
		return !slices.Contains(services, service)
	})
}

// Step brings the splits of a service closer to the plan for the given loads and returns what
// changed. It is called once per interval.
func (sp *Splitter) Step(service mp.ServiceName, loads Loads) []Change {
	pl := newPlanner(loads, sp.maxAge, sp.link, sp.weight)
	plan := pl.plan(sp.home)
	splits := sp.services[service]
	if splits == nil {
		splits = map[int]Split{}
		sp.services[service] = splits
	}
	for priority := range splits { // a level without work any more
		if _, ok := plan[priority]; !ok {
			plan[priority] = nil
		}
	}
	var changes []Change
	for _, priority := range slices.Sorted(maps.Keys(plan)) {
		before := sp.Split(service, priority)
		after := sp.approach(before, plan[priority], loads)
		if after.sameFractions(before) {
			continue
		}
		splits[priority] = after
		changes = append(changes, Change{
			Service: service, Priority: priority, Before: before, After: after,
			Utilisation: utilisation(loads[sp.home]), Reason: after.reason,
		})
	}
	return changes
}

// approach returns the split after one step from the current one towards the plan.
func (sp *Splitter) approach(current Split, plan map[mp.DataCentreID]float64, loads Loads) Split {
	reason := ReasonWait
	if loads[sp.home].Servers <= 0 {
		reason = ReasonNoServers
	}
	fractions := current.Fractions()
	for dc := range plan {
		if _, ok := fractions[dc]; !ok {
			fractions[dc] = 0
		}
	}
	for dc, fraction := range fractions {
		switch {
		case !sp.isUsable(dc, loads):
			fractions[dc] = 0
		case reason == ReasonNoServers:
			fractions[dc] = plan[dc] // there is nothing at home that the work could wait for
		default:
			fractions[dc] = nextFraction(fraction, plan[dc])
		}
	}
	return newSplit(sp.home, fractions, reason)
}

// isUsable reports whether a data centre may get any work. One that is silent, evacuated,
// without servers or cut off loses its fraction at once.
func (sp *Splitter) isUsable(dc mp.DataCentreID, loads Loads) bool {
	load, ok := loads[dc]
	if !ok || load.Servers <= 0 || load.Age > sp.maxAge {
		return false
	}
	_, ok = sp.link(sp.home, dc)
	return ok
}

// nextFraction returns a fraction after one step towards the planned one.
func nextFraction(current, planned float64) float64 {
	difference := planned - current
	switch {
	case planned == 0 && current <= deadBand:
		return 0
	case math.Abs(difference) <= deadBand:
		return current
	case difference > 0:
		return current + awayGain*difference
	default:
		return current + returnGain*difference
	}
}

func (sp Split) sameFractions(other Split) bool {
	return slices.Equal(sp.fractions, other.fractions) && sp.reason == other.reason
}

// utilisation returns how much of its own servers a data centre's callers and queues need.
func utilisation(load Load) float64 {
	if load.Servers <= 0 {
		return 0
	}
	return newSite("", load, 0).own / load.Servers
}
