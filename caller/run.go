package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/engine"
	"github.com/mangopaddle/mangopaddle/meter"
	"github.com/mangopaddle/mangopaddle/pool"
	"github.com/mangopaddle/mangopaddle/retry"
)

// completionWriter receives the events of a completion and writes the response.
type completionWriter interface {
	// handleEvent handles the next event. An error means that the caller
	// disconnected.
	handleEvent(ev engine.Event) error
	// finish completes the response.
	finish() error
	// reportError ends a response that cannot be completed. It reports whether
	// the caller has been told in the response itself, so that no error response
	// is written.
	reportError(er *mp.Error) bool
}

// completionRun is the state of one completion request across its attempts on
// engines.
type completionRun struct {
	server           *Server
	exchange         *exchange
	class            *config.Class
	completion       *completion
	body             []byte
	schedulerRequest mp.Request
	recorder         *meter.RequestRecorder

	writer completionWriter
	lease  *pool.Lease

	delivered       mp.Tokens // answer tokens passed to the writer
	firstTokenAt    time.Time // first token of the current attempt; zero if none came
	lastTokenAt     time.Time
	deliveredBefore mp.Tokens // value of delivered when the current attempt started
	mayHaveRun      bool      // an engine may have worked on the request
}

// errCallerGone is returned by a completionWriter when the caller has disconnected.
var errCallerGone = errors.New("the caller is gone")

// serve acquires a lease on an engine, runs the completion, and finishes the
// response or reports the error.
func (ru *completionRun) serve() error {
	ctx := ru.exchange.request.Context()
	lease, err := ru.server.pool.Acquire(ctx, ru.schedulerRequest)
	if err != nil {
		ru.recorder.RecordFailed(mp.KindOf(err))
		return err
	}
	ru.lease = lease
	if ru.body, err = engineBody(ru.body, ru.completion, lease.Priority()); err != nil {
		lease.Release(mp.Outcome{})
		return err
	}
	ru.writer = ru.newWriter()
	err = ru.tryEngines(ctx)
	if err == nil {
		ru.recorder.RecordCompleted(ru.delivered)
		return ru.writer.finish()
	}
	er := mp.AsError(err)
	ru.recorder.RecordBroken(er.Kind, ru.delivered)
	if ru.writer.reportError(er) {
		ru.exchange.responseStarted = true
	}
	return err
}

func (ru *completionRun) newWriter() completionWriter {
	if ru.completion.stream {
		return newStreamWriter(ru.exchange, ru.server.limits.WriteTimeout, ru.completion.wantsUsage)
	}
	return newBufferedWriter(ru.exchange)
}

// tryEngines tries engines one after another until one completes the answer or
// the request can no longer be retried.
func (ru *completionRun) tryEngines(ctx context.Context) error {
	at := ru.server.retrier.newAttempts()
	for {
		err := ru.attempt(ctx)
		if err == nil {
			ru.lease.Release(ru.attemptOutcome(false))
			return nil
		}
		failure, engineFailed := errors.AsType[*engine.Failure](err)
		if ctx.Err() != nil || !engineFailed {
			ru.lease.Release(ru.attemptOutcome(false))
			return mp.WrapError(err, mp.KindCallerGone, "the caller left before the end of the answer")
		}
		if failure.IsClientError() {
			ru.lease.Release(ru.attemptOutcome(false))
			return mp.WrapError(err, mp.KindInvalidRequest, "the engine refused the request: %s", engineErrorMessage(failure))
		}
		if failure.FirstEventTimedOut {
			ru.lease.Release(ru.attemptOutcome(false))
			return mp.WrapError(err, mp.KindFirstTokenLate, "the request got no token within the longest wait of its class; it was cancelled")
		}
		ru.mayHaveRun = ru.mayHaveRun || !failure.NotRun()
		if !ru.canRetry() || !ru.server.retrier.allow(at, ru.delivered > ru.deliveredBefore) {
			ru.lease.Release(ru.attemptOutcome(true))
			return ru.finalError(err)
		}
		ru.recorder.RecordResumed(ru.recomputedTokens())
		ru.server.retrier.backOff(ctx, ru.server, at)
		outcome := ru.attemptOutcome(true)
		outcome.Unreachable = failure.Unreachable()
		if err := ru.lease.Reassign(outcome); err != nil {
			return ru.finalError(err)
		}
	}
}

// finalError returns the error for a request that no engine completed.
func (ru *completionRun) finalError(err error) error {
	if !ru.mayHaveRun {
		return mp.WrapError(err, mp.KindNoBackend, "no engine took the request; it was not run")
	}
	return mp.WrapError(err, mp.KindBackendFailed, "the engines failed before the end of the answer")
}

// canRetry reports whether another attempt can continue after the tokens that
// were delivered.
func (ru *completionRun) canRetry() bool {
	return ru.completion.resumable || ru.delivered == 0
}

// recomputedTokens returns how many tokens the next engine has to compute again
// after a failed attempt. Resuming repeats only the prompt. It is zero if the
// attempt delivered no token.
func (ru *completionRun) recomputedTokens() mp.Tokens {
	if ru.delivered > ru.deliveredBefore {
		return ru.schedulerRequest.PromptTokens
	}
	return 0
}

// attempt runs the request on the leased engine.
func (ru *completionRun) attempt(ctx context.Context) error {
	ru.deliveredBefore, ru.firstTokenAt = ru.delivered, time.Time{}
	target, ok := ru.server.view.Load().Engine(ru.lease.Engine())
	if !ok {
		return &engine.Failure{Stage: engine.StageSend}
	}
	return ru.server.engines.Run(ctx, engine.Request{
		ID:                ru.exchange.id,
		Address:           target.Address,
		Path:              ru.exchange.request.URL.Path,
		Body:              ru.body,
		ResumeAt:          ru.delivered,
		FirstEventTimeout: ru.firstEventTimeout(),
		OnEvent:           ru.handleEvent,
		OnLoad:            ru.lease.ObserveLoad,
	})
}

// minFirstEventTimeout is the time to the first token that a request gets even
// if its wait in the host's queue used up the limit.
const minFirstEventTimeout = time.Second

// firstEventTimeout limits the wait in the engine's queue: the host's queue and
// the engine's queue together may take the class's maximum wait plus its target
// for the first token. Once the answer has started there is no such limit.
func (ru *completionRun) firstEventTimeout() time.Duration {
	if ru.delivered > 0 {
		return 0
	}
	remaining := ru.schedulerRequest.MaxWait + ru.schedulerRequest.FirstTokenTarget - ru.server.clock.Since(ru.exchange.arrival)
	return max(remaining, minFirstEventTimeout)
}

// handleEvent records the metrics of an event and passes it to the writer.
func (ru *completionRun) handleEvent(ev engine.Event) error {
	if ev.TokenCount > ru.delivered {
		now := ru.server.clock.Now()
		if ru.delivered == 0 {
			ru.recorder.RecordFirstToken(now.Sub(ru.exchange.arrival))
		} else {
			ru.recorder.RecordTokenGap(now.Sub(ru.lastTokenAt), ev.TokenCount-ru.delivered)
		}
		if ru.firstTokenAt.IsZero() {
			ru.firstTokenAt = now
		}
		ru.lastTokenAt = now
		ru.delivered = ev.TokenCount
	}
	return ru.writer.handleEvent(ev)
}

// attemptOutcome describes the current attempt to the scheduler. AnswerTokens
// includes the tokens of earlier attempts.
func (ru *completionRun) attemptOutcome(failed bool) mp.Outcome {
	out := mp.Outcome{AnswerTokens: ru.delivered, Failed: failed}
	if ru.firstTokenAt.IsZero() {
		return out
	}
	out.TimeToFirstToken = ru.firstTokenAt.Sub(ru.lease.Started())
	if tokens := ru.delivered - ru.deliveredBefore - 1; tokens > 0 {
		out.MeanTimeBetweenTokens = ru.lastTokenAt.Sub(ru.firstTokenAt) / time.Duration(tokens)
	}
	return out
}

// retrier shares one retry budget between all requests.
type retrier struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newRetrier() *retrier {
	return &retrier{budget: retry.NewBudget()}
}

func (re *retrier) newAttempts() *retry.Attempts {
	re.mu.Lock()
	defer re.mu.Unlock()
	return retry.NewAttempts(re.budget)
}

func (re *retrier) allow(at *retry.Attempts, progressed bool) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return at.MayRetry(progressed)
}

// backOff waits before the next attempt. An attempt that delivered tokens, or
// the first one that delivered none, is followed without a delay.
func (re *retrier) backOff(ctx context.Context, se *Server, at *retry.Attempts) {
	if at.FailuresWithoutProgress() <= 1 {
		return
	}
	wait := retry.Backoff(at.FailuresWithoutProgress(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	select {
	case <-ctx.Done():
	case <-se.clock.After(wait):
	}
}
