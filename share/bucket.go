// Package share checks whether the requests of an organisation's class are within
// its promised or its maximum rate, which the share in its contract sets. Costs are
// in answer tokens, as schedule.Cost counts them, and rates in the same tokens per
// second. It does no I/O and reads no clock.
package share

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// burstWindow limits how much of an unused rate accumulates: the capacity of a bucket
// is what its rate gives in this time.
const burstWindow = 10 * time.Second

// Bucket is a token bucket whose level may become negative, so that one long
// request is admitted and its cost is paid back before the next. It is not safe
// for concurrent use.
type Bucket struct {
	rate       mp.TokensPerSecond
	level      float64
	refilledAt time.Time
}

// New returns a full bucket that refills at the rate. A bucket with a rate of
// zero never has credit.
func New(rate mp.TokensPerSecond) Bucket {
	return Bucket{rate: rate, level: float64(rate) * burstWindow.Seconds()}
}

// SetRate changes the refill rate, also for the time since the last refill. The
// level is kept, also when it is negative, up to the new capacity.
func (bu *Bucket) SetRate(rate mp.TokensPerSecond) {
	bu.rate = rate
}

// Rate returns the refill rate.
func (bu *Bucket) Rate() mp.TokensPerSecond {
	return bu.rate
}

func (bu *Bucket) refill(now time.Time) {
	if !bu.refilledAt.IsZero() && now.After(bu.refilledAt) {
		bu.level += now.Sub(bu.refilledAt).Seconds() * float64(bu.rate)
	}
	bu.level = min(bu.level, float64(bu.rate)*burstWindow.Seconds())
	if now.After(bu.refilledAt) {
		bu.refilledAt = now
	}
}

// HasCredit reports whether a request that starts now is within the rate.
func (bu *Bucket) HasCredit(now time.Time) bool {
	if bu.rate <= 0 {
		return false
	}
	bu.refill(now)
	return bu.level > 0
}

// Charge subtracts a cost from the level. A negative cost is a refund.
func (bu *Bucket) Charge(cost mp.Tokens) {
	bu.level -= float64(cost)
}

// Delay returns how long it takes until the bucket has credit again. It is zero
// if it has credit, and also if the rate is zero and it never will.
func (bu *Bucket) Delay(now time.Time) time.Duration {
	if bu.HasCredit(now) || bu.rate <= 0 {
		return 0
	}
	return time.Duration(-bu.level / float64(bu.rate) * float64(time.Second))
}
