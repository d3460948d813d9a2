// Package backend sends requests to backend servers over HTTP/1.1 connections
// that it manages itself, so that it is always certain whether any byte of a
// request may have reached the server. It never retries a request.
package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/http1"
	"github.com/mangopaddle/mangopaddle/tcp"
)

const (
	readBufferBytes       = 4 << 10
	minAsyncBodyBytes     = 4 << 10 // longer bodies are written concurrently with reading
	maxResponses          = 8       // responses read for one request, with interim (1xx) and skipped ones
	maxUnrelatedResponses = 4       // responses to other requests that are skipped
	// maxUnrelatedBytes is the longest body of a response to another request that
	// is skipped.
	maxUnrelatedBytes = 256 << 10
	// maxRefused is the number of refused requests after which a connection is closed.
	maxRefused = 64
)

// ErrNoMatchingResponse reports that only interim responses or responses to other requests
// arrived. Callers may get its text, which calls a response an answer.
const ErrNoMatchingResponse = errors.ConstError("answers to other requests")

// Conn is a connection to a backend server. It carries one request at a time.
type Conn struct {
	net     *tcp.Conn
	header  *headerReader
	reader  *bufio.Reader // of header
	address string
	// setUpTime is how long the connection took to open; zero once it was taken.
	setUpTime time.Duration

	idleSince   time.Time
	idleTimeout time.Duration
	exchanges   int         // requests sent so far
	refused     []string    // IDs of requests that the server refused on this connection
	broken      atomic.Bool // must not be reused
	bodyWritten chan error  // result of writing a long body concurrently
}

// newConn wraps a connection that was just opened.
func newConn(nc net.Conn, address string, buffers *Buffers) *Conn {
	tc := tcp.New(nc)
	co := &Conn{net: tc, address: address, header: newHeaderReader(tc, buffers)}
	co.reader = bufio.NewReaderSize(co.header, readBufferBytes)
	return co
}

// isReusable reports whether an idle connection is still open and has received
// no unsolicited data.
func (co *Conn) isReusable() bool { return co.reader.Buffered() == 0 && co.net.IsIdle() }

// HasUnread reports whether the server has sent bytes that were not read yet. It may be
// called while the connection is being read.
func (co *Conn) HasUnread() bool { return co.net.HasUnread() }

// TakeSetUpTime returns how long the connection took to open, which is one round trip, and zero
// when it is called again.
func (co *Conn) TakeSetUpTime() time.Duration {
	took := co.setUpTime
	co.setUpTime = 0
	return took
}

// Reused reports whether the connection has carried an earlier request, a late
// response to which may arrive in place of the one to the present request.
func (co *Conn) Reused() bool { return co.exchanges > 1 }

// HasRefused reports whether the server has refused a request with an ID on the
// connection. It may write that response once more.
func (co *Conn) HasRefused(id string) bool { return slices.Contains(co.refused, id) }

// Exchange is a request that was sent, with its response. It must be ended with
// Finish or Abort.
type Exchange struct {
	// Response is the response, of which only the header has been read.
	Response *http.Response
	conn     *Conn
	pool     *Pool
	body     *bodyReader
	stop     func() bool // detaches the exchange from its context; false if that has ended
	finished bool
	// endsWithConnection reports that the response has neither a length nor chunks.
	endsWithConnection bool
}

// bodyReader reads the body of a response and remembers whether it was read to its end.
type bodyReader struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (br *bodyReader) Read(data []byte) (int, error) {
	count, err := br.ReadCloser.Read(data)
	br.ended = br.ended || err == io.EOF
	return count, err
}

// Send writes a request and reads the header of its response. The connection is
// closed when the context ends. The function matches reports whether a response
// belongs to the request. After an error, the server may or may not have run the request.
func (co *Conn) Send(ctx context.Context, po *Pool, rq *http.Request, body []byte, matches func(*http.Response) bool) (*Exchange, error) {
	co.exchanges++
	ex := &Exchange{conn: co, pool: po}
	ex.stop = context.AfterFunc(ctx, co.Interrupt)
	if err := co.write(rq, body); err != nil {
		ex.Abort()
		return nil, errors.Trace(err)
	}
	response, err := co.read(rq, matches) //nolint:bodyclose // the exchange closes its connection
	if err != nil {
		ex.Abort()
		return nil, errors.Trace(err)
	}
	ex.endsWithConnection = http1.EndsWithConnection(response)
	ex.body = &bodyReader{ReadCloser: response.Body, ended: response.Body == http.NoBody}
	response.Body = ex.body
	ex.Response = response
	return ex, nil
}

// write sends the request. A long body is written concurrently with reading the
// response, because a server may respond before it has read the whole body.
func (co *Conn) write(rq *http.Request, body []byte) error {
	co.bodyWritten = nil
	if len(body) < minAsyncBodyBytes {
		return errors.Annotate(rq.Write(co.net), "request")
	}
	bodyWritten := make(chan error, 1)
	co.bodyWritten = bodyWritten
	go func() { bodyWritten <- rq.Write(co.net) }()
	return nil
}

// read returns the matching response, of which it has read the header. It skips
// interim responses and responses to other requests. A malformed response of either kind is
// an error, because it is uncertain where the next one begins.
func (co *Conn) read(rq *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	unrelated := 0
	for range maxResponses {
		response, err := co.readHeader(rq)
		if err != nil {
			return nil, errors.Annotate(err, "header of the answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if matches(response) {
			return response, nil
		}
		co.broken.Store(true)
		unrelated++
		if unrelated > maxUnrelatedResponses || response.Close {
			return nil, errors.Trace(ErrNoMatchingResponse)
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnrelatedBytes+1))
		if err != nil {
			return nil, errors.Annotate(err, "answer to another request")
		}
		if skipped > maxUnrelatedBytes {
			return nil, errors.Annotatef(ErrNoMatchingResponse, "one of over %d bytes", maxUnrelatedBytes)
		}
	}
	return nil, errors.Trace(ErrNoMatchingResponse)
}

// readHeader reads the header of the next response, which it checks.
func (co *Conn) readHeader(rq *http.Request) (*http.Response, error) {
	co.header.begin(co.buffered())
	response, err := http.ReadResponse(co.reader, rq)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := co.header.end(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := http1.Check(response); err != nil {
		return nil, errors.Trace(err)
	}
	return response, nil
}

// buffered returns the bytes that were received and not read yet.
func (co *Conn) buffered() []byte {
	data, _ := co.reader.Peek(co.reader.Buffered()) // never waits
	return data
}

// Interrupt closes a connection that another goroutine sends on or reads from, which gets
// an error.
func (co *Conn) Interrupt() {
	co.broken.Store(true)
	_ = co.net.Close()
}

// AtEnd reports whether the response ends where it was read to. It may wait for the
// next byte.
func (ex *Exchange) AtEnd() bool {
	if !ex.body.ended {
		var next [1]byte
		_, _ = io.ReadFull(ex.body, next[:]) // an error other than the end leaves ended false
	}
	return ex.body.ended
}

// EndsWithConnection reports whether the response has neither a length nor chunks, so
// that its end can't be told from a connection that was cut.
func (ex *Exchange) EndsWithConnection() bool { return ex.endsWithConnection }

// Finish ends an exchange. The connection is returned to the pool if the response was
// read to its end and the connection can be reused. The server's idle timeout is zero if
// it is unknown.
func (ex *Exchange) Finish(idleTimeout time.Duration) {
	if ex.finished {
		return
	}
	co := ex.conn
	if !ex.stop() || !ex.body.ended || ex.Response.Close || co.broken.Load() || !co.bodySent() || co.reader.Buffered() > 0 {
		ex.Abort()
		return
	}
	ex.finished = true
	ex.pool.put(co, idleTimeout)
}

// CloseAfterUse keeps the connection from being used again after the exchange.
func (ex *Exchange) CloseAfterUse() { ex.conn.broken.Store(true) }

// FinishRefused is Finish for a response by which the server refuses the request with an ID.
func (ex *Exchange) FinishRefused(id string, idleTimeout time.Duration) {
	if ex.conn.refused = append(ex.conn.refused, id); len(ex.conn.refused) >= maxRefused {
		ex.Abort()
		return
	}
	ex.Finish(idleTimeout)
}

// bodySent reports whether the whole request was written.
func (co *Conn) bodySent() bool {
	if co.bodyWritten == nil {
		return true
	}
	select {
	case err := <-co.bodyWritten:
		return err == nil
	default:
		return false
	}
}

// Abort closes the connection, which makes the server stop working on the
// request.
func (ex *Exchange) Abort() {
	if ex.finished {
		return
	}
	ex.finished = true
	ex.stop()
	ex.pool.drop(ex.conn)
}
