package affinity_test

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/affinity"
	_ "github.com/mangopaddle/mangopaddle/fixedseed" // the same cases in every run
)

var now = time.Unix(1_700_000_000, 0)

func TestSketchStaysSmall(t *testing.T) {
	require.LessOrEqual(t, mp.Bytes(unsafe.Sizeof(affinity.PrefixTable{})), 8*mp.Kibibyte)
}

// TestSketchNeverClaimsMoreThanItWasTold notes prefixes in any order and checks
// each answer against the last note.
func TestSketchNeverClaimsMoreThanItWasTold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sk := affinity.New()
		told := map[uint64]mp.Tokens{}
		for range rapid.IntRange(1, 300).Draw(rt, "notes") {
			prefix := rapid.Uint64Range(1, 1<<62).Draw(rt, "prefix")
			tokens := mp.Tokens(rapid.IntRange(0, 9000).Draw(rt, "tokens"))
			sk.Add(now, prefix, tokens)
			told[prefix] = max(told[prefix], tokens)
		}
		for prefix, tokens := range told {
			require.LessOrEqual(rt, sk.CachedTokens(now, prefix), tokens)
		}
	})
}

func TestPrefixesAreForgotten(t *testing.T) {
	sk := affinity.New()
	sk.Add(now, 1<<40, 320)
	require.EqualValues(t, 320, sk.CachedTokens(now, 1<<40))
	require.Zero(t, sk.CachedTokens(now.Add(time.Hour), 1<<40), "a prefix that was not used for long")
	sk.Remove(1 << 40)
	require.Zero(t, sk.CachedTokens(now, 1<<40))
	sk.Add(now, 1<<41, 320)
	sk.Reset()
	require.Zero(t, sk.CachedTokens(now, 1<<41))
}
