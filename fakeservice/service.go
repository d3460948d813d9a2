// Package fakeservice is a stand-in for a plain service whose calls may not be
// repeated. It records every call that it ran, and fails on demand.
package fakeservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	mp "github.com/mangopaddle/mangopaddle"
)

// Fault is a way in which the stand-in misbehaves.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultUnavailable answers 503 and runs nothing.
	FaultUnavailable
	// FaultCrashBefore resets the connection and runs nothing.
	FaultCrashBefore
	// FaultCrashAfter runs the call and resets the connection.
	FaultCrashAfter
	// FaultHangAfter runs the call and never answers.
	FaultHangAfter
)

// Call is one call that the service ran.
type Call struct {
	Method         string
	Path           string
	IdempotencyKey string
	Body           string
}

// Service is the stand-in.
type Service struct {
	clock clockwork.Clock
	delay time.Duration

	mu    sync.Mutex
	fault Fault
	calls []Call
	tries int
}

// Option changes a stand-in under construction.
type Option func(*Service)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(se *Service) { se.clock = clock }
}

// WithDelay sets how long a call takes.
func WithDelay(delay time.Duration) Option {
	return func(se *Service) { se.delay = delay }
}

// New returns a stand-in.
func New(opts ...Option) *Service {
	se := &Service{clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// SetFault switches a fault on.
func (se *Service) SetFault(fault Fault) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.fault = fault
}

// Calls returns every call that ran, in order.
func (se *Service) Calls() []Call {
	se.mu.Lock()
	defer se.mu.Unlock()
	return append([]Call(nil), se.calls...)
}

// RequestCount counts the requests that arrived, run or not.
func (se *Service) RequestCount() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.tries
}

// receipt is the answer to a call.
type receipt struct {
	Number int    `json:"number"`
	Path   string `json:"path"`
}

// Handler returns the HTTP interface of the service.
func (se *Service) Handler() http.Handler {
	return http.HandlerFunc(se.serve)
}

func (se *Service) serve(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	fault := se.begin()
	switch fault {
	case FaultUnavailable:
		http.Error(rw, "not ready", http.StatusServiceUnavailable)
		return
	case FaultCrashBefore:
		panic(http.ErrAbortHandler)
	}
	if !se.work(rq) {
		return
	}
	number := se.record(Call{Method: rq.Method, Path: rq.URL.Path, IdempotencyKey: rq.Header.Get(mp.HeaderIdempotencyKey), Body: string(body)})
	switch fault {
	case FaultCrashAfter:
		panic(http.ErrAbortHandler)
	case FaultHangAfter:
		<-rq.Context().Done()
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(rw).Encode(receipt{Number: number, Path: rq.URL.Path})
}

// work takes the time of a call. It reports false if the other end left.
func (se *Service) work(rq *http.Request) bool {
	if se.delay == 0 {
		return true
	}
	select {
	case <-se.clock.After(se.delay):
		return true
	case <-rq.Context().Done():
		return false
	}
}

func (se *Service) begin() Fault {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.tries++
	return se.fault
}

func (se *Service) record(call Call) int {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.calls = append(se.calls, call)
	return len(se.calls)
}
