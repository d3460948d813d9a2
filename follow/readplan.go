package follow

import "time"

const (
	// readerDelay is how much older the list may become before this host reads the
	// store, for each of the first hosts before it in the reader order. It comes on top
	// of half a list interval; see UntilList.
	readerDelay = 150 * time.Millisecond
	// maxOrderDelayRatio bounds that delay, as a fraction of the list interval, so
	// that the list doesn't become too old if the first hosts all fail to read it.
	maxOrderDelayRatio = 0.5
	// baseBackoff doubles with each failed call up to a maximum, which is maxBackoff
	// for the first host in the reader order and as much more for each further one, up
	// to maxBackoffIntervals list intervals: the first ones find out that the store is
	// back, and tell the others.
	baseBackoff         = 100 * time.Millisecond
	maxBackoff          = 500 * time.Millisecond
	maxBackoffIntervals = 2
	// maxBackoffDoublings keeps the doubled backoff from overflowing.
	maxBackoffDoublings = 8
)

// minSharedReadDelay is the shortest delay limit with which one host reads the store for
// all data centres. A list may be two list intervals old when another host takes over
// from a failed reader, which is three quarters of the limit, and what it reads takes up
// to two seconds to reach the hosts of the other data centres.
const minSharedReadDelay = 8 * time.Second

// SharesReads reports whether one host reads the store for all data centres, and not one
// for each. maxDelay is the time within which a change must take effect.
func SharesReads(maxDelay time.Duration) bool { return maxDelay >= minSharedReadDelay }

// ReadPlan decides when a host reads the store, by its position in the reader order of
// its data centre. It answers for any number of hosts: those that are fed by others ask
// rarely, and when the store fails, the calls of all hosts together grow slowly with
// their number.
type ReadPlan struct {
	// ListInterval is the interval between two list calls of the first host.
	ListInterval time.Duration
}

// UntilList returns how long the host waits before it lists the servers, given its order,
// the number of its consecutive failed calls and the age of its list. It is zero or
// negative if the list call is due. Hosts behind the first wait for half an interval more,
// plus a delay that grows with the hosts before them up to maxOrderDelayRatio, and skip
// the call if another host confirms in the meantime that the list is current. A host whose
// calls fail waits as long as the last one, so that one that the store serves reads in
// its place.
func (rp ReadPlan) UntilList(order, failures int, age time.Duration) time.Duration {
	wait := rp.ListInterval - age
	maxDelay := maxOrderDelayRatio * float64(rp.ListInterval)
	switch {
	case failures > 0:
		return wait + rp.ListInterval/2 + time.Duration(maxDelay)
	case order > 0:
		delay := float64(order) * float64(readerDelay)
		return wait + rp.ListInterval/2 + time.Duration(delay*maxDelay/(delay+maxDelay))
	default:
		return wait
	}
}

// MaxBackoff returns the longest wait after a number of consecutive failed calls.
func (rp ReadPlan) MaxBackoff(order, failures int) time.Duration {
	limit := min(time.Duration(1+order)*maxBackoff, maxBackoffIntervals*rp.ListInterval)
	return min(max(limit, maxBackoff), baseBackoff<<min(failures, maxBackoffDoublings))
}
