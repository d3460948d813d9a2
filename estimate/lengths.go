// Package estimate predicts the length of answers from the lengths of earlier
// ones.
package estimate

import (
	"math"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// bucketCount is the number of buckets, which cover lengths from 1 to 2^15.5
	// tokens in half octaves. The last one also counts longer answers.
	bucketCount      = 32
	bucketsPerOctave = 2
	// decayThreshold is the number of samples at which all counts are halved,
	// so that older answers lose weight.
	decayThreshold = 256
	// minSamples is the number of samples from which the histogram is preferred
	// to its parent.
	minSamples = 8
)

// DefaultAnswerTokens is the estimated length while too few answers were recorded.
const DefaultAnswerTokens mp.Tokens = 256

// LengthHistogram is a decaying histogram of answer lengths. It falls back on
// its parent while it has too few samples. It is not safe for concurrent use.
type LengthHistogram struct {
	counts [bucketCount]float32
	total  float32
	parent *LengthHistogram
}

// New returns an empty histogram. The parent may be nil.
func New(parent *LengthHistogram) *LengthHistogram {
	return &LengthHistogram{parent: parent}
}

// Add records the length of a finished answer in the histogram and its
// ancestors.
func (le *LengthHistogram) Add(length mp.Tokens) {
	if le == nil {
		return
	}
	if le.total >= decayThreshold {
		le.decay()
	}
	le.counts[bucketIndex(length)]++
	le.total++
	le.parent.Add(length)
}

func (le *LengthHistogram) decay() {
	for ix := range le.counts {
		le.counts[ix] /= 2
	}
	le.total /= 2
}

// Quantile returns the q-quantile of answer lengths, for q from 0 to 1.
func (le *LengthHistogram) Quantile(q float64) mp.Tokens {
	return le.ConditionalQuantile(0, q)
}

// ConditionalQuantile returns the q-quantile of the total length of an answer of
// which the given number of tokens was already produced. If no recorded answer was
// that long, it returns twice that number; if too few answers were recorded, the
// larger of that and DefaultAnswerTokens.
func (le *LengthHistogram) ConditionalQuantile(produced mp.Tokens, q float64) mp.Tokens {
	for le != nil && le.total < minSamples {
		le = le.parent
	}
	if le == nil {
		return max(DefaultAnswerTokens, 2*produced)
	}
	firstBucket := 0
	if produced > 0 {
		firstBucket = bucketIndex(produced)
	}
	var remaining float32
	for _, count := range le.counts[firstBucket:] {
		remaining += count
	}
	if remaining == 0 {
		return 2 * produced
	}
	return max(le.quantileFrom(firstBucket, remaining*float32(q)), produced+1)
}

func (le *LengthHistogram) quantileFrom(firstBucket int, target float32) mp.Tokens {
	var cumulative float32
	for ix := firstBucket; ix < bucketCount; ix++ {
		cumulative += le.counts[ix]
		if cumulative >= target {
			return upperEdge(ix)
		}
	}
	return upperEdge(bucketCount - 1)
}

func bucketIndex(length mp.Tokens) int {
	if length <= 1 {
		return 0
	}
	ix := int(math.Ceil(math.Log2(float64(length)) * bucketsPerOctave))
	return min(ix, bucketCount-1)
}

func upperEdge(ix int) mp.Tokens {
	return mp.Tokens(math.Floor(math.Exp2(float64(ix) / bucketsPerOctave)))
}
