package clientlimit

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Reason is why a client was refused or its connection was closed.
type Reason string

// The reasons.
const (
	// ReasonConnections: too many connections; an idle or stuck one, or the new one.
	ReasonConnections Reason = "connections"
	// ReasonAddress: too many connections of one client address.
	ReasonAddress Reason = "connections_of_address"
	// ReasonIncomplete: too many connections without a complete request.
	ReasonIncomplete Reason = "incomplete"
	// ReasonRequests: too many requests in progress.
	ReasonRequests Reason = "requests"
	// ReasonHeaderMemory, ReasonRequestMemory and ReasonBodyMemory: the budget has no room.
	ReasonHeaderMemory  Reason = "header_memory"
	ReasonRequestMemory Reason = "request_memory"
	ReasonBodyMemory    Reason = "body_memory"
	// ReasonHeaderBytes: the header is over the configured limit.
	ReasonHeaderBytes Reason = "header_bytes"
	// ReasonStuckBody: a body without progress made room for others.
	ReasonStuckBody Reason = "stuck_body"
	// ReasonSlowSender and ReasonSlowReader: too little progress in the window.
	ReasonSlowSender Reason = "slow_sender"
	ReasonSlowReader Reason = "slow_reader"
	// ReasonStranger is a connection to a listener for hosts from an address of no known host.
	ReasonStranger Reason = "stranger"
)

// reportInterval is the minimum time between two log lines of one reason.
const reportInterval = time.Second

// Reporter counts and logs refused clients and closed connections. It is safe for
// concurrent use.
type Reporter struct {
	logger zerolog.Logger
	scope  tally.Scope

	mu      sync.Mutex
	reasons map[Reason]*reasonState
}

// reasonState is the counter of a reason and its last log line.
type reasonState struct {
	counter tally.Counter
	count   atomic.Int64
	logged  time.Time
}

// NewReporter returns a reporter with a logger and the scope of its counters.
func NewReporter(logger zerolog.Logger, scope tally.Scope) *Reporter {
	return &Reporter{logger: logger, scope: scope, reasons: map[Reason]*reasonState{}}
}

// Report counts a client and logs its address, at most one line a second for each reason.
func (re *Reporter) Report(reason Reason, client netip.Addr) {
	re.mu.Lock()
	defer re.mu.Unlock()
	st, ok := re.reasons[reason]
	if !ok {
		st = &reasonState{counter: re.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("clients_limited")}
		re.reasons[reason] = st
	}
	st.counter.Inc(1)
	count := st.count.Add(1)
	now := time.Now()
	if now.Sub(st.logged) < reportInterval {
		return
	}
	st.logged = now
	re.logger.Warn().Str("event", "client_limited").Str("reason", string(reason)).Stringer("client", client).
		Int64("count", count).Msg("client refused or its connection closed by a limit")
}

// Count returns how many clients a reason has met.
func (re *Reporter) Count(reason Reason) int64 {
	re.mu.Lock()
	defer re.mu.Unlock()
	if st, ok := re.reasons[reason]; ok {
		return st.count.Load()
	}
	return 0
}
