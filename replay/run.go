package replay

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/enginemodel"
)

// applyDecision carries out a scheduler's decision about a request.
func (re *replay) applyDecision(rq *request, de mp.Decision) {
	switch de.Action {
	case mp.ActionStart:
		re.start(rq, de.Engine, de.Priority)
	case mp.ActionWait:
		rq.host.waiting++
	case mp.ActionRefuse:
		re.refuse(rq, de.Reason)
	}
}

func (re *replay) refuse(rq *request, reason mp.Kind) {
	rq.classResult.recordRefusal(reason)
	re.finishRequest(rq)
}

// finishRequest removes a request that was completed or refused.
func (re *replay) finishRequest(rq *request) {
	re.unfinished--
	delete(rq.host.requests, rq.id)
}

// start sends a request to an engine, after the network delay.
func (re *replay) start(rq *request, id mp.EngineID, priority int) {
	rq.engine, rq.priority = re.engines[id], priority
	rq.attemptStartedAt, rq.attemptFirstTokenAt, rq.producedBeforeAttempt = re.now, 0, rq.produced
	if delay := rq.delay(); delay > 0 {
		rq.classResult.InterRegionBytes += mp.Bytes(rq.trace.PromptTokens) * bytesPerPromptToken
		se := rq.engine
		re.eventQueue.add(re.now+delay, func() { re.submitToEngine(rq, se) })
		return
	}
	re.submitToEngine(rq, rq.engine)
}

// submitToEngine submits a request to an engine, or fails the attempt if the
// engine cannot be reached. The host observes the engine's load, which a real engine
// reports in the headers of its response.
func (re *replay) submitToEngine(rq *request, se *simulatedEngine) {
	if se.down || re.isPartitioned(rq.host.dc, se.config.DataCentre) {
		re.fail(rq, mp.Outcome{AnswerTokens: rq.produced, Failed: true, Unreachable: true})
		return
	}
	rq.host.scheduler.ObserveLoad(re.virtualTime(), se.config.Name, se.reportedLoad(re.reportDelaySamples))
	se.requests[rq.id] = rq
	re.scheduleFirstTokenTimeout(rq, se)
	se.model.Submit(rq.sequence())
	re.startStep(se)
}

// scheduleFirstTokenTimeout schedules the cancellation of a request that gets no token
// within its maximum wait plus its first-token target, but not before it has been on
// the engine for a second. The baselines have no such timeout.
func (re *replay) scheduleFirstTokenTimeout(rq *request, se *simulatedEngine) {
	deadline := rq.arrival + rq.class.MaxWait.Std() + rq.class.Targets.FirstToken.Std()
	if rq.produced > 0 || re.policy != PolicyMangopaddle {
		return
	}
	re.eventQueue.add(max(deadline, re.now+time.Second), func() {
		if rq.produced > 0 || se.requests[rq.id] != rq {
			return
		}
		se.model.Cancel(rq.id)
		delete(se.requests, rq.id)
		rq.host.scheduler.Done(re.virtualTime(), rq.id, mp.Outcome{})
		re.refuse(rq, mp.KindFirstTokenLate)
	})
}

// fail ends a failed attempt and reassigns the request to another engine, or refuses it
// after too many attempts without progress.
func (re *replay) fail(rq *request, outcome mp.Outcome) {
	if rq.produced > rq.producedBeforeAttempt {
		rq.attemptsWithoutProgress = 0
		rq.classResult.Wasted += rq.trace.PromptTokens
	} else {
		rq.attemptsWithoutProgress++
	}
	if rq.attemptsWithoutProgress >= maxAttemptsWithoutProgress {
		rq.host.scheduler.Done(re.virtualTime(), rq.id, outcome)
		rq.classResult.Wasted += rq.produced
		re.refuse(rq, mp.KindBackendFailed)
		return
	}
	re.applyDecision(rq, rq.host.scheduler.Reassign(re.virtualTime(), rq.id, outcome))
}

// startStep starts a step of an idle engine, if it has any sequences.
func (re *replay) startStep(se *simulatedEngine) {
	if se.busy || se.down {
		return
	}
	duration, progress := se.model.Step()
	if duration == 0 {
		return
	}
	duration = time.Duration(float64(duration) * se.slowdownFactor)
	if re.now < re.lastArrival {
		// Slots in prefill cannot produce a token. Sequences that finished in this
		// step no longer count as running.
		prefilling := se.model.Running() - (len(progress) - countFinished(progress))
		se.busyTime += min(duration, re.lastArrival-re.now)
		se.capacityTokens += se.params.Slots - prefilling
	}
	se.busy = true
	generation := se.generation
	re.eventQueue.add(re.now+duration, func() {
		if se.generation != generation {
			return
		}
		for _, pr := range progress {
			re.deliverToken(se, pr)
		}
		// The engine stays busy until its tokens are delivered, because the next step
		// overwrites progress.
		se.busy = false
		re.startStep(se)
	})
}

func countFinished(progress []enginemodel.Progress) int {
	count := 0
	for _, pr := range progress {
		if pr.Finished {
			count++
		}
	}
	return count
}

// deliverToken records a new token of a request.
func (re *replay) deliverToken(se *simulatedEngine, pr enginemodel.Progress) {
	rq, ok := se.requests[pr.Sequence.ID]
	if !ok {
		return
	}
	at := re.now + rq.delay()
	if rq.produced == 0 {
		rq.classResult.recordFirstToken(rq, at-rq.arrival)
	} else {
		rq.recordGap(at - rq.lastTokenAt)
	}
	if rq.attemptFirstTokenAt == 0 {
		rq.attemptFirstTokenAt = at
	}
	rq.lastTokenAt = at
	rq.produced++
	if re.now <= re.lastArrival {
		rq.producedBeforeLastArrival++
	}
	if rq.delay() > 0 {
		rq.classResult.InterRegionBytes += bytesPerAnswerToken
	}
	if pr.Finished {
		delete(se.requests, rq.id)
		re.complete(rq)
	}
}

// complete records a finished answer and dispatches waiting requests of its host.
func (re *replay) complete(rq *request) {
	rq.classResult.recordCompletion(rq)
	re.result.tokensBeforeLastArrival += rq.producedBeforeLastArrival
	if rq.produced != rq.trace.AnswerTokens {
		re.result.WrongLength++
	}
	outcome := rq.attemptOutcome(false)
	outcome.Completed = true
	rq.host.scheduler.Done(re.virtualTime(), rq.id, outcome)
	re.finishRequest(rq)
	re.dispatch(rq.host)
}

// dispatch refuses those of a host's waiting requests whose maximum wait has passed, and
// starts those that may run now.
func (re *replay) dispatch(ho *host) {
	if ho.waiting == 0 {
		return
	}
	for {
		id, ok := ho.scheduler.Expire(re.virtualTime())
		if !ok {
			break
		}
		ho.waiting--
		re.refuse(ho.requests[id], mp.KindWaitExpired)
	}
	for {
		as, ok := ho.scheduler.Next(re.virtualTime())
		if !ok {
			break
		}
		ho.waiting--
		re.start(ho.requests[as.ID], as.Engine, as.Priority)
	}
}
