package overflow

import (
	"math"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// demandHalfLife is the half-life of the counts behind a demand: long enough for a service
	// with a few requests per second, and short against the lifetime of a split.
	demandHalfLife = 2 * time.Second
	// minDemandRate is the rate in requests per second below which a demand is forgotten.
	minDemandRate = 0.01
)

// Class is a service and a priority.
type Class struct {
	Service  mp.ServiceName
	Priority int
}

// Demand is what the callers of a host ask of a class per second.
type Demand struct {
	// Rate is the number of requests.
	Rate float64
	// Busy is the number of servers that they keep busy.
	Busy float64
	// Bytes is the number of bytes that they send.
	Bytes float64
	// Pinned is the number of servers that requests keep busy to which no split applies.
	Pinned float64
}

// Meter measures the demands of a host's callers with exponential decay. It is not safe for
// concurrent use.
type Meter struct {
	demands   map[Class]Demand
	decayedAt time.Time
}

// NewMeter returns a meter without demands.
func NewMeter() *Meter { return &Meter{demands: map[Class]Demand{}} }

// Record counts a request that keeps a server busy for a time. pinned reports that no split
// applies to it.
func (me *Meter) Record(now time.Time, cl Class, work time.Duration, bytes int, pinned bool) {
	me.decay(now)
	const perSecond = math.Ln2 / (float64(demandHalfLife) / float64(time.Second))
	de := me.demands[cl]
	if pinned {
		de.Pinned += work.Seconds() * perSecond
	} else {
		de.Rate += perSecond
		de.Busy += work.Seconds() * perSecond
		de.Bytes += float64(bytes) * perSecond
	}
	me.demands[cl] = de
}

// Demands returns the demands by class. The caller must not change them.
func (me *Meter) Demands(now time.Time) map[Class]Demand {
	me.decay(now)
	return me.demands
}

func (me *Meter) decay(now time.Time) {
	factor := math.Exp2(-max(0, now.Sub(me.decayedAt).Seconds()) / demandHalfLife.Seconds())
	me.decayedAt = now
	for cl, de := range me.demands {
		de = Demand{Rate: de.Rate * factor, Busy: de.Busy * factor, Bytes: de.Bytes * factor, Pinned: de.Pinned * factor}
		if de.Rate < minDemandRate && de.Pinned < minDemandRate {
			delete(me.demands, cl)
			continue
		}
		me.demands[cl] = de
	}
}
