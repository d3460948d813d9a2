package backend

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// defaultDialTimeout is several round trips between regions. A server that
	// doesn't answer by then is unreachable, or its link loses packets.
	defaultDialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose packets are not acknowledged.
	unackedTimeout = 2 * time.Second
	// keepAliveIdle and the two below find a silent connection within about three
	// seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	// defaultIdle is how long an idle connection is kept if its server doesn't
	// say.
	defaultIdle = 4 * time.Second
	// idlePart is the part of a server's idle timeout after which a connection is
	// not used again: a request must not cross its closing.
	idlePart = 0.7
	// maxIdle bounds the idle connections to one server.
	maxIdle = 16
)

// Pool keeps idle connections to backend servers.
type Pool struct {
	clock  clockwork.Clock
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*Conn
	closed bool
	dialed int64
}

// Option changes a pool under construction.
type Option func(*Pool)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(po *Pool) { po.clock = clock }
}

// New returns an empty pool and a function that closes its idle connections.
func New(opts ...Option) (*Pool, func()) {
	po := &Pool{clock: clockwork.NewRealClock(), idle: map[string][]*Conn{}}
	po.dialer = net.Dialer{
		Timeout: defaultDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, rc syscall.RawConn) error {
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

// Get returns an idle connection that was used less than the longest idle time
// ago, or a new one. Zero asks for a new one. An error means that no byte was
// sent.
func (po *Pool) Get(ctx context.Context, address string, longestIdle time.Duration) (*Conn, error) {
	if co := po.take(address, longestIdle); co != nil {
		return co, nil
	}
	nc, err := po.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		po.forget(address)
		return nil, errors.Annotatef(err, "connection to %s", address)
	}
	po.mu.Lock()
	po.dialed++
	po.mu.Unlock()
	return newConn(nc, address), nil
}

// take removes the idle connection that was used last, if it may be used.
func (po *Pool) take(address string, longestIdle time.Duration) *Conn {
	for longestIdle > 0 {
		co := po.pop(address)
		if co == nil {
			return nil
		}
		idle := po.clock.Now().Sub(co.idleSince)
		if idle < co.idleLimit && co.quiet() {
			if idle < longestIdle {
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

// push keeps an idle connection, or closes it if there is no room.
func (po *Pool) push(co *Conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.closed || len(po.idle[co.address]) >= maxIdle {
		_ = co.net.Close()
		return
	}
	po.idle[co.address] = append(po.idle[co.address], co)
}

// put keeps a connection after an exchange. The server's idle timeout is zero
// if it is unknown.
func (po *Pool) put(co *Conn, timeout time.Duration) {
	limit := defaultIdle
	if timeout > 0 {
		limit = min(limit, time.Duration(float64(timeout)*idlePart))
	}
	co.idleLimit = limit
	co.idleSince = po.clock.Now()
	co.written = nil
	po.push(co)
}

func (po *Pool) drop(co *Conn) {
	co.broken.Store(true)
	_ = co.net.Close()
}

// Prune closes connections that were idle for too long.
func (po *Pool) Prune() {
	po.mu.Lock()
	defer po.mu.Unlock()
	now := po.clock.Now()
	for address, conns := range po.idle {
		kept := conns[:0]
		for _, co := range conns {
			if now.Sub(co.idleSince) < co.idleLimit {
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

// CloseIdle closes all idle connections, for when they may be dead.
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

// forget closes the idle connections to a server that can't be reached.
func (po *Pool) forget(address string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, co := range po.idle[address] {
		_ = co.net.Close()
	}
	delete(po.idle, address)
}

// DialCount counts the connections that were opened.
func (po *Pool) DialCount() int64 {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.dialed
}

func (po *Pool) close() {
	po.CloseIdle()
	po.mu.Lock()
	po.closed = true
	po.mu.Unlock()
}
