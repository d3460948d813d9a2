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

// request is a request under way.
type request struct {
	id       mp.RequestID
	trace    *trace.Request
	class    *config.Class
	outcome  *ClassResult
	host     *host
	engine   *modelled
	arrival  time.Duration
	window   *window
	priority int

	produced mp.Tokens
	lastAt   time.Duration
	started  time.Duration
	runFirst time.Duration
	entered  mp.Tokens
	barren   int
	late     uint64 // gaps between tokens
	onTime   uint64
	inTime   mp.Tokens // produced while requests still arrived
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

// promise counts a request that is within the promised share, by one exact
// bucket for all hosts.
func (re *replay) promise(rq *request) {
	key := classKey{organisation: rq.trace.Organisation, class: rq.trace.Class}
	bucket, ok := re.shares[key]
	if !ok {
		made := share.New(rq.class.Share.PromisedTokensPerSecond)
		bucket = &made
		re.shares[key] = bucket
	}
	rq.window = re.windowOf(key, rq.outcome)
	if bucket.HasCredit(re.clock()) {
		bucket.Charge(rq.cost())
		rq.window.promised += rq.cost()
	}
}

func (re *replay) windowOf(key classKey, outcome *ClassResult) *window {
	wk := windowKey{classKey: key, number: re.now / promiseWindow}
	wi, ok := re.windows[wk]
	if !ok {
		wi = &window{outcome: outcome}
		re.windows[wk] = wi
	}
	return wi
}

// cost returns the work of a request as shares count it.
func (rq *request) cost() mp.Tokens {
	return schedule.Cost(rq.trace.Prompt, rq.trace.Output)
}

func (re *replay) work(rq *request) mp.Request {
	hosts := mp.TokensPerSecond(re.hostsEach)
	return mp.Request{
		ID:                  rq.id,
		Organisation:        rq.trace.Organisation,
		Class:               rq.trace.Class,
		Model:               rq.trace.Model,
		Tier:                rq.class.Tier,
		PromptTokens:        rq.trace.Prompt,
		PrefixID:            rq.trace.PrefixID,
		PrefixTokens:        rq.trace.PrefixTokens,
		FirstTokenTarget:    rq.class.Targets.FirstToken.Std(),
		BetweenTokensTarget: rq.class.Targets.BetweenTokens.Std(),
		MaxWait:             rq.class.MaxWait.Std(),
		PromisedRate:        rq.class.Share.PromisedTokensPerSecond / hosts,
		MaxRate:             rq.class.Share.MaxTokensPerSecond / hosts,
	}
}

// delay returns the one-way delay between host and engine.
func (rq *request) delay() time.Duration {
	if rq.engine.region == rq.host.region {
		return 0
	}
	return regionDelay
}

func (rq *request) sequence() *enginemodel.Sequence {
	return &enginemodel.Sequence{
		ID:           rq.id,
		Priority:     rq.priority,
		Prompt:       rq.trace.Prompt,
		PrefixID:     rq.trace.PrefixID,
		PrefixTokens: rq.trace.PrefixTokens,
		Output:       rq.trace.Output,
		Produced:     rq.produced,
	}
}

func (rq *request) runOutcome(failed bool) mp.Outcome {
	out := mp.Outcome{AnswerTokens: rq.produced, Failed: failed}
	if rq.runFirst == 0 {
		return out
	}
	out.TimeToFirstToken = rq.runFirst - rq.started
	if tokens := rq.produced - rq.entered - 1; tokens > 0 {
		out.MeanTimeBetweenTokens = (rq.lastAt - rq.runFirst) / time.Duration(tokens)
	}
	return out
}

func (rq *request) gap(taken time.Duration) {
	if taken <= rq.class.Targets.BetweenTokens.Std() {
		rq.onTime++
	} else {
		rq.late++
	}
}
