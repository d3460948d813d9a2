package clientlimit

import (
	"container/list"
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// phase is what a connection does.
type phase int

const (
	phaseHeader  phase = iota // no complete request yet, or the next header
	phaseWaiting              // for the next request
	phaseRequest              // a request is in progress
	phaseEnding               // it has been refused, and its body has not arrived
	phaseClosed
)

const (
	// smallHeaderBytes is the size up to which a header is held as Small.
	smallHeaderBytes = 2 << 10
	// readAhead is how much more than a header may be read before it is complete: the
	// buffer of net/http, and what it had read ahead of the end of the last request.
	readAhead = 8 << 10
	// defaultHeaderTimeout is the time for a header from its first byte on.
	defaultHeaderTimeout = 5 * time.Second
	// A deadline is moved at most once in rearmInterval while there is progress, or in the
	// rearmDivisor-th part of the window if that is shorter.
	rearmInterval = time.Second
	rearmDivisor  = 8
)

// headerTooLarge is the response to a header over the configured limit, as net/http has it.
const headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// noRoom is the response to a header for which the budget has no room. The request was not
// run.
const noRoom = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nno room for the request, which was not run"

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	limiter *Limiter
	address netip.Addr
	// encrypted reports that the bytes on the connection are those of TLS.
	encrypted atomic.Bool

	// The fields up to sampled are guarded by limiter.mu.
	phase       phase
	element     *list.Element
	inList      *list.List
	account     Account // connWeight, and the header while it is read
	headerBytes int
	started     bool      // the first byte has been read
	endedAt     time.Time // when phaseEnding began
	sampledAt   time.Time
	sampled     uint64 // bytes that the client had received at sampledAt

	// blockedSince is the time at which a blocked write began, in Unix nanoseconds; zero if
	// none is blocked.

	blockedSince atomic.Int64
	// bodyPending reports that the request in progress has a body that is not whole.
	bodyPending atomic.Bool
	// writeDeadline is the one that the server or a handler has set, in Unix nanoseconds.
	writeDeadline atomic.Int64
	// The fields below belong to the writer; net/http writes from one goroutine at a time.
	armedAt time.Time
}

// SetEncrypted records that the bytes on the connection are those of TLS.
func (co *Conn) SetEncrypted() { co.encrypted.Store(true) }

// Read implements net.Conn. What is read of a header is charged to the budget.
func (co *Conn) Read(data []byte) (int, error) {
	count, err := co.Conn.Read(data)
	if count == 0 {
		return count, err
	}
	if reason := co.chargeHeader(count); reason != "" {
		co.Report(reason)
		co.refuse(reason)
		// net/http sends no response of its own after an error of this type.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errClosed}
	}
	return count, err
}

// refuse responds to a header that is not read to its end. Under TLS, the connection ends
// without a response.
func (co *Conn) refuse(reason Reason) {
	if co.encrypted.Load() {
		return
	}
	response := noRoom
	if reason == ReasonHeaderBytes {
		response = headerTooLarge
	}
	_, _ = io.WriteString(co.Conn, response) // the client may have closed the connection
}

// chargeHeader charges bytes that were read for a header, if one is being read.
func (co *Conn) chargeHeader(count int) Reason {
	li := co.limiter
	li.mu.Lock()
	defer li.mu.Unlock()
	switch co.phase {
	case phaseRequest, phaseEnding, phaseClosed:
		return ""
	case phaseWaiting:
		li.place(co, phaseHeader)
	}
	if !co.started {
		co.started = true
		timeout := defaultHeaderTimeout
		if set := li.configured.get().HeaderTimeout; set > 0 {
			timeout = set
		}
		_ = co.Conn.SetReadDeadline(time.Now().Add(timeout))
	}
	co.headerBytes += count
	limit := li.limits.MaxHeaderBytes
	if set := li.configured.get().MaxHeaderBytes; set > 0 {
		limit = set
	}
	if mp.Bytes(co.headerBytes) > limit+readAhead {
		return ReasonHeaderBytes
	}
	use := Small
	if co.headerBytes > smallHeaderBytes {
		use = Header
	}
	if !co.account.Hold(li.limits.use(use), connWeight+int64(headerExpansion*co.headerBytes)) {
		return ReasonHeaderMemory
	}
	return ""
}

// SetReadDeadline implements net.Conn. The timeouts of the configuration replace those that
// net/http sets for a header and for the wait for the next request.
func (co *Conn) SetReadDeadline(deadline time.Time) error {
	now := time.Now()
	if !deadline.IsZero() && deadline.After(now) {
		co.limiter.mu.Lock()
		phase, started := co.phase, co.started
		co.limiter.mu.Unlock()
		set := co.limiter.configured.get()
		switch {
		case phase == phaseHeader && !started && set.IdleTimeout > 0:
			deadline = now.Add(max(set.IdleTimeout, set.HeaderTimeout))
		case phase == phaseHeader && set.HeaderTimeout > 0:
			deadline = now.Add(set.HeaderTimeout)
		case phase == phaseWaiting && set.IdleTimeout > 0:
			deadline = now.Add(set.IdleTimeout)
		}
	}
	return co.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline implements net.Conn.
func (co *Conn) SetWriteDeadline(deadline time.Time) error {
	nanos := int64(0)
	if !deadline.IsZero() {
		nanos = deadline.UnixNano()
	}
	co.writeDeadline.Store(nanos)
	if nanos == 0 {
		co.armedAt = time.Time{}
	}
	return co.Conn.SetWriteDeadline(deadline)
}

// Write implements net.Conn. It fails once the client has received less than the minimum in
// a window, and at the deadline that was set. Progress is looked at only if a write is still
// blocked after a first window.
func (co *Conn) Write(data []byte) (int, error) {
	total, before, looked := 0, uint64(0), false
	co.arm(time.Now())
	for {
		count, err := co.Conn.Write(data[total:])
		total += count
		if err == nil {
			co.blockedSince.Store(0)
			return total, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || co.isPastWriteDeadline() {
			return total, err
		}
		received, known := receivedBytes(co.Conn)
		if !known || looked && received-before < uint64(co.limiter.limits.MinBytes) {
			co.Report(ReasonSlowReader)
			return total, err
		}
		before, looked, co.armedAt = received, true, time.Time{}
		co.arm(time.Now())
	}
}

// arm begins a window, unless one has just begun.
func (co *Conn) arm(now time.Time) {
	co.blockedSince.CompareAndSwap(0, now.UnixNano())
	pause := rearmPause(co.limiter.limits.Window)
	if now.Sub(co.armedAt) < pause {
		return
	}
	co.armedAt = now
	deadline := now.Add(co.limiter.limits.Window + pause)
	if set := co.writeDeadline.Load(); set != 0 {
		deadline = earlier(deadline, time.Unix(0, set))
	}
	_ = co.Conn.SetWriteDeadline(deadline)
}

// rearmPause returns how long a deadline at the end of a window is left as it is.
func rearmPause(window time.Duration) time.Duration {
	return min(rearmInterval, window/rearmDivisor)
}

func earlier(one, two time.Time) time.Time {
	if two.Before(one) {
		return two
	}
	return one
}

func (co *Conn) isPastWriteDeadline() bool {
	set := co.writeDeadline.Load()
	return set != 0 && time.Now().UnixNano() >= set
}

// CloseWrite closes the writing side, so that the client reads the whole response before the
// connection ends.
func (co *Conn) CloseWrite() error {
	if tc, ok := co.Conn.(interface{ CloseWrite() error }); ok {
		return tc.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (co *Conn) Close() error {
	co.limiter.mu.Lock()
	co.limiter.remove(co)
	co.limiter.mu.Unlock()
	return co.Conn.Close()
}
