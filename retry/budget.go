// Package retry limits retries of failed attempts, so that they add a bounded load,
// and spreads them over time with jitter. A Budget limits those of the router's own
// API, a WindowBudget those of the gateway.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.1
	// initialBalance allows some retries on a host that has had few requests.
	initialBalance = 10
	// maxBalance is the maximum number of retries saved up.
	maxBalance = 100
)

// Budget limits retries to a fraction of the requests, as a token bucket that every
// request fills. It is not safe for concurrent use.
type Budget struct {
	balance float64
}

// NewBudget returns a budget with its initial balance.
func NewBudget() *Budget {
	return &Budget{balance: initialBalance}
}

// Deposit records a request and credits the budget for it.
func (bu *Budget) Deposit() {
	bu.balance = min(maxBalance, bu.balance+retriesPerRequest)
}

// Withdraw takes one retry from the budget. It returns false if the budget is
// exhausted.
func (bu *Budget) Withdraw() bool {
	if bu.balance < 1 {
		return false
	}
	bu.balance--
	return true
}

const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
	// maxDoublings bounds the exponent of the backoff, so that it does not overflow.
	// maxBackoff is reached earlier.
	maxDoublings = 16
)

// Backoff returns the delay before a retry, given its number from zero: exponential
// backoff with full jitter, up to maxBackoff.
func Backoff(number int, random *rand.Rand) time.Duration {
	bound := maxBackoff
	if number < maxDoublings {
		bound = min(initialBackoff<<number, maxBackoff)
	}
	return time.Duration(random.Int64N(int64(bound)))
}

// MaxFailuresWithoutProgress is the number of consecutive attempts without a new token
// after which a request is given up.
const MaxFailuresWithoutProgress = 4

// Attempts tracks the attempts of one request and decides whether it is retried.
type Attempts struct {
	budget         *Budget
	everProgressed bool
	failures       int
}

// NewAttempts returns the attempts of a new request, and deposits the request in the
// budget.
func NewAttempts(budget *Budget) *Attempts {
	budget.Deposit()
	return &Attempts{budget: budget}
}

// MayRetry reports whether the request may be retried after a failed attempt;
// progressed is set if that attempt produced tokens. A request that has produced
// tokens does not need the budget, because giving it up would waste them. Attempts
// without tokens are limited by MaxFailuresWithoutProgress, and by the budget before
// the first token.
func (at *Attempts) MayRetry(progressed bool) bool {
	if progressed {
		at.everProgressed = true
		at.failures = 0
		return true
	}
	at.failures++
	if at.failures >= MaxFailuresWithoutProgress {
		return false
	}
	return at.everProgressed || at.budget.Withdraw()
}

// FailuresWithoutProgress returns the number of failed attempts since the last one
// that produced tokens.
func (at *Attempts) FailuresWithoutProgress() int {
	return at.failures
}
