// Package httpserver runs HTTP servers with limits on the resources that a client can
// hold.
package httpserver

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxHeaderBytes = 64 << 10
)

// Option configures the server.
type Option func(*Server)

// WithHeaderTimeout sets the timeout for reading a request header. The default is 5 s.
func WithHeaderTimeout(timeout time.Duration) Option {
	return func(se *Server) { se.ReadHeaderTimeout = timeout }
}

// WithMaxHeaderBytes sets the maximum size of a request header in bytes. The default is
// 64 KiB.
func WithMaxHeaderBytes(limit int) Option {
	return func(se *Server) { se.MaxHeaderBytes = limit }
}

// New starts serving on a listener. The returned function closes the server and waits
// until it has stopped. onError is called if the listener returns an error before that.
func New(listener net.Listener, handler http.Handler, onError func(error), opts ...Option) (*Server, func()) {
	se := &Server{
		Server: http.Server{
			ReadHeaderTimeout: defaultHeaderTimeout,
			IdleTimeout:       defaultIdleTimeout,
			MaxHeaderBytes:    defaultMaxHeaderBytes,
		},
		waiting: map[net.Conn]struct{}{},
	}
	se.Handler, se.ConnState = se.handler(handler), se.trackConn
	for _, opt := range opts {
		opt(se)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := se.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			onError(errors.Trace(err))
		}
	}()
	return se, func() {
		_ = se.Close()
		<-done
	}
}
