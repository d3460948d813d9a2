package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mangopaddle/mangopaddle/fixedseed" // makes every run use the same cases
	"github.com/mangopaddle/mangopaddle/retry"
)

// TestBudgetBoundsRetries checks that attempts without tokens are retried for at most
// a tenth of the requests, plus the initial balance, whichever attempts fail.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		budget := retry.NewBudget()
		requests, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(rt, "requests") {
			requests++
			at := retry.NewAttempts(budget)
			for rapid.Bool().Draw(rt, "fails") && at.MayRetry(false) {
				retries++
			}
		}
		const initialBalance = 10
		require.LessOrEqual(rt, float64(retries), initialBalance+0.1*float64(requests)+1e-9)
	})
}

func TestRetryAllowedAfterProgress(t *testing.T) {
	budget := retry.NewBudget()
	for budget.Withdraw() {
		continue
	}
	at := retry.NewAttempts(budget)
	for range 100 {
		require.True(t, at.MayRetry(true))
	}
	for range retry.MaxFailuresWithoutProgress - 1 {
		require.True(t, at.MayRetry(false), "giving up would waste the tokens produced so far")
	}
	require.False(t, at.MayRetry(false))
}

func TestBackoffIsBoundedAndJittered(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	seen := map[time.Duration]bool{}
	for number := range 100 {
		wait := retry.Backoff(number, random)
		require.GreaterOrEqual(t, wait, time.Duration(0))
		require.Less(t, wait, time.Second)
		seen[wait] = true
	}
	require.Greater(t, len(seen), 90)
}
