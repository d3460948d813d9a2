// Package speed learns how fast the engines of a service are from what their streams show:
// how long a step takes in which an engine prefills prompts, and at which rate it prefills.
// It does no I/O and reads no clock. docs/design/engine-speed.md has the reasons.
package speed

import (
	"math"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// Speed is how fast the engines of a service are.
type Speed struct {
	// StepWithPrefill is the duration of a step in which an engine prefills prompts.
	StepWithPrefill time.Duration
	// PrefillRate is the number of prompt tokens that an engine prefills in a second.
	PrefillRate float64
}

// Source identifies the sender of a report: a host or, for the sum of its hosts, a data
// centre.
type Source struct {
	Host       mp.HostID
	DataCentre mp.DataCentreID
}

// Report is what hosts tell each other of the engines of one service.
type Report struct {
	// Steps are durations of steps with prefill, Prefills those of the prefill of prompts,
	// relative to the defaults.
	Steps    Histogram `json:"steps,omitzero"`
	Prefills Histogram `json:"prefills,omitzero"`
}

// Check returns an error if the report has values that can't be.
func (re Report) Check() error {
	if err := re.Steps.check(); err != nil {
		return errors.Annotate(err, "steps")
	}
	return errors.Annotate(re.Prefills.check(), "prefills")
}

// IsZero reports whether the report says nothing.
func (re Report) IsZero() bool { return re.Steps.IsZero() && re.Prefills.IsZero() }

// IsZero reports whether the histogram says nothing. A decision for the default says
// something: without it, the hosts at other levels would be taken for most of them.
func (hi Histogram) IsZero() bool { return len(hi.Counts) == 0 && hi.Level == 0 && !hi.Decided }

// Estimator learns the speed of the engines of one service. It is not safe for concurrent
// use.
type Estimator struct {
	defaults        Speed
	steps, prefills quantity
	refused         int64
}

// New returns an estimator that assumes the default speed until it has seen enough.
func New(defaults Speed) *Estimator {
	return &Estimator{
		defaults: defaults,
		// A gap is a lower bound of the steps with prefill in it, because an engine may have
		// had no prompt in some of them. So a third of those at or above the present level is
		// enough for a slower step, and only nearly all observations decide on a faster one.
		steps: newQuantity(rule{rise: 1.0 / 3, fall: 0.97, ignoresFasterForRise: true}),
		// The time to a first event is too long if the engine was full and too short if the
		// prompt was cached unexpectedly, so three in four must agree.
		prefills: newQuantity(rule{rise: 0.75, fall: 0.75}),
	}
}

func newQuantity(ru rule) quantity {
	return quantity{rule: ru, received: map[Source]received{}}
}

// ObserveGap records the time between two tokens of a stream beside continuous prefill.
// Implausible values are counted as refused.
func (es *Estimator) ObserveGap(now time.Time, perToken time.Duration) {
	if !es.steps.observe(now, float64(perToken)/float64(es.defaults.StepWithPrefill)) {
		es.refused++
	}
}

// ObserveFirstEvent records the time in which a number of prompt tokens was prefilled.
// Implausible values are counted as refused.
func (es *Estimator) ObserveFirstEvent(now time.Time, tokens mp.Tokens, took time.Duration) {
	if !es.prefills.observe(now, took.Seconds()*es.defaults.PrefillRate/float64(tokens)) {
		es.refused++
	}
}

// Refused returns the number of implausible values so far.
func (es *Estimator) Refused() int64 { return es.refused }

// Merge records the report of another host or data centre in place of its earlier ones. It
// returns an error if the report has values that can't be.
func (es *Estimator) Merge(now time.Time, from Source, re Report) error {
	if err := re.Check(); err != nil {
		return errors.Trace(err)
	}
	es.steps.merge(now, from, re.Steps)
	es.prefills.merge(now, from, re.Prefills)
	return nil
}

// Report returns what the host itself has observed.
func (es *Estimator) Report(now time.Time) Report {
	return Report{Steps: es.steps.report(es.steps.host(now)), Prefills: es.prefills.report(es.prefills.host(now))}
}

// DataCentreReport returns what the hosts of the data centre have observed.
func (es *Estimator) DataCentreReport(now time.Time) Report {
	isHost := func(from Source) bool { return from.DataCentre == "" }
	steps, prefills := es.steps.pooled(now, isHost), es.prefills.pooled(now, isHost)
	return Report{Steps: es.steps.report(steps.capped(maxReportWeight)), Prefills: es.prefills.report(prefills.capped(maxReportWeight))}
}

// Update decides on the speed from all observations and reports whether it has changed.
func (es *Estimator) Update(now time.Time) bool {
	steps, prefills := es.steps.update(now), es.prefills.update(now)
	return steps || prefills
}

// Observations returns the weights of the observations of steps and prefills of all hosts.
func (es *Estimator) Observations(now time.Time) (steps, prefills float64) {
	all := func(Source) bool { return true }
	step, prefill := es.steps.pooled(now, all), es.prefills.pooled(now, all)
	return step.total(0), prefill.total(0)
}

// Speed returns the speed in force.
func (es *Estimator) Speed() Speed {
	return Speed{StepWithPrefill: es.StepWithPrefill(), PrefillRate: es.PrefillRate()}
}

// StepWithPrefill returns the duration in force of a step with prefill.
func (es *Estimator) StepWithPrefill() time.Duration {
	return time.Duration(math.Ldexp(float64(es.defaults.StepWithPrefill), es.steps.level))
}

// PrefillRate returns the prefill rate in force, in tokens per second.
func (es *Estimator) PrefillRate() float64 {
	return math.Ldexp(es.defaults.PrefillRate, -es.prefills.level)
}
