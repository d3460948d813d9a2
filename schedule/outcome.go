package schedule

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Reassign implements mangopaddle.Scheduler. The request is started ahead of all
// waiting requests, because work was already done for it.
func (sc *Scheduler) Reassign(now time.Time, id mp.RequestID, outcome mp.Outcome) mp.Decision {
	jo, ok := sc.jobs[id]
	if !ok || jo.engine == nil {
		return refuse(mp.KindInternal, 0)
	}
	failed := jo.engine
	sc.releaseEngine(now, jo, outcome)
	ca := sc.chooseForRetry(now, &jo.request, failed, outcome)
	if ca.engine == nil {
		jo.flow.charge(jo, -jo.cost)
		sc.removeJob(jo)
		return refuse(mp.KindNoBackend, 0)
	}
	return sc.start(now, jo, ca)
}

// releaseEngine removes a request from its engine and records the outcome of the
// attempt.
func (sc *Scheduler) releaseEngine(now time.Time, jo *job, outcome mp.Outcome) {
	en := jo.engine
	en.inFlight--
	en.recordOutcome(now, jo, outcome)
	if outcome.Failed {
		sc.groups[jo.request.Model].ejectIfFailing(now, en)
	}
}

// Done implements mangopaddle.Scheduler. It replaces the estimated charge of the
// request by its actual cost.
func (sc *Scheduler) Done(now time.Time, id mp.RequestID, outcome mp.Outcome) {
	jo, ok := sc.jobs[id]
	if !ok || jo.engine == nil {
		return
	}
	sc.releaseEngine(now, jo, outcome)
	jo.flow.charge(jo, Cost(jo.request.PromptTokens, outcome.AnswerTokens)-jo.cost)
	if !outcome.Failed && outcome.AnswerTokens > 0 {
		jo.flow.answerLengths.Add(outcome.AnswerTokens)
	}
	sc.removeJob(jo)
}

// ObserveLoad implements mangopaddle.Scheduler.
func (sc *Scheduler) ObserveLoad(now time.Time, id mp.EngineID, load mp.EngineLoad) {
	if en, ok := sc.engines[id]; ok {
		en.observeLoad(now, load)
	}
}
