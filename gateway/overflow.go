package gateway

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/overflow"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/placement"
)

const (
	// overflowInterval is the time between two steps of the splits: other data centres send
	// their demands once in it.
	overflowInterval = time.Second
	// overflowMaxAge is how long the demands of another data centre are used: two or three
	// updates in a row may be lost.
	overflowMaxAge = 5 * time.Second
	// maxPinnedRatio is the highest fraction of a service's servers that requests without a
	// split are taken to need, so that a data centre with servers never looks like one without.
	maxPinnedRatio = 0.99
	// serviceTimeWeight is the weight of a request in the mean time of a plain service.
	serviceTimeWeight = 0.05
	// maxCostPerByte and maxRoundTripWeight bound the prices to what can be meant.
	maxCostPerByte     = time.Second
	maxRoundTripWeight = 1e6
)

// OverflowSettings ask the gateway to restrict requests to their own data centre and to send
// a part of them to others where that pays off.
type OverflowSettings struct {
	// CostPerByte is the price of a byte that is sent to another region, as the latency that
	// is worth as much. The default is placement.CrossRegionCostPerByte.
	CostPerByte *mp.Duration `json:"cost_per_byte,omitempty"`
	// CostPerMillisecond is the price of a millisecond of round trip, relative to one of wait.
	// The default is 1.
	CostPerMillisecond *float64 `json:"cost_per_ms,omitempty"`
}

func (os *OverflowSettings) costPerByte() time.Duration {
	if os.CostPerByte == nil {
		return placement.CrossRegionCostPerByte
	}
	return os.CostPerByte.Std()
}

func (os *OverflowSettings) costPerMillisecond() float64 {
	if os.CostPerMillisecond == nil {
		return 1
	}
	return *os.CostPerMillisecond
}

// check returns an error if a price is negative or too large.
func (os *OverflowSettings) check() error {
	if os == nil {
		return nil
	}
	if cost := os.costPerByte(); cost < 0 || cost > maxCostPerByte {
		return errors.NotValidf("overflow.cost_per_byte is %v (want between 0s and %v)", cost, maxCostPerByte)
	}
	if weight := os.costPerMillisecond(); math.IsNaN(weight) || weight < 0 || weight > maxRoundTripWeight {
		return errors.NotValidf("overflow.cost_per_ms is %v (want between 0 and %v)", weight, maxRoundTripWeight)
	}
	return nil
}

// overflowControl measures demands and round trips and steps the splits. It is nil if the
// settings don't ask for it.
type overflowControl struct {
	settings *OverflowSettings
	home     mp.DataCentreID
	regions  map[mp.DataCentreID]mp.RegionID
	counters *overflowCounters
	logger   zerolog.Logger
	splitter *overflow.Splitter // used by the stepping goroutine only
	splits   atomic.Pointer[map[overflow.Class]overflow.Split]

	mu           sync.Mutex
	meter        *overflow.Meter
	roundTrips   *overflow.RoundTrips
	demands      *peer.DemandTable
	serviceTimes map[mp.ServiceName]time.Duration // of plain services
}

func newOverflowControl(settings Settings, counters *overflowCounters, logger zerolog.Logger) *overflowControl {
	oc := &overflowControl{
		settings: settings.Overflow, home: settings.DataCentre, regions: settings.Regions, counters: counters, logger: logger,
		meter: overflow.NewMeter(), demands: peer.NewDemandTable(overflowMaxAge), serviceTimes: map[mp.ServiceName]time.Duration{},
	}
	oc.roundTrips = overflow.NewRoundTrips(func(dc mp.DataCentreID) time.Duration {
		return placement.DefaultRoundTrip(oc.distance(oc.home, dc))
	})
	oc.splitter = overflow.New(oc.home, oc.link, overflow.WithMaxAge(overflowMaxAge),
		overflow.WithRoundTripWeight(settings.Overflow.costPerMillisecond()))
	return oc
}

func (oc *overflowControl) distance(from, to mp.DataCentreID) placement.Distance {
	switch {
	case from == to:
		return placement.SameDataCentre
	case oc.regions[from] != "" && oc.regions[from] == oc.regions[to]:
		return placement.SameRegion
	default:
		return placement.OtherRegion
	}
}

// link implements overflow.LinkFunc. The round trips between other data centres aren't measured
// here and have the default. A link over which no server can be reached shows in the capacity.
func (oc *overflowControl) link(from, to mp.DataCentreID) (overflow.Link, bool) {
	distance := oc.distance(from, to)
	link := overflow.Link{RoundTrip: placement.DefaultRoundTrip(distance)}
	if distance == placement.OtherRegion {
		link.CostPerByte = oc.settings.costPerByte()
	}
	if from == oc.home {
		oc.mu.Lock()
		link.RoundTrip = oc.roundTrips.RoundTrip(to)
		oc.mu.Unlock()
	}
	return link, true
}

// observeRoundTrip records how long a connection to a data centre took to open.
func (oc *overflowControl) observeRoundTrip(dc mp.DataCentreID, took time.Duration) {
	if oc == nil || dc == "" {
		return
	}
	oc.mu.Lock()
	defer oc.mu.Unlock()
	oc.roundTrips.Observe(dc, took)
}

// receive takes the demands of another host.
func (oc *overflowControl) receive(now time.Time, update peer.LoadUpdate) {
	if oc == nil {
		return
	}
	oc.mu.Lock()
	defer oc.mu.Unlock()
	oc.demands.Add(now, update)
}

// recordServiceTime records how long a request to a plain service took.
func (oc *overflowControl) recordServiceTime(service mp.ServiceName, took time.Duration) {
	if oc == nil {
		return
	}
	oc.mu.Lock()
	defer oc.mu.Unlock()
	mean, ok := oc.serviceTimes[service]
	if !ok {
		mean = took
	}
	oc.serviceTimes[service] = mean + time.Duration(serviceTimeWeight*float64(took-mean))
}

// recordDemand counts a request when it is placed first, whether or not it is refused.
func (oc *overflowControl) recordDemand(now time.Time, re *request, rq *placement.Request, ch placement.Choice, found bool) {
	if oc == nil || re.demandRecorded {
		return
	}
	re.demandRecorded = true
	oc.mu.Lock()
	defer oc.mu.Unlock()
	work := oc.serviceTimes[rq.Service]
	switch {
	case ch.Server.IsEngine:
		work = placement.EngineWork(ch.PrefillTokens)
	case !found && rq.PromptTokens > 0:
		work = placement.EngineWork(rq.PromptTokens)
	}
	oc.meter.Record(now, overflow.Class{Service: rq.Service, Priority: rq.Priority}, work, rq.BodyBytes, !rq.MayOverflow())
}

// recordPlacement counts a request that was sent to another data centre.
func (oc *overflowControl) recordPlacement(rq *placement.Request, ch placement.Choice) {
	if oc == nil || ch.Server.DataCentre == oc.home {
		return
	}
	reason := "placement"
	if ch.InSplit {
		reason = string(oc.split(overflow.Class{Service: rq.Service, Priority: rq.Priority}).Reason())
	}
	oc.counters.count(oc.home, ch.Server.DataCentre, reason, rq.BodyBytes)
}

// restrict sets the split of a request. A service whose capacity is not known has none.
func (oc *overflowControl) restrict(rq *placement.Request) {
	if oc == nil {
		return
	}
	splits := oc.splits.Load()
	if splits == nil {
		return
	}
	if split, ok := (*splits)[overflow.Class{Service: rq.Service, Priority: rq.Priority}]; ok {
		rq.Split = split.Choose
	}
}

func (oc *overflowControl) split(cl overflow.Class) overflow.Split {
	if splits := oc.splits.Load(); splits != nil {
		return (*splits)[cl]
	}
	return overflow.Split{}
}

// sharedDemands returns the demands for a load update: those of this host, or for an aggregate
// those of the data centre.
func (oc *overflowControl) sharedDemands(now time.Time, aggregate bool) []peer.Demand {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	var own []peer.Demand
	for cl, de := range oc.meter.Demands(now) {
		own = append(own, peer.Demand{Service: cl.Service, Priority: cl.Priority, Rate: de.Rate, Busy: de.Busy, Bytes: de.Bytes, Pinned: de.Pinned})
	}
	if !aggregate {
		return peer.SumDemands(own)
	}
	oc.demands.Expire(now)
	return oc.demands.Home(own)
}

// logChange logs the change of a split.
func (oc *overflowControl) logChange(ch overflow.Change) {
	oc.logger.Info().Str("event", "split_changed").Str("service", string(ch.Service)).Int("priority", ch.Priority).
		Interface("before", ch.Before.Fractions()).Interface("after", ch.After.Fractions()).
		Float64("utilisation", ch.Utilisation).Str("reason", string(ch.Reason)).Msg("the part of the work that goes to other data centres changed")
}
