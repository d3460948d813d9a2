package peer

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// writeChunkBytes is how much is written at once, so that a slow link is told from a
	// dead one.
	writeChunkBytes = 16 << 10
	// maxMessageBytes bounds what is read of one connection: several times the size of a
	// configuration and a list of 10,000 servers. A connection that sends more can't
	// exhaust the host's memory.
	maxMessageBytes = 8 << 20
	// smallMessageBytes is what may be read of an incoming connection at any time: digests
	// and requests are far smaller. Only a list of servers takes more, of which one at a
	// time is read, because all connections together would hold more than a small host has.
	smallMessageBytes = 64 << 10
)

// errLargeMessage is the error of an incoming connection whose message is large while
// another one is read. The other host sends it again with its next exchange.
const errLargeMessage = errors.ConstError("another large message is being read")

// Traffic is what was sent and received on a connection.
type Traffic struct {
	Sent, Received mp.Bytes
}

// peerConn is a connection to another host. Reads and writes on it fail once nothing has
// been transferred for the stall timeout, and when more than maxMessageBytes are read.
type peerConn struct {
	net.Conn
	reader         io.Reader
	stallTimeout   time.Duration
	sent, received atomic.Int64
	// large has room for the connections that may read a large message; nil if each may.
	large chan struct{}

	mu                  sync.Mutex
	holdsRoom, released bool // room in large
}

func newPeerConn(nc net.Conn, stallTimeout time.Duration) *peerConn {
	pc := &peerConn{Conn: nc, reader: io.LimitReader(nc, maxMessageBytes), stallTimeout: stallTimeout}
	pc.extend()
	return pc
}

// newIncomingConn returns an incoming connection. It must be released.
func newIncomingConn(nc net.Conn, stallTimeout time.Duration, large chan struct{}) *peerConn {
	pc := newPeerConn(nc, stallTimeout)
	pc.large = large
	return pc
}

// release gives the room for a large message back. The connection must be closed.
func (pc *peerConn) release() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.released = true
	if pc.holdsRoom {
		<-pc.large
	}
}

// admitLarge reports whether more may be read, and takes the room for a large message.
func (pc *peerConn) admitLarge() bool {
	if pc.large == nil || pc.received.Load() < smallMessageBytes {
		return true
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.holdsRoom || pc.released {
		return pc.holdsRoom
	}
	select {
	case pc.large <- struct{}{}:
		pc.holdsRoom = true
	default:
	}
	return pc.holdsRoom
}

// extend restarts the stall timeout. It has no effect on a closed connection, on which
// the next read or write fails.
func (pc *peerConn) extend() { _ = pc.SetDeadline(time.Now().Add(pc.stallTimeout)) }

// Read implements io.Reader.
func (pc *peerConn) Read(data []byte) (int, error) {
	if !pc.admitLarge() {
		return 0, errLargeMessage
	}
	count, err := pc.reader.Read(data)
	pc.received.Add(int64(count))
	if count > 0 {
		pc.extend()
	}
	return count, err
}

// Write implements io.Writer.
func (pc *peerConn) Write(data []byte) (int, error) {
	written := 0
	for chunk := range slices.Chunk(data, writeChunkBytes) {
		pc.extend()
		count, err := pc.Conn.Write(chunk)
		pc.sent.Add(int64(count))
		written += count
		if err != nil {
			return written, err
		}
	}
	pc.extend()
	return written, nil
}

func (pc *peerConn) traffic() Traffic {
	return Traffic{Sent: mp.Bytes(pc.sent.Load()), Received: mp.Bytes(pc.received.Load())}
}

// objectStream returns the messages on the connection.
func (pc *peerConn) objectStream() jsonrpc2.ObjectStream {
	return jsonrpc2.NewPlainObjectStream(pc)
}

// protocolLog logs what the JSON-RPC library reports. A broken connection is also
// reported by the host that opened it.
type protocolLog struct{ logger zerolog.Logger }

// Printf implements jsonrpc2.Logger.
func (pl protocolLog) Printf(format string, args ...any) {
	pl.logger.Debug().Str("event", "peer_protocol").Msgf(format, args...)
}
