package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

const (
	// eventsPerStream is the number of events in a complete stream.
	eventsPerStream = 20
	eventInterval   = 30 * time.Millisecond
	responseDelay   = 20 * time.Millisecond
)

// requestCounts counts, by request ID, how often backend servers received and
// executed a request.
type requestCounts struct {
	mu       sync.Mutex
	received map[string]int
	executed map[string]int
}

func newRequestCounts() *requestCounts {
	return &requestCounts{received: map[string]int{}, executed: map[string]int{}}
}

func (rc *requestCounts) record(id string, executed bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.received[id]++
	if executed {
		rc.executed[id]++
	}
}

// lookup returns how often a request was received and executed.
func (rc *requestCounts) lookup(id string) (received, executed int) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.received[id], rc.executed[id]
}

// totals returns the number of requests that backend servers received, and the number
// of retries: how often they received a request again.
func (rc *requestCounts) totals() (requests, retries int) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, count := range rc.received {
		retries += count - 1
	}
	return len(rc.received), retries
}

// failureMode is how a backend server fails.
type failureMode int

const (
	healthy         failureMode = iota
	returningErrors             // responds with status 500 after executing the request
	rejecting                   // responds that the request was not executed
	truncating                  // closes the connection in the middle of the response
)

// backend is a fake backend server behind a proxy.
type backend struct {
	id            string
	service       string
	engine        bool
	proxy         *Proxy
	requestCounts *requestCounts

	mu          sync.Mutex
	failureMode failureMode
}

// newBackend starts a backend server and its proxy, and returns it with a
// function that stops both. With engine set it serves streams.
func newBackend(id, service string, engine bool, rc *requestCounts) (*backend, func(), error) {
	ba := &backend{id: id, service: service, engine: engine, requestCounts: rc}
	handler := ba.respond
	if engine {
		handler = ba.stream
	}
	server, stop, err := fakeserver.New(handler)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "backend server %q", id)
	}
	proxy, stopProxy, err := NewProxy(loopback.Address(), server.Address())
	if err != nil {
		stop()
		return nil, nil, errors.Trace(err)
	}
	ba.proxy = proxy
	return ba, func() {
		stopProxy()
		stop()
	}, nil
}

func (ba *backend) setFailureMode(mode failureMode) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.failureMode = mode
}

func (ba *backend) currentFailureMode() failureMode {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return ba.failureMode
}

// responseBody is the body of the response to a request.
func responseBody(id string) string { return "answer to " + id }

func (ba *backend) respond(co *fakeserver.Conn, rq fakeserver.Request) bool {
	mode := ba.currentFailureMode()
	ba.requestCounts.record(rq.ID, mode != rejecting)
	time.Sleep(responseDelay)
	switch mode {
	case rejecting:
		co.Reject(rq)
	case returningErrors:
		co.Respond(rq, http.StatusInternalServerError, "failed")
	case truncating:
		co.Printf("HTTP/1.1 200 OK\r\nContent-Le")
		return false
	default:
		co.Respond(rq, http.StatusOK, responseBody(rq.ID))
	}
	return true
}

func (ba *backend) stream(co *fakeserver.Conn, rq fakeserver.Request) bool {
	mode := ba.currentFailureMode()
	ba.requestCounts.record(rq.ID, mode != rejecting)
	switch mode {
	case rejecting:
		co.Reject(rq)
		return true
	case returningErrors:
		co.Respond(rq, http.StatusInternalServerError, "failed")
		return true
	}
	co.BeginStream(rq)
	for event := rq.LastEventID() + 1; event <= eventsPerStream; event++ {
		time.Sleep(eventInterval)
		if mode == truncating && rand.IntN(eventsPerStream) == 0 {
			co.Printf("1f\r\nid: ")
			return false
		}
		co.WriteEvent(event)
	}
	co.EndStream()
	return true
}

// streamBody is the body of a stream up to and including the last event given.
func streamBody(last int) string {
	text := ""
	for event := 1; event <= last; event++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", event, event)
	}
	return text
}
