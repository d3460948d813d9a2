package engine

import (
	"io"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/tmaxmax/go-sse"

	mp "github.com/mangopaddle/mangopaddle"
)

// stream is the state of one relayed stream.
type stream struct {
	request  Request
	count    mp.Tokens
	complete bool
}

// relay passes on the events that are new to the caller. It returns only
// errors of the request's own function; a broken stream is one that is not
// complete.
func (st *stream) relay(body io.Reader) error {
	var failed error
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: int(maxEvent)})
	events(func(ev sse.Event, err error) bool {
		if err != nil {
			return false
		}
		if ev.Data == mp.StreamEnd {
			st.complete = true
			return false
		}
		failed = st.pass(ev)
		return failed == nil
	})
	return errors.Trace(failed)
}

// pass hands an event on unless the caller has its tokens. An event without a
// number, or with the number that a stream was resumed at, carries no new token;
// only the usage may come that way.
func (st *stream) pass(ev sse.Event) error {
	number, err := strconv.ParseInt(ev.LastEventID, 10, 64)
	if err != nil {
		return st.request.OnEvent(Event{TokenCount: st.count, Data: ev.Data})
	}
	count := mp.Tokens(number)
	if count < st.count || (count == st.request.ResumeAt && count > 0 && !IsUsage(ev.Data)) {
		return nil
	}
	st.count = count
	return st.request.OnEvent(Event{TokenCount: count, Data: ev.Data})
}

// IsUsage says whether an event's data is the usage at the end of a stream,
// which carries no token.
func IsUsage(data string) bool {
	return strings.Contains(data, `"choices":[]`)
}
