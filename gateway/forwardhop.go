package gateway

import (
	"context"
	"io"
	"strings"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

// maxRefusalBytes is the largest part of the text of another host's error that is read.
const maxRefusalBytes = 2 << 10

// logForward logs that the request is forwarded to another host.
func (ga *Gateway) logForward(re *request, ch placement.Choice) {
	now := ga.clock.Now()
	line := re.log(ga.logger.Info(), "forwarded").Str("route", string(re.route.Name)).Str("service", string(re.service)).
		Str("host", ch.Server.Address).Int("attempt", re.attempts+1).Int("hosts_tried", len(re.triedHosts)).Int("servers_tried", len(re.tried)).
		Bool("may_have_run", re.mayHaveRun).Bool("origin_left", re.originLeft).Int64("version", int64(re.snapshot.Version())).
		Dur("took_ms", now.Sub(re.arrived)).Dur("left_ms", re.remaining(now))
	if re.stream != nil {
		line = line.Str("resume_after", re.stream.lastEventID())
	}
	line.Msg("request forwarded to another host, because this one reaches no backend server")
}

// receiveHostResponse decodes the header of another host's response and removes what is meant
// for this host only.
func (ga *Gateway) receiveHostResponse(re *request, at *attempt) {
	at.hostResponse, at.hostErr = platform.TakeHostResponse(at.exchange.Response.Header)
	at.choice.Server.Software = at.hostResponse.Software
	if at.headers.Leaving {
		ga.recordPassedLeaving(re, at.hostResponse.Server)
	}
}

// recordPassedLeaving records that a server has said that it is about to stop, in a response
// that another host passed on.
func (ga *Gateway) recordPassedLeaving(re *request, id mp.ServerID) {
	servers := ga.view.Load().Servers
	for _, se := range servers {
		if se.ID == id {
			ga.recordLeaving(re, leavingServer(se))
		}
	}
}

func leavingServer(se directory.Server) placement.Server {
	return placement.Server{ID: se.ID, Service: se.Service, Address: se.Address, StartedAtMillis: se.StartedAtMillis}
}

// hostFailure returns the result of an attempt at another host that responded with an error of
// its own, or that doesn't know forwarded requests; nil for a server's response.
func (ga *Gateway) hostFailure(re *request, ch placement.Choice, ex *backend.Exchange, headers platform.ResponseHeaders) *result {
	if !re.hedge.acquire() {
		taken := takenOver()
		return &taken
	}
	at := re.hedge.at
	if at.hostErr != nil {
		return &result{outcome: placement.Failed, mayHaveRun: true, err: errors.Annotatef(at.hostErr, "answer of %s", ch.Server.ID)}
	}
	ho := at.hostResponse
	re.attempts = max(re.attempts-1, ho.Attempts)
	if !ho.IsError {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(ex.Response.Body, maxRefusalBytes))
	if err == nil {
		ex.FinishRefused(string(re.headers.ID), headers.IdleTimeout)
	}
	_, message, _ := strings.Cut(strings.TrimSpace(string(text)), ": ")
	refusal := mp.NewError(ho.Kind, "%s: %s", ch.Server.ID, message).WithRetryAfter(headers.RetryAfter)
	if ho.NotExecuted {
		return &result{outcome: placement.Rejected, err: refusal, refusal: refusal}
	}
	return &result{outcome: placement.Failed, mayHaveRun: true, err: refusal, refusal: refusal}
}

// hostBrokeOff returns the result of an attempt at another host that has given up the stream;
// nil if the response has ended regularly.
func hostBrokeOff(re *request, ch placement.Choice, ex *backend.Exchange) *result {
	if !ch.Server.IsHost {
		return nil
	}
	attempts, broken := platform.BrokenOff(ex.Response)
	if !broken {
		return nil
	}
	re.attempts = max(re.attempts, attempts)
	return &result{outcome: placement.Failed, mayHaveRun: true, err: errors.Errorf("%s gave up the stream after %d attempts", ch.Server.ID, attempts)}
}

// recordForward counts how an attempt at another host ended.
func (ga *Gateway) recordForward(res result) {
	outcome := "failed"
	switch res.outcome {
	case placement.Succeeded:
		outcome = "answered"
	case placement.Rejected:
		outcome = "refused"
	case placement.Unreachable:
		outcome = "unreachable"
	case placement.Cancelled:
		outcome = "cancelled"
	case placement.Failed, placement.Misdirected:
	}
	ga.counters.countForwarded(outcome)
}

// checkForwardRetry logs a failed attempt at another host and decides whether to make another
// attempt. It returns nil if so, and otherwise the reason against it.
func (ga *Gateway) checkForwardRetry(ctx context.Context, re *request, ch placement.Choice, res result) *mp.Error {
	reason := ga.forwardRetryRefusal(ctx, re, res)
	outcome := "retried"
	if reason != nil {
		outcome = reason.Kind.String()
	}
	re.log(ga.logger.Info(), "forward_failed").Str("host", ch.Server.Address).Str("route", string(re.route.Name)).
		Int("attempts", re.attempts).Int("most_attempts", re.route.MaxAttempts).Int("hosts_tried", len(re.triedHosts)).
		Bool("refused", res.refusal != nil).Bool("reached", res.mayHaveRun).Str("cause", res.err.Error()).
		Str("outcome", outcome).Dur("took_ms", ga.clock.Since(re.arrived)).Msg("another host didn't serve the request")
	if reason != nil && (!reason.Kind.Response().NotRun || !re.mayHaveRun) {
		re.hostRefusal = reason
	}
	return reason
}

// forwardRetryRefusal returns the reason not to make another attempt after one at another host.
// An error that the other host sent goes before the reasons of this one, which follow from it.
func (ga *Gateway) forwardRetryRefusal(ctx context.Context, re *request, res result) *mp.Error {
	if res.refusal != nil && ctx.Err() == nil && !isWorthAnotherHost(res) {
		return res.refusal
	}
	reason := ga.repeatRefusal(ctx, re, res)
	if reason == nil && res.refusal != nil && ga.isPartitioned() && !ga.canForward(re) {
		return res.refusal
	}
	if reason == nil && re.attempts > 0 && !ga.withdrawRetry(re) {
		reason = errBudgetSpent(res)
	}
	if reason != nil && res.refusal != nil && ctx.Err() == nil {
		return res.refusal
	}
	return reason
}

// isWorthAnotherHost reports whether another host may serve what one has refused: the request
// did not run, and the reason is that host's.
func isWorthAnotherHost(res result) bool {
	return !res.mayHaveRun && res.refusal.Kind.Response().Retryable && res.refusal.Kind != mp.KindQuarantined
}
