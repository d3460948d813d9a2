// Package fakeservice is a fake of a plain service whose calls must not be repeated. It
// records every call that it ran, and supports fault injection.
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

// Fault is a failure mode that SetFault injects.
type Fault int

// Injectable faults.
const (
	FaultNone Fault = iota
	// FaultUnavailable responds with 503 without running the call.
	FaultUnavailable
	// FaultCrashBefore aborts the connection without running the call.
	FaultCrashBefore
	// FaultCrashAfter runs the call and then aborts the connection.
	FaultCrashAfter
	// FaultHangAfter runs the call and never responds.
	FaultHangAfter
)

// Call is a call that the service ran.
type Call struct {
	Method         string
	Path           string
	IdempotencyKey string
	Body           string
}

// Service is a fake service.
type Service struct {
	clock clockwork.Clock
	delay time.Duration

	mu           sync.Mutex
	fault        Fault
	calls        []Call
	requestCount int
}

// Option configures a Service.
type Option func(*Service)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(se *Service) { se.clock = clock }
}

// WithDelay sets the duration of a call. The default is zero.
func WithDelay(delay time.Duration) Option {
	return func(se *Service) { se.delay = delay }
}

// New returns a service without a fault.
func New(opts ...Option) *Service {
	se := &Service{clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// SetFault injects a fault into new requests; FaultNone ends it.
func (se *Service) SetFault(fault Fault) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.fault = fault
}

// Calls returns the calls that ran, in order.
func (se *Service) Calls() []Call {
	se.mu.Lock()
	defer se.mu.Unlock()
	return append([]Call(nil), se.calls...)
}

// RequestCount returns the number of requests received, whether they ran or not.
func (se *Service) RequestCount() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.requestCount
}

// response is the response body of a call.
type response struct {
	Number int    `json:"number"`
	Path   string `json:"path"`
}

// Handler returns the HTTP handler of the service.
func (se *Service) Handler() http.Handler {
	return http.HandlerFunc(se.serve)
}

func (se *Service) serve(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	fault := se.countRequest()
	switch fault {
	case FaultUnavailable:
		http.Error(rw, "not ready", http.StatusServiceUnavailable)
		return
	case FaultCrashBefore:
		panic(http.ErrAbortHandler)
	}
	if !se.delayCall(rq) {
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
	_ = json.NewEncoder(rw).Encode(response{Number: number, Path: rq.URL.Path})
}

// delayCall waits for the duration of a call. It returns false if the client has
// disconnected.
func (se *Service) delayCall(rq *http.Request) bool {
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

// countRequest counts a received request and returns the fault to inject.
func (se *Service) countRequest() Fault {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.requestCount++
	return se.fault
}

// record records a call that ran and returns its number.
func (se *Service) record(call Call) int {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.calls = append(se.calls, call)
	return len(se.calls)
}
