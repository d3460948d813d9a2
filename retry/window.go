package retry

import "time"

// windowBuckets is how many parts a window is counted in.
const windowBuckets = 10

// WindowBudget bounds retries to a share of the requests in a sliding time span. It is
// not safe for concurrent use.
type WindowBudget struct {
	ratio    float64
	slack    float64
	bucket   time.Duration
	requests [windowBuckets]int
	retries  [windowBuckets]int
	current  int64 // number of the newest bucket since the zero time
}

// NewWindowBudget returns a window over a span. In it the retries stay under the ratio
// of the requests plus the slack.
func NewWindowBudget(span time.Duration, ratio, slack float64) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, bucket: max(1, span/windowBuckets)}
}

// CountRequest counts a request.
func (wi *WindowBudget) CountRequest(now time.Time) {
	wi.requests[wi.advance(now)]++
}

// Withdraw takes one retry. It reports whether the window had it.
func (wi *WindowBudget) Withdraw(now time.Time) bool {
	ix := wi.advance(now)
	requests, retries := 0, 0
	for bu := range windowBuckets {
		requests += wi.requests[bu]
		retries += wi.retries[bu]
	}
	if float64(retries+1) > wi.ratio*float64(requests)+wi.slack {
		return false
	}
	wi.retries[ix]++
	return true
}

// advance clears the buckets that have left the window and returns the newest.
func (wi *WindowBudget) advance(now time.Time) int {
	number := now.UnixNano() / int64(wi.bucket)
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
