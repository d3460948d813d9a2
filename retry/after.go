package retry

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// maxAfter bounds a Retry-After.
const maxAfter = 24 * time.Hour

// ParseAfter returns the longest of the values of a Retry-After header, which are in
// seconds, at most a day; zero if none is a positive number. Dates are ignored: the clocks
// of two machines may differ.
func ParseAfter(values []string) time.Duration {
	var longest time.Duration
	for _, value := range values {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsInf(seconds, 0) || !(seconds > 0) { // not positive if it is NaN
			continue
		}
		longest = max(longest, time.Duration(min(seconds, maxAfter.Seconds())*float64(time.Second)))
	}
	return longest
}
