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
	// events is how many events a whole stream has.
	events   = 20
	eventGap = 30 * time.Millisecond
	workTime = 20 * time.Millisecond
)

// runs counts what backend servers received and ran, by request.
type runs struct {
	mu       sync.Mutex
	received map[string]int
	ran      map[string]int
}

func newRuns() *runs {
	return &runs{received: map[string]int{}, ran: map[string]int{}}
}

func (ru *runs) note(id string, ran bool) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.received[id]++
	if ran {
		ru.ran[id]++
	}
}

// of returns how often a request was received and run.
func (ru *runs) of(id string) (received, ran int) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.received[id], ru.ran[id]
}

// sends returns how many sends came beyond the first one of each request.
func (ru *runs) sends() (requests, again int) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	for _, count := range ru.received {
		again += count - 1
	}
	return len(ru.received), again
}

// manner is how a backend server misbehaves.
type manner int

const (
	sound manner = iota
	failing
	full
	breaking // off, inside the answer
)

// backend is a backend server behind a proxy.
type backend struct {
	id      string
	service string
	engine  bool
	proxy   *Proxy
	runs    *runs

	mu     sync.Mutex
	manner manner
}

func newBackend(id, service string, engine bool, ru *runs) (*backend, func(), error) {
	ba := &backend{id: id, service: service, engine: engine, runs: ru}
	script := ba.answer
	if engine {
		script = ba.stream
	}
	server, stop, err := fakeserver.New(script)
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

func (ba *backend) set(ma manner) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.manner = ma
}

func (ba *backend) current() manner {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return ba.manner
}

// answerTo is the body of the answer to a request.
func answerTo(id string) string { return "answer to " + id }

func (ba *backend) answer(co *fakeserver.Conn, rq fakeserver.Request) bool {
	ma := ba.current()
	ba.runs.note(rq.ID, ma != full)
	time.Sleep(workTime)
	switch ma {
	case full:
		co.Reject(rq)
	case failing:
		co.Respond(rq, http.StatusInternalServerError, "failed")
	case breaking:
		co.Printf("HTTP/1.1 200 OK\r\nContent-Le")
		return false
	default:
		co.Respond(rq, http.StatusOK, answerTo(rq.ID))
	}
	return true
}

func (ba *backend) stream(co *fakeserver.Conn, rq fakeserver.Request) bool {
	ma := ba.current()
	ba.runs.note(rq.ID, ma != full)
	switch ma {
	case full:
		co.Reject(rq)
		return true
	case failing:
		co.Respond(rq, http.StatusInternalServerError, "failed")
		return true
	}
	co.BeginStream(rq)
	for event := rq.LastEventID() + 1; event <= events; event++ {
		time.Sleep(eventGap)
		if ma == breaking && rand.IntN(events) == 0 {
			co.Printf("1f\r\nid: ")
			return false
		}
		co.WriteEvent(event)
	}
	co.EndStream()
	return true
}

// wholeStream is the body of a whole stream up to an event.
func wholeStream(last int) string {
	text := ""
	for event := 1; event <= last; event++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", event, event)
	}
	return text
}
