package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/routing"
)

// request is one request of a caller on its way through the host.
type request struct {
	rw       http.ResponseWriter
	rq       *http.Request
	arrived  time.Time
	snapshot *follow.Snapshot
	caller   platform.RequestHeaders
	route    *routing.Route
	holder   *routing.Organisation // nil on public routes
	service  mp.ServiceName
	rank     routing.Rank
	body     []byte
	header   http.Header // as backend servers get it, without what varies
	// deadline is the caller's or the route's, whichever is sooner; zero for
	// none.
	deadline time.Time
	// callerDeadline is when the caller stops waiting; zero if it doesn't say.
	callerDeadline time.Time

	// attempts counts the sends that a backend server may have seen.
	attempts int
	// mayHaveRun says that a backend server may have run the request.
	mayHaveRun bool
	// tried are the servers that the request is not sent to again.
	tried []mp.ServerID
	// failure is the last failed answer that a backend server signed.
	failure *wholeAnswer
	// stream is the answer that was begun; nil before.
	stream *streamState
	// status is that of the begun answer.
	status int
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	server mp.ServerID
}

// left returns the time until the deadline that is passed on.
func (re *request) left(now time.Time) time.Duration {
	if re.callerDeadline.IsZero() {
		return 0
	}
	return max(time.Millisecond, re.callerDeadline.Sub(now))
}

// work returns the request as the placement sees it.
func (re *request) work(now time.Time) *placement.Request {
	return &placement.Request{
		TimeToDeadline:  re.left(now),
		Priority:        re.rank.Priority,
		JitterSensitive: isSteady(re.snapshot.Table, re.route, re.service),
		Service:         re.service,
		Prompt:          re.caller.PromptParts,
		PromptTokens:    re.caller.PromptTokens,
		BodyBytes:       len(re.body),
		LatencyTarget:   re.route.LatencyTarget,
		Exclude:         re.tried,
	}
}

// repeatable says whether the request may be sent again after it may have run.
func (re *request) repeatable() bool {
	return re.route.Repeatable()
}

// log starts a line about the request.
func (re *request) log(ev *zerolog.Event, event string) *zerolog.Event {
	return ev.Str("event", event).Str("request", string(re.caller.ID))
}

// path returns the path of the request as the caller sent it.
func path(rq *http.Request) string {
	path, _, _ := strings.Cut(rq.RequestURI, "?")
	return path
}

// readBody reads the caller's body whole, so that nothing of a request that is
// incomplete reaches a backend server.
func readBody(rq *http.Request, rw http.ResponseWriter, limit mp.Bytes) ([]byte, error) {
	if rq.ContentLength == 0 {
		return nil, nil
	}
	limited := http.MaxBytesReader(rw, rq.Body, int64(limit))
	if rq.ContentLength > 0 && rq.ContentLength <= int64(limit) {
		body := make([]byte, rq.ContentLength)
		_, err := io.ReadFull(limited, body)
		return body, err
	}
	return io.ReadAll(limited)
}

// context returns a context that ends with the caller's connection or at the
// deadline.
func (re *request) context() (context.Context, context.CancelFunc) {
	if re.deadline.IsZero() {
		return context.WithCancel(re.rq.Context())
	}
	return context.WithDeadline(re.rq.Context(), re.deadline)
}
