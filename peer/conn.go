package peer

import (
	"io"
	"net"
	"slices"
	"sync/atomic"
	"time"

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
)

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
}

func newPeerConn(nc net.Conn, stallTimeout time.Duration) *peerConn {
	pc := &peerConn{Conn: nc, reader: io.LimitReader(nc, maxMessageBytes), stallTimeout: stallTimeout}
	pc.extend()
	return pc
}

// extend restarts the stall timeout. It has no effect on a closed connection, on which
// the next read or write fails.
func (pc *peerConn) extend() { _ = pc.SetDeadline(time.Now().Add(pc.stallTimeout)) }

// Read implements io.Reader.
func (pc *peerConn) Read(data []byte) (int, error) {
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
