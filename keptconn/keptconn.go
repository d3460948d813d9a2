// Package keptconn tells of the responses of an http.Transport whether they are whole
// responses to the present request. It remembers which requests the connections have carried:
// a server may write an earlier answer once more, which net/http takes for the one to the
// present request.
package keptconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"

	"github.com/mangopaddle/mangopaddle/http1"
	"github.com/mangopaddle/mangopaddle/tcp"
)

// maxIDs is the number of request IDs, the latest, that a connection remembers.
const maxIDs = 64

// Conn is a connection that remembers the IDs of the requests that it has carried.
type Conn struct {
	*tcp.Conn

	mu      sync.Mutex
	ids     []string
	scanner http1.Scanner // of the response to the present request
}

// Dial returns a function for http.Transport that opens such connections.
func Dial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: tcp.New(nc)}, nil
	}
}

// Read implements net.Conn. It scans the header of the response.
func (co *Conn) Read(data []byte) (int, error) {
	count, err := co.Conn.Read(data)
	co.mu.Lock()
	defer co.mu.Unlock()
	co.scanner.Scan(data[:count])
	return count, err
}

// scanErr returns http1.ErrMalformed if the header of the response is malformed.
func (co *Conn) scanErr() error {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.scanner.Err()
}

// Use is the use of a connection by one request. It is safe for concurrent use.
type Use struct {
	id string

	mu      sync.Mutex
	conn    *Conn
	sent    bool
	reused  bool
	earlier []string
}

// Trace returns a context with which http.Transport reports the connection of the request
// with an ID to the use.
func Trace(ctx context.Context, id string) (context.Context, *Use) {
	us := &Use{id: id}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: us.record}), us
}

// record records the connection that the request is sent on.
func (us *Use) record(info httptrace.GotConnInfo) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.sent, us.reused = true, info.Reused
	co, ok := info.Conn.(*Conn)
	if !ok {
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	us.conn, us.earlier = co, slices.Clone(co.ids)
	co.scanner.Reset()
	co.ids = append(co.ids, us.id)
	if excess := len(co.ids) - maxIDs; excess > 0 {
		co.ids = slices.Delete(co.ids, 0, excess)
	}
}

// Sent reports whether a connection was open for the request.
func (us *Use) Sent() bool {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.sent
}

// IsEarlier reports whether an answer with an ID is one to an earlier request on the
// connection.
func (us *Use) IsEarlier(answered string) bool {
	us.mu.Lock()
	defer us.mu.Unlock()
	return answered != us.id && slices.Contains(us.earlier, answered)
}

// MayBeEarlier reports whether an answer with an ID may be one to an earlier request on
// the connection: it has another ID or none, or an earlier request had the same.
func (us *Use) MayBeEarlier(answered string) bool {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.reused && (answered != us.id || slices.Contains(us.earlier, us.id))
}

// Check returns http1.ErrMalformed if a response on the connection is malformed. It then closes
// the body and the connection, on which the rest of the response may follow.
func (us *Use) Check(response *http.Response) error {
	err := http1.Check(response)
	if err == nil {
		err = us.scanErr()
	}
	if err != nil {
		_ = response.Body.Close()
		us.Close() // Body.Close keeps the connection of a response without a body
	}
	return err
}

// scanErr returns what the scan of the response on the connection has found.
func (us *Use) scanErr() error {
	us.mu.Lock()
	defer us.mu.Unlock()
	if us.conn == nil {
		return nil
	}
	return us.conn.scanErr()
}

// Close closes the connection, on which another answer may follow.
func (us *Use) Close() {
	us.mu.Lock()
	defer us.mu.Unlock()
	if us.conn != nil {
		_ = us.conn.Close()
	}
}
