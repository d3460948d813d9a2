package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/hedging"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

// unreadRecheck is the time after which a connection whose bytes this host was late to
// read is looked at again.
const unreadRecheck = 50 * time.Millisecond

const (
	// errSilent is the error of an attempt at another server because of silence.
	errSilent = errors.ConstError("the server is silent")
	// errTakenOver is the error of an attempt whose request another server goes on with.
	errTakenOver = errors.ConstError("another server goes on with the request")
	// errNoNeed is the error of an attempt that is given up because the silent server
	// went on.
	errNoNeed = errors.ConstError("the silent server went on")
)

// attempt is one attempt at a request, at one backend server.
type attempt struct {
	choice    placement.Choice
	startedAt time.Time
	sentAt    time.Time
	// maxIdle is the longest idle time of a connection that may be used. It follows from the
	// request, which a hedge must not read while its server may go on.
	maxIdle time.Duration
	// conn is nil until the request is sent; exchange and headers are those of the
	// response, nil until its header has come.
	conn     *backend.Conn
	exchange *backend.Exchange
	headers  platform.ResponseHeaders
	// hostResponse is of the response of another host, and hostErr why that is none.
	hostResponse platform.HostResponse
	hostErr      error
	// cancel ends an attempt that a hedge has started; nil for others.
	cancel context.CancelFunc
	// firstEventSeen reports that the first event or the whole buffered response has
	// arrived.
	firstEventSeen bool
	progress       answerProgress
}

// close ends an attempt: its connection is closed unless it was returned to the pool.
func (at *attempt) close() {
	if at.exchange != nil {
		at.exchange.Abort()
	}
	if at.cancel != nil {
		at.cancel()
	}
}

// hedge hedges one attempt: if its server is silent, it sends the request to other ones,
// and the first whose answer begins takes over. Until then the silent server is kept, and
// when that goes on first, the others are left.
//
// While the attempt waits for its server, mu guards the request. The goroutine that serves
// the caller acquires the hedge before it uses the request again.
type hedge struct {
	ga    *Gateway
	ctx   context.Context // of the request, for the attempts that the hedge starts
	re    *request
	at    *attempt
	timer clockwork.Timer
	// closed reports that the caller's goroutine has ended the hedge; only that goroutine
	// uses it.
	closed bool

	mu sync.Mutex
	// held reports that the caller's goroutine has acquired the hedge; the connection may
	// be in other hands by now. Only that goroutine sets it.
	held    bool
	changed *sync.Cond // of state
	state   hedging.State[*attempt]
	// silenceRecorded reports that the placer knows of the silence.
	silenceRecorded bool
	// refusal is why the last request to another server was refused.
	refusal string
}

// startHedge starts the hedge of an attempt. It must be ended with settle or close.
func (ga *Gateway) startHedge(ctx context.Context, re *request, at *attempt) *hedge {
	he := &hedge{ga: ga, ctx: ctx, re: re, at: at, held: true}
	he.mu.Lock()
	he.changed = sync.NewCond(&he.mu)
	return he
}

// release hands the request over to the hedge while the attempt waits for its server. The
// server is silent after the timeout; zero for never.
func (he *hedge) release(timeout time.Duration) {
	now := he.ga.clock.Now()
	if he.state.Await(now, timeout) {
		_, wait := he.state.Silence(now)
		he.setTimer(wait)
	}
	he.held = false
	he.mu.Unlock()
}

// setTimer sets the time of the next check. The caller must hold mu.
func (he *hedge) setTimer(after time.Duration) {
	if he.timer == nil {
		he.timer = he.ga.clock.AfterFunc(after, he.check)
		return
	}
	he.timer.Reset(after)
}

// acquire takes the request back. It returns false if another server has taken over.
func (he *hedge) acquire() bool {
	if !he.held {
		he.mu.Lock()
		he.held = true
	}
	_, decided := he.state.Replacement()
	return !decided
}

// goOn records that the server has gone on with its answer; the others are left.
// The caller must have acquired the hedge.
func (he *hedge) goOn() {
	if left := he.cancelAll(he.state.GoOn()); left > 0 {
		he.re.log(he.ga.logger.Info(), "silence_ended").Str("server", string(he.at.choice.Server.ID)).
			Int("left", left).Int("attempts", he.re.attempts).Msg("the silent server went on")
	}
}

// restart measures the silence anew from the next release. The caller must have acquired
// the hedge.
func (he *hedge) restart() { he.state.Restart() }

// cancelAll ends attempts at other servers and returns their number.
func (he *hedge) cancelAll(attempts []*attempt) int {
	for _, at := range attempts {
		at.cancel()
	}
	return len(attempts)
}

// settle ends the hedge after the attempt has failed. It waits for the attempts that are
// under way at other servers and returns the one that takes over; nil if none does.
func (he *hedge) settle() *attempt {
	he.acquire()
	for he.state.HasPending() {
		he.changed.Wait()
	}
	replacement, _ := he.state.Replacement()
	he.close()
	return replacement
}

// close ends the hedge.
func (he *hedge) close() {
	if he.closed {
		return
	}
	he.acquire()
	he.closed = true
	he.cancelAll(he.state.End())
	if he.timer != nil {
		he.timer.Stop()
	}
	he.mu.Unlock()
	he.held = false
}

// check asks another server if the one that works on the request is silent.
func (he *hedge) check() {
	he.mu.Lock()
	defer he.mu.Unlock()
	now := he.ga.clock.Now()
	silence, wait := he.state.Silence(now)
	switch {
	case wait < 0:
		return
	case wait > 0:
		he.setTimer(wait)
		return
	case !he.held && he.at.conn.HasUnread():
		he.re.log(he.ga.logger.Info(), "host_late").Str("server", string(he.at.choice.Server.ID)).
			Dur("late_ms", silence).Msg("the server isn't silent, its bytes weren't read yet")
		he.setTimer(unreadRecheck)
		return
	}
	he.setTimer(he.state.Timeout())
	he.recordSilence(now)
	he.askOthers(silence)
}

// recordSilence tells the placer that the server is silent, once for an attempt.
func (he *hedge) recordSilence(now time.Time) {
	if he.silenceRecorded {
		return
	}
	he.silenceRecorded = true
	he.ga.placerMu.Lock()
	defer he.ga.placerMu.Unlock()
	he.ga.placer.RecordSilence(now, he.at.choice)
}

// askOthers sends the request to another server, and to the next one if that fails, until
// one takes over, the silent server goes on or no other one may be asked. The caller must
// hold mu, which is released meanwhile.
func (he *hedge) askOthers(silence time.Duration) {
	he.re.exclude(he.at.choice.Server)
	res := result{mayHaveRun: true, err: errSilent}
	for {
		ch, refused := he.chooseOther(res)
		he.logSilence(silence, ch, refused)
		if refused != nil {
			return
		}
		failed := he.ask(ch)
		if failed == nil || !he.state.IsOpen() {
			return
		}
		res = *failed
	}
}

// chooseOther chooses another server after a result, or returns the reason not to ask any.
// One that would begin too late is asked only if the caller has a part of the answer, because
// the silent server is kept.
func (he *hedge) chooseOther(res result) (placement.Choice, *mp.Error) {
	ga, re := he.ga, he.re
	refused := ga.repeatRefusal(he.ctx, re, res)
	if refused == nil {
		refused = ga.quarantineRefusal(re)
	}
	if refused != nil {
		return placement.Choice{}, refused
	}
	placementRequest := ga.placementRequest(re)
	placementRequest.NotLeaving = true // the silent server may be sound
	ch, refused := ga.chooseServer(re, placementRequest, re.hasBegun())
	if refused != nil {
		return ch, refused
	}
	if !ga.withdrawRetry(re) {
		ga.placerMu.Lock()
		ga.placer.RecordEnd(ga.clock.Now(), ch, false, placement.Cancelled)
		ga.placerMu.Unlock()
		return ch, errBudgetSpent(res)
	}
	ga.logPlacement(re, ch)
	return ch, nil
}

// logSilence logs the decision on a silent server; that no other one may be asked only when
// the reason changes.
func (he *hedge) logSilence(silence time.Duration, ch placement.Choice, refused *mp.Error) {
	re, outcome := he.re, "asked "+string(ch.Server.ID)
	if refused != nil {
		outcome = refused.Kind.String()
	}
	if refused != nil && outcome == he.refusal {
		return
	}
	he.refusal = outcome
	line := re.log(he.ga.logger.Info(), "server_silent").Str("server", string(he.at.choice.Server.ID)).Str("route", string(re.route.Name)).
		Dur("silent_ms", silence).Dur("limit_ms", he.state.Timeout()).Int("attempts", re.attempts).Int("most_attempts", re.route.MaxAttempts).
		Int("servers", len(re.tried)).Bool("begun", re.stream != nil).Dur("left_ms", re.remaining(he.ga.clock.Now())).Str("outcome", outcome)
	if refused != nil {
		line = line.Str("cause", refused.Error())
	}
	line.Msg("a server is silent")
}

// ask sends the request to another server and lets that take over when its answer begins.
// It returns the result of a failed attempt, and nil if the attempt took over or was given
// up. The caller must hold mu, which is released meanwhile.
func (he *hedge) ask(ch placement.Choice) *result {
	ga, re := he.ga, he.re
	ctx, cancel := context.WithCancel(he.ctx)
	at := &attempt{choice: ch, startedAt: ga.clock.Now(), maxIdle: re.maxIdle(), cancel: cancel}
	re.mayHaveRun = true // also at the silent server
	rq := re.backendRequest(ch, at.startedAt)
	re.attempts++
	he.state.AddBackup(at)
	he.mu.Unlock()
	res := ga.connect(ctx, re, at)
	if res == nil {
		res = ga.send(ctx, re, at, rq)
	}
	he.mu.Lock()
	defer he.changed.Broadcast()
	if res == nil && he.state.IsPending(at) && !re.mayTakeOver(at) { // otherwise the request is no longer the hedge's
		res = at.rejection()
	}
	outcome, others := he.state.Finish(at, res == nil)
	switch outcome {
	case hedging.Accepted:
		he.cancelAll(others)
		if !he.held {
			he.at.conn.Interrupt()
		}
		return nil
	case hedging.Cancelled:
		ga.endAttempt(ctx, re, at, result{outcome: placement.Cancelled, mayHaveRun: true, err: errNoNeed})
		return nil
	case hedging.Failed:
	}
	if res.outcome == placement.Unreachable {
		re.attempts--
	}
	ga.endAttempt(he.ctx, re, at, *res)
	re.exclude(ch.Server)
	ga.logFailedAttempt(re, ch, *res, "still silent")
	return res
}

// mayTakeOver reports whether the response of another server than the silent one can be
// the caller's: a stream that has begun can only go on as a stream, and the silent server
// may still do better than a failure.
func (re *request) mayTakeOver(at *attempt) bool {
	response := at.exchange.Response
	return !at.headers.NotExecuted && at.headers.Signed && response.StatusCode < http.StatusInternalServerError &&
		(re.stream == nil || re.stream.isContinuedBy(response))
}

// rejection returns the result of an attempt whose response can't be the caller's.
func (at *attempt) rejection() *result {
	status := at.exchange.Response.StatusCode
	switch {
	case at.headers.Misdirected:
		return &result{outcome: placement.Misdirected, err: errors.Errorf("another server has address %s", at.choice.Server.Address)}
	case at.headers.NotExecuted:
		return &result{outcome: placement.Rejected, err: errors.Errorf("the server did not run the request (status %d)", status)}
	case !at.headers.Signed:
		return &result{outcome: placement.Failed, mayHaveRun: true, err: errors.Errorf("answer with status %d without a signature", status)}
	default:
		return &result{outcome: placement.Failed, mayHaveRun: true, err: errors.Errorf("the server answered with status %d", status)}
	}
}
