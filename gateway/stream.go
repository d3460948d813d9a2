package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

const (
	// writeTimeout is how long a caller may take for what was written to it.
	writeTimeout = 10 * time.Second
	// eventLimit bounds one event of a stream.
	eventLimit   = 256 << 10 // bytes
	streamBuffer = 4 << 10   // bytes
)

// streamState is how far the caller has a stream.
type streamState struct {
	// last is the identifier of the last whole event that was passed on.
	last   int64
	events int
	// from is the event that the caller itself resumes behind.
	from string
	// firstAt and lastAt are when events were passed on, longestGap the longest
	// time between two.
	firstAt, lastAt time.Time
	longestGap      time.Duration
}

// passed records that events were passed on at a time.
func (st *streamState) passed(now time.Time) {
	if st.firstAt.IsZero() {
		st.firstAt = now
	} else {
		st.longestGap = max(st.longestGap, now.Sub(st.lastAt))
	}
	st.lastAt = now
}

// lastEvent returns the event behind which the stream is to go on; empty for its
// start.
func (st *streamState) lastEvent() string {
	if st.events == 0 {
		return st.from
	}
	return strconv.FormatInt(st.last, 10)
}

// errCaller marks a caller that doesn't take its answer.
const errCaller = errors.ConstError("the caller doesn't take the answer")

// relayStream passes on the whole events of a stream as they come. What is left
// of an event when the server breaks off is not passed on.
func (ga *Gateway) relayStream(re *request, ch placement.Choice, ex *backend.Exchange, first func(), an platform.ResponseHeaders) result {
	pending := make([]byte, 0, streamBuffer)
	chunk := make([]byte, streamBuffer)
	for {
		re.bound(ex)
		count, err := ex.Response.Body.Read(chunk)
		pending = append(pending, chunk[:count]...)
		whole := bytes.LastIndex(pending, eventEnd) + len(eventEnd)
		if whole >= len(eventEnd) {
			first()
			if fault := ga.passEvents(re, ex, pending[:whole]); fault != nil {
				return ga.streamFault(re, ch, fault)
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case err == io.EOF:
			return ga.endStream(re, ch, ex, pending, an.IdleTimeout)
		case err != nil:
			return result{outcome: placement.Failed, reached: true, err: errors.Annotate(err, "stream")}
		case len(pending) > eventLimit:
			return result{outcome: placement.Failed, reached: true, err: errors.Errorf("event over %d bytes", eventLimit)}
		}
	}
}

const (
	// silenceOfGap is how many times the longest gap between events a stream that
	// can be resumed may be silent, and leastSilence the least such time.
	silenceOfGap = 4
	leastSilence = 600 * time.Millisecond
)

// bound limits the silence of a stream that can be resumed elsewhere. Before the
// first event the patience of the attempt holds.
func (re *request) bound(ex *backend.Exchange) {
	if re.stream == nil || re.stream.firstAt.IsZero() {
		return
	}
	if !re.repeatable() || re.attempts >= re.route.MaxAttempts || re.route.EventGapTarget <= 0 {
		_ = ex.SetReadDeadline(time.Time{}) // a closed connection fails at the read
		return
	}
	silence := max(leastSilence, silenceOfGap*re.route.EventGapTarget)
	_ = ex.SetReadDeadline(time.Now().Add(silence))
}

// streamFault ends a stream that the caller doesn't take, or an attempt whose
// events don't follow each other.
func (ga *Gateway) streamFault(re *request, ch placement.Choice, fault error) result {
	if errors.Is(fault, errCaller) {
		ga.logEnd(re, ch.Server.ID, re.status, fault)
		return result{done: true, outcome: placement.Cancelled, reached: true, err: fault}
	}
	return result{outcome: placement.Failed, reached: true, err: fault}
}

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// passEvents writes whole events to the caller, after the header if they are the
// first. Events before one that doesn't follow are still passed on, so that the
// stream can go on behind them.
func (ga *Gateway) passEvents(re *request, ex *backend.Exchange, events []byte) error {
	if re.stream == nil {
		ga.beginStream(re, ex)
	}
	good, fault := re.stream.follow(events)
	if len(good) > 0 {
		re.stream.passed(ga.clock.Now())
		if err := ga.write(re, good); err != nil {
			return err
		}
	}
	return fault
}

// follow records whole events and returns those that follow each other, with an
// error if one doesn't.
func (st *streamState) follow(events []byte) ([]byte, error) {
	length := 0
	for length < len(events) {
		end := length + bytes.Index(events[length:], eventEnd) + len(eventEnd)
		if err := st.note(events[length:end]); err != nil {
			return events[:length], errors.Trace(err)
		}
		length = end
	}
	return events, nil
}

// beginStream writes the header of the first server's answer.
func (ga *Gateway) beginStream(re *request, ex *backend.Exchange) {
	re.stream = &streamState{from: re.caller.LastEventID}
	for name, values := range platform.StripHopByHop(ex.Response.Header) {
		re.rw.Header()[name] = values
	}
	re.status = ex.Response.StatusCode
	re.rw.WriteHeader(re.status)
}

// note records an event. The identifiers of a stream grow by one.
func (st *streamState) note(event []byte) error {
	id, ok := eventID(event)
	if !ok {
		return nil
	}
	if st.events > 0 && id != st.last+1 {
		return errors.Errorf("event %d follows event %d", id, st.last)
	}
	st.last = id
	st.events++
	return nil
}

// eventID returns the identifier of an event.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

func (ga *Gateway) write(re *request, data []byte) error {
	controller := http.NewResponseController(re.rw)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := re.rw.Write(data); err != nil {
		return errors.Annotatef(errCaller, "%v", err)
	}
	if err := controller.Flush(); err != nil {
		return errors.Annotatef(errCaller, "%v", err)
	}
	return nil
}

// endStream ends the answer with the server's.
func (ga *Gateway) endStream(re *request, ch placement.Choice, ex *backend.Exchange, rest []byte, idle time.Duration) result {
	if re.stream == nil {
		ga.beginStream(re, ex)
	}
	if len(rest) > 0 {
		if err := ga.write(re, rest); err != nil {
			return ga.streamFault(re, ch, err)
		}
	}
	ex.Finish(idle)
	ga.logEnd(re, ch.Server.ID, re.status, nil)
	return result{done: true, outcome: placement.Succeeded, reached: true}
}
