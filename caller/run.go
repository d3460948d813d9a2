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

// sink takes the events of an answer.
type sink interface {
	// event takes the next event; its error means that the caller is gone.
	event(ev engine.Event) error
	// end completes the answer.
	end() error
	// fail ends an answer that cannot be completed. It reports whether the
	// caller was told.
	fail(er *mp.Error) bool
}

// run is one completion on its way through the engines.
type run struct {
	server   *Server
	exchange *exchange
	class    *config.Class
	request  *completion
	body     []byte
	work     mp.Request
	outcome  *meter.RequestRecorder

	sink  sink
	lease *pool.Lease

	count   mp.Tokens // of the answer, with the caller
	first   time.Time // when the current run brought its first token
	last    time.Time
	entered mp.Tokens // count when the current run began
	mayRun  bool      // an engine may have worked on the request
}

// errCallerGone is what a sink returns when the caller takes nothing more.
var errCallerGone = errors.New("the caller is gone")

// serve runs the completion until the answer is complete or cannot be.
func (ru *run) serve() error {
	ctx := ru.exchange.request.Context()
	lease, err := ru.server.pool.Acquire(ctx, ru.work)
	if err != nil {
		ru.outcome.RecordRefused(mp.KindOf(err))
		return err
	}
	ru.lease = lease
	if ru.body, err = engineBody(ru.body, ru.request, lease.Priority()); err != nil {
		lease.Release(mp.Outcome{})
		return err
	}
	ru.sink = ru.newSink()
	err = ru.attempts(ctx)
	if err == nil {
		ru.outcome.RecordCompleted(ru.count)
		return ru.sink.end()
	}
	er := mp.AsError(err)
	ru.outcome.RecordBroken(er.Kind, ru.count)
	if ru.sink.fail(er) {
		ru.exchange.begun = true
	}
	return err
}

func (ru *run) newSink() sink {
	if ru.request.stream {
		return newStreamSink(ru.exchange, ru.server.limits.WriteTimeout, ru.request.wantsUsage)
	}
	return newWholeSink(ru.exchange)
}

// attempts runs the request on one engine after another.
func (ru *run) attempts(ctx context.Context) error {
	attempts := ru.server.retries.attempts()
	for {
		err := ru.attempt(ctx)
		if err == nil {
			ru.lease.Release(ru.result(false))
			return nil
		}
		failure, broken := errors.AsType[*engine.Failure](err)
		if ctx.Err() != nil || !broken {
			ru.lease.Release(ru.result(false))
			return mp.WrapError(err, mp.KindCallerGone, "the caller left before the end of the answer")
		}
		if failure.IsClientError() {
			ru.lease.Release(ru.result(false))
			return mp.WrapError(err, mp.KindInvalidRequest, "the engine refused the request: %s", refusalMessage(failure))
		}
		if failure.FirstEventTimedOut {
			ru.lease.Release(ru.result(false))
			return mp.WrapError(err, mp.KindFirstTokenLate, "the request got no token within the longest wait of its class; it was cancelled")
		}
		ru.mayRun = ru.mayRun || !failure.NotRun()
		if !ru.mayRepeat() || !ru.server.retries.again(attempts, ru.count > ru.entered) {
			ru.lease.Release(ru.result(true))
			return ru.giveUp(err)
		}
		ru.outcome.RecordResumed(ru.wasted())
		ru.server.retries.pause(ctx, ru.server, attempts)
		outcome := ru.result(true)
		outcome.Unreachable = failure.Unreachable()
		if err := ru.lease.Reassign(outcome); err != nil {
			return ru.giveUp(err)
		}
	}
}

// giveUp returns the error of a request that no engine completed.
func (ru *run) giveUp(err error) error {
	if !ru.mayRun {
		return mp.WrapError(err, mp.KindNoBackend, "no engine took the request; it was not run")
	}
	return mp.WrapError(err, mp.KindBackendFailed, "the engines failed before the end of the answer")
}

// mayRepeat says whether another run can go on where the last one ended.
func (ru *run) mayRepeat() bool {
	return ru.request.resumable || ru.count == 0
}

// wasted returns the tokens that another run has to compute again. Resuming
// repeats the prompt only.
func (ru *run) wasted() mp.Tokens {
	if ru.count > ru.entered {
		return ru.work.PromptTokens
	}
	return 0
}

// attempt runs the request on the engine of the lease.
func (ru *run) attempt(ctx context.Context) error {
	ru.entered, ru.first = ru.count, time.Time{}
	target, ok := ru.server.view.Load().Engine(ru.lease.Engine())
	if !ok {
		return &engine.Failure{Stage: engine.StageSend}
	}
	return ru.server.engines.Run(ctx, engine.Request{
		ID:                ru.exchange.id,
		Address:           target.Address,
		Path:              ru.exchange.request.URL.Path,
		Body:              ru.body,
		ResumeAt:          ru.count,
		FirstEventTimeout: ru.firstBy(),
		OnEvent:           ru.event,
		OnLoad:            ru.lease.ObserveLoad,
	})
}

// leastFirstBy is the time to the first token that a request gets at least,
// when its wait for a place took all of its bound.
const leastFirstBy = time.Second

// firstBy bounds the wait in the engine's queue: places in the host's queue and
// in the engine's together may take the longest wait of the class and the target
// of the first token. An answer that has begun has no such bound.
func (ru *run) firstBy() time.Duration {
	if ru.count > 0 {
		return 0
	}
	left := ru.work.MaxWait + ru.work.FirstTokenTarget - ru.server.clock.Since(ru.exchange.arrival)
	return max(left, leastFirstBy)
}

// event counts an event and hands it to the sink.
func (ru *run) event(ev engine.Event) error {
	if ev.TokenCount > ru.count {
		now := ru.server.clock.Now()
		if ru.count == 0 {
			ru.outcome.RecordFirstToken(now.Sub(ru.exchange.arrival))
		} else {
			ru.outcome.RecordTokenGap(now.Sub(ru.last), ev.TokenCount-ru.count)
		}
		if ru.first.IsZero() {
			ru.first = now
		}
		ru.last = now
		ru.count = ev.TokenCount
	}
	return ru.sink.event(ev)
}

// result describes the current run to the scheduler.
func (ru *run) result(failed bool) mp.Outcome {
	out := mp.Outcome{AnswerTokens: ru.count, Failed: failed}
	if ru.first.IsZero() {
		return out
	}
	out.TimeToFirstToken = ru.first.Sub(ru.lease.Started())
	if tokens := ru.count - ru.entered - 1; tokens > 0 {
		out.MeanTimeBetweenTokens = ru.last.Sub(ru.first) / time.Duration(tokens)
	}
	return out
}

// retries shares the retry budget between requests.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newRetries() *retries {
	return &retries{budget: retry.NewBudget()}
}

func (rs *retries) attempts() *retry.Attempts {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return retry.NewAttempts(rs.budget)
}

func (rs *retries) again(at *retry.Attempts, progressed bool) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return at.MayRetry(progressed)
}

// pause waits before the next run. A run that brought tokens is followed at
// once.
func (rs *retries) pause(ctx context.Context, se *Server, at *retry.Attempts) {
	if at.FailuresWithoutProgress() <= 1 {
		return
	}
	wait := retry.Backoff(at.FailuresWithoutProgress(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	select {
	case <-ctx.Done():
	case <-se.clock.After(wait):
	}
}
