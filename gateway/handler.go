package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/clientlimit"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/routing"
)

const (
	// defaultMaxBodyBytes is the body size limit if the configuration sets none.
	defaultMaxBodyBytes = 4 * mp.Mebibyte
	// noBackendRetryAfter is the Retry-After of a request for which no backend server
	// is available. It is short because the cause is short-lived.
	noBackendRetryAfter = 300 * time.Millisecond
)

// serveCaller handles a request of a caller.
func (ga *Gateway) serveCaller(rw http.ResponseWriter, rq *http.Request) {
	ga.serveRequest(ga.newRequest(rw, rq))
}

// newRequest returns the state of a request that has just arrived.
func (ga *Gateway) newRequest(rw http.ResponseWriter, rq *http.Request) *request {
	return &request{rw: rw, rq: rq, arrived: ga.clock.Now(), snapshot: ga.view.Load()}
}

// serveRequest handles a request, of a caller or forwarded by another host.
func (ga *Gateway) serveRequest(re *request) {
	re.held = ga.buffers.Reserve()
	defer re.held.Release()
	defer re.releaseBody()
	ga.inFlight.Add(1)
	defer ga.inFlight.Add(-1)
	if ga.draining.Load() || len(re.rq.TransferEncoding) > 0 {
		// A draining host closes its connections. For a chunked request, net/http does
		// not report whether it also had a Content-Length: what follows could be smuggled
		// request data, so the connection is not reused.
		re.rw.Header().Set("Connection", "close")
	}
	ga.awaitConfiguration(re)
	if err := ga.admit(re); err != nil {
		ga.respondError(re, err)
		return
	}
	ctx, cancel := re.context()
	defer cancel()
	defer context.AfterFunc(ga.ending, cancel)()
	if err := ga.findOrigin(ctx, re); err != nil {
		ga.respondError(re, err)
		return
	}
	ga.dispatch(ctx, re)
}

// initialConfigWait is how long a request waits at most for the first configuration
// after the host has started. The store usually responds within a few milliseconds.
const initialConfigWait = 700 * time.Millisecond

// awaitConfiguration holds a request until the first configuration has arrived, for at
// most initialConfigWait.
func (ga *Gateway) awaitConfiguration(re *request) {
	if re.snapshot.Table != nil {
		return
	}
	select {
	case <-ga.view.Ready():
	case <-ga.clock.After(initialConfigWait):
	case <-re.rq.Context().Done():
	}
	re.snapshot = ga.view.Load()
}

// admit decodes and validates the request, finds its route, organisation and
// service, and reads its body. If it returns an error, the request is not sent to
// any backend server.
func (ga *Gateway) admit(re *request) *mp.Error {
	headers, err := platform.DecodeRequestHeaders(re.rq.Header)
	re.headers, re.segments = headers, sharedSegments(headers)
	if refusal := ga.hostRequestRefusal(re); refusal != nil {
		return refusal
	}
	table := re.snapshot.Table
	if table == nil {
		return mp.NewError(mp.KindNotConfigured, "no configuration yet")
	}
	if ga.refusing.Load() {
		return mp.NewError(mp.KindStopping, "this host is stopping")
	}
	route, ok := table.Match(re.rq.Host, path(re.rq))
	if !ok {
		return mp.NewError(mp.KindNotFound, "no route for host %q and path %q in configuration %d", re.rq.Host, path(re.rq), table.Version)
	}
	re.route = route
	if re.organisation, ok = table.Authorise(route, headers.APIKey); !ok {
		return mp.NewError(mp.KindUnauthorized, "unknown key in configuration %d", table.Version)
	}
	if err != nil { // checked after the key: without a valid one, the error is KindUnauthorized
		return mp.NewError(mp.KindInvalidRequest, "%v", err)
	}
	re.service, re.rank = route.ServiceFor(headers.ID), table.Rank(route, re.organisation)
	re.regions = routing.AllowedRegions(route, re.organisation)
	re.setDeadlines()
	return ga.receiveBody(re, table.Limits)
}

// setDeadlines derives the request's deadlines from the caller's timeout and the
// route's timeout.
func (re *request) setDeadlines() {
	if re.route.Timeout > 0 {
		re.deadline = re.arrived.Add(re.route.Timeout)
	}
	if re.headers.Timeout <= 0 {
		re.callerDeadline = re.deadline
		return
	}
	re.callerDeadline = re.arrived.Add(re.headers.Timeout)
	if re.deadline.IsZero() || re.callerDeadline.Before(re.deadline) {
		re.deadline = re.callerDeadline
	}
}

// receiveBody reads the request body, up to the configured limit or defaultMaxBodyBytes, and
// prepares the header for backend servers.
func (ga *Gateway) receiveBody(re *request, limits routing.Limits) *mp.Error {
	op := clientlimit.BodyOptions{Limit: limits.MaxBodyBytes, MaxGap: limits.IdleTimeout}
	if op.Limit <= 0 {
		op.Limit = defaultMaxBodyBytes
	}
	if !re.deadline.IsZero() {
		op.Deadline = time.Now().Add(re.deadline.Sub(re.arrived))
	}
	body, err := clientlimit.ReadBody(re.rw, re.rq, op)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return mp.NewError(mp.KindRequestTooLarge, "body over %d bytes", op.Limit)
		}
		clientlimit.CloseAfterResponse(re.rw)
		if errors.Is(err, clientlimit.ErrNoRoom) {
			return mp.NewError(mp.KindOverloaded, "%v", err)
		}
		return mp.NewError(mp.KindInvalidRequest, "body: %v", err)
	}
	re.setBody(body)
	re.forwardHeader = platform.SanitiseRequestHeader(re.rq.Header)
	return nil
}

// respondError sends an error response of the gateway itself. If the caller has
// disconnected it aborts the connection.
func (ga *Gateway) respondError(re *request, err *mp.Error) {
	response := err.Kind.Response()
	retryAfter := err.RetryAfter
	if retryAfter == 0 {
		retryAfter = response.RetryAfter
	}
	if re.rq.Context().Err() != nil {
		re.log(ga.logger.Info(), "caller_gone").Str("kind", err.Kind.String()).Msg("caller disconnected before the response")
		panic(http.ErrAbortHandler) // a return would send an empty success to a caller that only stopped sending
	}
	ga.counters.countRefusal(err.Kind)
	line := re.log(ga.logger.Info(), "refused").Str("kind", err.Kind.String()).Int("status", response.Status).
		Bool("may_have_run", re.mayHaveRun).Int("attempts", re.attempts).Dur("retry_after_ms", retryAfter).
		Int64("version", int64(re.snapshot.Version())).Dur("list_age_ms", ga.clock.Since(ga.view.Load().ListConfirmedAt)).
		Dur("took_ms", ga.clock.Since(re.arrived)).Str("cause", err.Error())
	if re.route != nil {
		line = line.Str("route", string(re.route.Name))
	}
	if re.service != "" {
		line = line.Str("service", string(re.service)).Int("priority", re.rank.Priority)
	}
	line.Msg("request refused")
	platform.SetErrorHeaders(re.rw.Header(), re.headers.ID, retryAfter)
	re.setHostError(err.Kind)
	re.rw.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := response.Code + ": " + strings.ReplaceAll(err.Error(), "\n", " ") + "\n"
	re.rw.WriteHeader(response.Status)
	_, _ = re.rw.Write([]byte(text)) // the caller may have disconnected
}

// dispatch sends the request to backend servers until one attempt succeeds or no
// retry is allowed.
func (ga *Gateway) dispatch(ctx context.Context, re *request) {
	if !ga.canForward(re) { // otherwise the other host credits its own budget
		ga.creditRetryBudget(re)
	}
	for {
		err := ga.stopRefusal(re)
		if err == nil {
			err = ga.quarantineRefusal(re)
		}
		if err != nil {
			ga.fail(ctx, re, err)
			return
		}
		ch, err := ga.selectServer(ctx, re)
		if err != nil {
			ga.fail(ctx, re, err)
			return
		}
		ch, result := ga.attempt(ctx, re, ch)
		if result.done {
			if result.err != nil {
				panic(http.ErrAbortHandler) // the response is not complete and must not look so
			}
			return
		}
		if err := ga.checkRetry(ctx, re, ch, result); err != nil {
			ga.fail(ctx, re, err)
			return
		}
	}
}

// fail ends a request after its last attempt. It aborts a stream that has started,
// and otherwise relays the last error response of a backend server or sends an
// error of the gateway.
func (ga *Gateway) fail(ctx context.Context, re *request, err *mp.Error) {
	switch {
	case re.stream != nil:
		re.log(ga.logger.Warn(), "stream_broken").Str("cause", err.Error()).Str("last_event", re.stream.lastEventID()).
			Int("attempts", re.attempts).Int("most_attempts", re.route.MaxAttempts).Int("servers", len(re.tried)).
			Dur("silent_ms", re.stream.silence(ga.clock.Now())).Dur("left_ms", re.remaining(ga.clock.Now())).
			Int64("version", int64(re.snapshot.Version())).Dur("list_age_ms", ga.clock.Since(ga.view.Load().ListConfirmedAt)).
			Dur("took_ms", ga.clock.Since(re.arrived)).Msg("stream aborted before its end")
		ga.counters.countBrokenStream()
		if re.forwarded != nil {
			platform.SetBrokenOff(re.rw.Header(), re.attempts)
			return
		}
		panic(http.ErrAbortHandler) // aborts the connection, so that the stream does not look complete
	case err == re.hostRefusal:
		ga.respondError(re, err)
	case re.lastFailure != nil:
		ga.writeResponse(re, re.lastFailure)
	case ctx.Err() == context.DeadlineExceeded && re.mayHaveRun:
		ga.respondError(re, mp.NewError(mp.KindOutcomeUnknown, "timed out after %v: %v", ga.clock.Since(re.arrived), err))
	case re.mayHaveRun:
		ga.respondError(re, mp.NewError(mp.KindBackendFailed, "%v", err))
	default:
		ga.respondError(re, err)
	}
}

// writeResponse relays a buffered response of a backend server.
func (ga *Gateway) writeResponse(re *request, response *bufferedResponse) {
	he := re.rw.Header()
	for name, values := range response.header {
		he[name] = values
	}
	re.setHostResponse(response.server)
	re.rw.WriteHeader(response.status)
	_, err := re.rw.Write(response.body)
	ga.recordResponse(re, response.server, response.status, err)
}

// recordResponse logs and counts a relayed response. err is the error of writing it
// to the caller, or nil.
func (ga *Gateway) recordResponse(re *request, server mp.ServerID, status int, err error) {
	took := ga.clock.Since(re.arrived)
	ga.counters.countResponse(re, status, took)
	if err == nil && status < http.StatusMultipleChoices {
		ga.durations.record(re.route.Name, took)
	}
	line := re.log(ga.logger.Info(), "answered").Str("server", string(server)).Int("status", status).
		Int("attempts", re.attempts).Dur("took_ms", took)
	if st := re.stream; st != nil && !st.firstAt.IsZero() {
		line = line.Str("route", string(re.route.Name)).Int("events", st.events).
			Dur("first_ms", st.firstAt.Sub(re.arrived)).Dur("target_ms", re.route.LatencyTarget).
			Dur("longest_gap_ms", st.longestGap).Dur("gap_target_ms", re.route.EventGapTarget)
	}
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("response relayed")
}
