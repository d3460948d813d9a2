package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform"
)

const (
	// defaultBodyLimit bounds a body if the configuration doesn't.
	defaultBodyLimit = 4 * mp.Mebibyte
	// soonAgain is the Retry-After of a refusal whose cause lasts a moment.
	soonAgain = 300 * time.Millisecond
)

// serveCaller implements http.Handler for callers.
func (ga *Gateway) serveCaller(rw http.ResponseWriter, rq *http.Request) {
	re := &request{rw: rw, rq: rq, arrived: ga.clock.Now(), snapshot: ga.view.Load()}
	ga.inFlight.Add(1)
	defer ga.inFlight.Add(-1)
	if ga.stopping.Load() || len(rq.TransferEncoding) > 0 {
		// net/http doesn't tell whether a body in chunks came with a length too.
		// What follows such a body may be meant as part of it, so it isn't read.
		rw.Header().Set("Connection", "close")
	}
	ga.awaitConfiguration(re)
	if err := ga.admit(re); err != nil {
		ga.refuse(re, err)
		return
	}
	ctx, cancel := re.context()
	defer cancel()
	ga.run(ctx, re)
}

// firstWait is how long a request waits for the first configuration after the
// host's start; the store answers within a few milliseconds.
const firstWait = 700 * time.Millisecond

// awaitConfiguration holds a request that came before the first configuration.
func (ga *Gateway) awaitConfiguration(re *request) {
	if re.snapshot.Table != nil {
		return
	}
	select {
	case <-ga.view.Ready():
	case <-ga.clock.After(firstWait):
	case <-re.rq.Context().Done():
	}
	re.snapshot = ga.view.Load()
}

// admit reads what the request says and checks it against the configuration. An
// error means that the request reaches no backend server.
func (ga *Gateway) admit(re *request) *mp.Error {
	table := re.snapshot.Table
	if table == nil {
		return mp.NewError(mp.KindNotConfigured, "no configuration yet")
	}
	if ga.closing.Load() {
		return mp.NewError(mp.KindStopping, "this host is stopping")
	}
	route, ok := table.Match(re.rq.Host, path(re.rq))
	if !ok {
		return mp.NewError(mp.KindNotFound, "no route for host %q and path %q in configuration %d", re.rq.Host, path(re.rq), table.Version)
	}
	re.route = route
	caller, err := platform.DecodeRequestHeaders(re.rq.Header)
	re.caller = caller
	if !route.Public && table.NeedsKeys() {
		holder, ok := table.OrganisationByKey(caller.APIKey)
		if !ok {
			return mp.NewError(mp.KindUnauthorized, "unknown key in configuration %d", table.Version)
		}
		re.holder = holder
	}
	if err != nil {
		return mp.NewError(mp.KindInvalidRequest, "%v", err)
	}
	re.service, re.rank = route.ServiceFor(caller.ID), table.Rank(route, re.holder)
	re.setDeadlines()
	return ga.receive(re, table.Limits.MaxBodyBytes)
}

// setDeadlines bounds the request by the caller's deadline and the route's
// timeout.
func (re *request) setDeadlines() {
	if re.route.Timeout > 0 {
		re.deadline = re.arrived.Add(re.route.Timeout)
	}
	if re.caller.Timeout <= 0 {
		re.callerDeadline = re.deadline
		return
	}
	re.callerDeadline = re.arrived.Add(re.caller.Timeout)
	if re.deadline.IsZero() || re.callerDeadline.Before(re.deadline) {
		re.deadline = re.callerDeadline
	}
}

// receive reads the body.
func (ga *Gateway) receive(re *request, limit mp.Bytes) *mp.Error {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if !re.deadline.IsZero() {
		_ = http.NewResponseController(re.rw).SetReadDeadline(time.Now().Add(re.deadline.Sub(re.arrived)))
	}
	body, err := readBody(re.rq, re.rw, limit)
	_ = http.NewResponseController(re.rw).SetReadDeadline(time.Time{})
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return mp.NewError(mp.KindRequestTooLarge, "body over %d bytes", limit)
		}
		re.rw.Header().Set("Connection", "close")
		return mp.NewError(mp.KindInvalidRequest, "body: %v", err)
	}
	re.body = body
	re.header = platform.SanitiseRequestHeader(re.rq.Header)
	return nil
}

// refuse answers a request that no backend server ran.
func (ga *Gateway) refuse(re *request, err *mp.Error) {
	answer := err.Kind.Response()
	after := err.RetryAfter
	if after == 0 {
		after = answer.RetryAfter
	}
	if re.rq.Context().Err() != nil {
		re.log(ga.logger.Info(), "caller_gone").Str("kind", err.Kind.String()).Msg("caller left before the answer")
		return
	}
	ga.counters.refused(err.Kind)
	line := re.log(ga.logger.Info(), "refused").Str("kind", err.Kind.String()).Int("status", answer.Status).
		Bool("may_have_run", re.mayHaveRun).Int("attempts", re.attempts).Dur("retry_after_ms", after).
		Int64("version", int64(re.snapshot.Version())).Dur("list_age_ms", ga.clock.Since(ga.view.Load().ListConfirmedAt)).
		Dur("took_ms", ga.clock.Since(re.arrived)).Str("cause", err.Error())
	if re.route != nil {
		line = line.Str("route", string(re.route.Name))
	}
	if re.service != "" {
		line = line.Str("service", string(re.service)).Int("priority", re.rank.Priority)
	}
	line.Msg("request refused")
	platform.SetErrorHeaders(re.rw.Header(), re.caller.ID, after)
	re.rw.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := answer.Code + ": " + strings.ReplaceAll(err.Error(), "\n", " ") + "\n"
	re.rw.WriteHeader(answer.Status)
	_, _ = re.rw.Write([]byte(text)) // the server logs a broken connection
}

// run sends the request until it is answered or given up.
func (ga *Gateway) run(ctx context.Context, re *request) {
	ga.countRequest(re)
	for {
		ch, err := ga.place(re)
		if err != nil {
			ga.giveUp(ctx, re, err)
			return
		}
		result := ga.attempt(ctx, re, ch)
		if result.done {
			return
		}
		if err := ga.mayRetry(ctx, re, ch, result); err != nil {
			ga.giveUp(ctx, re, err)
			return
		}
	}
}

// giveUp gives the final answer to a request that can't be served.
func (ga *Gateway) giveUp(ctx context.Context, re *request, err *mp.Error) {
	switch {
	case re.stream != nil:
		re.log(ga.logger.Warn(), "stream_broken").Str("cause", err.Error()).Str("last_event", re.stream.lastEvent()).
			Int("attempts", re.attempts).Dur("took_ms", ga.clock.Since(re.arrived)).Msg("stream ended early")
		ga.counters.broken()
		panic(http.ErrAbortHandler) // closes the connection without a regular end
	case re.failure != nil:
		ga.deliver(re, re.failure)
	case ctx.Err() == context.DeadlineExceeded && re.mayHaveRun:
		ga.refuse(re, mp.NewError(mp.KindOutcomeUnknown, "timed out after %v: %v", ga.clock.Since(re.arrived), err))
	case re.mayHaveRun:
		ga.refuse(re, mp.NewError(mp.KindBackendFailed, "%v", err))
	default:
		ga.refuse(re, err)
	}
}

// deliver passes on a whole answer of a backend server.
func (ga *Gateway) deliver(re *request, an *wholeAnswer) {
	he := re.rw.Header()
	for name, values := range an.header {
		he[name] = values
	}
	re.rw.WriteHeader(an.status)
	_, err := re.rw.Write(an.body)
	ga.logEnd(re, an.server, an.status, err)
}

// logEnd writes the line of an answer that was passed on.
func (ga *Gateway) logEnd(re *request, server mp.ServerID, status int, err error) {
	took := ga.clock.Since(re.arrived)
	ga.counters.answered(re, status, took)
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
	line.Msg("answer passed on")
}
