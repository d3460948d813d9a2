package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mangopaddle/mangopaddle/fixedseed"
	"github.com/mangopaddle/mangopaddle/retry"
)

// TestWindowBudgetBoundsRetriesInEverySpan draws requests and retries at random times.
// In the span before each retry, the retries must stay within the ratio of the requests,
// plus the slack.
func TestWindowBudgetBoundsRetriesInEverySpan(t *testing.T) {
	const (
		span  = 10 * time.Second
		ratio = 0.2
		slack = 2.0
	)
	rapid.Check(t, func(rt *rapid.T) {
		wi := retry.NewWindowBudget(span, ratio)
		now := time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "request") {
				wi.Deposit(now)
				requests = append(requests, now)
			} else if wi.Withdraw(now, slack) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			// The newest bucket is incomplete, so the window covers between nine and ten
			// tenths of the span: retries are counted over nine, requests over ten.
			retriesInSpan, requestsInSpan := countWithin(retries, end, span-span/10), countWithin(requests, end, span)
			if float64(retriesInSpan) > ratio*float64(requestsInSpan)+slack {
				rt.Fatalf("%d retries for %d requests", retriesInSpan, requestsInSpan)
			}
		}
	})
}

func countWithin(times []time.Time, end time.Time, span time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) <= span {
			count++
		}
	}
	return count
}

func TestRequestsBeforeWindowAllowNoRetries(t *testing.T) {
	wi := retry.NewWindowBudget(10*time.Second, 0.5)
	now := time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	for range 4 {
		wi.Deposit(now)
	}
	require.True(t, wi.Withdraw(now, 0))
	require.True(t, wi.Withdraw(now, 0))
	require.False(t, wi.Withdraw(now, 0))
	require.False(t, wi.Withdraw(now.Add(time.Hour), 0))
}
