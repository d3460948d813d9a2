package rendezvous_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/rendezvous"
)

// TestMixOfSimilarHashesIsEven guards against nodes with similar names that get most of the keys.
func TestMixOfSimilarHashesIsEven(t *testing.T) {
	const nodes, keys = 8, 8000
	counts := [nodes]int{}
	for key := range uint64(keys) {
		best := 0
		for node := range nodes {
			if rendezvous.Mix(uint64(node)<<32^key) > rendezvous.Mix(uint64(best)<<32^key) {
				best = node
			}
		}
		counts[best]++
	}
	for node, count := range counts {
		require.InDelta(t, keys/nodes, count, keys/nodes/5, "node %d", node)
	}
}
