package clientlimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Limiter bounds the connections and requests of one listener. It is safe for concurrent
// use.
type Limiter struct {
	limits     Limits
	budget     *Budget
	reporter   *Reporter
	configured configured
	uploads    *uploads

	mu sync.Mutex
	// conns holds all connections; waiting, incomplete and ending those in these
	// phases, the oldest first.
	conns      map[*Conn]struct{}
	waiting    *list.List
	incomplete *list.List
	ending     *list.List
	byAddress  map[netip.Addr]int
	requests   int
	lookedAt   time.Time // when blocked connections were looked at last
}

// New returns a limiter that charges a budget. Limiters of one host share the budget and
// the reporter.
func New(limits Limits, budget *Budget, reporter *Reporter) *Limiter {
	return &Limiter{
		limits: limits, budget: budget, reporter: reporter, uploads: newUploads(),
		conns: map[*Conn]struct{}{}, waiting: list.New(), incomplete: list.New(), ending: list.New(), byAddress: map[netip.Addr]int{},
	}
}

// Configure sets the limits of the operator's configuration. They hold from the next
// header on.
func (li *Limiter) Configure(co Configured) { li.configured.Store(&co) }

// ConnectionCount returns the number of open connections.
func (li *Limiter) ConnectionCount() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return len(li.conns)
}

// Listener returns a listener whose connections are bounded.
func (li *Limiter) Listener(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: li}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (ll *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := ll.Listener.Accept()
		if err != nil {
			return nil, err // net/http looks at its type
		}
		if conn := ll.limiter.admit(nc); conn != nil {
			return conn, nil
		}
		_ = nc.Close()
	}
}

// admit tracks a new connection, after closing another one if there are too many. It
// returns nil if the new one has to be closed.
func (li *Limiter) admit(nc net.Conn) *Conn {
	address := addressOf(nc)
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.byAddress[address] >= li.limits.ConnectionsPerAddress && !li.closeOne(ReasonAddress, func(co *Conn) bool { return co.address == address }) {
		li.reporter.Report(ReasonAddress, address)
		return nil
	}
	if li.incomplete.Len() >= li.limits.Incomplete {
		li.closeOldest(li.incomplete, ReasonIncomplete, anyConn)
	}
	if len(li.conns) >= li.limits.Connections && !li.closeOne(ReasonConnections, anyConn) {
		li.reporter.Report(ReasonConnections, address)
		return nil
	}
	co := &Conn{Conn: nc, limiter: li, address: address, account: li.budget.Open()}
	_ = co.account.Hold(li.limits.use(Small), connWeight) // the number of connections keeps within the budget
	li.conns[co] = struct{}{}
	li.byAddress[address]++
	li.place(co, phaseHeader)
	return co
}

func anyConn(*Conn) bool { return true }

// closeOne closes the connection whose refused body has been stuck for longest, or the oldest
// one without a complete request, or the one that has waited longest for the next one.
// Connections with a request in progress are left; a body that is stuck is given up instead,
// and makes room later. It reports whether a connection was closed. The caller must hold mu.
func (li *Limiter) closeOne(reason Reason, matches func(*Conn) bool) bool {
	stuckBefore := time.Now().Add(-li.limits.StuckAfter)
	isStuck := func(co *Conn) bool { return co.endedAt.Before(stuckBefore) && matches(co) }
	if li.closeOldest(li.ending, reason, isStuck) || li.closeOldest(li.incomplete, reason, matches) || li.closeOldest(li.waiting, reason, matches) {
		return true
	}
	li.evictUpload(nil)
	return false
}

func (li *Limiter) closeOldest(conns *list.List, reason Reason, matches func(*Conn) bool) bool {
	for el := conns.Front(); el != nil; el = el.Next() {
		co := el.Value.(*Conn)
		if !matches(co) {
			continue
		}
		li.remove(co)
		li.reporter.Report(reason, co.address)
		_ = co.Conn.Close()
		return true
	}
	return false
}

// place moves a connection into the list of its phase. The caller must hold mu.
func (li *Limiter) place(co *Conn, phase phase) {
	if co.element != nil {
		co.inList.Remove(co.element)
		co.element, co.inList = nil, nil
	}
	co.phase = phase
	switch phase {
	case phaseHeader:
		co.inList = li.incomplete
	case phaseWaiting:
		co.inList = li.waiting
	case phaseEnding:
		co.inList, co.endedAt = li.ending, time.Now()
	default:
		return
	}
	co.element = co.inList.PushBack(co)
}

// remove forgets a connection. The caller must hold mu.
func (li *Limiter) remove(co *Conn) {
	if _, ok := li.conns[co]; !ok {
		return
	}
	delete(li.conns, co)
	li.place(co, phaseClosed)
	if li.byAddress[co.address]--; li.byAddress[co.address] == 0 {
		delete(li.byAddress, co.address)
	}
	co.account.Release()
}

// setPhase records the phase of a connection that is still tracked.
func (li *Limiter) setPhase(co *Conn, phase phase) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if _, ok := li.conns[co]; ok {
		li.place(co, phase)
	}
}

// SetWaiting records that a connection waits for its next request.
func (co *Conn) SetWaiting() { co.limiter.setPhase(co, phaseWaiting) }

// Request is a request in progress.
type Request struct {
	conn    *Conn
	account Account
}

// BeginRequest records that the header of a request is complete. It returns an empty reason
// if the request can be served; End must be called in any case. A body that no handler reads
// must arrive within the window: net/http reads some of it after the handler, without a
// deadline of its own.
func (co *Conn) BeginRequest(received *http.Request) (*Request, Reason) {
	li := co.limiter
	rq := &Request{conn: co, account: li.budget.Open()}
	co.bodyPending.Store(received.ContentLength != 0)
	if received.ContentLength != 0 {
		_ = co.Conn.SetReadDeadline(time.Now().Add(max(li.limits.Window, li.configured.get().IdleTimeout)))
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	li.requests++
	if _, ok := li.conns[co]; ok {
		li.place(co, phaseRequest)
		co.headerBytes = 0
		co.account.Shrink(connWeight)
	}
	weight, use := requestWeight+headerWeight(received.Header), Small
	if weight > 2*requestWeight {
		use = Header
	}
	switch {
	case li.requests > li.limits.Requests:
		li.makeRoom()
		return rq, ReasonRequests
	case !rq.account.Hold(li.limits.use(use), int64(weight)):
		li.makeRoom()
		return rq, ReasonRequestMemory
	}
	return rq, ""
}

// headerWeight returns what a header holds in memory.
func headerWeight(header http.Header) int {
	weight := 0
	for name, values := range header {
		weight += fieldWeight + 2*len(name)
		for _, value := range values {
			weight += 2 * (len(value) + 16)
		}
	}
	return weight
}

// End records the end of the request.
func (rq *Request) End() {
	li := rq.conn.limiter
	rq.account.Release()
	li.mu.Lock()
	defer li.mu.Unlock()
	li.requests--
	if _, ok := li.conns[rq.conn]; ok && rq.conn.bodyPending.Load() {
		li.place(rq.conn, phaseEnding) // net/http reads some of the rest of the body
	}
}

// makeRoom gives up a stuck body and a stuck answer, if there are any. The caller must hold
// mu.
func (li *Limiter) makeRoom() {
	li.evictUpload(nil)
	li.closeBlocked()
}

// closeBlocked closes a connection whose answer or stream is not being read: its write is
// blocked, and the client has received nothing for StuckAfter. Progress is looked at while
// requests are refused only. The caller must hold mu.
func (li *Limiter) closeBlocked() {
	now := time.Now()
	if now.Sub(li.lookedAt) < rearmInterval {
		return
	}
	li.lookedAt = now
	var stuck *Conn
	for co := range li.conns {
		if co.isStuck(now) && (stuck == nil || co.sampledAt.Before(stuck.sampledAt)) {
			stuck = co
		}
	}
	if stuck != nil {
		li.remove(stuck)
		li.reporter.Report(ReasonSlowReader, stuck.address)
		_ = stuck.Conn.Close()
	}
}

// isStuck reports whether a write is blocked and the client has received nothing for
// StuckAfter. The caller must hold limiter.mu.
func (co *Conn) isStuck(now time.Time) bool {
	since := co.blockedSince.Load()
	if since == 0 || now.UnixNano()-since < int64(rearmInterval) {
		co.sampledAt = time.Time{}
		return false
	}
	received, ok := receivedBytes(co.Conn)
	if co.sampledAt.IsZero() || received != co.sampled || !ok {
		co.sampledAt, co.sampled = now, received
		return false
	}
	return now.Sub(co.sampledAt) >= co.limiter.limits.StuckAfter
}

// Report counts and logs a refused request.
func (co *Conn) Report(reason Reason) { co.limiter.reporter.Report(reason, co.address) }

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// WithConn returns a context with the connection, for requests on it.
func WithConn(ctx context.Context, co *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, co)
}

// ConnOf returns the connection of a request, or nil if its listener has no limiter.
func ConnOf(ctx context.Context) *Conn {
	co, _ := ctx.Value(connKey{}).(*Conn)
	return co
}

// addressOf returns the address of a client without its port. All addresses of a network of
// 64 bits of IPv6 count as one.
func addressOf(nc net.Conn) netip.Addr {
	ap, err := netip.ParseAddrPort(nc.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	address := ap.Addr().Unmap().WithZone("")
	if address.Is6() {
		if prefix, err := address.Prefix(64); err == nil {
			return prefix.Addr()
		}
	}
	return address
}

// errClosed is the error of a read or write on a connection that a limit has closed.
const errClosed = errors.ConstError("connection closed by a limit")
