package soak

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ProxyMode is what a proxy does with its connections.
type ProxyMode int

// Modes of a proxy.
const (
	// PassThrough relays data in both directions.
	PassThrough ProxyMode = iota
	// Slow delays the data that the server sends.
	Slow
	// Blackhole keeps connections open and withholds the data in both
	// directions.
	Blackhole
	// ClientToServerOnly relays what the client sends and withholds what the
	// server sends.
	ClientToServerOnly
	// Resetting resets each connection.
	Resetting
)

const (
	// slowDelay is the delay of one chunk of data in the Slow mode.
	slowDelay = 150 * time.Millisecond
	// pollInterval is how often a proxy that withholds data checks whether its
	// mode has changed, and how often a starting host is checked for readiness.
	pollInterval = 20 * time.Millisecond
	bufferBytes  = 16 << 10
)

// Proxy relays TCP connections to a target and injects network faults. It is
// safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  ProxyMode
	conns map[net.Conn]bool
	// dropGeneration is incremented by each DropConnections; connections of an
	// earlier generation are dropped.
	dropGeneration int
}

// NewProxy starts a proxy that listens on an address, and returns it with a
// function that stops it. It returns an error if it can't listen on the address.
func NewProxy(address, target string) (*Proxy, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Annotate(err, "proxy")
	}
	pr := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return // the proxy was stopped
			}
			group.Go(func() { pr.serve(client) })
		}
	})
	return pr, func() {
		_ = listener.Close()
		pr.resetConns()
		group.Wait()
	}, nil
}

// Address returns the address on which the proxy listens.
func (pr *Proxy) Address() string { return pr.listener.Addr().String() }

// SetMode changes the mode. Resetting also resets the connections that are
// open.
func (pr *Proxy) SetMode(mode ProxyMode) {
	pr.mu.Lock()
	pr.mode = mode
	pr.mu.Unlock()
	if mode == Resetting {
		pr.resetConns()
	}
}

// DropConnections drops the open connections silently, as a NAT or firewall
// does: each is reset when the client next sends data on it.
func (pr *Proxy) DropConnections() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.dropGeneration++
}

func (pr *Proxy) currentGeneration() int {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.dropGeneration
}

func (pr *Proxy) currentMode() ProxyMode {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.mode
}

func (pr *Proxy) resetConns() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for nc := range pr.conns {
		reset(nc)
	}
}

// reset closes a connection with a TCP reset.
func reset(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}

// track registers a connection, and returns a function that removes and closes it.
func (pr *Proxy) track(nc net.Conn) func() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.conns[nc] = true
	return func() {
		pr.mu.Lock()
		delete(pr.conns, nc)
		pr.mu.Unlock()
		_ = nc.Close()
	}
}

func (pr *Proxy) serve(client net.Conn) {
	defer pr.track(client)()
	if pr.currentMode() == Resetting {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", pr.target)
	if err != nil {
		reset(client) // as if the target had refused the connection
		return
	}
	defer pr.track(server)()
	var group sync.WaitGroup
	generation := pr.currentGeneration()
	group.Go(func() { pr.relay(server, client, false, generation) })
	pr.relay(client, server, true, generation)
	group.Wait()
}

// relay copies data until one side closes, and then closes the other. generation
// is the value of dropGeneration when the connection was opened.
func (pr *Proxy) relay(to, from net.Conn, fromServer bool, generation int) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buf)
		if !fromServer && count > 0 && pr.currentGeneration() > generation {
			reset(from)
			return
		}
		pr.delayForMode(fromServer)
		if _, werr := to.Write(buf[:count]); werr != nil {
			_ = from.Close()
			return
		}
		if err != nil {
			return // closed or reset
		}
	}
}

// delayForMode blocks for as long as the mode delays or withholds a chunk of
// data.
func (pr *Proxy) delayForMode(fromServer bool) {
	for {
		switch mode := pr.currentMode(); {
		case mode == Slow && fromServer:
			time.Sleep(slowDelay)
			return
		case mode == Blackhole, mode == ClientToServerOnly && fromServer:
			time.Sleep(pollInterval)
		default:
			return
		}
	}
}
