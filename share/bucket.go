// Package share tells use within an organisation's share from use above it.
package share

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// burst is how much unused share is kept, as time at the full rate.
const burst = 10 * time.Second

// Bucket is a token bucket that may go into debt, so that one long request
// fits and its cost is paid back before the next. It is not safe for concurrent
// use.
type Bucket struct {
	rate  mp.TokensPerSecond
	level float64
	last  time.Time
}

// New returns a full bucket. A rate of zero is never within the share.
func New(rate mp.TokensPerSecond) Bucket {
	return Bucket{rate: rate, level: float64(rate) * burst.Seconds()}
}

// SetRate changes the rate and keeps level and debt.
func (bu *Bucket) SetRate(rate mp.TokensPerSecond) {
	bu.rate = rate
}

// Rate returns the rate.
func (bu *Bucket) Rate() mp.TokensPerSecond {
	return bu.rate
}

func (bu *Bucket) refill(now time.Time) {
	if !bu.last.IsZero() && now.After(bu.last) {
		bu.level += now.Sub(bu.last).Seconds() * float64(bu.rate)
	}
	bu.level = min(bu.level, float64(bu.rate)*burst.Seconds())
	if now.After(bu.last) {
		bu.last = now
	}
}

// HasCredit reports whether a request is within the share right now.
func (bu *Bucket) HasCredit(now time.Time) bool {
	if bu.rate <= 0 {
		return false
	}
	bu.refill(now)
	return bu.level > 0
}

// Charge charges the cost. A negative cost gives back.
func (bu *Bucket) Charge(cost mp.Tokens) {
	bu.level -= float64(cost)
}

// Delay returns how long it takes until a request is within the share.
func (bu *Bucket) Delay(now time.Time) time.Duration {
	if bu.HasCredit(now) || bu.rate <= 0 {
		return 0
	}
	return time.Duration(-bu.level / float64(bu.rate) * float64(time.Second))
}
