// Package tcp wraps TCP connections so that a reader can tell a connection that the peer has
// closed from one that has broken.
package tcp

import (
	"io"
	"net"
	"sync"

	"github.com/juju/errors"
)

// Conn is a TCP connection. The system reports a reset to one call only. If that is a write,
// the reads that follow get io.EOF, as if the peer had sent all that it wanted to send. Those
// of a Conn get the error of the write instead.
type Conn struct {
	net.Conn

	writeMu  sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

// New wraps a connection.
func New(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Read implements net.Conn. At the end of the connection it waits for a write that is under
// way and returns its error, io.EOF if there is none.
func (co *Conn) Read(data []byte) (int, error) {
	count, err := co.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = co.endErr()
	}
	return count, err
}

// endErr returns the error of a read at the end of the connection.
func (co *Conn) endErr() error {
	co.writeMu.Lock()
	defer co.writeMu.Unlock()
	if co.writeErr != nil {
		return co.writeErr
	}
	return io.EOF
}

// Write implements net.Conn.
func (co *Conn) Write(data []byte) (int, error) {
	co.writeMu.Lock()
	defer co.writeMu.Unlock()
	count, err := co.Conn.Write(data)
	co.recordWrite(err)
	return count, err
}

// ReadFrom implements io.ReaderFrom, by which net/http writes long bodies. An error of the
// reader counts as one of the connection.
func (co *Conn) ReadFrom(reader io.Reader) (int64, error) {
	co.writeMu.Lock()
	defer co.writeMu.Unlock()
	count, err := io.Copy(co.Conn, reader)
	co.recordWrite(err)
	return count, err
}

// recordWrite records how a write ended. The caller must hold writeMu.
func (co *Conn) recordWrite(err error) {
	if co.writeErr == nil {
		co.writeErr = err
	}
}
