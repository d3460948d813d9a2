package speed

import (
	"math"
	"time"

	"github.com/juju/errors"
)

const (
	// bucketsPerDoubling is the resolution of a histogram: each bucket is 19 % wide.
	bucketsPerDoubling = 4
	// maxLevel is the highest level of a quantity: eight times the default.
	maxLevel = 3
	// bucketCount covers the levels from -maxLevel to maxLevel, each half a doubling to
	// either side.
	bucketCount = (2*maxLevel + 1) * bucketsPerDoubling
	// zeroBucket is the first bucket at or above the default.
	zeroBucket = bucketCount / 2
	// maxRatio bounds the observations that are taken, relative to the default, in both
	// directions.
	maxRatio = 10
	// maxHostWeight is the number of observations that one host counts as at most, so that
	// a host with a fault can't outvote the others.
	maxHostWeight = 64
	// maxReportWeight bounds a report on a whole data centre.
	maxReportWeight = 1 << 14
	// halfLife is the half-life of the weight of an observation.
	halfLife = 4 * time.Second
)

// counts is the weight of the observations in each bucket.
type counts [bucketCount]float64

// bucketOf returns the bucket of a ratio to the default.
func bucketOf(ratio float64) int {
	bucket := zeroBucket + int(math.Floor(math.Log2(ratio)*bucketsPerDoubling))
	return min(max(0, bucket), bucketCount-1)
}

// total returns the weight in the buckets from first on.
func (co *counts) total(first int) float64 {
	sum := 0.0
	for _, weight := range co[max(0, first):] {
		sum += weight
	}
	return sum
}

func (co *counts) add(other *counts, factor float64) {
	for ix := range co {
		co[ix] += factor * other[ix]
	}
}

// capped returns the weights, reduced in proportion to a sum of at most limit.
func (co *counts) capped(limit float64) counts {
	var capped counts
	capped.add(co, min(1, limit/max(limit, co.total(0))))
	return capped
}

// decay returns the factor by which a weight decreases in a time.
func decay(elapsed time.Duration) float64 {
	return math.Exp2(-max(0, elapsed).Seconds() / halfLife.Seconds())
}

// Histogram is the form in which hosts tell each other of their observations: the rounded
// weights of consecutive buckets, beginning with bucket First.
type Histogram struct {
	First  int   `json:"first,omitempty"`
	Counts []int `json:"counts,omitempty"`
	// Level is the level in force at the sender, if it is Decided.
	Level   int  `json:"level,omitempty"`
	Decided bool `json:"decided,omitempty"`
}

// check returns an error if the histogram has values that can't be.
func (hi Histogram) check() error {
	if hi.First < 0 || hi.First > bucketCount || len(hi.Counts) > bucketCount-hi.First || hi.Level < -maxLevel || hi.Level > maxLevel {
		return errors.NotValidf("histogram with %d buckets from %d on and level %d", len(hi.Counts), hi.First, hi.Level)
	}
	for _, count := range hi.Counts {
		if count < 0 || count > maxReportWeight {
			return errors.NotValidf("histogram with a weight of %d", count)
		}
	}
	return nil
}

// encode returns the weights as a histogram without empty buckets at both ends.
func (co *counts) encode() Histogram {
	var hi Histogram
	for ix, weight := range co {
		rounded := int(math.Round(weight))
		if rounded == 0 {
			continue
		}
		if hi.Counts == nil {
			hi.First = ix
		}
		for hi.First+len(hi.Counts) < ix {
			hi.Counts = append(hi.Counts, 0)
		}
		hi.Counts = append(hi.Counts, rounded)
	}
	return hi
}

func (hi Histogram) decode() counts {
	var co counts
	for ix, count := range hi.Counts {
		co[hi.First+ix] = float64(count)
	}
	return co
}
