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
	"github.com/mangopaddle/mangopaddle/routing"
)

const (
	// freshIdle is how long a connection may have been idle for a request that
	// must not run twice: a server may be closing an older one.
	freshIdle = time.Second
	// anyIdle is the same for requests that may be repeated.
	anyIdle = time.Minute
	// wholeLimit is the longest answer that is read whole before it is passed on.
	wholeLimit = 256 << 10 // bytes
	// mostSends bounds how often one request is tried to be sent, counting
	// servers that could not be reached.
	mostSends = 5
)

// result is how an attempt ended.
type result struct {
	// done says that the caller has its answer, or has left.
	done    bool
	outcome placement.Outcome
	// reached says that the server may have seen the request.
	reached bool
	err     error
}

// place chooses the backend server of the next attempt.
func (ga *Gateway) place(re *request) (placement.Choice, *mp.Error) {
	now := ga.clock.Now()
	work := re.work(now)
	ga.placerMu.Lock()
	ch, ok := ga.placer.Choose(now, work)
	late := ch.Lateness(work)
	if ok && (late <= 0 || re.mayHaveRun) {
		ga.placer.RecordStart(ch)
	}
	ga.placerMu.Unlock()
	if !ok {
		refusal := mp.NewError(mp.KindNoBackend, "no backend server of service %q", re.service)
		refusal.RetryAfter = soonAgain
		return ch, refusal
	}
	if late > 0 && !re.mayHaveRun {
		refusal := mp.NewError(mp.KindOverloaded, "expected to begin in %v at %q behind %v of other prompts, %v in the mean, %v too late",
			ch.ExpectedLatency, ch.Server.ID, ch.QueueWait, ch.MeanQueueWait, late)
		refusal.RetryAfter = re.comeBack(now, late)
		return ch, refusal
	}
	re.log(ga.logger.Info(), "placed").Str("route", string(re.route.Name)).Str("service", string(re.service)).
		Str("server", string(ch.Server.ID)).Int("attempt", re.attempts+1).Bool("home", ch.PrefixCached).
		Int("priority", work.Priority).Int("in_flight", ch.InFlight).Int64("unread", int64(ch.PrefillTokens)).Dur("expected_ms", ch.ExpectedLatency).
		Int64("version", int64(re.snapshot.Version())).Dur("list_age_ms", now.Sub(ga.view.Load().ListConfirmedAt)).
		Dur("left_ms", re.left(now)).Msg("backend server chosen")
	return ch, nil
}

// leastBack is the shortest Retry-After of an overload.
const leastBack = 100 * time.Millisecond

// comeBack returns when a request that is expected to begin too late may return:
// when the excess of prompts will have been read, but while there is still time
// to serve it.
func (re *request) comeBack(now time.Time, late time.Duration) time.Duration {
	after := max(late, leastBack)
	if left := re.left(now); left > 0 {
		after = min(after, left/3)
	}
	return after
}

// attempt sends the request to a server and relays its answer.
func (ga *Gateway) attempt(ctx context.Context, re *request, ch placement.Choice) result {
	began := false
	res := ga.exchange(ctx, re, ch, &began)
	if ctx.Err() != nil && res.outcome != placement.Succeeded {
		res.outcome = placement.Cancelled
	}
	ga.placerMu.Lock()
	ga.placer.RecordEnd(ga.clock.Now(), ch, began, res.outcome)
	ga.placerMu.Unlock()
	if res.reached {
		re.mayHaveRun = true
	}
	return res
}

// exchange sends the request over a connection.
func (ga *Gateway) exchange(ctx context.Context, re *request, ch placement.Choice, began *bool) result {
	co, err := ga.backends.Get(ctx, ch.Server.Address, re.longestIdle())
	if err != nil {
		return result{outcome: placement.Unreachable, err: err}
	}
	re.attempts++
	sent := ga.clock.Now()
	var an platform.ResponseHeaders
	owns := func(response *http.Response) bool {
		an = platform.DecodeResponseHeaders(response)
		return re.owns(an)
	}
	ex, err := co.Send(ctx, ga.backends, re.forward(ch, sent), re.body, re.patience(ch), owns)
	if err != nil {
		return result{outcome: placement.Failed, reached: true, err: err}
	}
	defer ex.Abort()
	first := func() {
		if !*began {
			*began = true
			now := ga.clock.Now()
			ga.placerMu.Lock()
			ga.placer.RecordFirstEvent(now, ch, now.Sub(sent))
			ga.placerMu.Unlock()
		}
	}
	return ga.relay(re, ch, ex, first, an)
}

func (re *request) longestIdle() time.Duration {
	if re.repeatable() {
		return anyIdle
	}
	return freshIdle
}

const (
	// patienceOfTarget and patienceOfExpected are how many times its target, and
	// the expected time, an answer may take to begin before a request that may be
	// repeated is sent elsewhere.
	patienceOfTarget   = 1.5
	patienceOfExpected = 4
)

// patience returns how long an answer may take to begin; zero for no limit. Only
// what may be repeated is given up early, and only while attempts are left.
func (re *request) patience(ch placement.Choice) time.Duration {
	if !re.repeatable() || re.attempts >= re.route.MaxAttempts || re.route.LatencyTarget <= 0 {
		return 0
	}
	return max(time.Duration(patienceOfTarget*float64(re.route.LatencyTarget)), patienceOfExpected*ch.ExpectedLatency)
}

// owns says whether an answer belongs to the request.
func (re *request) owns(an platform.ResponseHeaders) bool {
	return an.ID == re.caller.ID || (an.ID == "" && an.Misdirected)
}

// forward returns the request as the server gets it.
func (re *request) forward(ch placement.Choice, now time.Time) *http.Request {
	he := re.header.Clone()
	fo := platform.ForwardHeaders{
		Server:      ch.Server.ID,
		Remaining:   re.left(now),
		Priority:    re.rank.Order,
		HasPriority: ch.Server.Engine,
	}
	if re.holder != nil {
		fo.Organisation = re.holder.ID
	}
	if re.stream != nil {
		fo.LastEventID = re.stream.lastEvent()
	}
	fo.Set(he)
	opaque, query, _ := strings.Cut(re.rq.RequestURI, "?")
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

// relay passes on the answer of a server, or says why it can't be.
func (ga *Gateway) relay(re *request, ch placement.Choice, ex *backend.Exchange, first func(), an platform.ResponseHeaders) result {
	status := ex.Response.StatusCode
	switch {
	case an.Misdirected:
		return result{outcome: placement.WrongServer, err: errors.Errorf("another server has address %s", ch.Server.Address)}
	case an.NotExecuted:
		_, _ = io.Copy(io.Discard, io.LimitReader(ex.Response.Body, wholeLimit))
		ex.Finish(an.IdleTimeout)
		return result{outcome: placement.Rejected, err: errors.Errorf("the server did not run the request (status %d)", status)}
	case !an.Signed:
		return result{outcome: placement.Failed, reached: true, err: errors.Errorf("answer with status %d without a signature", status)}
	case status == http.StatusOK && re.route.Kind == routing.Stream:
		return ga.relayStream(re, ch, ex, first, an)
	default:
		return ga.relayWhole(re, ch, ex, first, an)
	}
}

// relayWhole reads an answer to its end before it passes it on, so that one that
// breaks off can be asked for again.
func (ga *Gateway) relayWhole(re *request, ch placement.Choice, ex *backend.Exchange, first func(), an platform.ResponseHeaders) result {
	body, err := io.ReadAll(io.LimitReader(ex.Response.Body, wholeLimit+1))
	if err != nil {
		return result{outcome: placement.Failed, reached: true, err: errors.Annotate(err, "body of the answer")}
	}
	if len(body) > wholeLimit {
		return ga.relayLong(re, ch, ex, body)
	}
	first()
	answer := &wholeAnswer{
		status: ex.Response.StatusCode,
		header: platform.StripHopByHop(ex.Response.Header),
		body:   body,
		server: ch.Server.ID,
	}
	ex.Finish(an.IdleTimeout)
	if answer.status >= http.StatusInternalServerError {
		re.failure = answer
		return result{outcome: placement.Failed, reached: true, err: errors.Errorf("the server answered with status %d", answer.status)}
	}
	if re.stream != nil {
		return result{outcome: placement.Failed, reached: true, err: errors.Errorf("the server answered a resumed stream with status %d", answer.status)}
	}
	ga.deliver(re, answer)
	return result{done: true, outcome: placement.Succeeded, reached: true}
}

// relayLong passes on an answer that is too long to be kept.
func (ga *Gateway) relayLong(re *request, ch placement.Choice, ex *backend.Exchange, begin []byte) result {
	for name, values := range platform.StripHopByHop(ex.Response.Header) {
		re.rw.Header()[name] = values
	}
	re.rw.WriteHeader(ex.Response.StatusCode)
	_, err := re.rw.Write(begin)
	if err == nil {
		_, err = io.Copy(re.rw, ex.Response.Body)
	}
	ga.logEnd(re, ch.Server.ID, ex.Response.StatusCode, err)
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection without a regular end
	}
	return result{done: true, outcome: placement.Succeeded, reached: true}
}

// mayRetry decides whether a failed attempt is followed by another. An error
// says why not.
func (ga *Gateway) mayRetry(ctx context.Context, re *request, ch placement.Choice, res result) *mp.Error {
	re.tried = append(re.tried, ch.Server.ID)
	reason := ga.againstRetry(ctx, re, res)
	outcome := "retried"
	if reason != nil {
		outcome = reason.Kind.String()
	}
	ga.counters.attemptFailed(outcome)
	re.log(ga.logger.Info(), "attempt_failed").Str("server", string(ch.Server.ID)).Str("route", string(re.route.Name)).
		Int("attempts", re.attempts).Int("most_attempts", re.route.MaxAttempts).Bool("reached", res.reached).
		Str("cause", res.err.Error()).Str("outcome", outcome).Dur("took_ms", ga.clock.Since(re.arrived)).Msg("attempt failed")
	return reason
}

func (ga *Gateway) againstRetry(ctx context.Context, re *request, res result) *mp.Error {
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		return mp.NewError(mp.KindWaitExpired, "no answer in time: %v", res.err)
	case ctx.Err() != nil:
		return mp.NewError(mp.KindCallerGone, "the caller left")
	case res.reached && !re.repeatable():
		return mp.NewError(mp.KindOutcomeUnknown, "%v", res.err)
	case re.attempts >= re.route.MaxAttempts && (res.reached || res.outcome == placement.Rejected):
		return mp.NewError(mp.KindOverloaded, "%d attempts: %v", re.attempts, res.err)
	case len(re.tried) >= mostSends:
		return mp.NewError(mp.KindNoBackend, "%d servers tried: %v", len(re.tried), res.err)
	case re.attempts > 0 && !ga.withdrawRetry(re):
		return mp.NewError(mp.KindOverloaded, "the retry budget is spent: %v", res.err)
	}
	return nil
}
