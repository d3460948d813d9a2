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

func TestPrefixTableSize(t *testing.T) {
	require.LessOrEqual(t, mp.Bytes(unsafe.Sizeof(affinity.PrefixTable{})), 8*mp.Kibibyte)
}

// TestCachedTokensNeverExceedRecordedTokens guards against reporting more tokens
// than were recorded for a prefix, such as those of another prefix in its slot.
func TestCachedTokensNeverExceedRecordedTokens(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pt := affinity.New()
		recorded := map[uint64]mp.Tokens{}
		for range rapid.IntRange(1, 300).Draw(rt, "prefixes") {
			prefix := rapid.Uint64Range(1, 1<<62).Draw(rt, "prefix")
			tokens := mp.Tokens(rapid.IntRange(0, 9000).Draw(rt, "tokens"))
			pt.Add(now, prefix, tokens)
			recorded[prefix] = max(recorded[prefix], tokens)
		}
		for prefix, tokens := range recorded {
			require.LessOrEqual(rt, pt.CachedTokens(now, prefix), tokens)
		}
	})
}

func TestPrefixRemovalAndExpiry(t *testing.T) {
	pt := affinity.New()
	pt.Add(now, 1<<40, 320)
	require.EqualValues(t, 320, pt.CachedTokens(now, 1<<40))
	require.Zero(t, pt.CachedTokens(now.Add(time.Hour), 1<<40), "an expired prefix")
	pt.Remove(1 << 40)
	require.Zero(t, pt.CachedTokens(now, 1<<40))
	pt.Add(now, 1<<41, 320)
	pt.Reset()
	require.Zero(t, pt.CachedTokens(now, 1<<41))
}
