// Package retry decides when a failed run may be tried again, so that retries
// add a bounded load and don't come in step.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// depositPart is how many retries each request earns.
	depositPart = 0.1
	// startBalance lets a few requests be retried on a quiet host.
	startBalance = 10
	mostBalance  = 100
)

// Budget bounds retries to a fraction of the requests. It is not safe for
// concurrent use.
type Budget struct {
	balance float64
}

// NewBudget returns a budget with its starting balance.
func NewBudget() *Budget {
	return &Budget{balance: startBalance}
}

// Deposit counts a request.
func (bu *Budget) Deposit() {
	bu.balance = min(mostBalance, bu.balance+depositPart)
}

// Withdraw takes one retry. It reports whether the budget had it.
func (bu *Budget) Withdraw() bool {
	if bu.balance < 1 {
		return false
	}
	bu.balance--
	return true
}

const (
	firstBackoff   = 10 * time.Millisecond
	longestBackoff = time.Second
)

// Backoff returns the wait before the retry with the given number, from zero:
// a random part of a bound that doubles.
func Backoff(number int, random *rand.Rand) time.Duration {
	bound := longestBackoff
	if number < 16 {
		bound = min(firstBackoff<<number, longestBackoff)
	}
	return time.Duration(random.Int64N(int64(bound)))
}

// MaxAttempts bounds the runs of one request that bring no new token.
const MaxAttempts = 4

// Attempts decides about the runs of one request.
type Attempts struct {
	budget   *Budget
	fruitful bool
	barren   int
}

// NewAttempts returns the attempts of a request that was just started.
func NewAttempts(budget *Budget) *Attempts {
	budget.Deposit()
	return &Attempts{budget: budget}
}

// MayRetry decides whether a failed run may be followed by another. A run that
// brought tokens may always: to give it up would waste them. A run without is
// limited by the budget and by MaxAttempts.
func (at *Attempts) MayRetry(progressed bool) bool {
	if progressed {
		at.fruitful = true
		at.barren = 0
		return true
	}
	at.barren++
	if at.barren >= MaxAttempts {
		return false
	}
	return at.fruitful || at.budget.Withdraw()
}

// FailuresWithoutProgress counts the runs since the last that brought tokens.
func (at *Attempts) FailuresWithoutProgress() int {
	return at.barren
}
