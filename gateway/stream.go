package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

const (
	// writeTimeout is the timeout for a write to the caller.
	writeTimeout = 10 * time.Second
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 256 << 10
	// streamBufferBytes is the size of one read of a stream.
	streamBufferBytes = 4 << 10
)

// streamState is the progress of a stream towards the caller.
type streamState struct {
	// lastID is the ID of the last complete event that the caller has, if hasLastID is set.
	lastID    int64
	hasLastID bool
	// events is the number of relayed events that have an ID.
	events int
	// resumed reports that an attempt goes on with the stream; it began when eventsBefore
	// events had been relayed.
	resumed      bool
	eventsBefore int
	// resumeAfter is the Last-Event-ID of the caller's own request.
	resumeAfter string
	// mediaType and encoding are those of the response that the caller receives.
	mediaType, encoding string
	// firstAt and lastAt are the times of the first and the last relayed events;
	// longestGap is the longest time between two.
	firstAt, lastAt time.Time
	longestGap      time.Duration
}

// recordRelayed records the time at which events were relayed.
func (st *streamState) recordRelayed(now time.Time) {
	if st.firstAt.IsZero() {
		st.firstAt = now
	} else {
		st.longestGap = max(st.longestGap, now.Sub(st.lastAt))
	}
	st.lastAt = now
}

// lastEventID returns the Last-Event-ID for the next attempt, or an empty string to
// start from the beginning.
func (st *streamState) lastEventID() string {
	if st.events == 0 {
		return st.resumeAfter
	}
	return strconv.FormatInt(st.lastID, 10)
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// isContinuedBy reports whether a response can be the rest of a stream that has begun, by
// its header: a success with a stream of events, or with the type that the stream began
// with, in the same encoding.
func (st *streamState) isContinuedBy(response *http.Response) bool {
	ty := mediaType(response)
	return response.StatusCode == http.StatusOK && (ty == eventStreamType || ty == st.mediaType) &&
		response.Header.Get("Content-Encoding") == st.encoding
}

// mediaType returns the media type of a response in lower case, without parameters.
func mediaType(response *http.Response) string {
	ty, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(ty))
}

// errCallerWrite is the error of a failed or timed-out write to the caller.
const errCallerWrite = errors.ConstError("write to the caller failed")

// relayStream relays complete events as they arrive. What follows the last of them when
// the backend server fails is discarded, so that the stream can be resumed on another
// server.
func (ga *Gateway) relayStream(re *request, ch placement.Choice, ex *backend.Exchange, recordFirstEvent func(), headers platform.ResponseHeaders) result {
	pending := make([]byte, 0, streamBufferBytes)
	chunk := make([]byte, streamBufferBytes)
	progress := &answerProgress{}
	if st := re.stream; st != nil {
		st.resumed, st.eventsBefore = true, st.events
	}
	re.setStreamIdleDeadline(ex)
	for {
		count, err := ex.Response.Body.Read(chunk)
		pending = append(pending, chunk[:count]...)
		if bytes.Contains(pending, eventSeparator) {
			relayed, cause := ga.relayEvents(re, ex, pending)
			if cause != nil {
				return ga.streamFailure(re, ch, cause)
			}
			if relayed > 0 {
				recordFirstEvent()
				ga.recordProgress(re, progress, false)
				pending = append(pending[:0], pending[relayed:]...)
				re.setStreamIdleDeadline(ex)
			}
		}
		switch {
		case err == io.EOF:
			ga.recordProgress(re, progress, endsWithEvent(pending) && re.hasAnyEvent())
			return ga.finishStream(re, ch, ex, pending, headers.IdleTimeout)
		case err != nil:
			return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Annotate(err, "stream")}
		case len(pending) > maxEventBytes:
			return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Errorf("over %d bytes without an event", maxEventBytes)}
		}
	}
}

const (
	// The idle timeout of a resumable stream, after which it is resumed on another
	// server, is streamIdleGapFactor times the route's event gap target, and at least
	// minStreamIdleTimeout.
	streamIdleGapFactor  = 4
	minStreamIdleTimeout = 600 * time.Millisecond
)

// setStreamIdleDeadline applies the idle timeout to a resumable stream that has
// attempts left; other streams have none. It is set again after each relayed event and
// not for single bytes, which a stalled server may go on sending. Until an attempt has
// relayed the first event of the request, responseTimeout applies instead.
func (re *request) setStreamIdleDeadline(ex *backend.Exchange) {
	if re.stream == nil || re.stream.firstAt.IsZero() {
		return
	}
	if !re.repeatable() || re.attempts >= re.route.MaxAttempts || re.route.EventGapTarget <= 0 {
		_ = ex.SetReadDeadline(time.Time{}) // the next read returns the error of a closed connection
		return
	}
	timeout := max(minStreamIdleTimeout, streamIdleGapFactor*re.route.EventGapTarget)
	_ = ex.SetReadDeadline(time.Now().Add(timeout))
}

// streamFailure returns the result of a failed stream. A failed write to the caller
// ends the request; an error in the order of events fails only the attempt.
func (ga *Gateway) streamFailure(re *request, ch placement.Choice, cause error) result {
	if errors.Is(cause, errCallerWrite) {
		ga.recordResponse(re, ch.Server.ID, re.status, cause)
		return result{done: true, outcome: placement.Cancelled, mayHaveRun: true, err: cause}
	}
	return result{outcome: placement.Failed, mayHaveRun: true, err: cause}
}

// eventSeparator terminates each event of a stream.
var eventSeparator = []byte("\n\n")

// relayEvents writes the events of data that can be relayed to the caller, preceded by the
// response header if they are the first, and returns their length. Events before one that
// is out of order are still relayed, so that the stream can be resumed after them.
func (ga *Gateway) relayEvents(re *request, ex *backend.Exchange, data []byte) (int, error) {
	st := re.stream
	if st == nil {
		st = newStreamState(re, ex.Response)
	}
	accepted, cause := st.acceptEvents(data)
	if len(accepted) > 0 {
		if re.stream == nil {
			ga.beginStream(re, ex, st)
		}
		st.recordRelayed(ga.clock.Now())
		if err := ga.writeAndFlush(re, accepted); err != nil {
			return 0, err
		}
	}
	return len(accepted), cause
}

// acceptEvents records the complete events at the beginning of data and returns those
// that can be relayed: up to the last one with an ID. Events without an ID that follow it
// are left for later, because only the next ID or the regular end of the stream shows
// that they are part of it. Of a stream without any ID so far, events with data are
// relayed, and no mere comments, which a server may go on sending.
// acceptEvents returns an error at the first event that is out of order.
func (st *streamState) acceptEvents(data []byte) ([]byte, error) {
	relayable, end := 0, 0
	for {
		length := bytes.Index(data[end:], eventSeparator)
		if length < 0 {
			return data[:relayable], nil
		}
		event := data[end : end+length+len(eventSeparator)]
		identified, err := st.acceptEvent(event)
		if err != nil {
			return data[:relayable], errors.Trace(err)
		}
		end += len(event)
		if identified || (st.events == 0 && hasData(event)) {
			relayable = end
		}
	}
}

// newStreamState returns the state of a stream that begins with a response.
func newStreamState(re *request, response *http.Response) *streamState {
	st := &streamState{
		resumeAfter: re.headers.LastEventID,
		mediaType:   mediaType(response),
		encoding:    response.Header.Get("Content-Encoding"),
	}
	if id, err := strconv.ParseInt(st.resumeAfter, 10, 64); err == nil && re.route.Resumable {
		st.lastID, st.hasLastID = id, true
	}
	return st
}

// beginStream sets the stream state and writes the header of the backend server's response.
func (ga *Gateway) beginStream(re *request, ex *backend.Exchange, st *streamState) {
	re.stream = st
	for name, values := range platform.StripHopByHop(ex.Response.Header) {
		re.rw.Header()[name] = values
	}
	re.status = ex.Response.StatusCode
	re.rw.WriteHeader(re.status)
}

// hasData reports whether an event has a line of data.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
}

// acceptEvent records one event and reports whether it has an ID. IDs must increase by
// one, also from the last event that the caller had before.
func (st *streamState) acceptEvent(event []byte) (bool, error) {
	id, ok := eventID(event)
	if !ok {
		return false, nil
	}
	if st.hasLastID && id != st.lastID+1 {
		return true, errors.Errorf("event %d follows event %d", id, st.lastID)
	}
	st.lastID, st.hasLastID = id, true
	st.events++
	return true, nil
}

// eventID returns the ID of an event, and false if it has no valid one.
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

// writeAndFlush sends data to the caller immediately.
func (ga *Gateway) writeAndFlush(re *request, data []byte) error {
	controller := http.NewResponseController(re.rw)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := re.rw.Write(data); err != nil {
		return errors.Annotatef(errCallerWrite, "%v", err)
	}
	if err := controller.Flush(); err != nil {
		return errors.Annotatef(errCallerWrite, "%v", err)
	}
	return nil
}

// finishStream ends the response after the regular end of the backend server's. rest is
// what followed the last relayed event; it is relayed too, unless it ends inside an event:
// then the server broke off.
func (ga *Gateway) finishStream(re *request, ch placement.Choice, ex *backend.Exchange, rest []byte, idleTimeout time.Duration) result {
	if !endsWithEvent(rest) {
		return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Annotate(io.ErrUnexpectedEOF, "the stream ended inside an event")}
	}
	if re.stream == nil && len(bytes.TrimSpace(rest)) == 0 && ex.EndsWithConnection() {
		return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Annotate(io.ErrUnexpectedEOF, "the stream ended before its first event")}
	}
	if re.stream != nil && re.stream.resumed && !re.stream.isEndedBy(ex, rest) {
		return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Annotate(io.ErrUnexpectedEOF, "the resumed stream ended without an event, or with something else")}
	}
	if re.stream == nil {
		ga.beginStream(re, ex, newStreamState(re, ex.Response))
	}
	if len(rest) > 0 {
		if err := ga.writeAndFlush(re, rest); err != nil {
			return ga.streamFailure(re, ch, err)
		}
	}
	ex.Finish(idleTimeout)
	ga.recordResponse(re, ch.Server.ID, re.status, nil)
	return result{done: true, outcome: placement.Succeeded, mayHaveRun: true}
}

// isEndedBy reports whether the regular end of a response is the end of a stream with which
// it goes on. rest is what followed the last relayed event. A response that neither has an
// event nor says by its own end that none is left may be an error or cut off.
func (st *streamState) isEndedBy(ex *backend.Exchange, rest []byte) bool {
	for block := range bytes.SplitSeq(rest, eventSeparator) {
		if block = bytes.Trim(block, "\r\n"); len(block) > 0 && !isEvent(block) {
			return false
		}
	}
	hasEvent := st.events > st.eventsBefore || hasData(rest)
	return hasEvent || (!ex.EndsWithConnection() && ex.Response.ContentLength != 0)
}

// isEvent reports whether a block of a stream is an event or a comment.
func isEvent(block []byte) bool {
	for _, field := range []string{":", "data", "event", "id", "retry"} {
		if bytes.HasPrefix(block, []byte(field)) {
			return true
		}
	}
	return hasData(block)
}

// hasAnyEvent reports whether the caller has received an event of the stream, also in an
// earlier request that it goes on with.
func (re *request) hasAnyEvent() bool {
	if re.stream == nil {
		return re.headers.LastEventID != ""
	}
	return !re.stream.firstAt.IsZero() || re.stream.resumeAfter != ""
}

// endsWithEvent reports whether data is blank or ends with a complete event.
func endsWithEvent(data []byte) bool {
	trimmed := bytes.TrimRight(data, "\r\n")
	return len(trimmed) == 0 || bytes.HasPrefix(data[len(trimmed):], eventSeparator)
}
