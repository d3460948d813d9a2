// Package httpserver runs HTTP servers with limits on the resources that a client can
// hold.
package httpserver

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/clientlimit"
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

// WithLimiter bounds the connections and requests of the server. The default is no bound.
func WithLimiter(limiter *clientlimit.Limiter) Option {
	return func(se *Server) { se.limiter = limiter }
}

// WithRefuse sets the handler of requests that the limiter refuses. They have not been run.
// The default responds with status 503.
func WithRefuse(refuse http.Handler) Option {
	return func(se *Server) { se.refuse = refuse }
}

// WithTLS serves TLS with a configuration; nil for plain HTTP, the default.
func WithTLS(conf *tls.Config) Option {
	return func(se *Server) { se.tlsConf = conf }
}

// refuseRequest is the default handler of requests that the limiter refuses.
func refuseRequest(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Retry-After", "1")
	http.Error(rw, "this host has no room for the request, which was not run", http.StatusServiceUnavailable)
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
		refuse:  http.HandlerFunc(refuseRequest),
	}
	se.Handler, se.ConnState = se.handler(handler), se.trackConn
	for _, opt := range opts {
		opt(se)
	}
	if se.limiter != nil {
		listener, se.ConnContext = se.limiter.Listener(listener), withConn
	}
	if se.tlsConf != nil {
		listener = tls.NewListener(listener, se.tlsConf)
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
