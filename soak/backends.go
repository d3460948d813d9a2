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
	eventInterval   = 100 * time.Millisecond
	responseDelay   = 20 * time.Millisecond
)

// requestCounts records, by request ID, which backend servers received a request, one
// entry for each time, and how often it was executed.
type requestCounts struct {
	mu        sync.Mutex
	receivers map[string][]*backend
	executed  map[string]int
	late      []lateRequest
}

// lateRequest is a request that a server received although it had begun to leave long ago.
type lateRequest struct {
	id, server   string
	receiver     *backend
	at           time.Time
	sinceLeaving time.Duration
}

func newRequestCounts() *requestCounts {
	return &requestCounts{receivers: map[string][]*backend{}, executed: map[string]int{}}
}

func (rc *requestCounts) record(rq fakeserver.Request, receiver *backend, executed bool) {
	id, server := rq.ID, rq.ExpectedServer()
	sinceLeaving := receiver.registry.sinceLeaving(server)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if sinceLeaving > maxConfigDelay+maxSilence+timingTolerance { // silence delays what was sent in time
		rc.late = append(rc.late, lateRequest{id: id, server: server, receiver: receiver, at: time.Now(), sinceLeaving: sinceLeaving})
	}
	rc.receivers[id] = append(rc.receivers[id], receiver)
	if executed {
		rc.executed[id]++
	}
}

// lookup returns how often a request was received and executed.
func (rc *requestCounts) lookup(id string) (received, executed int) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return len(rc.receivers[id]), rc.executed[id]
}

// receiversOf returns the backend servers that received a request.
func (rc *requestCounts) receiversOf(id string) []*backend {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.receivers[id]
}

// totals returns the number of requests that backend servers received, and the number
// of retries: how often they received a request again.
func (rc *requestCounts) totals() (requests, retries int) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, receivers := range rc.receivers {
		retries += len(receivers) - 1
	}
	return len(rc.receivers), retries
}

// failureMode is how a backend server fails.
type failureMode int

const (
	healthy           failureMode = iota
	returningErrors               // responds with status 500 after executing the request
	rejecting                     // responds that the request was not executed
	truncating                    // closes the connection in the middle of the response
	endingInsideEvent             // ends streams regularly in the middle of an event
	unframed                      // sends complete responses without length or chunks
)

// breaksResponses reports whether a server in this mode may break off a response that it
// has begun.
func (fm failureMode) breaksResponses() bool { return fm == truncating || fm == endingInsideEvent }

// backend is a fake backend server behind a proxy.
type backend struct {
	id            string
	service       string
	engine        bool
	proxy         *Proxy
	requestCounts *requestCounts
	registry      *serverRegistry

	mu          sync.Mutex
	failureMode failureMode
}

// newBackend starts a backend server and its proxy, and returns it with a
// function that stops both. With engine set it serves streams.
func newBackend(id, service string, engine bool, rc *requestCounts, sr *serverRegistry) (*backend, func(), error) {
	ba := &backend{id: id, service: service, engine: engine, requestCounts: rc, registry: sr}
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
	ba.requestCounts.record(rq, ba, mode != rejecting)
	time.Sleep(responseDelay)
	switch mode {
	case rejecting:
		co.Reject(rq)
	case returningErrors:
		co.Respond(rq, http.StatusInternalServerError, "failed")
	case truncating:
		co.Printf("HTTP/1.1 200 OK\r\nContent-Le")
		return false
	case unframed:
		co.BeginUnframed(rq)
		co.Printf("%s", responseBody(rq.ID))
		return false
	default:
		co.Respond(rq, http.StatusOK, responseBody(rq.ID))
	}
	return true
}

func (ba *backend) stream(co *fakeserver.Conn, rq fakeserver.Request) bool {
	mode := ba.currentFailureMode()
	ba.requestCounts.record(rq, ba, mode != rejecting)
	switch mode {
	case rejecting:
		co.Reject(rq)
		return true
	case returningErrors:
		co.Respond(rq, http.StatusInternalServerError, "failed")
		return true
	}
	if mode == unframed {
		co.BeginUnframed(rq)
		for event := rq.LastEventID() + 1; event <= eventsPerStream; event++ {
			time.Sleep(eventInterval)
			co.Printf("%s", eventText(event))
		}
		return false
	}
	co.BeginStream(rq)
	for event := rq.LastEventID() + 1; event <= eventsPerStream; event++ {
		time.Sleep(eventInterval)
		switch {
		case mode == truncating && rand.IntN(eventsPerStream) == 0:
			co.Printf("1f\r\nid: ")
			return false
		case mode == endingInsideEvent && rand.IntN(eventsPerStream) == 0:
			text := eventText(event)
			co.WriteChunk(text[:len(text)/2])
			co.EndStream()
			return true
		}
		co.WriteEvent(event)
	}
	co.EndStream()
	return true
}

// eventText is the text of one event of a stream.
func eventText(event int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", event, event) }

// streamBody is the body of a stream up to and including the last event given.
func streamBody(last int) string {
	text := ""
	for event := 1; event <= last; event++ {
		text += eventText(event)
	}
	return text
}
