package overflow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// portions is the number of portions in which the work of one priority of a data centre is
// assigned. It bounds the effort of a plan and the resolution of the fractions.
const portions = 32

// spreadPrice is the price, in seconds, of sending all work of a level to one data centre; it
// grows from zero with the fraction that is sent there. Without it, several plans can cost the
// same, and hosts with slightly different views choose different ones. It is small against
// the round trip to another region.
const spreadPrice = 0.01

// site is the state of a data centre while a plan is made. Work is counted in busy servers.
type site struct {
	dc      mp.DataCentreID
	load    Load
	fresh   bool
	work    time.Duration // mean over the requests of all levels
	own     float64       // demand of its own callers and queued work, of all levels
	queued  time.Duration // of all levels
	settled float64       // demand that it serves and queued work, up to the current level
	waiting time.Duration // queued work up to the current level
	relief  float64       // own work that is sent away, of all levels
	inflow  float64       // of all levels
	level   Level         // the current one
	left    int           // portions of the current level that have not been sent away
	sent    []int         // portions of the current level, by destination
	ways    []float64     // price of the way of a request of the current level, by destination
	home    float64       // price of one more request of the current level at home
	guest   float64       // price of one more request of others
}

// planner assigns the work of one service to data centres.
type planner struct {
	sites  []*site
	link   LinkFunc
	weight float64 // of a millisecond of round trip, relative to one of wait
}

func newPlanner(loads Loads, maxAge time.Duration, link LinkFunc, weight float64) *planner {
	pl := &planner{link: link, weight: weight}
	var known time.Duration
	for _, dc := range slices.Sorted(maps.Keys(loads)) {
		si := newSite(dc, loads[dc], maxAge)
		known = cmp.Or(known, si.work)
		pl.sites = append(pl.sites, si)
	}
	for _, si := range pl.sites {
		si.work = cmp.Or(si.work, known) // idle, so that its own requests don't show it
		si.updateGuestPrice()
	}
	return pl
}

func newSite(dc mp.DataCentreID, load Load, maxAge time.Duration) *site {
	si := &site{dc: dc, load: load, fresh: load.Age <= maxAge}
	var requests, busy float64
	for _, le := range load.Levels {
		requests += le.Rate
		busy += le.demand()
		si.own += le.demand() + le.Queued.Seconds()/horizon.Seconds()
		si.queued += le.Queued
	}
	if requests > 0 {
		si.work = time.Duration(busy / requests * float64(time.Second))
	}
	return si
}

// plan returns, by priority, the fractions of the data centre's work that go to others. It
// assigns the most urgent level first, so that these requests keep the nearest servers; what
// the others leave of the capacity elsewhere goes where waiting costs most.
func (pl *planner) plan(home mp.DataCentreID) map[int]map[mp.DataCentreID]float64 {
	plan := map[int]map[mp.DataCentreID]float64{}
	for _, priority := range pl.priorities() {
		for _, si := range pl.sites {
			pl.beginLevel(si, priority)
		}
		for pl.moveOnePortion() {
		}
		for _, si := range pl.sites {
			if si.dc == home {
				plan[priority] = pl.fractions(si)
			}
		}
	}
	return plan
}

func (pl *planner) priorities() []int {
	known := map[int]struct{}{}
	for _, si := range pl.sites {
		for _, le := range si.load.Levels {
			known[le.Priority] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(known))
}

// beginLevel adds the work of a level to what a site serves.
func (pl *planner) beginLevel(si *site, priority int) {
	si.level, si.left = Level{Priority: priority}, 0
	si.sent = make([]int, len(pl.sites))
	for _, le := range si.load.Levels {
		if le.Priority != priority {
			continue
		}
		si.level = le
		si.settled += le.demand() + le.Queued.Seconds()/horizon.Seconds()
		si.waiting += le.Queued
		if si.fresh && le.demand() > 0 {
			si.left = portions
		}
	}
	si.updateHomePrice()
	if si.left > 0 {
		si.ways = pl.waysFrom(si)
	}
}

// waysFrom returns the price of the way of a request to each site, in seconds.
func (pl *planner) waysFrom(origin *site) []float64 {
	ways := make([]float64, len(pl.sites))
	for ix, destination := range pl.sites {
		link, ok := pl.link(origin.dc, destination.dc)
		if !ok || destination == origin {
			ways[ix] = noServersPrice
			continue
		}
		ways[ix] = pl.weight*link.RoundTrip.Seconds() + float64(origin.level.Bytes)*link.CostPerByte.Seconds() +
			origin.level.PrefixWork.Seconds()
	}
	return ways
}

// portion returns the work of a portion at home, and that elsewhere.
func (si *site) portion() (atHome, elsewhere float64) {
	atHome = si.level.demand() / portions
	return atHome, atHome + si.level.Rate*si.level.PrefixWork.Seconds()/portions
}

// updateHomePrice sets the price of work of the current level at home: it waits only behind
// work that is as urgent. What is sent away lets the queue drain.
func (si *site) updateHomePrice() {
	si.home = waitPrice(si.load.Servers, si.settled, si.work)
	if si.load.Servers > 0 {
		si.home += max(0, si.waiting.Seconds()-si.relief*horizon.Seconds()) / si.load.Servers
	}
}

// updateGuestPrice sets the price of work of others: all of the site's own work comes before
// it.
func (si *site) updateGuestPrice() {
	si.guest = waitPrice(si.load.Servers, si.own+si.inflow, si.work)
	if si.load.Servers > 0 {
		si.guest += si.queued.Seconds() / si.load.Servers
	}
}

// hasRoom reports whether the site takes more work of others.
func (si *site) hasRoom(work float64) bool {
	return si.fresh && si.own+si.inflow+work <= maxUtilisation*si.load.Servers
}

// moveOnePortion sends away the portion of work for which this saves most. It returns false if
// it saves nothing any more.
func (pl *planner) moveOnePortion() bool {
	var from *site
	to, best := 0, 0.0
	for _, origin := range pl.sites {
		if origin.left == 0 || origin.home <= best {
			continue
		}
		_, work := origin.portion()
		for ix, destination := range pl.sites {
			saved := origin.home - destination.guest - origin.ways[ix] - spreadPrice*float64(origin.sent[ix])/portions
			if saved > best && destination.hasRoom(work) {
				best, from, to = saved, origin, ix
			}
		}
	}
	if from == nil {
		return false
	}
	pl.move(from, to)
	return true
}

// move sends one portion to a site.
func (pl *planner) move(from *site, to int) {
	atHome, elsewhere := from.portion()
	from.settled -= atHome
	from.relief += atHome
	from.left--
	from.sent[to]++
	from.updateHomePrice()
	destination := pl.sites[to]
	destination.inflow += elsewhere
	destination.updateGuestPrice()
}

// fractions returns the fractions of the current level that go to other data centres.
func (pl *planner) fractions(si *site) map[mp.DataCentreID]float64 {
	fractions := map[mp.DataCentreID]float64{}
	for ix, count := range si.sent {
		if count > 0 {
			fractions[pl.sites[ix].dc] = float64(count) / portions
		}
	}
	return fractions
}
