package backend

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/mangopaddle/mangopaddle/tcp"
)

const (
	// dialTimeout covers several round trips between regions. A server that
	// doesn't accept by then is unreachable, or its link loses packets.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout closes a connection whose packets are not acknowledged
	// (TCP_USER_TIMEOUT).
	unackedTimeout = 2 * time.Second
	// The TCP keep-alive settings detect a dead connection within about three
	// seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	// defaultIdleTimeout is how long an idle connection is kept if its server
	// doesn't announce a timeout. It is also the upper limit.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutRatio is the fraction of a server's idle timeout after which a
	// connection is no longer used, so that a request doesn't cross with the
	// server closing the connection.
	idleTimeoutRatio = 0.7
	// maxIdlePerServer limits the number of idle connections to one server.
	maxIdlePerServer = 16
)

// Pool keeps idle connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	clock   clockwork.Clock
	dialer  net.Dialer
	buffers *Buffers
	// admit may refuse to open a connection to an address.
	admit func(address string) error

	mu        sync.Mutex
	idle      map[string][]*Conn
	closed    bool
	dialCount int64
}

// Option configures a pool.
type Option func(*Pool)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option {
	return func(po *Pool) { po.clock = clock }
}

// WithBuffers sets the buffers for long response headers; the default is
// defaultBufferLimit bytes of the pool's own.
func WithBuffers(buffers *Buffers) Option {
	return func(po *Pool) { po.buffers = buffers }
}

// WithLocalAddress sets the IP address that connections are opened from; the default is the
// system's choice.
func WithLocalAddress(address netip.Addr) Option {
	return func(po *Pool) { po.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0)) }
}

// WithAdmit sets a function that may refuse to open a connection to an address, by an error. The
// default refuses none.
func WithAdmit(admit func(address string) error) Option {
	return func(po *Pool) { po.admit = admit }
}

// New returns an empty pool and a function that closes its idle connections.
func New(opts ...Option) (*Pool, func()) {
	po := &Pool{clock: clockwork.NewRealClock(), idle: map[string][]*Conn{}, buffers: NewBuffers(defaultBufferLimit)}
	po.admit = func(string) error { return nil }
	po.dialer = net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, address string, rc syscall.RawConn) error {
			if err := po.admit(address); err != nil {
				return errors.Trace(err)
			}
			return rc.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
		},
	}
	for _, opt := range opts {
		opt(po)
	}
	return po, po.close
}

// GetFor is like Get, but never returns a connection on which the server has refused a
// request with the same ID: that response, written once more, would be taken for the one
// to the present request.
func (po *Pool) GetFor(ctx context.Context, id, address string, maxIdleAge time.Duration) (*Conn, error) {
	co, err := po.Get(ctx, address, maxIdleAge)
	if err != nil || !co.HasRefused(id) {
		return co, errors.Trace(err)
	}
	po.drop(co)
	return po.Get(ctx, address, 0)
}

// Get returns an idle connection that was last used less than maxIdleAge ago,
// or else opens a new one. A maxIdleAge of zero always opens a new one. If Get
// returns an error, no byte of the request was sent.
func (po *Pool) Get(ctx context.Context, address string, maxIdleAge time.Duration) (*Conn, error) {
	if co := po.take(address, maxIdleAge); co != nil {
		return co, nil
	}
	started := po.clock.Now()
	nc, err := po.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		po.CloseIdleTo(address)
		return nil, errors.Annotatef(err, "connection to %s", address)
	}
	po.countDial()
	co := newConn(nc, address, po.buffers)
	co.setUpTime = po.clock.Since(started)
	return co, nil
}

// Probe opens a connection to a server and keeps it for later requests. It returns an
// error if it can't connect; a server that has ended refuses the connection.
func (po *Pool) Probe(ctx context.Context, address string) error {
	nc, err := tcp.Probe(ctx, &po.dialer, address)
	if err != nil {
		po.CloseIdleTo(address)
		return errors.Annotatef(err, "connection to %s", address)
	}
	if nc != nil {
		po.countDial()
		po.put(newConn(nc, address, po.buffers), 0)
	}
	return nil
}

// IsBrokenOff reports whether an error of an exchange means that the server closed or
// reset the connection before its response was complete.
func IsBrokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// IsUnacknowledged reports whether an error of an exchange means that the packets to the
// server were not acknowledged in time.
func IsUnacknowledged(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

// IsInterrupted reports whether an error of an exchange means that this host closed the
// connection.
func IsInterrupted(err error) bool { return errors.Is(err, net.ErrClosed) }

// IsRefused reports whether an error of Get or Probe means that nothing listens at the
// address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// take removes and returns the most recently used idle connection. It closes
// those that can't be reused, and returns nil if none is left or the next one
// has been idle for maxIdleAge or longer.
func (po *Pool) take(address string, maxIdleAge time.Duration) *Conn {
	for maxIdleAge > 0 {
		co := po.pop(address)
		if co == nil {
			return nil
		}
		idleAge := po.clock.Now().Sub(co.idleSince)
		if idleAge < co.idleTimeout && co.isReusable() {
			if idleAge < maxIdleAge {
				return co
			}
			po.push(co)
			return nil
		}
		_ = co.net.Close()
	}
	return nil
}

func (po *Pool) pop(address string) *Conn {
	po.mu.Lock()
	defer po.mu.Unlock()
	conns := po.idle[address]
	last := len(conns) - 1
	if last < 0 {
		return nil
	}
	co := conns[last]
	conns[last] = nil
	po.idle[address] = conns[:last]
	return co
}

// push adds an idle connection. It closes the connection instead if its server
// has maxIdlePerServer idle ones or the pool is closed.
func (po *Pool) push(co *Conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.closed || len(po.idle[co.address]) >= maxIdlePerServer {
		_ = co.net.Close()
		return
	}
	po.idle[co.address] = append(po.idle[co.address], co)
}

// put returns a connection to the pool after an exchange. The server's idle
// timeout is zero if it is unknown.
func (po *Pool) put(co *Conn, serverIdleTimeout time.Duration) {
	co.header.reservation.Release()
	limit := defaultIdleTimeout
	if serverIdleTimeout > 0 {
		limit = min(limit, time.Duration(float64(serverIdleTimeout)*idleTimeoutRatio))
	}
	co.idleTimeout = limit
	co.idleSince = po.clock.Now()
	co.bodyWritten = nil
	po.push(co)
}

func (po *Pool) drop(co *Conn) {
	co.header.reservation.Release()
	co.broken.Store(true)
	_ = co.net.Close()
}

// Prune closes connections that were idle for longer than their idle timeout.
func (po *Pool) Prune() {
	po.mu.Lock()
	defer po.mu.Unlock()
	now := po.clock.Now()
	for address, conns := range po.idle {
		kept := conns[:0]
		for _, co := range conns {
			if now.Sub(co.idleSince) < co.idleTimeout {
				kept = append(kept, co)
				continue
			}
			_ = co.net.Close()
		}
		clear(conns[len(kept):])
		po.idle[address] = kept
		if len(kept) == 0 {
			delete(po.idle, address)
		}
	}
}

// CloseIdle closes all idle connections, for use when they may be dead.
func (po *Pool) CloseIdle() {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, conns := range po.idle {
		for _, co := range conns {
			_ = co.net.Close()
		}
	}
	clear(po.idle)
}

// CloseIdleTo closes the idle connections to a server that can't be reached or is about to
// stop.
func (po *Pool) CloseIdleTo(address string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, co := range po.idle[address] {
		_ = co.net.Close()
	}
	delete(po.idle, address)
}

// countDial counts a connection that was opened.
func (po *Pool) countDial() {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.dialCount++
}

// DialCount returns the number of connections opened so far.
func (po *Pool) DialCount() int64 {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.dialCount
}

func (po *Pool) close() {
	po.CloseIdle()
	po.mu.Lock()
	po.closed = true
	po.mu.Unlock()
}
