package replay

import (
	"fmt"

	mp "github.com/mangopaddle/mangopaddle"
)

// Metric names an outcome that an expectation can bound.
type Metric string

// The metrics. Those of the first token, the time between tokens, refusals and
// inter-region bytes belong to classes, the others to the whole replay. MetricLost and
// MetricWrongLength are numbers of requests and MetricInterRegionBytes is in bytes; the
// others are fractions.
const (
	MetricFirstTokenAttainment         Metric = "first_token"
	MetricPromisedFirstTokenAttainment Metric = "first_token_promised"
	MetricBetweenTokensAttainment      Metric = "between_tokens"
	MetricRefusedRatio                 Metric = "refused"
	MetricGoodputOfCapacity            Metric = "goodput_of_capacity"
	MetricWastedRatio                  Metric = "wasted_part"
	MetricLost                         Metric = "lost"
	MetricWrongLength                  Metric = "doubled"
	MetricInterRegionBytes             Metric = "remote_bytes"
)

// Expectation bounds the value of a metric.
type Expectation struct {
	// Class and Tier select classes; with neither, the expectation is about the whole
	// replay.
	Class  mp.ClassName `json:"class,omitempty"`
	Tier   *mp.Tier     `json:"tier,omitempty"`
	Metric Metric       `json:"metric"`
	// Min and Max are inclusive bounds; nil for none.
	Min *float64 `json:"least,omitempty"`
	Max *float64 `json:"most,omitempty"`
}

// Violation is an expectation that a replay did not meet.
type Violation struct {
	Expectation Expectation
	Subject     string // the class, or "the replay"
	Value       float64
}

// String returns the violation as one line.
func (vi Violation) String() string {
	ex := vi.Expectation
	if ex.Min != nil && vi.Value < *ex.Min {
		return fmt.Sprintf("%s of %s is %.4f; want at least %g", ex.Metric, vi.Subject, vi.Value, *ex.Min)
	}
	if ex.Max != nil {
		return fmt.Sprintf("%s of %s is %.4f; want at most %g", ex.Metric, vi.Subject, vi.Value, *ex.Max)
	}
	return fmt.Sprintf("%s of %s is not a known metric", ex.Metric, vi.Subject)
}

// Check returns the expectations that the result does not meet. An expectation about
// an unknown metric is one of them.
func (rs *Result) Check(expectations []Expectation) []Violation {
	var violations []Violation
	for _, ex := range expectations {
		violations = append(violations, rs.check(ex)...)
	}
	return violations
}

func (rs *Result) check(ex Expectation) []Violation {
	if ex.Class == "" && ex.Tier == nil {
		return ex.compare("the replay", rs.value(ex.Metric))
	}
	var violations []Violation
	for _, cr := range rs.Classes {
		if (ex.Class == "" || ex.Class == cr.Class) && (ex.Tier == nil || *ex.Tier == cr.Tier) {
			violations = append(violations, ex.compare(string(cr.Class), cr.value(ex.Metric))...)
		}
	}
	return violations
}

// unknownMetricValue is the value of a metric that does not exist, or not for the
// subject of the expectation. It is always a violation.
const unknownMetricValue = -1

func (ex Expectation) compare(subject string, value float64) []Violation {
	tooLow := ex.Min != nil && value < *ex.Min
	tooHigh := ex.Max != nil && value > *ex.Max
	if tooLow || tooHigh || value == unknownMetricValue {
		return []Violation{{Expectation: ex, Subject: subject, Value: value}}
	}
	return nil
}

func (rs *Result) value(metric Metric) float64 {
	switch metric {
	case MetricGoodputOfCapacity:
		return rs.GoodputOfCapacity
	case MetricWastedRatio:
		return rs.WastedRatio
	case MetricLost:
		return float64(rs.Lost)
	case MetricWrongLength:
		return float64(rs.WrongLength)
	default:
		return unknownMetricValue
	}
}

func (cr *ClassResult) value(metric Metric) float64 {
	switch metric {
	case MetricFirstTokenAttainment:
		return cr.FirstTokenAttainment()
	case MetricPromisedFirstTokenAttainment:
		return cr.PromisedFirstTokenAttainment()
	case MetricBetweenTokensAttainment:
		return cr.BetweenTokensAttainment()
	case MetricRefusedRatio:
		return ratio(cr.RefusedTotal(), cr.Offered)
	case MetricInterRegionBytes:
		return float64(cr.InterRegionBytes)
	default:
		return unknownMetricValue
	}
}
