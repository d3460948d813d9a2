// Package burn sums the outcomes of hosts and computes, for each organisation,
// class and target, the attainment, the remaining error budget and its burn rate.
package burn

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/meter"
	"github.com/mangopaddle/mangopaddle/operator"
)

// Objective is the fraction of outcomes that must meet their target.
const Objective = 0.95

// FastBurnRate and SlowBurnRate are alert thresholds: burn rates at or above them in
// both windows need an operator. At FastBurnRate the error budget of 30 days is spent
// in about two days, at SlowBurnRate in five.
const (
	FastBurnRate = 14.4
	SlowBurnRate = 6.0
)

// Row holds the outcomes of one target of an organisation's class, summed over the
// hosts. Met and Missed count requests, or tokens for between_tokens.
type Row struct {
	Organisation mp.OrganisationID `json:"organisation"`
	Class        mp.ClassName      `json:"class"`
	Tier         mp.Tier           `json:"tier"`
	Target       string            `json:"target"`
	Met          uint64            `json:"met"`
	Missed       uint64            `json:"missed"`
	Attainment   float64           `json:"attainment"`
	// BudgetLeft is the remaining fraction of the error budget; it is negative if
	// the budget is exceeded.
	BudgetLeft float64 `json:"budget_left"`
	// ShortBurn and LongBurn are the burn rates in the short and the long window:
	// the misses as a multiple of the allowed ones.
	ShortBurn float64 `json:"short_burn"`
	LongBurn  float64 `json:"long_burn"`
	// Alert is "fast", "slow" or empty.
	Alert string `json:"alert,omitempty"`
}

// LatencyQuantiles holds the latency quantiles of a target in a tier. Count is the
// number of requests, or of tokens for between_tokens.
type LatencyQuantiles struct {
	Tier   mp.Tier     `json:"tier"`
	Target string      `json:"target"`
	Count  float64     `json:"count"`
	P50    mp.Duration `json:"p50"`
	P95    mp.Duration `json:"p95"`
	P99    mp.Duration `json:"p99"`
}

// Report holds the outcomes of all hosts that responded.
type Report struct {
	// Hosts lists the hosts whose outcomes are included.
	Hosts []mp.HostID `json:"hosts"`
	// MissingHosts lists the hosts that did not respond, by the address or file that
	// was read: their identifiers are unknown.
	MissingHosts []string `json:"silent,omitempty"`
	// MissingFraction estimates the fraction of the traffic that is not included, on
	// the assumption that all hosts have equal traffic.
	MissingFraction float64 `json:"lacking"`
	// QuantileError is the maximum relative error of the quantiles. Counts are exact.
	QuantileError float64             `json:"quantile_error"`
	Rows          []Row               `json:"rows"`
	Classes       []meter.ClassTotals `json:"work"`
	Latencies     []LatencyQuantiles  `json:"times"`
}

type rowKey struct {
	organisation mp.OrganisationID
	class        mp.ClassName
	target       string
}

type classKey struct {
	organisation mp.OrganisationID
	class        mp.ClassName
}

type latencyKey struct {
	tier   mp.Tier
	target string
}

// totals holds the sums over hosts.
type totals struct {
	targets   map[rowKey]*meter.TargetReport
	tiers     map[classKey]mp.Tier
	classes   map[classKey]*meter.ClassTotals
	latencies map[latencyKey]*meter.Sketch
}

// New returns the report over the outcomes of hosts. missingHosts lists those that did
// not respond. It returns an error if a sketch cannot be decoded or merged.
func New(outcomes []operator.Outcomes, missingHosts []string) (*Report, error) {
	to := &totals{
		targets:   map[rowKey]*meter.TargetReport{},
		tiers:     map[classKey]mp.Tier{},
		classes:   map[classKey]*meter.ClassTotals{},
		latencies: map[latencyKey]*meter.Sketch{},
	}
	re := &Report{MissingHosts: missingHosts, QuantileError: meter.RelativeAccuracy}
	for _, out := range outcomes {
		re.Hosts = append(re.Hosts, out.Host)
		for _, cr := range out.Classes {
			to.addClass(cr)
		}
		if err := to.addTiers(out.Tiers); err != nil {
			return nil, errors.Annotatef(err, "outcomes of host %q", out.Host)
		}
	}
	if hostCount := len(outcomes) + len(missingHosts); hostCount > 0 {
		re.MissingFraction = float64(len(missingHosts)) / float64(hostCount)
	}
	to.fillReport(re)
	return re, nil
}

func (to *totals) addClass(cr meter.ClassReport) {
	key := classKey{organisation: cr.Organisation, class: cr.Class}
	to.tiers[key] = cr.Tier
	ct, ok := to.classes[key]
	if !ok {
		ct = &meter.ClassTotals{Organisation: cr.Organisation, Class: cr.Class, Wasted: map[string]mp.Tokens{}, Failures: map[string]uint64{}}
		to.classes[key] = ct
	}
	ct.Add(cr.ClassTotals)
	for target, tr := range cr.Targets {
		to.addTarget(rowKey{organisation: cr.Organisation, class: cr.Class, target: target}, tr)
	}
}

func (to *totals) addTarget(key rowKey, tr meter.TargetReport) {
	sum, ok := to.targets[key]
	if !ok {
		sum = &meter.TargetReport{}
		to.targets[key] = sum
	}
	sum.Total = addCounts(sum.Total, tr.Total)
	sum.Short = addCounts(sum.Short, tr.Short)
	sum.Long = addCounts(sum.Long, tr.Long)
}

func addCounts(a, b meter.Counts) meter.Counts {
	return meter.Counts{Met: a.Met + b.Met, Missed: a.Missed + b.Missed}
}

func (to *totals) addTiers(reports []meter.TierReport) error {
	for _, tr := range reports {
		for target, encoded := range tr.Sketches {
			sketch := &meter.Sketch{}
			if err := sketch.UnmarshalBinary(encoded); err != nil {
				return errors.Trace(err)
			}
			key := latencyKey{tier: tr.Tier, target: target}
			if to.latencies[key] == nil {
				to.latencies[key] = meter.NewSketch()
			}
			if err := to.latencies[key].Merge(sketch); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

func (to *totals) fillReport(re *Report) {
	for key, tr := range to.targets {
		re.Rows = append(re.Rows, newRow(key, to.tiers[classKey{organisation: key.organisation, class: key.class}], tr))
	}
	for _, ct := range to.classes {
		re.Classes = append(re.Classes, *ct)
	}
	for key, sk := range to.latencies {
		re.Latencies = append(re.Latencies, LatencyQuantiles{
			Tier: key.tier, Target: key.target, Count: sk.Count(),
			P50: mp.Duration(sk.Quantile(0.5)), P95: mp.Duration(sk.Quantile(0.95)), P99: mp.Duration(sk.Quantile(0.99)),
		})
	}
	slices.SortFunc(re.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Target, b.Target))
	})
	slices.SortFunc(re.Classes, func(a, b meter.ClassTotals) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class))
	})
	slices.SortFunc(re.Latencies, func(a, b LatencyQuantiles) int {
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
		Attainment:   1 - missedFraction(tr.Total),
		BudgetLeft:   1 - burnRate(tr.Total),
		ShortBurn:    burnRate(tr.Short),
		LongBurn:     burnRate(tr.Long),
	}
	switch lowerBurn := min(ro.ShortBurn, ro.LongBurn); {
	case lowerBurn >= FastBurnRate:
		ro.Alert = "fast"
	case lowerBurn >= SlowBurnRate:
		ro.Alert = "slow"
	}
	return ro
}

// missedFraction returns the fraction of missed outcomes, or zero without outcomes.
func missedFraction(co meter.Counts) float64 {
	if co.Met+co.Missed == 0 {
		return 0
	}
	return float64(co.Missed) / float64(co.Met+co.Missed)
}

// burnRate returns the misses as a multiple of those that the objective allows.
func burnRate(co meter.Counts) float64 {
	return missedFraction(co) / (1 - Objective)
}
