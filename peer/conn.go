package peer

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

	mp "github.com/mangopaddle/mangopaddle"
)

// Traffic is what an exchange sent and received.
type Traffic struct {
	Sent, Received mp.Bytes
}

// meteredConn is a connection that counts its bytes, and of which at most
// maxExchangeBytes can be read.
type meteredConn struct {
	net.Conn
	reader         io.Reader
	sent, received atomic.Int64
}

func newMeteredConn(nc net.Conn) *meteredConn {
	return &meteredConn{Conn: nc, reader: io.LimitReader(nc, maxExchangeBytes)}
}

// Read implements io.Reader.
func (mc *meteredConn) Read(data []byte) (int, error) {
	count, err := mc.reader.Read(data)
	mc.received.Add(int64(count))
	return count, err
}

// Write implements io.Writer.
func (mc *meteredConn) Write(data []byte) (int, error) {
	count, err := mc.Conn.Write(data)
	mc.sent.Add(int64(count))
	return count, err
}

func (mc *meteredConn) traffic() Traffic {
	return Traffic{Sent: mp.Bytes(mc.sent.Load()), Received: mp.Bytes(mc.received.Load())}
}

// objectStream returns the messages on the connection.
func (mc *meteredConn) objectStream() jsonrpc2.ObjectStream {
	return jsonrpc2.NewPlainObjectStream(mc)
}
