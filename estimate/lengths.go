// Package estimate learns how long answers are from the answers so far.
package estimate

import (
	"math"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// bucketCount buckets cover lengths from 1 to 2^16 tokens in half octaves.
	bucketCount      = 32
	bucketsPerOctave = 2
	// memory is how many answers the histogram remembers; older ones fade.
	memory = 256
	// minSamples is how many answers make the histogram better than its parent.
	minSamples = 8
)

// DefaultAnswerTokens is the estimate before any answer was seen.
const DefaultAnswerTokens mp.Tokens = 256

// LengthHistogram is a fading histogram of answer lengths. Its parent answers while it
// has too few samples.
type LengthHistogram struct {
	counts [bucketCount]float32
	total  float32
	parent *LengthHistogram
}

// New returns an empty histogram; the parent may be nil.
func New(parent *LengthHistogram) *LengthHistogram {
	return &LengthHistogram{parent: parent}
}

// Add records a finished answer, with the parents.
func (le *LengthHistogram) Add(length mp.Tokens) {
	if le == nil {
		return
	}
	if le.total >= memory {
		le.fade()
	}
	le.counts[bucketOf(length)]++
	le.total++
	le.parent.Add(length)
}

func (le *LengthHistogram) fade() {
	for ix := range le.counts {
		le.counts[ix] /= 2
	}
	le.total /= 2
}

// Quantile returns the length that the share q of answers stays within.
func (le *LengthHistogram) Quantile(q float64) mp.Tokens {
	return le.ConditionalQuantile(0, q)
}

// ConditionalQuantile returns the q-quantile of the whole length of an answer that already
// has the given count of tokens.
func (le *LengthHistogram) ConditionalQuantile(produced mp.Tokens, q float64) mp.Tokens {
	for le != nil && le.total < minSamples {
		le = le.parent
	}
	if le == nil {
		return max(DefaultAnswerTokens, 2*produced)
	}
	first := 0
	if produced > 0 {
		first = bucketOf(produced)
	}
	var left float32
	for _, count := range le.counts[first:] {
		left += count
	}
	if left == 0 {
		return 2 * produced
	}
	return max(le.walk(first, left*float32(q)), produced+1)
}

func (le *LengthHistogram) walk(first int, want float32) mp.Tokens {
	var seen float32
	for ix := first; ix < bucketCount; ix++ {
		seen += le.counts[ix]
		if seen >= want {
			return upperEdge(ix)
		}
	}
	return upperEdge(bucketCount - 1)
}

func bucketOf(length mp.Tokens) int {
	if length <= 1 {
		return 0
	}
	ix := int(math.Ceil(math.Log2(float64(length)) * bucketsPerOctave))
	return min(ix, bucketCount-1)
}

func upperEdge(ix int) mp.Tokens {
	return mp.Tokens(math.Floor(math.Exp2(float64(ix) / bucketsPerOctave)))
}
