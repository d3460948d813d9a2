package engine

import (
	"io"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	mp "github.com/mangopaddle/mangopaddle"
)

// maxReportedBytes is how much of an error that an engine reports is logged.
const maxReportedBytes = 300

// stream is the state of one relayed stream.
type stream struct {
	request    Request
	tokenCount mp.Tokens
	complete   bool
	reported   error // the error that the engine reported in an event; nil for none
}

// relay delivers the events that the caller does not have yet. It returns only
// errors of the request's OnEvent; a stream that breaks off, or in which the engine
// reports an error, leaves complete false.
func (st *stream) relay(body io.Reader) error {
	var eventErr error
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: int(maxEventBytes)})
	events(func(ev sse.Event, err error) bool {
		if err != nil {
			return false
		}
		if isError(ev) {
			st.reported = errors.Errorf("the engine reported %.*q", maxReportedBytes, ev.Data)
			return false
		}
		if ev.Data == mp.StreamEnd {
			st.complete = true
			return false
		}
		eventErr = st.deliver(ev)
		return eventErr == nil
	})
	return errors.Trace(eventErr)
}

// deliver passes an event to OnEvent unless the caller already has its tokens.
// An event with the ID at which the stream was resumed carries no new token, and
// is passed on only if it is the usage event. An event without a numeric ID is
// passed on with the current token count.
func (st *stream) deliver(ev sse.Event) error {
	eventID, err := strconv.ParseInt(ev.LastEventID, 10, 64)
	if err != nil {
		return st.request.OnEvent(Event{TokenCount: st.tokenCount, Data: ev.Data})
	}
	tokenCount := mp.Tokens(eventID)
	if tokenCount < st.tokenCount || (tokenCount == st.request.ResumeAt && tokenCount > 0 && !IsUsage(ev.Data)) {
		return nil
	}
	st.tokenCount = tokenCount
	return st.request.OnEvent(Event{TokenCount: tokenCount, Data: ev.Data})
}

// isError reports whether an event is an error of the engine, which ends its work.
func isError(ev sse.Event) bool {
	if ev.Type == "error" {
		return true
	}
	if !strings.Contains(ev.Data, `"error"`) {
		return false
	}
	reported := gjson.Get(ev.Data, "error")
	return reported.IsObject() && reported.Raw != "{}" || reported.Type == gjson.String && reported.Str != ""
}

// IsUsage reports whether an event's data is the usage event at the end of a
// stream, which carries no token.
func IsUsage(data string) bool {
	return strings.Contains(data, `"choices":[]`)
}
