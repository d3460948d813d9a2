package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tidwall/gjson"

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
	// disconnected or did not read within the write timeout.
	handleEvent(ev engine.Event) error
	// finish completes the response.
	finish() error
	// reportError ends a response that cannot be completed. It reports whether
	// the error was handled within the response itself, so that no error response
	// is written.
	reportError(er *mp.Error) bool
}

// completionRequest is the state of one completion request across its attempts, each
// of which is one try on one engine.
type completionRequest struct {
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
	uncounted       bool      // text was passed to the writer that delivered doesn't count
}

// errCallerGone is returned by a completionWriter if the caller has disconnected
// or has not read within the write timeout.
var errCallerGone = errors.New("the response could not be written to the caller")

// serve acquires a lease on an engine, makes the attempts, and finishes the response
// or reports the error.
func (cr *completionRequest) serve() error {
	ctx := cr.exchange.request.Context()
	lease, err := cr.server.pool.Acquire(ctx, cr.schedulerRequest)
	if err != nil {
		cr.recorder.RecordFailed(mp.KindOf(err))
		return err
	}
	cr.lease = lease
	if cr.body, err = engineBody(cr.body, cr.completion, lease.Priority()); err != nil {
		lease.Release(mp.Outcome{})
		return err
	}
	cr.writer = cr.newWriter()
	err = cr.tryEngines(ctx)
	if err == nil {
		cr.recorder.RecordCompleted(cr.delivered)
		return cr.writer.finish()
	}
	er := mp.AsError(err)
	cr.recorder.RecordBroken(er.Kind, cr.delivered)
	if cr.writer.reportError(er) {
		cr.exchange.responseStarted = true
	}
	return err
}

func (cr *completionRequest) newWriter() completionWriter {
	if cr.completion.stream {
		return newStreamWriter(cr.exchange, cr.server.limits.WriteTimeout, cr.completion.wantsUsage)
	}
	return newBufferedWriter(cr.exchange)
}

// tryEngines tries engines one after another until one completes the answer or
// the request can no longer be retried.
func (cr *completionRequest) tryEngines(ctx context.Context) error {
	at := cr.server.retrier.newAttempts()
	for {
		err := cr.attempt(ctx)
		if err == nil {
			cr.lease.Release(cr.completedOutcome())
			return nil
		}
		failure, engineFailed := errors.AsType[*engine.Failure](err)
		if ctx.Err() != nil || !engineFailed {
			cr.lease.Release(cr.attemptOutcome(false))
			return mp.WrapError(err, mp.KindCallerGone, "the caller disconnected before the end of the answer")
		}
		if failure.IsClientError() && !cr.mayHaveRun {
			cr.lease.Release(cr.completedOutcome())
			return mp.WrapError(err, mp.KindInvalidRequest, "the engine refused the request: %s", engineErrorMessage(failure))
		}
		if failure.FirstEventTimedOut {
			cr.lease.Release(cr.attemptOutcome(false))
			return mp.WrapError(err, mp.KindFirstTokenLate, "the request got no token within the longest wait of its class; it was cancelled")
		}
		cr.mayHaveRun = cr.mayHaveRun || !failure.NotRun()
		if !cr.canRetry() || !cr.server.retrier.allow(at, cr.delivered > cr.deliveredBefore) {
			cr.lease.Release(cr.failedOutcome(failure))
			return cr.finalError(err)
		}
		cr.recorder.RecordResumed(cr.recomputedTokens())
		cr.server.retrier.backOff(ctx, cr.server, at)
		outcome := cr.failedOutcome(failure)
		outcome.Unreachable = failure.Unreachable()
		if err := cr.lease.Reassign(outcome); err != nil {
			return cr.finalError(err)
		}
	}
}

// finalError returns the error for a request that no engine completed.
func (cr *completionRequest) finalError(err error) error {
	if !cr.mayHaveRun {
		return mp.WrapError(err, mp.KindNoBackend, "no engine took the request; it was not run")
	}
	return mp.WrapError(err, mp.KindBackendFailed, "the engines failed before the end of the answer")
}

// canRetry reports whether another attempt can continue after the tokens that
// were delivered.
func (cr *completionRequest) canRetry() bool {
	return !cr.uncounted && (cr.completion.resumable || cr.delivered == 0)
}

// recomputedTokens returns how many tokens are recorded as computed again after a
// failed attempt. Only the prompt counts, because resuming does not generate the
// tokens of the answer again. It is zero if the attempt delivered no token.
func (cr *completionRequest) recomputedTokens() mp.Tokens {
	if cr.delivered > cr.deliveredBefore {
		return cr.schedulerRequest.PromptTokens
	}
	return 0
}

// attempt makes one attempt, on the leased engine.
func (cr *completionRequest) attempt(ctx context.Context) error {
	cr.deliveredBefore, cr.firstTokenAt = cr.delivered, time.Time{}
	target, ok := cr.server.view.Load().Engine(cr.lease.Engine())
	if !ok {
		return &engine.Failure{Stage: engine.StageSend}
	}
	return cr.server.engines.Run(ctx, engine.Request{
		ID:                cr.exchange.id,
		Address:           target.Address,
		Path:              cr.exchange.request.URL.Path,
		Body:              cr.body,
		ResumeAt:          cr.delivered,
		FirstEventTimeout: cr.firstEventTimeout(),
		OnEvent:           cr.handleEvent,
		OnLoad:            cr.lease.ObserveLoad,
	})
}

// minFirstEventTimeout is the minimum of firstEventTimeout, for a request whose
// wait in the host's queue used up the limit.
const minFirstEventTimeout = time.Second

// firstEventTimeout limits the wait in the engine's queue: the host's queue and
// the engine's queue together may take the class's maximum wait plus its target
// for the first token. Once the answer has started there is no such limit.
func (cr *completionRequest) firstEventTimeout() time.Duration {
	if cr.delivered > 0 {
		return 0
	}
	remaining := cr.schedulerRequest.MaxWait + cr.schedulerRequest.FirstTokenTarget - cr.server.clock.Since(cr.exchange.arrival)
	return max(remaining, minFirstEventTimeout)
}

// handleEvent records the metrics of an event and passes it to the writer.
func (cr *completionRequest) handleEvent(ev engine.Event) error {
	if ev.TokenCount > cr.delivered {
		now := cr.server.clock.Now()
		if cr.delivered == 0 {
			cr.recorder.RecordFirstToken(now.Sub(cr.exchange.arrival))
		} else {
			cr.recorder.RecordTimeBetweenTokens(now.Sub(cr.lastTokenAt), ev.TokenCount-cr.delivered)
		}
		if cr.firstTokenAt.IsZero() {
			cr.firstTokenAt = now
		}
		cr.lastTokenAt = now
		cr.delivered = ev.TokenCount
	} else if !cr.uncounted && hasText(ev.Data) {
		cr.uncounted = true
	}
	return cr.writer.handleEvent(ev)
}

// hasText reports whether an event has text of the answer.
func hasText(data string) bool {
	for _, path := range []string{"text", "delta.content", "delta.reasoning_content", "delta.refusal", "delta.tool_calls"} {
		for _, text := range gjson.Get(data, "choices.#."+path).Array() {
			if text.String() != "" && text.Raw != "[]" {
				return true
			}
		}
	}
	return false
}

// attemptOutcome describes the current attempt to the scheduler. AnswerTokens
// includes the tokens of earlier attempts.
func (cr *completionRequest) attemptOutcome(failed bool) mp.Outcome {
	out := mp.Outcome{AnswerTokens: cr.delivered, Failed: failed}
	if cr.firstTokenAt.IsZero() {
		return out
	}
	out.TimeToFirstToken = cr.firstTokenAt.Sub(cr.lease.Started())
	if tokens := cr.delivered - cr.deliveredBefore - 1; tokens > 0 {
		out.MeanTimeBetweenTokens = cr.lastTokenAt.Sub(cr.firstTokenAt) / time.Duration(tokens)
	}
	return out
}

// completedOutcome describes the current attempt, which the engine has completed.
func (cr *completionRequest) completedOutcome() mp.Outcome {
	out := cr.attemptOutcome(false)
	out.Completed = true
	return out
}

// failedOutcome describes the current attempt, which failed, to the scheduler.
func (cr *completionRequest) failedOutcome(failure *engine.Failure) mp.Outcome {
	out := cr.attemptOutcome(true)
	out.Pause = failure.RetryAfter
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
