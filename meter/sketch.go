package meter

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// RelativeAccuracy is the maximum relative error of a sketch's quantiles.
const RelativeAccuracy = 0.02

// sketchBins is the maximum number of bins of a sketch, to bound its memory. Above
// it, the lowest values share a bin.
const sketchBins = 512

// Sketch is a mergeable quantile sketch (DDSketch) of durations in seconds.
type Sketch struct {
	inner *ddsketch.DDSketch
}

// NewSketch returns an empty sketch.
func NewSketch() *Sketch {
	inner, err := ddsketch.LogCollapsingLowestDenseDDSketch(RelativeAccuracy, sketchBins)
	if err != nil {
		panic(err) // the constants are valid
	}
	return &Sketch{inner: inner}
}

func (sk *Sketch) add(taken time.Duration, count mp.Tokens) {
	// The sketch rejects only negative values and counts of zero or less.
	_ = sk.inner.AddWithCount(max(0, taken.Seconds()), float64(count))
}

// Count returns the number of durations added.
func (sk *Sketch) Count() float64 { return sk.inner.GetCount() }

// Quantile returns the q-quantile, or zero if the sketch is empty.
func (sk *Sketch) Quantile(q float64) time.Duration {
	seconds, err := sk.inner.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Merge adds the durations of another sketch. Counts stay exact.
func (sk *Sketch) Merge(other *Sketch) error {
	return errors.Trace(sk.inner.MergeWith(other.inner))
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (sk *Sketch) MarshalBinary() ([]byte, error) {
	var encoded []byte
	sk.inner.Encode(&encoded, false)
	return encoded, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (sk *Sketch) UnmarshalBinary(data []byte) error {
	provider := func() store.Store { return store.NewCollapsingLowestDenseStore(sketchBins) }
	inner, err := ddsketch.DecodeDDSketch(data, provider, nil)
	if err != nil {
		return errors.Annotate(err, "sketch")
	}
	sk.inner = inner
	return nil
}
