package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

const (
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
	// resumed reports that an attempt goes on with the stream, after an earlier attempt or
	// because the caller asked for it; it began when eventsBefore events had been relayed.
	resumed      bool
	eventsBefore int
	// resumeAfter is the Last-Event-ID of the caller's own request.
	resumeAfter string
	// software is the version of the server that began the stream; empty if unknown.
	software mp.SoftwareVersion
	// mediaType is that of the response that the caller receives, and encoded reports that
	// its body is.
	mediaType string
	encoded   bool
	// firstAt and lastAt are the times of the first and the last relayed events;
	// longestGap is the longest time between two.
	firstAt, lastAt time.Time
	longestGap      time.Duration
	// mark is that of the last relayed event, with which markedEvents events were relayed.
	mark         placement.EventMark
	markedEvents int
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

// silence returns the time since the last relayed event; zero if there was none.
func (st *streamState) silence(now time.Time) time.Duration {
	if st.lastAt.IsZero() {
		return 0
	}
	return now.Sub(st.lastAt)
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
// its header: a success with a stream of events or of the type that the stream began with.
// Whether a response without a type is one shows in its events. Parts of an encoded stream
// can't be joined.
func (st *streamState) isContinuedBy(response *http.Response) bool {
	ty := mediaType(response)
	return response.StatusCode == http.StatusOK && (ty == eventStreamType || ty == "" || ty == st.mediaType) &&
		!isEncoded(response) && !st.encoded
}

// isEncoded reports whether the body of a response is encoded.
func isEncoded(response *http.Response) bool {
	encoding := response.Header.Get("Content-Encoding")
	return encoding != "" && !strings.EqualFold(encoding, "identity")
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
	if !re.hedge.acquire() {
		return takenOver()
	}
	if re.hasBegun() {
		re.hedge.restart()
	}
	if st := re.stream; st != nil {
		st.resumed, st.eventsBefore = true, st.events
		st.mark = placement.EventMark{} // another engine
	}
	re.hedge.release(re.idleTimeout(ch))
	for {
		count, err := ex.Response.Body.Read(chunk)
		pending = append(pending, chunk[:count]...)
		if bytes.Contains(pending, eventSeparator) {
			if !re.hedge.acquire() {
				return takenOver()
			}
			relayed, cause := ga.relayEvents(re, ch, ex, pending)
			if cause != nil {
				return ga.streamFailure(re, ch, cause)
			}
			if relayed > 0 {
				recordFirstEvent()
				ga.recordStreamEvents(re, ch)
				ga.recordProgress(re, false)
				pending = append(pending[:0], pending[relayed:]...)
			}
			re.hedge.release(re.idleTimeout(ch))
		}
		switch {
		case err == io.EOF:
			return ga.endStream(re, ch, ex, pending, headers)
		case err != nil:
			return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Annotate(err, "stream")}
		case len(pending) > maxEventBytes || !re.held.Hold(cap(pending)):
			return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Errorf("%d bytes without an event", len(pending))}
		}
	}
}

const (
	// The idle timeout of a resumable stream, after which another server is asked to
	// go on with it, is streamIdleGapFactor times the route's event gap target, and at
	// least minStreamIdleTimeout.
	streamIdleGapFactor  = 4
	minStreamIdleTimeout = 600 * time.Millisecond
)

// idleTimeout returns the idle timeout of a resumable stream that has attempts left; zero
// for other streams. It is measured from each relayed event and not from single bytes,
// which a stalled server may go on sending. Until an attempt has relayed the first event
// of the request, it is the responseTimeout.
func (re *request) idleTimeout(ch placement.Choice) time.Duration {
	switch {
	case !re.hasBegun():
		return re.responseTimeout(ch)
	case ch.Server.IsHost || !re.repeatable() || re.attempts >= re.route.MaxAttempts || re.route.EventGapTarget <= 0:
		return 0
	}
	return max(minStreamIdleTimeout, streamIdleGapFactor*re.route.EventGapTarget)
}

// hasBegun reports whether an event has been relayed.
func (re *request) hasBegun() bool { return re.stream != nil && !re.stream.firstAt.IsZero() }

// streamFailure returns the result of a failed stream. A failed write to the caller
// ends the request; an error in the order of events fails only the attempt.
func (ga *Gateway) streamFailure(re *request, ch placement.Choice, cause error) result {
	if errors.Is(cause, errCallerWrite) {
		ga.recordResponse(re, ch.Server.ID, re.status, cause)
		return result{done: true, outcome: placement.Cancelled, mayHaveRun: true, err: cause}
	}
	return result{outcome: placement.Failed, mayHaveRun: true, err: cause}
}

// relayEvents writes the events of data that can be relayed to the caller, preceded by the
// response header if they are the first, and returns their length. Events before one that
// is out of order are still relayed, so that the stream can be resumed after them.
func (ga *Gateway) relayEvents(re *request, ch placement.Choice, ex *backend.Exchange, data []byte) (int, error) {
	st := re.stream
	if st == nil {
		st = newStreamState(re, ch.Server, ex.Response)
	}
	accepted, cause := st.acceptEvents(data)
	if len(accepted) > 0 {
		if re.stream == nil {
			ga.beginStream(re, ch, ex, st)
		}
		st.recordRelayed(ga.clock.Now())
		re.hedge.goOn()
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
// acceptEvents returns an error at the first event that is out of order and, in an attempt
// that goes on with a stream, at the first that is none.
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

// newStreamState returns the state of a stream that begins with the response of a server.
func newStreamState(re *request, server placement.Server, response *http.Response) *streamState {
	st := &streamState{
		software:    server.Software,
		resumeAfter: re.headers.LastEventID,
		mediaType:   mediaType(response),
		encoded:     isEncoded(response),
	}
	if id, err := strconv.ParseInt(st.resumeAfter, 10, 64); err == nil && re.route.Resumable {
		st.lastID, st.hasLastID, st.resumed = id, true, true
	}
	return st
}

// beginStream sets the stream state and writes the header of the backend server's response.
func (ga *Gateway) beginStream(re *request, ch placement.Choice, ex *backend.Exchange, st *streamState) {
	re.stream = st
	ga.recordOrigin(re)
	for name, values := range platform.StripHopByHop(ex.Response.Header) {
		re.rw.Header()[name] = values
	}
	re.setHostResponse(ch.Server.ID)
	re.status = ex.Response.StatusCode
	re.rw.WriteHeader(re.status)
}

// acceptEvent records one event and reports whether it has an ID. IDs must increase by
// one, also from the last event that the caller had before.
func (st *streamState) acceptEvent(event []byte) (bool, error) {
	if st.resumed && !isEvent(event) {
		return false, errors.Errorf("%.40q is no event", event)
	}
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

// writeAndFlush sends data to the caller immediately. The limiter of the connection ends it
// if the caller reads too slowly.
func (ga *Gateway) writeAndFlush(re *request, data []byte) error {
	controller := http.NewResponseController(re.rw)
	if _, err := re.rw.Write(data); err != nil {
		return errors.Annotatef(errCallerWrite, "%v", err)
	}
	if err := controller.Flush(); err != nil {
		return errors.Annotatef(errCallerWrite, "%v", err)
	}
	return nil
}

// endStream ends an attempt whose response has ended; rest is what followed the last relayed
// event.
func (ga *Gateway) endStream(re *request, ch placement.Choice, ex *backend.Exchange, rest []byte, headers platform.ResponseHeaders) result {
	if err := ga.checkEnd(re, ch, ex, headers); err != nil {
		return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Annotate(err, "stream")}
	}
	if !re.hedge.acquire() {
		return takenOver()
	}
	if failed := hostBrokeOff(re, ch, ex); failed != nil {
		return *failed
	}
	ga.recordProgress(re, endsWithEvent(rest) && re.hasAnyEvent())
	return ga.finishStream(re, ch, ex, rest, headers.IdleTimeout)
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
	st := re.stream
	if st == nil {
		st = newStreamState(re, ch.Server, ex.Response)
	}
	if st.resumed && !st.isEndedBy(ex, rest) {
		return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Annotate(io.ErrUnexpectedEOF, "the resumed stream ended without an event, or with something else")}
	}
	if re.stream == nil {
		ga.beginStream(re, ch, ex, st)
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
// it goes on. rest is what followed the last relayed event. A response without an event ends
// the stream only if it is a stream of events and says by its length or its last chunk that
// none is left: one that ends with its connection may have been cut.
func (st *streamState) isEndedBy(ex *backend.Exchange, rest []byte) bool {
	for block := range bytes.SplitSeq(rest, eventSeparator) {
		if !isEvent(block) {
			return false
		}
	}
	if st.events > st.eventsBefore || hasData(rest) {
		return true
	}
	return !ex.EndsWithConnection() && mediaType(ex.Response) == eventStreamType
}

// hasAnyEvent reports whether the caller has received an event of the stream, also in an
// earlier request that it goes on with.
func (re *request) hasAnyEvent() bool {
	if re.stream == nil {
		return re.headers.LastEventID != ""
	}
	return !re.stream.firstAt.IsZero() || re.stream.resumeAfter != ""
}
