package estimate_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/estimate"
	_ "github.com/mangopaddle/mangopaddle/fixedseed" // the same cases in every run
)

func TestParentIsUsedUntilThereAreEnoughSamples(t *testing.T) {
	parent := estimate.New(nil)
	child := estimate.New(parent)
	require.Equal(t, estimate.DefaultAnswerTokens, child.Quantile(0.5))
	other := estimate.New(parent)
	for range 20 {
		other.Add(64)
	}
	require.EqualValues(t, 64, child.Quantile(0.5))
	for range 20 {
		child.Add(1024)
	}
	require.EqualValues(t, 1024, child.Quantile(0.5))
}

// TestQuantileErrorIsWithinHalfAnOctave records a single length. Its quantiles
// must be within half an octave, and an answer longer than any before must
// still get an estimate.
func TestQuantileErrorIsWithinHalfAnOctave(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		le := estimate.New(nil)
		length := mp.Tokens(rapid.IntRange(1, 40_000).Draw(rt, "length"))
		for range rapid.IntRange(8, 600).Draw(rt, "samples") {
			le.Add(length)
		}
		got := float64(le.Quantile(rapid.Float64Range(0.01, 1).Draw(rt, "q")))
		require.GreaterOrEqual(rt, got, float64(length)-1)
		require.LessOrEqual(rt, got, float64(length)*math.Sqrt2+1)
		require.Greater(rt, le.ConditionalQuantile(2*length, 0.5), 2*length)
	})
}
