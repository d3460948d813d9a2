// Package httpserver serves HTTP with limits on what a peer may hold open.
package httpserver

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultHeaderLimit   = 64 << 10 // bytes
)

// Option changes a server under construction.
type Option func(*http.Server)

// WithHeaderTimeout bounds the time that a header may take.
func WithHeaderTimeout(timeout time.Duration) Option {
	return func(se *http.Server) { se.ReadHeaderTimeout = timeout }
}

// WithHeaderLimit bounds the length of a header, in bytes.
func WithHeaderLimit(limit int) Option {
	return func(se *http.Server) { se.MaxHeaderBytes = limit }
}

// New serves a handler on a listener. It returns the server with a function that
// closes it and waits until it has stopped. Failed is called if the listener
// breaks.
func New(listener net.Listener, handler http.Handler, failed func(error), opts ...Option) (*http.Server, func()) {
	se := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    defaultHeaderLimit,
	}
	for _, opt := range opts {
		opt(se)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := se.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed(errors.Trace(err))
		}
	}()
	return se, func() {
		_ = se.Close()
		<-done
	}
}
