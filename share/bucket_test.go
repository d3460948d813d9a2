package share_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	_ "github.com/mangopaddle/mangopaddle/fixedseed" // the same cases in every run
	"github.com/mangopaddle/mangopaddle/share"
)

// TestAdmittedCostIsBoundedByRateAndBurst checks that the cost charged while the
// bucket has credit never exceeds what the rate gives by more than the burst and
// one request.
func TestAdmittedCostIsBoundedByRateAndBurst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(1, 1000).Draw(rt, "rate")
		bucket := share.New(mp.TokensPerSecond(rate))
		now := time.Unix(1_700_000_000, 0)
		begin := now
		var admitted, largest float64
		for range rapid.IntRange(1, 200).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			cost := rapid.IntRange(1, 3000).Draw(rt, "cost")
			if bucket.HasCredit(now) {
				require.Zero(rt, bucket.Delay(now))
				bucket.Charge(mp.Tokens(cost))
				admitted += float64(cost)
				largest = max(largest, float64(cost))
			} else {
				require.GreaterOrEqual(rt, bucket.Delay(now), time.Duration(0))
			}
		}
		const burstSeconds = 10
		require.LessOrEqual(rt, admitted, rate*(now.Sub(begin).Seconds()+burstSeconds)+largest+1e-6)
	})
}

func TestZeroRateHasNoCredit(t *testing.T) {
	bucket := share.New(0)
	require.False(t, bucket.HasCredit(time.Unix(1, 0)))
}

func TestRefundRestoresCredit(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	bucket := share.New(10)
	bucket.Charge(150)
	require.False(t, bucket.HasCredit(now))
	require.Equal(t, 5*time.Second, bucket.Delay(now))
	bucket.Charge(-100)
	require.True(t, bucket.HasCredit(now))
}
