package replay

import (
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/enginemodel"
	"github.com/mangopaddle/mangopaddle/schedule"
	"github.com/mangopaddle/mangopaddle/share"
	"github.com/mangopaddle/mangopaddle/trace"
)

// request is the state of a request in the replay. An attempt is one try of it on one
// engine. After a failed attempt, the next one resumes the answer.
type request struct {
	id          mp.RequestID
	trace       *trace.Request
	class       *config.Class
	classResult *ClassResult
	host        *host
	engine      *simulatedEngine
	arrival     time.Duration
	window      *window
	priority    int

	produced                  mp.Tokens
	lastTokenAt               time.Duration
	attemptStartedAt          time.Duration // of the current attempt
	attemptFirstTokenAt       time.Duration // of the current attempt; zero if it has no token yet
	producedBeforeAttempt     mp.Tokens
	attemptsWithoutProgress   int       // consecutive
	gapsLate                  uint64    // gaps between tokens beyond the target
	gapsInTime                uint64    // gaps between tokens within the target
	producedBeforeLastArrival mp.Tokens // of the trace
}

type classKey struct {
	organisation mp.OrganisationID
	class        mp.ClassName
}

func (re *replay) classOf(tr *trace.Request) (*config.Class, error) {
	for _, co := range re.set.Contracts {
		if co.Organisation != tr.Organisation {
			continue
		}
		if class, ok := co.Class(tr.Class); ok {
			return class, nil
		}
	}
	return nil, errors.NotFoundf("class %q of organisation %q", tr.Class, tr.Organisation)
}

// countPromisedWork adds a request within the promised rate to the promised work of
// its window. One token bucket for all hosts decides this exactly, while each host's
// scheduler only has a bucket with its fraction of the rate.
func (re *replay) countPromisedWork(rq *request) {
	key := classKey{organisation: rq.trace.Organisation, class: rq.trace.Class}
	bucket, ok := re.promisedBuckets[key]
	if !ok {
		newBucket := share.New(rq.class.Share.PromisedTokensPerSecond)
		bucket = &newBucket
		re.promisedBuckets[key] = bucket
	}
	rq.window = re.windowFor(key, rq.classResult)
	if bucket.HasCredit(re.virtualTime()) {
		bucket.Charge(rq.cost())
		rq.window.promised += rq.cost()
	}
}

// windowFor returns the current window of an organisation's class.
func (re *replay) windowFor(key classKey, classResult *ClassResult) *window {
	wk := windowKey{classKey: key, number: re.now / promiseWindow}
	wi, ok := re.windows[wk]
	if !ok {
		wi = &window{classResult: classResult}
		re.windows[wk] = wi
	}
	return wi
}

// cost returns the actual cost of a request as rate limits count it.
func (rq *request) cost() mp.Tokens {
	return schedule.Cost(rq.trace.PromptTokens, rq.trace.AnswerTokens)
}

// schedulerRequest returns the request as its host's scheduler gets it, with the
// host's fraction of the rates.
func (re *replay) schedulerRequest(rq *request) mp.Request {
	hosts := mp.TokensPerSecond(re.hostsPerDataCentre)
	return mp.Request{
		ID:                  rq.id,
		Organisation:        rq.trace.Organisation,
		Class:               rq.trace.Class,
		Model:               rq.trace.Model,
		Tier:                rq.class.Tier,
		PromptTokens:        rq.trace.PromptTokens,
		PrefixID:            rq.trace.PrefixID,
		PrefixTokens:        rq.trace.PrefixTokens,
		FirstTokenTarget:    rq.class.Targets.FirstToken.Std(),
		BetweenTokensTarget: rq.class.Targets.BetweenTokens.Std(),
		MaxWait:             rq.class.MaxWait.Std(),
		PromisedRate:        rq.class.Share.PromisedTokensPerSecond / hosts,
		MaxRate:             rq.class.Share.MaxTokensPerSecond / hosts,
	}
}

// delay returns the one-way network delay between the request's host and engine.
func (rq *request) delay() time.Duration {
	if rq.engine.region == rq.host.region {
		return 0
	}
	return interRegionDelay
}

func (rq *request) sequence() *enginemodel.Sequence {
	return &enginemodel.Sequence{
		ID:             rq.id,
		Priority:       rq.priority,
		PromptTokens:   rq.trace.PromptTokens,
		PrefixID:       rq.trace.PrefixID,
		PrefixTokens:   rq.trace.PrefixTokens,
		AnswerTokens:   rq.trace.AnswerTokens,
		ProducedTokens: rq.produced,
	}
}

// attemptOutcome returns the outcome of the current attempt.
func (rq *request) attemptOutcome(failed bool) mp.Outcome {
	out := mp.Outcome{AnswerTokens: rq.produced, Failed: failed}
	if rq.attemptFirstTokenAt == 0 {
		return out
	}
	out.TimeToFirstToken = rq.attemptFirstTokenAt - rq.attemptStartedAt
	if tokens := rq.produced - rq.producedBeforeAttempt - 1; tokens > 0 {
		out.MeanTimeBetweenTokens = (rq.lastTokenAt - rq.attemptFirstTokenAt) / time.Duration(tokens)
	}
	return out
}

func (rq *request) recordGap(taken time.Duration) {
	if taken <= rq.class.Targets.BetweenTokens.Std() {
		rq.gapsInTime++
	} else {
		rq.gapsLate++
	}
}
