package clientlimit

import (
	"sync/atomic"

	mp "github.com/mangopaddle/mangopaddle"
)

// Use is what a part of the budget is held for. The budget can be filled by each use up to
// a ceiling of its own, so that a reserve is left for those with a higher one.
type Use int

// The uses, in the order of their ceilings.
const (
	// LargeBody is a request body over SmallBodyBytes.
	LargeBody Use = iota
	// Header is a request header that is being read or kept.
	Header
	// Small is what an ordinary request needs: its connection, its state and a small body.
	Small
	// Operator is what clients of the readiness path, the metrics and operators' pages need.
	Operator
	useCount
)

// SmallBodyBytes is the size of a body up to which it is held as Small.
const SmallBodyBytes = 32 << 10

// ceilings are the eighths of the budget up to which each use can fill it.
var ceilings = [useCount]int64{LargeBody: 5, Header: 6, Small: 7, Operator: 8}

// Budget bounds the memory that clients make a host hold. It is safe for concurrent use.
type Budget struct {
	limit      int64
	used       atomic.Int64
	largeCount atomic.Int64 // accounts that hold a large body
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit mp.Bytes) *Budget { return &Budget{limit: int64(limit)} }

// Used returns the number of bytes that are held.
func (bu *Budget) Used() mp.Bytes { return mp.Bytes(bu.used.Load()) }

// Limit returns the size of the budget.
func (bu *Budget) Limit() mp.Bytes { return mp.Bytes(bu.limit) }

// Account is the part of a budget that one request or connection holds. It is not safe for
// concurrent use. The zero value has no bound.
type Account struct {
	budget *Budget
	held   int64
	large  bool
}

// Open returns an empty account, which must be released.
func (bu *Budget) Open() Account { return Account{budget: bu} }

// Hold makes the account large enough for a number of bytes in all, before they are held.
// It reports whether there is room. The only large body of a host always has: a body within
// the configuration's limit must be served by a host that has nothing else to do.
func (ac *Account) Hold(use Use, bytes int64) bool {
	more := bytes - ac.held
	if more <= 0 || ac.budget == nil {
		return true
	}
	bu := ac.budget
	ceiling := bu.limit * ceilings[use] / ceilings[Operator]
	alone := use == LargeBody && ac.isOnlyLargeBody()
	if bu.used.Add(more) > ceiling && !alone {
		bu.used.Add(-more)
		return false
	}
	if use == LargeBody && !ac.large {
		bu.largeCount.Add(1)
		ac.large = true
	}
	ac.held += more
	return true
}

// isOnlyLargeBody reports whether no other account holds a large body. An account that holds
// none yet is marked as holding one.
func (ac *Account) isOnlyLargeBody() bool {
	if !ac.large && ac.budget.largeCount.CompareAndSwap(0, 1) {
		ac.large = true
	}
	return ac.large && ac.budget.largeCount.Load() == 1
}

// Shrink gives back what the account holds beyond a number of bytes.
func (ac *Account) Shrink(bytes int64) {
	if less := ac.held - bytes; less > 0 && ac.budget != nil {
		ac.budget.used.Add(-less)
		ac.held = bytes
	}
}

// Release gives everything back.
func (ac *Account) Release() {
	if ac.budget == nil {
		return
	}
	ac.Shrink(0)
	if ac.large {
		ac.budget.largeCount.Add(-1)
		ac.large = false
	}
}
