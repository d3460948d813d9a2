// Package tcp wraps TCP connections so that a reader can tell a connection that the peer has
// closed from one that has broken.
package tcp

import (
	"cmp"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Conn is a TCP connection. The system reports a reset to one call only. If that is a write or
// a peek, the reads that follow get io.EOF, as if the peer had sent all that it wanted to send.
// Those of a Conn get the error of that call instead.
type Conn struct {
	net.Conn
	raw syscall.RawConn // nil if the connection has no file descriptor

	writeMu  sync.Mutex // held during a write
	writeErr error      // of the first write that failed

	peekMu  sync.Mutex // held during a peek
	peekErr error      // of the first peek that failed
}

// New wraps a connection.
func New(nc net.Conn) *Conn {
	co := &Conn{Conn: nc}
	if sc, ok := nc.(syscall.Conn); ok {
		co.raw, _ = sc.SyscallConn() // fails if the connection is closed
	}
	return co
}

// Read implements net.Conn. At the end of the connection it waits for a write that is under
// way. It returns the error of a write or a peek that has failed, io.EOF if none has.
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
	co.peekMu.Lock()
	defer co.peekMu.Unlock()
	return cmp.Or(co.writeErr, co.peekErr, io.EOF)
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

// HasUnread reports whether the peer has sent bytes that were not read yet. It may be called
// while the connection is read or written.
func (co *Conn) HasUnread() bool {
	count, err := co.peek()
	return err == nil && count > 0
}

// IsIdle reports whether the connection is open and the peer has sent no bytes that were not
// read yet.
func (co *Conn) IsIdle() bool {
	_, err := co.peek()
	return errors.Is(err, unix.EAGAIN)
}

// peek looks at the next byte without waiting for it. It returns the number of bytes, zero at
// the end of the connection, or EAGAIN if there is none yet.
func (co *Conn) peek() (int, error) {
	if co.raw == nil {
		return 0, unix.EAGAIN
	}
	co.peekMu.Lock()
	defer co.peekMu.Unlock()
	var peeked struct {
		count int
		err   error
	}
	err := co.raw.Control(func(fd uintptr) {
		var buf [1]byte
		peeked.count, _, peeked.err = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err // the connection is closed
	}
	if peeked.err != nil && !errors.Is(peeked.err, unix.EAGAIN) && co.peekErr == nil {
		co.peekErr = os.NewSyscallError("recvfrom", peeked.err)
	}
	return peeked.count, peeked.err
}
