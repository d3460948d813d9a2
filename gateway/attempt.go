package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

const (
	// maxIdleNonRepeatable is the longest idle time of a pooled connection that is
	// reused for a request that must not run twice. The backend server may be
	// closing a connection that has been idle for longer.
	maxIdleNonRepeatable = time.Second
	// maxIdleRepeatable is the same limit for requests that may be repeated.
	maxIdleRepeatable = time.Minute
	// maxServersTried is the maximum number of backend servers tried for one
	// request, including servers that could not be reached.
	maxServersTried = 5
)

// result describes how an attempt ended.
type result struct {
	// done reports that the caller has received its response or has disconnected.
	done    bool
	outcome placement.Outcome
	// mayHaveRun reports that the backend server may have run the request.
	mayHaveRun bool
	err        error
	// refusal is the error of another host to which the request was forwarded, if it sent one.
	refusal *mp.Error
}

// selectServer chooses the backend server for the next attempt, and records and logs the
// start of the attempt. It returns an error if there is none, as chooseServer does.
func (ga *Gateway) selectServer(ctx context.Context, re *request) (placement.Choice, *mp.Error) {
	ch, refusal := ga.chooseInTurn(ctx, re)
	if refusal == nil {
		ga.logPlacement(re, ch)
	}
	return ch, refusal
}

// chooseServer chooses the backend server for an attempt, and records the start of the
// attempt with the placer. It returns an error if no server is available, or if
// the response is expected to start too late and that matters.
func (ga *Gateway) chooseServer(re *request, placementRequest *placement.Request, mayBeLate bool) (placement.Choice, *mp.Error) {
	if ch, ok := ga.chooseHost(re); ok {
		return ch, nil
	}
	if re.originLeft && re.stream == nil {
		return placement.Choice{}, ga.originRefusal(re)
	}
	now := ga.clock.Now()
	ga.overflow.restrict(placementRequest)
	ga.placerMu.Lock()
	ch, late, ok := ga.choose(now, re, placementRequest, mayBeLate)
	if ok && (late <= 0 || mayBeLate) {
		ga.placer.RecordStart(ch)
	}
	ga.placerMu.Unlock()
	ga.overflow.recordDemand(now, re, placementRequest, ch, ok)
	if !ok {
		return ch, ga.noServerRefusal(re, placementRequest)
	}
	if late > 0 && !mayBeLate {
		refusal := mp.NewError(mp.KindOverloaded, "expected to begin in %v at %q behind %v of other prompts, %v in the mean, %v too late with a queue share of %.2f",
			ch.ExpectedLatency-ch.LessUrgentWait, ch.Server.ID, ch.QueueWait, ch.MeanQueueWait, late, placementRequest.QueueShare)
		refusal.RetryAfter = re.retryAfter(now, late)
		ga.countOverFairLevel(ch, placementRequest)
		return ch, refusal
	}
	ga.overflow.recordPlacement(placementRequest, ch)
	return ch, nil
}

// placementRequest returns the properties of a request that placement needs.
func (ga *Gateway) placementRequest(re *request) *placement.Request {
	return re.placementRequest(ga.clock.Now(), ga.workloadsOf(re.snapshot.Table).byService[re.service])
}

// logPlacement logs the choice of a backend server with what it was based on.
func (ga *Gateway) logPlacement(re *request, ch placement.Choice) {
	now := ga.clock.Now()
	if ch.Server.IsHost {
		ga.logForward(re, ch)
		return
	}
	line := re.log(ga.logger.Info(), "placed").Str("route", string(re.route.Name)).Str("service", string(re.service)).
		Str("server", string(ch.Server.ID)).Int("attempt", re.attempts+1).Bool("home", ch.PrefixCached).
		Int("priority", re.rank.Priority).Int("in_flight", ch.InFlight).Int64("unread", int64(ch.PrefillTokens)).Dur("expected_ms", ch.ExpectedLatency).
		Dur("queue_wait_ms", ch.QueueWait).Dur("less_urgent_wait_ms", ch.LessUrgentWait).
		Int64("version", int64(re.snapshot.Version())).Dur("list_age_ms", now.Sub(ga.view.Load().ListConfirmedAt)).
		Dur("left_ms", re.remaining(now))
	if ch.Brittle {
		ga.counters.countBrittle("sent")
		line = line.Bool("brittle", true)
	}
	if ch.Cold {
		ga.counters.countCold("sent")
		line = line.Bool("cold", true)
	}
	if re.headers.LastEventID != "" {
		line = line.Str("resume_after", re.headers.LastEventID) // the caller goes on with a stream that broke off
	}
	line.Msg("backend server selected")
}

// minOverloadRetryAfter is the minimum Retry-After of an overload response.
const minOverloadRetryAfter = 100 * time.Millisecond

// retryAfter returns the Retry-After of a request whose response is expected to
// start too late. It is the time in which the excess prompts are processed, but at
// most a third of the remaining time, so that a retry can still be served.
func (re *request) retryAfter(now time.Time, late time.Duration) time.Duration {
	after := max(late, minOverloadRetryAfter)
	if remaining := re.remaining(now); remaining > 0 {
		after = min(after, remaining/3)
	}
	return after
}

// attempt sends the request to a backend server and relays the response. If that server is
// silent and another one takes over, it relays the response of that one; it returns the
// choice of the server that was last.
func (ga *Gateway) attempt(ctx context.Context, re *request, ch placement.Choice) (placement.Choice, result) {
	at := &attempt{choice: ch, startedAt: ga.clock.Now(), maxIdle: re.maxIdle()}
	for {
		res, replacement := ga.hedgedExchange(ctx, re, at)
		ga.endAttempt(ctx, re, at, res)
		if res.mayHaveRun {
			re.mayHaveRun = true
		}
		if replacement == nil {
			return at.choice, res
		}
		re.exclude(at.choice.Server)
		ga.logFailedAttempt(re, at.choice, res, "taken over by "+string(replacement.choice.Server.ID))
		at = replacement
	}
}

// hedgedExchange makes an attempt with a hedge. It returns the attempt that takes over if
// its server fails; nil if none does.
func (ga *Gateway) hedgedExchange(ctx context.Context, re *request, at *attempt) (result, *attempt) {
	re.hedge = ga.startHedge(ctx, re, at)
	defer re.hedge.close()
	res := ga.exchange(ctx, re, at)
	if res.done {
		return res, nil
	}
	replacement := re.hedge.settle()
	if replacement != nil && (backend.IsInterrupted(res.err) || errors.Is(res.err, errTakenOver)) {
		res.outcome, res.err = placement.Cancelled, errTakenOver // the placer knows of the silence
	}
	return res, replacement
}

// endAttempt closes an attempt and tells the placer and the inspector how it ended.
func (ga *Gateway) endAttempt(ctx context.Context, re *request, at *attempt, res result) {
	at.close()
	if at.choice.Server.IsHost {
		ga.recordForward(res)
		return
	}
	if ctx.Err() != nil && res.outcome != placement.Succeeded {
		res.outcome = placement.Cancelled
	}
	ga.placerMu.Lock()
	ga.placer.RecordEnd(ga.clock.Now(), at.choice, at.firstEventSeen, res.outcome)
	ga.placerMu.Unlock()
	ga.recordPlaceEnd(at, res.outcome)
	if res.outcome == placement.Succeeded && !at.choice.Server.IsEngine {
		ga.overflow.recordServiceTime(at.choice.Server.Service, ga.clock.Since(at.sentAt))
	}
	if backend.IsUnacknowledged(res.err) {
		ga.partition.recordFailure(at.choice.Server.ID)
	}
	if len(re.segments) > 0 && ctx.Err() == nil && backend.IsBrokenOff(res.err) {
		ga.inspector.submit(brokenAttempt{
			request: re.headers.ID, server: at.choice.Server, segments: re.segments,
			startedAt: at.startedAt, endedAt: ga.clock.Now(), wentOn: at.progress.recorded,
		})
	}
}

// exchange sends the request unless a hedge has done so, and relays the response.
func (ga *Gateway) exchange(ctx context.Context, re *request, at *attempt) result {
	if at.exchange == nil {
		if res := ga.connect(ctx, re, at); res != nil {
			return *res
		}
		rq := re.backendRequest(at.choice, at.sentAt)
		re.attempts++
		re.hedge.release(re.responseTimeout(at.choice))
		if res := ga.send(ctx, re, at, rq); res != nil {
			return *res
		}
	} else {
		re.hedge.release(re.responseTimeout(at.choice))
	}
	defer at.close()
	recordFirstEvent := func() {
		if !at.firstEventSeen {
			at.firstEventSeen = true
			now := ga.clock.Now()
			ga.placerMu.Lock()
			ga.placer.RecordFirstEvent(now, at.choice, now.Sub(at.sentAt))
			ga.placerMu.Unlock()
		}
	}
	return ga.relay(re, at.choice, at.exchange, recordFirstEvent, at.headers)
}

// connect takes a pooled connection or opens a new one. It returns nil, or the result of
// the failed attempt.
func (ga *Gateway) connect(ctx context.Context, re *request, at *attempt) *result {
	ga.introduce(ctx, re, at)
	co, err := ga.poolOf(at.choice.Server).GetFor(ctx, string(re.headers.ID), at.choice.Server.Address, at.maxIdle)
	if err != nil {
		ga.partition.recordDial(ctx, at, err)
		return &result{outcome: placement.Unreachable, err: err}
	}
	setUpTime := co.TakeSetUpTime()
	if setUpTime > 0 { // not from the pool
		ga.partition.recordDial(ctx, at, nil)
	}
	if at.choice.IsOverdue(ga.clock.Now()) {
		co.Interrupt()
		return &result{outcome: placement.Unreachable, err: errColdOverdue}
	}
	at.conn, at.sentAt = co, ga.clock.Now()
	ga.overflow.observeRoundTrip(at.choice.Server.DataCentre, setUpTime)
	return nil
}

// send sends the request on the connection of an attempt and reads the header of the
// response. It returns nil, or the result of the failed attempt.
func (ga *Gateway) send(ctx context.Context, re *request, at *attempt, rq *http.Request) *result {
	matches := func(response *http.Response) bool {
		at.headers = platform.DecodeResponseHeaders(response) // those of the response that Send returns stay
		matches := re.matches(at.headers, at.conn.Reused())
		if !at.choice.Server.IsHost {
			ga.recordNotices(re, at.choice, at.headers, matches)
		}
		return matches
	}
	ex, err := at.conn.Send(ctx, ga.poolOf(at.choice.Server), rq, re.body, matches)
	if err != nil {
		return &result{outcome: placement.Failed, mayHaveRun: true, err: err}
	}
	at.exchange = ex
	if at.choice.Server.IsHost {
		ga.receiveHostResponse(re, at)
		return nil
	}
	if at.headers.Leaving {
		ex.CloseAfterUse()
	}
	return nil
}

// maxIdle returns the longest idle time of a connection that may be reused.
func (re *request) maxIdle() time.Duration {
	if re.repeatable() {
		return maxIdleRepeatable
	}
	return maxIdleNonRepeatable
}

const (
	// The response timeout is the larger of timeoutTargetFactor times the route's
	// latency target and timeoutExpectedFactor times the expected latency.
	timeoutTargetFactor   = 1.5
	timeoutExpectedFactor = 4
)

// responseTimeout returns the timeout for the first event of a stream, or for the whole
// response if it is not a stream, after which another server is asked too; zero for none.
// It applies only to repeatable requests that have attempts left.
func (re *request) responseTimeout(ch placement.Choice) time.Duration {
	if ch.Server.IsHost || !re.repeatable() || re.attempts >= re.route.MaxAttempts || re.route.LatencyTarget <= 0 {
		return 0
	}
	return max(time.Duration(timeoutTargetFactor*float64(re.route.LatencyTarget)), timeoutExpectedFactor*ch.ExpectedLatency)
}

// matches reports whether a response belongs to the request. A misdirected response may
// come without a request ID; on a reused connection, it may then be a late one to an
// earlier request, and does not tell that this request was not run.
func (re *request) matches(headers platform.ResponseHeaders, reused bool) bool {
	if headers.ID == "" {
		return headers.Misdirected && !reused
	}
	return headers.ID == re.headers.ID
}

// backendRequest returns the request to send to the backend server.
func (re *request) backendRequest(ch placement.Choice, now time.Time) *http.Request {
	he := re.forwardHeader.Clone()
	if ch.Server.IsHost {
		re.hostRequest(now).Set(he, re.rq.Header)
	} else {
		re.serverHeaders(ch, now).Set(he)
	}
	opaque, query, _ := strings.Cut(target(re.rq), "?")
	rq := &http.Request{
		Method:        re.rq.Method,
		URL:           &url.URL{Opaque: opaque, RawQuery: query},
		Host:          re.rq.Host,
		Header:        he,
		ContentLength: int64(len(re.body)),
	}
	if len(re.body) > 0 {
		rq.Body = io.NopCloser(bytes.NewReader(re.body))
	}
	return rq
}

// serverHeaders returns the headers that are set on a request to a backend server.
func (re *request) serverHeaders(ch placement.Choice, now time.Time) platform.ForwardHeaders {
	fo := platform.ForwardHeaders{
		Server:      ch.Server.ID,
		Remaining:   re.remaining(now),
		Priority:    re.rank.Order,
		HasPriority: ch.Server.IsEngine,
	}
	if re.organisation != nil {
		fo.Organisation = re.organisation.ID
	}
	if re.stream != nil {
		fo.LastEventID = re.stream.lastEventID()
	}
	return fo
}

// checkRetry logs a failed attempt and decides whether to retry. It returns nil
// for a retry, and otherwise the reason against it.
func (ga *Gateway) checkRetry(ctx context.Context, re *request, ch placement.Choice, res result) *mp.Error {
	re.exclude(ch.Server)
	if ch.Server.IsHost {
		return ga.checkForwardRetry(ctx, re, ch, res)
	}
	reason := ga.retryRefusal(ctx, re, res)
	outcome := "retried"
	if reason != nil {
		outcome = reason.Kind.String()
	}
	if reason != nil && reason.Kind == mp.KindOverloaded {
		reason.RetryAfter = ga.returnDelay(re) // the default of the kind unless all servers are in a pause
	}
	ga.counters.countFailedAttempt(outcome)
	ga.logFailedAttempt(re, ch, res, outcome)
	return reason
}

// logFailedAttempt logs why an attempt failed and what follows.
func (ga *Gateway) logFailedAttempt(re *request, ch placement.Choice, res result, outcome string) {
	re.log(ga.logger.Info(), "attempt_failed").Str("server", string(ch.Server.ID)).Str("route", string(re.route.Name)).
		Int("attempts", re.attempts).Int("most_attempts", re.route.MaxAttempts).Bool("reached", res.mayHaveRun).
		Str("cause", res.err.Error()).Str("outcome", outcome).Dur("took_ms", ga.clock.Since(re.arrived)).Msg("attempt failed")
}

// retryRefusal returns the reason not to retry a failed attempt, or nil.
func (ga *Gateway) retryRefusal(ctx context.Context, re *request, res result) *mp.Error {
	refusal := ga.repeatRefusal(ctx, re, res)
	if refusal == nil && re.attempts > 0 && !ga.withdrawRetry(re) {
		return errBudgetSpent(res)
	}
	return refusal
}

// errBudgetSpent returns the refusal of a retry by the retry budget.
func errBudgetSpent(res result) *mp.Error {
	return mp.NewError(mp.KindOverloaded, "the retry budget is spent: %v", res.err)
}

// repeatRefusal is retryRefusal without the retry budget.
func (ga *Gateway) repeatRefusal(ctx context.Context, re *request, res result) *mp.Error {
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		return mp.NewError(mp.KindWaitExpired, "no answer in time: %v", res.err)
	case ctx.Err() != nil && ga.ending.Err() != nil:
		return mp.NewError(mp.KindStopping, "this host stops: %v", res.err)
	case ctx.Err() != nil:
		return mp.NewError(mp.KindCallerGone, "the caller disconnected")
	case res.mayHaveRun && !re.repeatable():
		return mp.NewError(mp.KindOutcomeUnknown, "%v", res.err)
	case backend.IsBrokenOff(res.err) && ga.isSuspected(re):
		return mp.NewError(mp.KindBackendFailed, "servers crash under such prompts: %v", res.err)
	case re.attempts >= re.route.MaxAttempts && (res.mayHaveRun || res.outcome == placement.Rejected):
		return mp.NewError(mp.KindOverloaded, "%d attempts: %v", re.attempts, res.err)
	case len(re.tried) >= maxServersTried && !ga.canForward(re):
		return mp.NewError(mp.KindNoBackend, "%d servers tried: %v", len(re.tried), res.err)
	}
	return nil
}
