package gateway

import (
	"sync"

	"github.com/uber-go/tally/v4"

	mp "github.com/mangopaddle/mangopaddle"
)

// overflowCounters count what is sent between data centres.
type overflowCounters struct {
	scope tally.Scope

	mu    sync.Mutex
	pairs map[overflowPair]overflowPairCounters
}

// overflowPair identifies the counters of a pair of data centres and a reason.
type overflowPair struct {
	from, to mp.DataCentreID
	reason   string
}

type overflowPairCounters struct {
	requests, bytes tally.Counter
}

func newOverflowCounters(scope tally.Scope) *overflowCounters {
	return &overflowCounters{scope: scope, pairs: map[overflowPair]overflowPairCounters{}}
}

// count counts a request with its body. The reason is that of the split, or "placement" if no
// split sent the request away.
func (oc *overflowCounters) count(from, to mp.DataCentreID, reason string, bytes int) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	key := overflowPair{from: from, to: to, reason: reason}
	pair, ok := oc.pairs[key]
	if !ok {
		scope := oc.scope.Tagged(map[string]string{"from": string(from), "to": string(to), "reason": reason})
		pair = overflowPairCounters{requests: scope.Counter("overflow_requests"), bytes: scope.Counter("overflow_bytes")}
		oc.pairs[key] = pair
	}
	pair.requests.Inc(1)
	pair.bytes.Inc(int64(bytes))
}
