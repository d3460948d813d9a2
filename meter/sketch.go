package meter

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// RelativeAccuracy is the maximum relative error of a sketch's quantiles, as a
// fraction.
const RelativeAccuracy = 0.02

// maxSketchBins bounds the memory of a sketch. Beyond it, the lowest values share a
// bin.
const maxSketchBins = 512

// Sketch is a mergeable quantile sketch (DDSketch) of durations in seconds.
type Sketch struct {
	inner *ddsketch.DDSketch
}

// NewSketch returns an empty sketch.
func NewSketch() *Sketch {
	inner, err := ddsketch.LogCollapsingLowestDenseDDSketch(RelativeAccuracy, maxSketchBins)
	if err != nil {
		panic(err) // the constants are valid
	}
	return &Sketch{inner: inner}
}

func (sk *Sketch) add(duration time.Duration, count mp.Tokens) {
	// The sketch rejects only negative values and counts of zero or less.
	_ = sk.inner.AddWithCount(max(0, duration.Seconds()), float64(count))
}

// Count returns the number of durations added.
func (sk *Sketch) Count() float64 { return sk.inner.GetCount() }

// Quantile returns the q-quantile, for q from 0 to 1, or zero if the sketch is
// empty.
func (sk *Sketch) Quantile(q float64) time.Duration {
	seconds, err := sk.inner.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Merge adds the durations of another sketch. Counts stay exact. It returns an
// error if the sketches have different accuracies.
func (sk *Sketch) Merge(other *Sketch) error {
	return errors.Trace(sk.inner.MergeWith(other.inner))
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (sk *Sketch) MarshalBinary() ([]byte, error) {
	var encoded []byte
	sk.inner.Encode(&encoded, false)
	return encoded, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. It returns an error if data
// is not an encoded sketch.
func (sk *Sketch) UnmarshalBinary(data []byte) error {
	provider := func() store.Store { return store.NewCollapsingLowestDenseStore(maxSketchBins) }
	inner, err := ddsketch.DecodeDDSketch(data, provider, nil)
	if err != nil {
		return errors.Annotate(err, "sketch")
	}
	sk.inner = inner
	return nil
}
