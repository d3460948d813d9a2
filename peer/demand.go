package peer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// demandInterval is the shortest time between two load updates with demands: they change
	// more slowly than loads and aren't needed for each placement.
	demandInterval = time.Second
	// maxDemands is the maximum number of demands in an update; those with the least work are
	// left out.
	maxDemands = 32
	// maxPlausibleDemand is the highest number in a demand that is believed.
	maxPlausibleDemand = 1e9
	// maxPlausibleWork is the longest time in seconds, and maxPlausibleBytes the largest size, of
	// a request that are believed. Their quotients must fit into a duration and an integer.
	maxPlausibleWork  = 86_400
	maxPlausibleBytes = 1 << 40
)

// Demand is what the callers of one or more hosts ask of a service at one priority, wherever
// they are served.
type Demand struct {
	Service  mp.ServiceName `json:"service"`
	Priority int            `json:"priority,omitempty"`
	// Rate is the number of requests per second.
	Rate float64 `json:"rate"`
	// Busy is the number of servers that these requests keep busy.
	Busy float64 `json:"busy"`
	// Bytes is the number of bytes per second that these requests send.
	Bytes float64 `json:"bytes,omitempty"`
	// Pinned is the number of servers that requests keep busy whose server doesn't depend on
	// where their callers are, such as the owner of a long prefix.
	Pinned float64 `json:"pinned,omitempty"`
}

// DemandReport holds the demands of one or more hosts.
type DemandReport struct {
	Demands []Demand `json:"demands,omitempty"`
}

// check returns an error if a number can't be.
func (dr *DemandReport) check() error {
	if dr == nil {
		return nil
	}
	if len(dr.Demands) > maxDemands {
		return errors.NotValidf("report of %d demands (want at most %d)", len(dr.Demands), maxDemands)
	}
	for _, de := range dr.Demands {
		for _, value := range []float64{de.Rate, de.Busy, de.Bytes, de.Pinned} {
			if math.IsNaN(value) || value < 0 || value > maxPlausibleDemand {
				return errors.NotValidf("demand of %v at service %q", value, de.Service)
			}
		}
		if de.Busy > maxPlausibleWork*de.Rate || de.Bytes > maxPlausibleBytes*de.Rate {
			return errors.NotValidf("demand of %v requests/s with %v busy servers and %v bytes/s at service %q", de.Rate, de.Busy, de.Bytes, de.Service)
		}
		if de.Service == "" || de.Priority < 0 {
			return errors.NotValidf("demand at service %q with priority %d", de.Service, de.Priority)
		}
	}
	return nil
}

// SumDemands returns the sum of demands by service and priority, at most as many as fit into
// an update.
func SumDemands(groups ...[]Demand) []Demand {
	type level struct {
		service  mp.ServiceName
		priority int
	}
	sums := map[level]Demand{}
	for _, group := range groups {
		for _, de := range group {
			key := level{service: de.Service, priority: de.Priority}
			sum := sums[key]
			sums[key] = Demand{
				Service: de.Service, Priority: de.Priority, Rate: sum.Rate + de.Rate, Busy: sum.Busy + de.Busy,
				Bytes: sum.Bytes + de.Bytes, Pinned: sum.Pinned + de.Pinned,
			}
		}
	}
	demands := make([]Demand, 0, len(sums))
	for _, de := range sums {
		de.Rate, de.Busy, de.Bytes, de.Pinned = rounded(de.Rate), rounded(de.Busy), rounded(de.Bytes), rounded(de.Pinned)
		demands = append(demands, de)
	}
	slices.SortFunc(demands, func(one, two Demand) int {
		return cmp.Or(cmp.Compare(two.Busy+two.Pinned, one.Busy+one.Pinned), cmp.Compare(one.Service, two.Service), cmp.Compare(one.Priority, two.Priority))
	})
	return demands[:min(len(demands), maxDemands)]
}

// rounded returns a number with three significant digits, which are shorter on the wire.
func rounded(value float64) float64 {
	if value <= 0 {
		return 0
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(value)))
	return math.Round(value*scale) / scale
}

// WithDemands makes the load updates carry demands: those of this host, or those of its data
// centre in aggregates. By default they carry none.
func WithDemands(demands func(aggregate bool) []Demand) LoadBroadcasterOption {
	return func(lb *LoadBroadcaster) { lb.demands = demands }
}

// demandReport returns the demands for an update; nil if they aren't due. sentAt is when the
// last ones were sent.
func (lb *LoadBroadcaster) demandReport(aggregate bool, sentAt *time.Time) *DemandReport {
	now := lb.clock.Now()
	if lb.demands == nil || now.Sub(*sentAt) < demandInterval {
		return nil
	}
	*sentAt = now
	return &DemandReport{Demands: lb.demands(aggregate)}
}

// receivedDemands are the demands of another host or data centre with the time of their
// arrival.
type receivedDemands struct {
	demands    []Demand
	receivedAt time.Time
}

// DemandTable holds the latest demands of each other host of the data centre, and of each other
// data centre. It does no I/O and is not safe for concurrent use.
type DemandTable struct {
	lifetime    time.Duration
	hosts       map[mp.HostID]receivedDemands
	dataCentres map[mp.DataCentreID]receivedDemands
}

// NewDemandTable returns an empty table. Demands are dropped after the lifetime.
func NewDemandTable(lifetime time.Duration) *DemandTable {
	return &DemandTable{lifetime: lifetime, hosts: map[mp.HostID]receivedDemands{}, dataCentres: map[mp.DataCentreID]receivedDemands{}}
}

// Add records the demands of an update, if it has any.
func (dt *DemandTable) Add(now time.Time, update LoadUpdate) {
	if update.Demands == nil {
		return
	}
	received := receivedDemands{demands: update.Demands.Demands, receivedAt: now}
	if update.Aggregate {
		dt.dataCentres[update.From.DataCentre] = received
		return
	}
	dt.hosts[update.Host] = received
}

// Expire drops the demands of senders without a recent update.
func (dt *DemandTable) Expire(now time.Time) {
	expireDemands(dt.hosts, now, dt.lifetime)
	expireDemands(dt.dataCentres, now, dt.lifetime)
}

func expireDemands[K comparable](group map[K]receivedDemands, now time.Time, lifetime time.Duration) {
	for key, received := range group {
		if now.Sub(received.receivedAt) >= lifetime {
			delete(group, key)
		}
	}
}

// Home returns the demands of the data centre: the given ones of this host plus the latest of
// the other hosts there.
func (dt *DemandTable) Home(own []Demand) []Demand {
	groups := [][]Demand{own}
	for _, received := range dt.hosts {
		groups = append(groups, received.demands)
	}
	return SumDemands(groups...)
}

// DataCentres calls a function for each other data centre with its demands and their age.
func (dt *DemandTable) DataCentres(now time.Time, visit func(dc mp.DataCentreID, demands []Demand, age time.Duration)) {
	for dc, received := range dt.dataCentres {
		visit(dc, received.demands, now.Sub(received.receivedAt))
	}
}
