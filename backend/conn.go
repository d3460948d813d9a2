// Package backend sends requests to backend servers over HTTP/1.1 connections
// that it owns, so that it is always known whether any byte of a request may
// have reached the server. It never sends a request twice by itself.
package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	readBufferSize  = 4 << 10  // bytes
	headerLimit     = 64 << 10 // bytes of an answer's header
	leastInlineBody = 4 << 10  // bytes; longer bodies are written beside the reading
	maxInterim      = 8        // interim answers before the final one
	maxForeign      = 4        // answers to other requests that are skipped
)

// Errors of an exchange.
const (
	// ErrMalformed says that what came was no answer of the protocol.
	ErrMalformed = errors.ConstError("malformed answer")
	// ErrWrongRequest says that only answers to other requests came.
	ErrWrongRequest = errors.ConstError("answers to other requests")
)

// Conn is a connection to a backend server. It serves one request at a time.
type Conn struct {
	net     net.Conn
	raw     syscall.RawConn
	limited *limitedReader
	reader  *bufio.Reader
	address string

	idleSince time.Time
	idleLimit time.Duration
	broken    atomic.Bool // not to be used again
	written   chan error  // of a body that is written beside the reading
}

// limitedReader bounds what may be read until the limit is lifted.
type limitedReader struct {
	reader io.Reader
	left   int64 // negative for no limit
}

// Read implements io.Reader.
func (lr *limitedReader) Read(data []byte) (int, error) {
	if lr.left == 0 {
		return 0, errors.Annotate(ErrMalformed, "header too long")
	}
	if lr.left > 0 && int64(len(data)) > lr.left {
		data = data[:lr.left]
	}
	count, err := lr.reader.Read(data)
	if lr.left > 0 {
		lr.left -= int64(count)
	}
	return count, err
}

// newConn returns a connection that was just opened.
func newConn(nc net.Conn, address string) *Conn {
	co := &Conn{net: nc, address: address, limited: &limitedReader{reader: nc, left: -1}}
	co.reader = bufio.NewReaderSize(co.limited, readBufferSize)
	if sc, ok := nc.(syscall.Conn); ok {
		co.raw, _ = sc.SyscallConn()
	}
	return co
}

// quiet says whether an idle connection is open and nothing unasked came on it.
func (co *Conn) quiet() bool {
	if co.reader.Buffered() > 0 {
		return false
	}
	if co.raw == nil {
		return true
	}
	open := false
	err := co.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// Exchange is a request that was sent, with its answer's header.
type Exchange struct {
	Response *http.Response
	conn     *Conn
	pool     *Pool
	stop     func() bool
	finished bool
}

// Send writes a request and reads the header of its answer. The connection is
// closed when the context ends. Matches says whether an answer belongs to the
// request. The header must come within the patience, unless that is zero. An
// error says nothing about whether the request ran.
func (co *Conn) Send(ctx context.Context, po *Pool, rq *http.Request, body []byte, patience time.Duration, matches func(*http.Response) bool) (*Exchange, error) {
	if patience > 0 {
		_ = co.net.SetReadDeadline(time.Now().Add(patience))
	}
	ex := &Exchange{conn: co, pool: po}
	ex.stop = context.AfterFunc(ctx, func() {
		co.broken.Store(true)
		_ = co.net.Close()
	})
	if err := co.write(rq, body); err != nil {
		ex.Abort()
		return nil, errors.Trace(err)
	}
	response, err := co.read(rq, matches) //nolint:bodyclose // the exchange closes its connection
	if err != nil {
		ex.Abort()
		return nil, errors.Trace(err)
	}
	ex.Response = response
	return ex, nil
}

// write sends the request. A long body is written beside the reading, because a
// server may answer before it has read the whole body.
func (co *Conn) write(rq *http.Request, body []byte) error {
	co.written = nil
	if len(body) < leastInlineBody {
		return errors.Annotate(rq.Write(co.net), "request")
	}
	written := make(chan error, 1)
	co.written = written
	go func() { written <- rq.Write(co.net) }()
	return nil
}

// read returns the header of the answer that matches. Interim answers and
// answers to earlier requests are skipped.
func (co *Conn) read(rq *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	foreign := 0
	for range maxInterim {
		co.limited.left = headerLimit
		response, err := http.ReadResponse(co.reader, rq)
		if err != nil {
			return nil, errors.Annotate(err, "header of the answer")
		}
		co.limited.left = -1
		if response.StatusCode < http.StatusOK {
			continue
		}
		if matches(response) {
			return response, nil
		}
		co.broken.Store(true)
		foreign++
		if foreign > maxForeign || response.Close {
			return nil, errors.Trace(ErrWrongRequest)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Annotate(err, "answer to another request")
		}
	}
	return nil, errors.Trace(ErrWrongRequest)
}

// SetReadDeadline bounds the next reads of the answer; the zero time lifts it.
func (ex *Exchange) SetReadDeadline(at time.Time) error {
	return ex.conn.net.SetReadDeadline(at)
}

// Finish ends an exchange whose answer was read to its end, and keeps the
// connection for others if it may be used again.
func (ex *Exchange) Finish(idle time.Duration) {
	if ex.finished {
		return
	}
	co := ex.conn
	if !ex.stop() || ex.Response.Close || co.broken.Load() || !co.bodySent() || co.reader.Buffered() > 0 {
		ex.Abort()
		return
	}
	ex.finished = true
	_ = co.net.SetReadDeadline(time.Time{})
	ex.pool.put(co, idle)
}

// bodySent says whether the whole request was written.
func (co *Conn) bodySent() bool {
	if co.written == nil {
		return true
	}
	select {
	case err := <-co.written:
		return err == nil
	default:
		return false
	}
}

// Abort closes the connection, which tells the server to stop working.
func (ex *Exchange) Abort() {
	if ex.finished {
		return
	}
	ex.finished = true
	ex.stop()
	ex.pool.drop(ex.conn)
}
