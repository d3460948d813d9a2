// Package schedule decides which request runs on which engine and when: tiers,
// shares, fair queueing, engine choice, refusal at arrival and the number of
// requests that an engine may have. It does no I/O and reads no clock.
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
	// promptPart is how many prompt tokens cost as much as one answer token.
	promptPart = 8
	// costQuantile is the quantile of the answer length that a request is
	// charged before its length is known.
	costQuantile = 0.5
	// maxWaiting bounds the requests that wait for one model.
	maxWaiting = 4096
	// leastRetryAfter is the shortest wait that a refused caller is told.
	leastRetryAfter = time.Second
)

// Scheduler implements mangopaddle.Scheduler. It is not safe for concurrent
// use.
type Scheduler struct {
	hosts   int
	random  *rand.Rand
	engines map[mp.EngineID]*engine
	groups  map[mp.ModelID]*group
	order   []mp.ModelID // of the groups, for a fixed order
	flows   map[flowKey]*flow
	jobs    map[mp.RequestID]*job
	free    []*job
}

var _ mp.Scheduler = (*Scheduler)(nil)

type flowKey struct {
	organisation mp.OrganisationID
	class        mp.ClassName
}

// flow is the state of one organisation's class.
type flow struct {
	promised share.Bucket
	most     share.Bucket
	lengths  estimate.LengthHistogram
	fair     admission.Flow
	active   int // requests that wait or run
}

// job is a request that waits or runs.
type job struct {
	work     mp.Request
	item     admission.Item
	flow     *flow
	engine   *engine // nil while it waits
	promised bool
	spare    bool // above the most of its share
	cost     mp.Tokens
	expected time.Duration // to the first token
}

// Option changes a scheduler under construction.
type Option func(*Scheduler)

// WithHosts sets how many hosts share the engines. Default 1.
func WithHosts(hosts int) Option {
	return func(sc *Scheduler) { sc.hosts = hosts }
}

// WithSeed sets the seed of the choice between equal engines.
func WithSeed(seed uint64) Option {
	return func(sc *Scheduler) { sc.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a scheduler without engines.
func New(opts ...Option) *Scheduler {
	sc := &Scheduler{
		hosts:   1,
		random:  rand.New(rand.NewPCG(1, 1)),
		engines: map[mp.EngineID]*engine{},
		groups:  map[mp.ModelID]*group{},
		flows:   map[flowKey]*flow{},
		jobs:    map[mp.RequestID]*job{},
	}
	for _, opt := range opts {
		opt(sc)
	}
	return sc
}

// SetHosts changes how many hosts share the engines.
func (sc *Scheduler) SetHosts(hosts int) {
	sc.hosts = max(1, hosts)
}

// SetEngines replaces the engines and keeps what is known of those that stay.
// Requests that run on a removed engine are not touched.
func (sc *Scheduler) SetEngines(engines []Engine) {
	kept := make(map[mp.EngineID]*engine, len(engines))
	for _, gr := range sc.groups {
		gr.engines = gr.engines[:0]
	}
	for _, description := range engines {
		en, ok := sc.engines[description.ID]
		if ok {
			en.update(description)
		} else {
			en = newEngine(description)
		}
		kept[description.ID] = en
		for _, model := range description.Models {
			gr := sc.group(model)
			gr.engines = append(gr.engines, en)
		}
	}
	sc.engines = kept
}

func (sc *Scheduler) group(model mp.ModelID) *group {
	gr, ok := sc.groups[model]
	if !ok {
		gr = newGroup()
		sc.groups[model] = gr
		ix, _ := slices.BinarySearchFunc(sc.order, model, func(a, b mp.ModelID) int { return strings.Compare(string(a), string(b)) })
		sc.order = slices.Insert(sc.order, ix, model)
	}
	return gr
}

func (sc *Scheduler) flowOf(now time.Time, wo *mp.Request, gr *group) *flow {
	key := flowKey{organisation: wo.Organisation, class: wo.Class}
	fl, ok := sc.flows[key]
	if !ok {
		fl = &flow{promised: share.New(wo.PromisedRate), most: share.New(wo.MaxRate), lengths: *estimate.New(gr.lengths)}
		sc.flows[key] = fl
	}
	if fl.promised.Rate() != wo.PromisedRate || fl.most.Rate() != wo.MaxRate {
		fl.promised.HasCredit(now)
		fl.promised.SetRate(wo.PromisedRate)
		fl.most.SetRate(wo.MaxRate)
	}
	fl.fair.Weight = float64(wo.PromisedRate)
	return fl
}

// Submit implements mangopaddle.Scheduler.
func (sc *Scheduler) Submit(now time.Time, wo mp.Request) mp.Decision {
	gr := sc.groups[wo.Model]
	if gr == nil || len(gr.engines) == 0 {
		return refuse(mp.KindNoBackend, 0)
	}
	fl := sc.flowOf(now, &wo, gr)
	if wo.MaxConcurrency > 0 && fl.active >= wo.MaxConcurrency {
		return refuse(mp.KindShareExceeded, 0)
	}
	cost := fl.costOf(&wo)
	promised := fl.promised.HasCredit(now)
	if wo.MaxRate > 0 && !fl.most.HasCredit(now) {
		return sc.spare(now, gr, wo, fl, cost)
	}
	gr.demand[wo.Tier].add(now, cost)
	if ch := sc.choose(now, &wo, "", false); ch.engine != nil && !gr.anyoneBefore(wo.Tier) {
		return sc.start(now, sc.admit(wo, fl, cost, promised), ch)
	}
	return sc.wait(now, gr, wo, fl, cost, promised)
}

// spare starts a request above the most that its class may claim if nobody waits
// and an engine has room that no tier is kept for. It never waits.
func (sc *Scheduler) spare(now time.Time, gr *group, wo mp.Request, fl *flow, cost mp.Tokens) mp.Decision {
	modest := wo
	modest.Tier = mp.MaxTier
	if ch := sc.choose(now, &modest, "", false); ch.engine != nil && gr.queue.Len() == 0 {
		jo := sc.admit(wo, fl, 0, false)
		jo.cost, jo.spare = cost, true
		return sc.start(now, jo, ch)
	}
	return refuse(mp.KindShareExceeded, fl.most.Delay(now))
}

// costOf estimates the work of a request in answer tokens.
func (fl *flow) costOf(wo *mp.Request) mp.Tokens {
	answer := fl.lengths.Quantile(costQuantile)
	if wo.MaxAnswerTokens > 0 {
		answer = min(answer, wo.MaxAnswerTokens)
	}
	return Cost(wo.PromptTokens, answer)
}

// Cost returns the work of a request as shares count it, in answer tokens.
func Cost(prompt, answer mp.Tokens) mp.Tokens {
	return answer + prompt/promptPart
}

// wait queues a request, unless it is sure to wait longer than it may.
func (sc *Scheduler) wait(now time.Time, gr *group, wo mp.Request, fl *flow, cost mp.Tokens, promised bool) mp.Decision {
	if !gr.alive(now.Add(wo.MaxWait)) {
		return refuse(mp.KindNoBackend, firstEjection)
	}
	expected := gr.expectedWait(now, wo.Tier, promised, sc.hosts)
	if expected > wo.MaxWait || gr.queue.Len() >= maxWaiting {
		return refuse(mp.KindOverloaded, expected-wo.MaxWait)
	}
	jo := sc.admit(wo, fl, cost, promised)
	jo.item = admission.Item{
		ID:       wo.ID,
		Tier:     wo.Tier,
		Promised: promised,
		Cost:     cost,
		Flow:     &fl.fair,
		Deadline: now.Add(wo.MaxWait),
	}
	gr.queue.Push(&jo.item)
	return mp.Decision{Action: mp.ActionWait}
}

// alive says whether any engine may take a request at a time.
func (gr *group) alive(at time.Time) bool {
	return slices.ContainsFunc(gr.engines, func(en *engine) bool { return !en.Leaving && !en.isEjected(at) })
}

func refuse(reason mp.Kind, after time.Duration) mp.Decision {
	return mp.Decision{Action: mp.ActionRefuse, Reason: reason, RetryAfter: max(after, leastRetryAfter)}
}

// admit records a request and charges its estimated cost.
func (sc *Scheduler) admit(wo mp.Request, fl *flow, cost mp.Tokens, promised bool) *job {
	jo := sc.newJob()
	*jo = job{work: wo, flow: fl, cost: cost, promised: promised}
	fl.charge(jo, cost)
	fl.active++
	sc.jobs[wo.ID] = jo
	return jo
}

// charge takes a cost from the share that the request was counted in.
func (fl *flow) charge(jo *job, cost mp.Tokens) {
	if jo.spare {
		return
	}
	if jo.promised {
		fl.promised.Charge(cost)
	}
	if jo.work.MaxRate > 0 {
		fl.most.Charge(cost)
	}
}

func (sc *Scheduler) newJob() *job {
	if last := len(sc.free) - 1; last >= 0 {
		jo := sc.free[last]
		sc.free = sc.free[:last]
		return jo
	}
	return new(job)
}

func (sc *Scheduler) forget(jo *job) {
	delete(sc.jobs, jo.work.ID)
	jo.flow.active--
	*jo = job{}
	sc.free = append(sc.free, jo)
}

// start gives a request its place on an engine.
func (sc *Scheduler) start(now time.Time, jo *job, ch choice) mp.Decision {
	jo.engine, jo.expected = ch.engine, ch.expected
	ch.engine.own++
	ch.engine.note(now, &jo.work)
	return mp.Decision{Action: mp.ActionStart, Engine: ch.engine.ID, Priority: jo.priority()}
}

// Next implements mangopaddle.Scheduler.
func (sc *Scheduler) Next(now time.Time) (mp.Assignment, bool) {
	for _, model := range sc.order {
		gr := sc.groups[model]
		it := gr.queue.Peek()
		if it == nil {
			continue
		}
		jo := sc.jobs[it.ID]
		ch := sc.choose(now, &jo.work, "", false)
		if ch.engine == nil {
			continue
		}
		gr.queue.Pop()
		de := sc.start(now, jo, ch)
		return mp.Assignment{ID: jo.work.ID, Engine: de.Engine, Priority: de.Priority}, true
	}
	return mp.Assignment{}, false
}

// Expire implements mangopaddle.Scheduler.
func (sc *Scheduler) Expire(now time.Time) (mp.RequestID, bool) {
	for _, model := range sc.order {
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
	sc.groups[jo.work.Model].queue.Remove(id)
	jo.flow.charge(jo, -jo.cost)
	sc.forget(jo)
}

// Reassign implements mangopaddle.Scheduler. The request keeps its place ahead
// of all that waits, because work was already done for it.
func (sc *Scheduler) Reassign(now time.Time, id mp.RequestID, outcome mp.Outcome) mp.Decision {
	jo, ok := sc.jobs[id]
	if !ok || jo.engine == nil {
		return refuse(mp.KindInternal, 0)
	}
	failed := jo.engine
	sc.leave(now, jo, outcome)
	ch := sc.chooseAgain(now, &jo.work, failed, outcome)
	if ch.engine == nil {
		jo.flow.charge(jo, -jo.cost)
		sc.forget(jo)
		return refuse(mp.KindNoBackend, 0)
	}
	return sc.start(now, jo, ch)
}

// leave takes a request off its engine and learns from the outcome.
func (sc *Scheduler) leave(now time.Time, jo *job, outcome mp.Outcome) {
	en := jo.engine
	en.own--
	en.observe(now, jo, outcome)
	if outcome.Failed {
		sc.groups[jo.work.Model].ejectFailing(now, en)
	}
}

// Done implements mangopaddle.Scheduler.
func (sc *Scheduler) Done(now time.Time, id mp.RequestID, outcome mp.Outcome) {
	jo, ok := sc.jobs[id]
	if !ok || jo.engine == nil {
		return
	}
	sc.leave(now, jo, outcome)
	jo.flow.charge(jo, Cost(jo.work.PromptTokens, outcome.AnswerTokens)-jo.cost)
	if !outcome.Failed && outcome.AnswerTokens > 0 {
		jo.flow.lengths.Add(outcome.AnswerTokens)
	}
	sc.forget(jo)
}

// ObserveLoad implements mangopaddle.Scheduler.
func (sc *Scheduler) ObserveLoad(now time.Time, id mp.EngineID, load mp.EngineLoad) {
	if en, ok := sc.engines[id]; ok {
		en.observeLoad(now, load)
	}
}

// EngineState is what a scheduler knows of one engine, for operators.
type EngineState struct {
	ID mp.EngineID `json:"id"`
	// InFlight counts this host's requests on the engine.
	InFlight int `json:"in_flight"`
	// OtherHostsInFlight estimates the requests of other hosts.
	OtherHostsInFlight int         `json:"others"`
	ConcurrencyLimit   float64     `json:"limit"`
	TokenGap           mp.Duration `json:"gap"`
	ExcessLatency      mp.Duration `json:"lag"`
	Ejected            bool        `json:"ejected"`
	Leaving            bool        `json:"leaving"`
}

// Engines returns what is known of each engine, in the order of their names.
func (sc *Scheduler) Engines(now time.Time) []EngineState {
	states := make([]EngineState, 0, len(sc.engines))
	for _, en := range sc.engines {
		states = append(states, EngineState{
			ID:                 en.ID,
			InFlight:           en.own,
			OtherHostsInFlight: en.others,
			ConcurrencyLimit:   en.limit,
			TokenGap:           mp.Duration(en.gap),
			ExcessLatency:      mp.Duration(en.currentLag(now)),
			Ejected:            en.isEjected(now),
			Leaving:            en.Leaving,
		})
	}
	slices.SortFunc(states, func(a, b EngineState) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return states
}

// Waiting returns how many requests wait, by tier.
func (sc *Scheduler) Waiting() [mp.TierCount]int {
	var waiting [mp.TierCount]int
	for _, gr := range sc.groups {
		for ti := range waiting {
			waiting[ti] += gr.queue.TierLen(mp.Tier(ti))
		}
	}
	return waiting
}
