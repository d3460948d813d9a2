package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/clientlimit"
)

// drainPollInterval is how often a draining server looks for connections that have become
// idle.
const drainPollInterval = 50 * time.Millisecond

// expired is a read deadline in the past.
var expired = time.Unix(1, 0)

// Server is an HTTP server that drains without cutting off a request that it has read.
type Server struct {
	http.Server
	draining atomic.Bool
	limiter  *clientlimit.Limiter
	refuse   http.Handler
	tlsConf  *tls.Config

	mu sync.Mutex
	// waiting holds the connections that have had a request and wait for the next one.
	waiting map[net.Conn]struct{}
}

// handler returns a handler that lets connections end after their response while the
// server drains.
func (se *Server) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if se.draining.Load() {
			rw.Header().Set("Connection", "close")
		}
		if se.limiter == nil {
			next.ServeHTTP(rw, rq)
			return
		}
		se.serveLimited(rw, rq, next)
	})
}

// serveLimited serves a request if the limiter has room for it.
func (se *Server) serveLimited(rw http.ResponseWriter, rq *http.Request, next http.Handler) {
	conn := clientlimit.ConnOf(rq.Context())
	admitted, reason := conn.BeginRequest(rq)
	defer admitted.End()
	if reason != "" {
		conn.Report(reason)
		rw.Header().Set("Connection", "close")
		se.refuse.ServeHTTP(rw, rq)
		return
	}
	next.ServeHTTP(rw, rq)
}

// withConn adds the limited connection to the context of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	if tc, ok := nc.(*tls.Conn); ok {
		nc = tc.NetConn()
		if conn, ok := nc.(*clientlimit.Conn); ok {
			conn.SetEncrypted()
		}
	}
	if conn, ok := nc.(*clientlimit.Conn); ok {
		return clientlimit.WithConn(ctx, conn)
	}
	return ctx
}

// trackConn records whether a connection waits for a request. net/http calls it before
// the handler of the request.
func (se *Server) trackConn(conn net.Conn, state http.ConnState) {
	if tc, ok := conn.(*tls.Conn); ok {
		conn = tc.NetConn()
	}
	if limited, ok := conn.(*clientlimit.Conn); ok && state == http.StateIdle {
		limited.SetWaiting()
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	if state == http.StateIdle {
		se.waiting[conn] = struct{}{}
		return
	}
	if _, ok := se.waiting[conn]; ok && state == http.StateActive {
		_ = conn.SetReadDeadline(time.Time{}) // closeWaiting may have set one while the header was read
	}
	delete(se.waiting, conn)
}

// closeWaiting ends the connections that wait for a request, and returns their number. A
// connection whose next request has been read goes on: only the wait for bytes fails.
func (se *Server) closeWaiting() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	for conn := range se.waiting {
		_ = conn.SetReadDeadline(expired)
	}
	return len(se.waiting)
}

// Drain ends connections as they become idle, goes on accepting new ones while busy
// returns true, and then shuts the server down. http.Server.Shutdown alone closes
// connections under a request that is being read. Drain returns an error if a request is
// in flight when ctx ends.
func (se *Server) Drain(ctx context.Context, busy func() bool) error {
	se.draining.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		waiting := se.closeWaiting()
		if !busy() && waiting == 0 {
			break
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return errors.Trace(se.Shutdown(ctx))
}
