package soak

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Mode is what a proxy does with connections.
type Mode int

// The modes.
const (
	// PassThrough relays both ways.
	PassThrough Mode = iota
	// Slow delays what the server sends.
	Slow
	// Blackhole reads and passes on nothing, either way.
	Blackhole
	// ClientToServerOnly passes on what the client sends and withholds what the server sends.
	ClientToServerOnly
	// Resetting resets each connection.
	Resetting
)

const (
	// slowDelay is the delay of one piece by a slow proxy.
	slowDelay = 150 * time.Millisecond
	// modePoll is how often a silent proxy looks whether it still is.
	modePoll  = 20 * time.Millisecond
	pieceSize = 16 << 10 // bytes
)

// Proxy relays TCP connections to a target, and disturbs them.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	// dropped counts the times that the connections of then were dropped.
	dropped int
}

// NewProxy starts a proxy at an address and returns it with a function that stops
// it.
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
		pr.resetAll()
		group.Wait()
	}, nil
}

// Address returns where the proxy listens.
func (pr *Proxy) Address() string { return pr.listener.Addr().String() }

// SetMode changes the mode. Resetting also resets what is connected.
func (pr *Proxy) SetMode(mode Mode) {
	pr.mu.Lock()
	pr.mode = mode
	pr.mu.Unlock()
	if mode == Resetting {
		pr.resetAll()
	}
}

// DropConnections forgets the connections that are open, without notice: each is reset when the
// client sends on it next.
func (pr *Proxy) DropConnections() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.dropped++
}

func (pr *Proxy) drops() int {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.dropped
}

func (pr *Proxy) current() Mode {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.mode
}

func (pr *Proxy) resetAll() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for nc := range pr.conns {
		reset(nc)
	}
}

func reset(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}

func (pr *Proxy) keep(nc net.Conn) func() {
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
	defer pr.keep(client)()
	if pr.current() == Resetting {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", pr.target)
	if err != nil {
		reset(client) // as if the target had refused
		return
	}
	defer pr.keep(server)()
	var group sync.WaitGroup
	since := pr.drops()
	group.Go(func() { pr.relay(server, client, false, since) })
	pr.relay(client, server, true, since)
	group.Wait()
}

// relay passes on pieces until an end is gone, and then ends the other. Since says
// how often connections had been dropped when this one was opened.
func (pr *Proxy) relay(to, from net.Conn, fromServer bool, since int) {
	defer func() { _ = to.Close() }()
	piece := make([]byte, pieceSize)
	for {
		count, err := from.Read(piece)
		if !fromServer && count > 0 && pr.drops() > since {
			reset(from)
			return
		}
		pr.hold(fromServer)
		if _, werr := to.Write(piece[:count]); werr != nil {
			_ = from.Close()
			return
		}
		if err != nil {
			return // the end, or a reset
		}
	}
}

// hold waits as long as the mode withholds a piece.
func (pr *Proxy) hold(fromServer bool) {
	for {
		switch mode := pr.current(); {
		case mode == Slow && fromServer:
			time.Sleep(slowDelay)
			return
		case mode == Blackhole, mode == ClientToServerOnly && fromServer:
			time.Sleep(modePoll)
		default:
			return
		}
	}
}
