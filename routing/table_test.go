package routing_test

import (
	"math"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/routing"
)

// TestServiceForOddWeights guards against a request that makes its handler panic, or goes to a
// service without a share, because of weights that are negative, zero or very large.
func TestServiceForOddWeights(t *testing.T) {
	for _, weights := range [][]int{
		{1 << 31, 1 << 31}, {0, 0}, {-1, 1}, {-5, -6}, {1, -1}, {1, -1000, 1}, {1 << 32, 0}, {math.MaxInt, 1}, {math.MaxInt, math.MaxInt, 2}, {math.MinInt, math.MaxInt}, nil,
	} {
		ro := &routing.Route{}
		positive := map[mp.ServiceName]bool{}
		for ix, weight := range weights {
			name := mp.ServiceName("s" + strconv.Itoa(ix))
			ro.WeightedServices = append(ro.WeightedServices, routing.WeightedService{Service: name, Weight: weight})
			if weight > 0 {
				positive[name] = true
			}
		}
		chosen := map[mp.ServiceName]bool{}
		require.NotPanics(t, func() {
			for id := range 200 {
				chosen[ro.ServiceFor(mp.RequestID(strconv.Itoa(id)))] = true
			}
		}, "%v", weights)
		for name := range chosen {
			require.True(t, positive[name] || (name == "" && len(positive) == 0), "%v: %q", weights, name)
		}
	}
}

// TestEqualWeightsGetEqualParts guards against a service that gets no request because weights are large.
func TestEqualWeightsGetEqualParts(t *testing.T) {
	for _, weight := range []int{1, 1000, 1 << 31, 1 << 32, 1 << 40, math.MaxInt} {
		ro := &routing.Route{WeightedServices: []routing.WeightedService{{Service: "a", Weight: weight}, {Service: "b", Weight: weight}, {Service: "c", Weight: weight}}}
		chosen := map[mp.ServiceName]int{}
		for id := range 3000 {
			chosen[ro.ServiceFor(mp.RequestID("r-"+strconv.Itoa(id*7919)))]++
		}
		for _, name := range []mp.ServiceName{"a", "b", "c"} {
			require.InDelta(t, 1000, chosen[name], 300, "%d %v", weight, chosen)
		}
	}
}
