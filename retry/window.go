package retry

import "time"

// windowBuckets is the number of buckets in the sliding window.
const windowBuckets = 10

// WindowBudget limits retries to a ratio of the requests in a sliding time window. It
// is not safe for concurrent use.
type WindowBudget struct {
	ratio      float64
	bucketSpan time.Duration
	requests   [windowBuckets]int
	retries    [windowBuckets]int
	current    int64 // number of the newest bucket since the Unix epoch
}

// NewWindowBudget returns a budget over a window of the given span. The retries in
// the window stay within ratio times its requests, plus the slack at each retry.
func NewWindowBudget(span time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{ratio: ratio, bucketSpan: max(1, span/windowBuckets)}
}

// Deposit records a request and credits the budget for it.
func (wi *WindowBudget) Deposit(now time.Time) {
	wi.requests[wi.advance(now)]++
}

// Withdraw takes one retry from the budget, with the given slack beyond the ratio. It
// returns false if the budget is exhausted.
func (wi *WindowBudget) Withdraw(now time.Time, slack float64) bool {
	ix := wi.advance(now)
	requests, retries := 0, 0
	for bucket := range windowBuckets {
		requests += wi.requests[bucket]
		retries += wi.retries[bucket]
	}
	if float64(retries+1) > wi.ratio*float64(requests)+slack {
		return false
	}
	wi.retries[ix]++
	return true
}

// advance clears the buckets that have left the window and returns the index of the
// newest one.
func (wi *WindowBudget) advance(now time.Time) int {
	number := now.UnixNano() / int64(wi.bucketSpan)
	for passed := 0; wi.current < number; passed++ {
		if passed == windowBuckets {
			wi.current = number
			break
		}
		wi.current++
		ix := wi.current % windowBuckets
		wi.requests[ix], wi.retries[ix] = 0, 0
	}
	return int(wi.current % windowBuckets)
}
