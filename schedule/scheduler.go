// Package schedule decides which request to the router's own API runs on which
// engine and when; package placement decides for the gateway. It enforces rate
// and concurrency limits of each organisation's class, queues requests by tier
// and weighted fair queueing, selects engines, limits the concurrency of each
// engine, and refuses requests whose expected wait is too long. It does no I/O
// and reads no clock.
//
// Package admission provides its queues, package share its rate limits, package
// estimate the predicted answer lengths, and package affinity the probable content
// of the engines' prefix caches. Package pool runs it for concurrent requests, and
// package replay in virtual time.
package schedule

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/admission"
	"github.com/mangopaddle/mangopaddle/estimate"
	"github.com/mangopaddle/mangopaddle/share"
)

const (
	// promptTokensPerAnswerToken is the number of prompt tokens that cost as much as
	// one answer token.
	promptTokensPerAnswerToken = 8
	// costQuantile is the quantile of past answer lengths that a request is charged
	// for until its answer length is known.
	costQuantile = 0.5
	// maxQueueDepth is the maximum number of requests that wait for one model.
	maxQueueDepth = 4096
	// minRetryAfter is the minimum retry delay that a refused caller is given.
	minRetryAfter = time.Second
)

// Scheduler implements mangopaddle.Scheduler. It is not safe for concurrent
// use.
type Scheduler struct {
	hosts        int
	random       *rand.Rand
	engines      map[mp.EngineID]*engine
	groups       map[mp.ModelID]*modelGroup
	sortedModels []mp.ModelID // keys of groups, for a deterministic order
	flows        map[flowKey]*flow
	jobs         map[mp.RequestID]*job
	freeJobs     []*job // for reuse
}

var _ mp.Scheduler = (*Scheduler)(nil)

type flowKey struct {
	organisation mp.OrganisationID
	class        mp.ClassName
}

// flow is the state of one organisation's class: its rate limits, its answer
// lengths and its position in the fair queue.
type flow struct {
	promisedBucket share.Bucket // separates requests within the promised rate from those above it
	maxBucket      share.Bucket // limits requests to the maximum rate
	answerLengths  estimate.LengthHistogram
	fairFlow       admission.Flow
	active         int // requests waiting or running
}

// job is a request that is waiting or running.
type job struct {
	request      mp.Request
	item         admission.Item
	flow         *flow
	engine       *engine // nil while the request waits
	promised     bool    // within the promised rate when it was submitted, and charged to it
	bestEffort   bool    // above the maximum rate of its class; not charged
	cost         mp.Tokens
	expectedTTFT time.Duration // time to first token
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithHosts sets the number of hosts of the region, which share its engines. The default
// is 1.
func WithHosts(hosts int) Option {
	return func(sc *Scheduler) { sc.hosts = hosts }
}

// WithSeed sets the seed of the random choice between engines with equal scores.
func WithSeed(seed uint64) Option {
	return func(sc *Scheduler) { sc.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a scheduler without engines.
func New(opts ...Option) *Scheduler {
	sc := &Scheduler{
		hosts:   1,
		random:  rand.New(rand.NewPCG(1, 1)),
		engines: map[mp.EngineID]*engine{},
		groups:  map[mp.ModelID]*modelGroup{},
		flows:   map[flowKey]*flow{},
		jobs:    map[mp.RequestID]*job{},
	}
	for _, opt := range opts {
		opt(sc)
	}
	return sc
}

// SetHosts changes the number of hosts that share the engines. A number below 1
// counts as 1.
func (sc *Scheduler) SetHosts(hosts int) {
	sc.hosts = max(1, hosts)
}

// SetEngines replaces the engines. Engines that remain keep their observed state,
// and requests on a removed engine keep running.
func (sc *Scheduler) SetEngines(engines []Engine) {
	kept := make(map[mp.EngineID]*engine, len(engines))
	for _, mg := range sc.groups {
		mg.engines = mg.engines[:0]
	}
	for _, spec := range engines {
		en, ok := sc.engines[spec.ID]
		if ok {
			en.update(spec)
		} else {
			en = newEngine(spec)
		}
		kept[spec.ID] = en
		for _, model := range spec.Models {
			mg := sc.modelGroup(model)
			mg.engines = append(mg.engines, en)
		}
	}
	sc.engines = kept
}

// modelGroup returns the group of a model, and creates it if it does not exist.
func (sc *Scheduler) modelGroup(model mp.ModelID) *modelGroup {
	mg, ok := sc.groups[model]
	if !ok {
		mg = newModelGroup()
		sc.groups[model] = mg
		ix, _ := slices.BinarySearchFunc(sc.sortedModels, model, func(a, b mp.ModelID) int { return strings.Compare(string(a), string(b)) })
		sc.sortedModels = slices.Insert(sc.sortedModels, ix, model)
	}
	return mg
}

// flowFor returns the flow of the request's organisation and class, and updates its
// rates to those of the request.
func (sc *Scheduler) flowFor(now time.Time, rq *mp.Request, mg *modelGroup) *flow {
	key := flowKey{organisation: rq.Organisation, class: rq.Class}
	fl, ok := sc.flows[key]
	if !ok {
		fl = &flow{promisedBucket: share.New(rq.PromisedRate), maxBucket: share.New(rq.MaxRate), answerLengths: *estimate.New(mg.answerLengths)}
		sc.flows[key] = fl
	}
	if fl.promisedBucket.Rate() != rq.PromisedRate || fl.maxBucket.Rate() != rq.MaxRate {
		fl.promisedBucket.HasCredit(now) // refills the bucket at the old rate
		fl.promisedBucket.SetRate(rq.PromisedRate)
		fl.maxBucket.SetRate(rq.MaxRate)
	}
	fl.fairFlow.Weight = float64(rq.PromisedRate)
	return fl
}

// Submit implements mangopaddle.Scheduler. A request above the concurrency limit of
// its class is refused. One above the maximum rate of its class starts at once, on a
// best-effort basis, or is refused. Others start at once, wait in the queue or, if
// the wait would be too long, are refused.
func (sc *Scheduler) Submit(now time.Time, rq mp.Request) mp.Decision {
	mg := sc.groups[rq.Model]
	if mg == nil || len(mg.engines) == 0 {
		return refuse(mp.KindNoBackend, 0)
	}
	fl := sc.flowFor(now, &rq, mg)
	if rq.MaxConcurrency > 0 && fl.active >= rq.MaxConcurrency {
		return refuse(mp.KindShareExceeded, 0)
	}
	cost := fl.estimateCost(&rq)
	promised := fl.promisedBucket.HasCredit(now)
	if rq.MaxRate > 0 && !fl.maxBucket.HasCredit(now) {
		return sc.bestEffort(now, mg, rq, fl, cost)
	}
	mg.demandByTier[rq.Tier].add(now, cost)
	if ca := sc.chooseEngine(now, &rq, "", withCapacity); ca.engine != nil && !mg.hasWaitingAhead(rq.Tier) {
		return sc.start(now, sc.admit(rq, fl, cost, promised), ca)
	}
	return sc.enqueue(now, mg, rq, fl, cost, promised)
}

// bestEffort starts a request that is above the maximum rate of its class if
// no request waits and an engine has capacity that is not reserved for any tier.
// Otherwise it refuses the request; best-effort requests are never queued.
func (sc *Scheduler) bestEffort(now time.Time, mg *modelGroup, rq mp.Request, fl *flow, cost mp.Tokens) mp.Decision {
	asLeastUrgent := rq
	asLeastUrgent.Tier = mp.MaxTier
	if ca := sc.chooseEngine(now, &asLeastUrgent, "", withCapacity); ca.engine != nil && mg.queue.Len() == 0 {
		jo := sc.admit(rq, fl, 0, false)
		jo.cost, jo.bestEffort = cost, true
		return sc.start(now, jo, ca)
	}
	return refuse(mp.KindShareExceeded, fl.maxBucket.Delay(now))
}

// estimateCost estimates the cost of a request in answer tokens, before its answer
// length is known.
func (fl *flow) estimateCost(rq *mp.Request) mp.Tokens {
	answer := fl.answerLengths.Quantile(costQuantile)
	if rq.MaxAnswerTokens > 0 {
		answer = min(answer, rq.MaxAnswerTokens)
	}
	return Cost(rq.PromptTokens, answer)
}

// Cost returns the cost of a request as rate limits count it, in answer tokens.
func Cost(prompt, answer mp.Tokens) mp.Tokens {
	return answer + prompt/promptTokensPerAnswerToken
}

// enqueue queues a request. It refuses the request if no engine will be available
// before its maximum wait is over, if its expected wait is longer than that, or if
// the queue is full.
func (sc *Scheduler) enqueue(now time.Time, mg *modelGroup, rq mp.Request, fl *flow, cost mp.Tokens, promised bool) mp.Decision {
	if !mg.hasAvailableEngine(now.Add(rq.MaxWait)) {
		return refuse(mp.KindNoBackend, max(minEjectionDuration, mg.pauseLeft(now)))
	}
	expected := mg.expectedWait(now, rq.Tier, promised, sc.hosts)
	if expected > rq.MaxWait || mg.queue.Len() >= maxQueueDepth {
		return refuse(mp.KindOverloaded, expected-rq.MaxWait)
	}
	jo := sc.admit(rq, fl, cost, promised)
	jo.item = admission.Item{
		ID:       rq.ID,
		Tier:     rq.Tier,
		Promised: promised,
		Cost:     cost,
		Flow:     &fl.fairFlow,
		Deadline: now.Add(rq.MaxWait),
	}
	mg.queue.Push(&jo.item)
	return mp.Decision{Action: mp.ActionWait}
}

// hasAvailableEngine reports whether any engine is neither draining nor avoided at
// the given time.
func (mg *modelGroup) hasAvailableEngine(at time.Time) bool {
	return slices.ContainsFunc(mg.engines, func(en *engine) bool { return !en.Draining && !en.isAvoided(at) })
}

// pauseLeft returns the time until the first engine wants requests again; zero unless all
// that are not draining are in a pause.
func (mg *modelGroup) pauseLeft(now time.Time) time.Duration {
	var shortest time.Duration
	for _, en := range mg.engines {
		left := en.pausedUntil.Sub(now)
		switch {
		case en.Draining:
		case left <= 0:
			return 0
		case shortest == 0 || left < shortest:
			shortest = left
		}
	}
	return shortest
}

func refuse(reason mp.Kind, after time.Duration) mp.Decision {
	return mp.Decision{Action: mp.ActionRefuse, Reason: reason, RetryAfter: max(after, minRetryAfter)}
}

// admit creates the job of a request and charges its estimated cost.
func (sc *Scheduler) admit(rq mp.Request, fl *flow, cost mp.Tokens, promised bool) *job {
	jo := sc.newJob()
	*jo = job{request: rq, flow: fl, cost: cost, promised: promised}
	fl.charge(jo, cost)
	fl.active++
	sc.jobs[rq.ID] = jo
	return jo
}

// charge charges a cost to the rate limits that the request counts against. A
// negative cost is a refund. Best-effort requests are not charged.
func (fl *flow) charge(jo *job, cost mp.Tokens) {
	if jo.bestEffort {
		return
	}
	if jo.promised {
		fl.promisedBucket.Charge(cost)
	}
	if jo.request.MaxRate > 0 {
		fl.maxBucket.Charge(cost)
	}
}

func (sc *Scheduler) newJob() *job {
	if last := len(sc.freeJobs) - 1; last >= 0 {
		jo := sc.freeJobs[last]
		sc.freeJobs = sc.freeJobs[:last]
		return jo
	}
	return new(job)
}

func (sc *Scheduler) removeJob(jo *job) {
	delete(sc.jobs, jo.request.ID)
	jo.flow.active--
	*jo = job{}
	sc.freeJobs = append(sc.freeJobs, jo)
}

// start assigns a request to an engine.
func (sc *Scheduler) start(now time.Time, jo *job, ca candidate) mp.Decision {
	jo.engine, jo.expectedTTFT = ca.engine, ca.expectedTTFT
	ca.engine.inFlight++
	ca.engine.recordPrefix(now, &jo.request)
	return mp.Decision{Action: mp.ActionStart, Engine: ca.engine.ID, Priority: jo.priority()}
}

// Next implements mangopaddle.Scheduler. Only the head of each model's queue is
// considered, so a request never overtakes one of a more urgent tier.
func (sc *Scheduler) Next(now time.Time) (mp.Assignment, bool) {
	for _, model := range sc.sortedModels {
		mg := sc.groups[model]
		it := mg.queue.Peek()
		if it == nil {
			continue
		}
		jo := sc.jobs[it.ID]
		ca := sc.chooseEngine(now, &jo.request, "", withCapacity)
		if ca.engine == nil {
			continue
		}
		mg.queue.Pop()
		de := sc.start(now, jo, ca)
		return mp.Assignment{ID: jo.request.ID, Engine: de.Engine, Priority: de.Priority}, true
	}
	return mp.Assignment{}, false
}

// Expire implements mangopaddle.Scheduler.
func (sc *Scheduler) Expire(now time.Time) (mp.RequestID, bool) {
	for _, model := range sc.sortedModels {
		if it := sc.groups[model].queue.Expired(now); it != nil {
			id := it.ID
			sc.Cancel(now, id)
			return id, true
		}
	}
	return "", false
}

// Cancel implements mangopaddle.Scheduler.
func (sc *Scheduler) Cancel(_ time.Time, id mp.RequestID) {
	jo, ok := sc.jobs[id]
	if !ok || jo.engine != nil {
		return
	}
	sc.groups[jo.request.Model].queue.Remove(id)
	jo.flow.charge(jo, -jo.cost)
	sc.removeJob(jo)
}

// EngineState is the observed state of one engine, for operators.
type EngineState struct {
	ID mp.EngineID `json:"id"`
	// InFlight counts this host's requests on the engine.
	InFlight int `json:"in_flight"`
	// OtherHostsInFlight counts the requests of other hosts on the engine, from its
	// last load report.
	OtherHostsInFlight int `json:"others"`
	// ConcurrencyLimit is the current limit of requests of all hosts on the engine.
	ConcurrencyLimit float64 `json:"limit"`
	// TimeBetweenTokens is a moving average over the attempts of this host.
	TimeBetweenTokens mp.Duration `json:"gap"`
	// ExcessLatency is a decaying average of how much later than estimated the first
	// token arrived.
	ExcessLatency mp.Duration `json:"lag"`
	// Ejected reports that the engine is ejected or backed off: it gets no new
	// requests for a while.
	Ejected bool `json:"ejected"`
	// Draining reports that the engine gets no new requests and finishes those in
	// flight.
	Draining bool `json:"leaving"`
}

// Engines returns the state of each engine, sorted by ID.
func (sc *Scheduler) Engines(now time.Time) []EngineState {
	states := make([]EngineState, 0, len(sc.engines))
	for _, en := range sc.engines {
		states = append(states, EngineState{
			ID:                 en.ID,
			InFlight:           en.inFlight,
			OtherHostsInFlight: en.otherHostsInFlight,
			ConcurrencyLimit:   en.concurrencyLimit,
			TimeBetweenTokens:  mp.Duration(en.timeBetweenTokens),
			ExcessLatency:      mp.Duration(en.decayedExcessLatency(now)),
			Ejected:            en.isAvoided(now),
			Draining:           en.Draining,
		})
	}
	slices.SortFunc(states, func(a, b EngineState) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return states
}

// Waiting returns the number of waiting requests by tier.
func (sc *Scheduler) Waiting() [mp.TierCount]int {
	var waiting [mp.TierCount]int
	for _, mg := range sc.groups {
		for ti := range waiting {
			waiting[ti] += mg.queue.TierLen(mp.Tier(ti))
		}
	}
	return waiting
}
