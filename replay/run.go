package replay

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/enginemodel"
)

func (re *replay) decide(rq *request, de mp.Decision) {
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
	rq.outcome.refuse(reason)
	re.over(rq)
}

func (re *replay) over(rq *request) {
	re.open--
	delete(rq.host.requests, rq.id)
}

// start sends a request to an engine over the network.
func (re *replay) start(rq *request, id mp.EngineID, priority int) {
	rq.engine, rq.priority = re.engines[id], priority
	rq.started, rq.runFirst, rq.entered = re.now, 0, rq.produced
	if delay := rq.delay(); delay > 0 {
		rq.outcome.RemoteBytes += mp.Bytes(rq.trace.Prompt) * promptBytes
		mo := rq.engine
		re.events.add(re.now+delay, func() { re.submit(rq, mo) })
		return
	}
	re.submit(rq, rq.engine)
}

func (re *replay) submit(rq *request, mo *modelled) {
	if mo.down || re.apart(rq.host.dc, mo.config.DataCentre) {
		re.fail(rq, mp.Outcome{AnswerTokens: rq.produced, Failed: true, Unreachable: true})
		return
	}
	rq.host.scheduler.ObserveLoad(re.clock(), mo.config.Name, mo.reported(re.lag))
	mo.requests[rq.id] = rq
	re.boundWait(rq, mo)
	mo.model.Submit(rq.sequence())
	re.iterate(mo)
}

// boundWait ends a request that got no token within its bound.
func (re *replay) boundWait(rq *request, mo *modelled) {
	by := rq.arrival + rq.class.MaxWait.Std() + rq.class.Targets.FirstToken.Std()
	if rq.produced > 0 || re.policy != PolicyMangopaddle {
		return
	}
	re.events.add(max(by, re.now+time.Second), func() {
		if rq.produced > 0 || mo.requests[rq.id] != rq {
			return
		}
		mo.model.Cancel(rq.id)
		delete(mo.requests, rq.id)
		rq.host.scheduler.Done(re.clock(), rq.id, mp.Outcome{})
		re.refuse(rq, mp.KindFirstTokenLate)
	})
}

// fail moves a request to another engine.
func (re *replay) fail(rq *request, outcome mp.Outcome) {
	if rq.produced > rq.entered {
		rq.barren = 0
		rq.outcome.Wasted += rq.trace.Prompt
	} else {
		rq.barren++
	}
	if rq.barren >= maxRuns {
		rq.host.scheduler.Done(re.clock(), rq.id, outcome)
		rq.outcome.Wasted += rq.produced
		re.refuse(rq, mp.KindBackendFailed)
		return
	}
	re.decide(rq, rq.host.scheduler.Reassign(re.clock(), rq.id, outcome))
}

// iterate begins an iteration of an idle engine.
func (re *replay) iterate(mo *modelled) {
	if mo.busy || mo.down {
		return
	}
	took, progress := mo.model.Step()
	if took == 0 {
		return
	}
	took = time.Duration(float64(took) * mo.slowdown)
	if re.now < re.last {
		// Slots whose prompt is computed cannot give a token. Sequences that
		// just ended have left the running ones.
		prefilling := mo.model.Running() - (len(progress) - finished(progress))
		mo.worked += min(took, re.last-re.now)
		mo.possible += mo.params.Slots - prefilling
	}
	mo.busy = true
	epoch := mo.epoch
	re.events.add(re.now+took, func() {
		if mo.epoch != epoch {
			return
		}
		for _, pr := range progress {
			re.token(mo, pr)
		}
		// Only now: a new iteration overwrites the progress of this one.
		mo.busy = false
		re.iterate(mo)
	})
}

func finished(progress []enginemodel.Progress) int {
	count := 0
	for _, pr := range progress {
		if pr.Finished {
			count++
		}
	}
	return count
}

// token delivers a new token to its request.
func (re *replay) token(mo *modelled, pr enginemodel.Progress) {
	rq, ok := mo.requests[pr.Sequence.ID]
	if !ok {
		return
	}
	at := re.now + rq.delay()
	if rq.produced == 0 {
		rq.outcome.first(rq, at-rq.arrival)
	} else {
		rq.gap(at - rq.lastAt)
	}
	if rq.runFirst == 0 {
		rq.runFirst = at
	}
	rq.lastAt = at
	rq.produced++
	if re.now <= re.last {
		rq.inTime++
	}
	if rq.delay() > 0 {
		rq.outcome.RemoteBytes += chunkBytes
	}
	if pr.Finished {
		delete(mo.requests, rq.id)
		re.complete(rq)
	}
}

func (re *replay) complete(rq *request) {
	rq.outcome.complete(rq)
	re.result.inTime += rq.inTime
	if rq.produced != rq.trace.Output {
		re.result.WrongLength++
	}
	rq.host.scheduler.Done(re.clock(), rq.id, rq.runOutcome(false))
	re.over(rq)
	re.drain(rq.host)
}

// drain starts and refuses what waits at a host.
func (re *replay) drain(ho *host) {
	if ho.waiting == 0 {
		return
	}
	for {
		id, ok := ho.scheduler.Expire(re.clock())
		if !ok {
			break
		}
		ho.waiting--
		re.refuse(ho.requests[id], mp.KindWaitExpired)
	}
	for {
		st, ok := ho.scheduler.Next(re.clock())
		if !ok {
			break
		}
		ho.waiting--
		re.start(ho.requests[st.ID], st.Engine, st.Priority)
	}
}
