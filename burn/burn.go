// Package burn adds up the outcomes of hosts and works out, for each
// organisation, class and target, the attainment, the error budget that is left
// and how fast it burns.
package burn

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/meter"
	"github.com/mangopaddle/mangopaddle/operator"
)

// Objective is the part of outcomes that has to meet its target.
const Objective = 0.95

// Burn rates above these in both windows call for a person: at FastBurn the
// budget of 30 days is gone within two days, at SlowBurn within five.
const (
	FastBurnRate = 14.4
	SlowBurnRate = 6.0
)

// Row is the outcomes of one target of an organisation's class.
type Row struct {
	Organisation mp.OrganisationID `json:"organisation"`
	Class        mp.ClassName      `json:"class"`
	Tier         mp.Tier           `json:"tier"`
	Target       string            `json:"target"`
	Met          uint64            `json:"met"`
	Missed       uint64            `json:"missed"`
	Attainment   float64           `json:"attainment"`
	// BudgetLeft is the part of the allowed misses that is left, below zero
	// when more were missed.
	BudgetLeft float64 `json:"budget_left"`
	// ShortBurn and LongBurn are the misses in the windows, as a multiple of
	// the allowed ones.
	ShortBurn float64 `json:"short_burn"`
	LongBurn  float64 `json:"long_burn"`
	// Alert is "fast", "slow" or empty.
	Alert string `json:"alert,omitempty"`
}

// LatencyQuantiles is quantiles of a target's times in a tier.
type LatencyQuantiles struct {
	Tier   mp.Tier     `json:"tier"`
	Target string      `json:"target"`
	Count  float64     `json:"count"`
	P50    mp.Duration `json:"p50"`
	P95    mp.Duration `json:"p95"`
	P99    mp.Duration `json:"p99"`
}

// Report is the outcomes of all hosts that answered.
type Report struct {
	// Hosts names the hosts whose outcomes are counted.
	Hosts []mp.HostID `json:"hosts"`
	// Silent names the hosts that did not answer.
	Silent []string `json:"silent,omitempty"`
	// Lacking estimates the part of the traffic that is not counted, as if
	// every host had the same.
	Lacking float64 `json:"lacking"`
	// QuantileError is the relative error of quantiles. Counts are exact.
	QuantileError float64             `json:"quantile_error"`
	Rows          []Row               `json:"rows"`
	Work          []meter.ClassTotals `json:"work"`
	Times         []LatencyQuantiles  `json:"times"`
}

type rowKey struct {
	organisation mp.OrganisationID
	class        mp.ClassName
	target       string
}

type workKey struct {
	organisation mp.OrganisationID
	class        mp.ClassName
}

type timesKey struct {
	tier   mp.Tier
	target string
}

// sums is what is added up over hosts.
type sums struct {
	targets map[rowKey]*meter.TargetReport
	tiers   map[workKey]mp.Tier
	work    map[workKey]*meter.ClassTotals
	times   map[timesKey]*meter.Sketch
}

// New returns the report of hosts' outcomes. Silent names the hosts that did
// not answer.
func New(outcomes []operator.Outcomes, silent []string) (*Report, error) {
	su := &sums{
		targets: map[rowKey]*meter.TargetReport{},
		tiers:   map[workKey]mp.Tier{},
		work:    map[workKey]*meter.ClassTotals{},
		times:   map[timesKey]*meter.Sketch{},
	}
	re := &Report{Silent: silent, QuantileError: meter.RelativeAccuracy}
	for _, out := range outcomes {
		re.Hosts = append(re.Hosts, out.Host)
		for _, cr := range out.Classes {
			su.addClass(cr)
		}
		if err := su.addTiers(out.Tiers); err != nil {
			return nil, errors.Annotatef(err, "outcomes of host %q", out.Host)
		}
	}
	if all := len(outcomes) + len(silent); all > 0 {
		re.Lacking = float64(len(silent)) / float64(all)
	}
	su.fill(re)
	return re, nil
}

func (su *sums) addClass(cr meter.ClassReport) {
	key := workKey{organisation: cr.Organisation, class: cr.Class}
	su.tiers[key] = cr.Tier
	wo, ok := su.work[key]
	if !ok {
		wo = &meter.ClassTotals{Organisation: cr.Organisation, Class: cr.Class, Wasted: map[string]mp.Tokens{}, Failures: map[string]uint64{}}
		su.work[key] = wo
	}
	wo.Add(cr.ClassTotals)
	for target, tr := range cr.Targets {
		su.addTarget(rowKey{organisation: cr.Organisation, class: cr.Class, target: target}, tr)
	}
}

func (su *sums) addTarget(key rowKey, tr meter.TargetReport) {
	sum, ok := su.targets[key]
	if !ok {
		sum = &meter.TargetReport{}
		su.targets[key] = sum
	}
	sum.Total = plus(sum.Total, tr.Total)
	sum.Short = plus(sum.Short, tr.Short)
	sum.Long = plus(sum.Long, tr.Long)
}

func plus(a, b meter.Counts) meter.Counts {
	return meter.Counts{Met: a.Met + b.Met, Missed: a.Missed + b.Missed}
}

func (su *sums) addTiers(reports []meter.TierReport) error {
	for _, tr := range reports {
		for target, encoded := range tr.Sketches {
			sketch := &meter.Sketch{}
			if err := sketch.UnmarshalBinary(encoded); err != nil {
				return errors.Trace(err)
			}
			key := timesKey{tier: tr.Tier, target: target}
			if su.times[key] == nil {
				su.times[key] = meter.NewSketch()
			}
			if err := su.times[key].Merge(sketch); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

func (su *sums) fill(re *Report) {
	for key, tr := range su.targets {
		re.Rows = append(re.Rows, newRow(key, su.tiers[workKey{organisation: key.organisation, class: key.class}], tr))
	}
	for _, wo := range su.work {
		re.Work = append(re.Work, *wo)
	}
	for key, sk := range su.times {
		re.Times = append(re.Times, LatencyQuantiles{
			Tier: key.tier, Target: key.target, Count: sk.Count(),
			P50: mp.Duration(sk.Quantile(0.5)), P95: mp.Duration(sk.Quantile(0.95)), P99: mp.Duration(sk.Quantile(0.99)),
		})
	}
	slices.SortFunc(re.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Target, b.Target))
	})
	slices.SortFunc(re.Work, func(a, b meter.ClassTotals) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class))
	})
	slices.SortFunc(re.Times, func(a, b LatencyQuantiles) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Target, b.Target))
	})
}

func newRow(key rowKey, tier mp.Tier, tr *meter.TargetReport) Row {
	ro := Row{
		Organisation: key.organisation,
		Class:        key.class,
		Tier:         tier,
		Target:       key.target,
		Met:          tr.Total.Met,
		Missed:       tr.Total.Missed,
		Attainment:   1 - missedPart(tr.Total),
		BudgetLeft:   1 - burnRate(tr.Total),
		ShortBurn:    burnRate(tr.Short),
		LongBurn:     burnRate(tr.Long),
	}
	switch both := min(ro.ShortBurn, ro.LongBurn); {
	case both >= FastBurnRate:
		ro.Alert = "fast"
	case both >= SlowBurnRate:
		ro.Alert = "slow"
	}
	return ro
}

func missedPart(co meter.Counts) float64 {
	if co.Met+co.Missed == 0 {
		return 0
	}
	return float64(co.Missed) / float64(co.Met+co.Missed)
}

// burnRate returns the misses as a multiple of the allowed ones.
func burnRate(co meter.Counts) float64 {
	return missedPart(co) / (1 - Objective)
}
