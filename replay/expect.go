package replay

import (
	"fmt"

	mp "github.com/mangopaddle/mangopaddle"
)

// Metric names an outcome.
type Metric string

// The metrics. The first three belong to classes, the others to a replay.
const (
	MetricFirstToken         Metric = "first_token"
	MetricFirstTokenPromised Metric = "first_token_promised"
	MetricBetweenTokens      Metric = "between_tokens"
	MetricRefused            Metric = "refused"
	MetricGoodput            Metric = "goodput_of_capacity"
	MetricWastedRatio        Metric = "wasted_part"
	MetricLost               Metric = "lost"
	MetricWrongLength        Metric = "doubled"
	MetricRemoteBytes        Metric = "remote_bytes"
)

// Expectation is a stated outcome.
type Expectation struct {
	// Class or Tier chooses the classes; neither means the whole replay.
	Class  mp.ClassName `json:"class,omitempty"`
	Tier   *mp.Tier     `json:"tier,omitempty"`
	Metric Metric       `json:"metric"`
	Min    *float64     `json:"least,omitempty"`
	Max    *float64     `json:"most,omitempty"`
}

// Violation is an expectation that a replay did not meet.
type Violation struct {
	Expectation Expectation
	Subject     string
	Value       float64
}

// String returns the unmet expectation as one line.
func (un Violation) String() string {
	ex := un.Expectation
	if ex.Min != nil && un.Value < *ex.Min {
		return fmt.Sprintf("%s of %s is %.4f; want at least %g", ex.Metric, un.Subject, un.Value, *ex.Min)
	}
	if ex.Max != nil {
		return fmt.Sprintf("%s of %s is %.4f; want at most %g", ex.Metric, un.Subject, un.Value, *ex.Max)
	}
	return fmt.Sprintf("%s of %s is no metric", ex.Metric, un.Subject)
}

// Check returns the expectations that the result does not meet.
func (rs *Result) Check(expectations []Expectation) []Violation {
	var unmet []Violation
	for _, ex := range expectations {
		unmet = append(unmet, rs.check(ex)...)
	}
	return unmet
}

func (rs *Result) check(ex Expectation) []Violation {
	if ex.Class == "" && ex.Tier == nil {
		return ex.compare("the replay", rs.value(ex.Metric))
	}
	var unmet []Violation
	for _, cr := range rs.Classes {
		if (ex.Class == "" || ex.Class == cr.Class) && (ex.Tier == nil || *ex.Tier == cr.Tier) {
			unmet = append(unmet, ex.compare(string(cr.Class), cr.value(ex.Metric))...)
		}
	}
	return unmet
}

// unknown is the value of a metric that does not exist; it meets no bound.
const unknown = -1

func (ex Expectation) compare(what string, value float64) []Violation {
	tooLow := ex.Min != nil && value < *ex.Min
	tooHigh := ex.Max != nil && value > *ex.Max
	if tooLow || tooHigh || value == unknown {
		return []Violation{{Expectation: ex, Subject: what, Value: value}}
	}
	return nil
}

func (rs *Result) value(metric Metric) float64 {
	switch metric {
	case MetricGoodput:
		return rs.GoodputOfCapacity
	case MetricWastedRatio:
		return rs.WastedRatio
	case MetricLost:
		return float64(rs.Lost)
	case MetricWrongLength:
		return float64(rs.WrongLength)
	default:
		return unknown
	}
}

func (cr *ClassResult) value(metric Metric) float64 {
	switch metric {
	case MetricFirstToken:
		return cr.FirstToken()
	case MetricFirstTokenPromised:
		return cr.FirstTokenPromised()
	case MetricBetweenTokens:
		return cr.BetweenTokens()
	case MetricRefused:
		return part(cr.RefusedTotal(), cr.Offered)
	case MetricRemoteBytes:
		return float64(cr.RemoteBytes)
	default:
		return unknown
	}
}
