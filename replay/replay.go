// Package replay runs a trace through the scheduling decisions against modelled
// engines, in virtual time, and counts the outcomes of each class.
package replay

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/baseline"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/enginemodel"
	"github.com/mangopaddle/mangopaddle/schedule"
	"github.com/mangopaddle/mangopaddle/share"
	"github.com/mangopaddle/mangopaddle/trace"
)

// Policy names what decides.
type Policy string

// The policies. All but the first are baselines.
const (
	PolicyMangopaddle Policy = "mangopaddle"
	PolicyRoundRobin  Policy = "round-robin"
	PolicyLeastLoad   Policy = "least-load"
	PolicyFIFO        Policy = "fifo"
)

// Policies returns every policy.
func Policies() []Policy {
	return []Policy{PolicyMangopaddle, PolicyRoundRobin, PolicyLeastLoad, PolicyFIFO}
}

const (
	sampleInterval = 250 * time.Millisecond
	keptSamples    = 64
	// samplesPerReport is how many samples lie between two reports.
	samplesPerReport = 4
	// reportSamples is how old a report is when it is read.
	reportSamples = 1
	pumpInterval  = 50 * time.Millisecond
	// regionDelay is the one-way delay between regions.
	regionDelay = 30 * time.Millisecond
	// chunkBytes is what one streamed token takes on a link.
	chunkBytes  = 180
	promptBytes = 4 // of a prompt token
	// maxRuns bounds the runs of a request that bring no token.
	maxRuns = 4
)

// Option changes a replay.
type Option func(*replay)

// WithPolicy chooses what decides. Default PolicyMangopaddle.
func WithPolicy(policy Policy) Option {
	return func(re *replay) { re.policy = policy }
}

// WithHosts sets the entry hosts of each data centre. Default 3.
func WithHosts(hosts int) Option {
	return func(re *replay) { re.hostsEach = hosts }
}

// replay is the state of one run.
type replay struct {
	set       *config.Set
	policy    Policy
	hostsEach int

	now     time.Duration
	epoch   time.Time
	events  events
	engines map[mp.EngineID]*modelled
	order   []mp.EngineID
	hosts   map[mp.DataCentreID][]*host
	all     []*host
	turn    map[mp.DataCentreID]int
	shares  map[classKey]*share.Bucket
	windows map[windowKey]*window
	cut     map[mp.DataCentreID]bool
	lag     int // samples by which loads lag
	samples int
	open    int // requests that are not over
	last    time.Duration
	result  *Result
}

// host is one entry host with its scheduler.
type host struct {
	dc        mp.DataCentreID
	region    mp.RegionID
	scheduler mp.Scheduler
	requests  map[mp.RequestID]*request
	waiting   int
}

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

// Run replays a trace over a configuration set.
func Run(set *config.Set, lines []trace.Line, opts ...Option) (*Result, error) {
	re := &replay{
		set:       set,
		policy:    PolicyMangopaddle,
		hostsEach: 3,
		epoch:     time.Unix(1_700_000_000, 0),
		engines:   map[mp.EngineID]*modelled{},
		hosts:     map[mp.DataCentreID][]*host{},
		turn:      map[mp.DataCentreID]int{},
		shares:    map[classKey]*share.Bucket{},
		windows:   map[windowKey]*window{},
		cut:       map[mp.DataCentreID]bool{},
		result:    newResult(),
	}
	for _, opt := range opts {
		opt(re)
	}
	if err := re.build(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := re.play(lines); err != nil {
		return nil, errors.Trace(err)
	}
	re.finish()
	return re.result, nil
}

func (re *replay) build() error {
	fleet := &re.set.Fleet
	for _, en := range fleet.Engines {
		re.engines[en.Name] = newModelled(en, fleet.RegionOf(en.DataCentre))
		re.order = append(re.order, en.Name)
	}
	slices.Sort(re.order)
	for _, region := range fleet.Regions {
		for _, dc := range region.DataCentres {
			for ix := range re.hostsEach {
				scheduler, err := re.scheduler(dc, uint64(ix))
				if err != nil {
					return errors.Trace(err)
				}
				ho := &host{dc: dc, region: region.Name, scheduler: scheduler, requests: map[mp.RequestID]*request{}}
				re.hosts[dc] = append(re.hosts[dc], ho)
				re.all = append(re.all, ho)
			}
		}
	}
	return nil
}

func (re *replay) scheduler(dc mp.DataCentreID, seed uint64) (mp.Scheduler, error) {
	engines := schedule.EnginesOf(&re.set.Fleet, dc, nil)
	switch re.policy {
	case PolicyMangopaddle:
		sc := schedule.New(schedule.WithHosts(re.hostsEach), schedule.WithSeed(seed+1))
		sc.SetEngines(engines)
		return sc, nil
	case PolicyRoundRobin:
		return baseline.NewRoundRobin(engines), nil
	case PolicyLeastLoad:
		return baseline.NewLeastLoad(engines), nil
	case PolicyFIFO:
		return baseline.NewFIFO(engines, re.hostsEach), nil
	default:
		return nil, errors.NotValidf("policy %q (want one of %q)", re.policy, Policies())
	}
}

// play runs every event until the last request is over.
func (re *replay) play(lines []trace.Line) error {
	for ix := range lines {
		if lines[ix].Request != nil {
			re.last = lines[ix].At.Std()
		}
	}
	re.events.add(sampleInterval, re.sample)
	re.events.add(pumpInterval, re.pump)
	for ix := range lines {
		li := &lines[ix]
		re.until(li.At.Std())
		if li.Fault != nil {
			if err := re.begin(li.Fault); err != nil {
				return errors.Annotatef(err, "line %d of the trace", ix+1)
			}
			continue
		}
		if err := re.arrive(ix, li.Request); err != nil {
			return errors.Annotatef(err, "line %d of the trace", ix+1)
		}
	}
	limit := re.now + time.Hour
	for re.open > 0 && re.now < limit {
		re.step()
	}
	re.result.Lost += re.open
	return nil
}

// until runs the events before a time and moves there.
func (re *replay) until(at time.Duration) {
	for re.events.Len() > 0 && re.events.list[0].at <= at {
		re.step()
	}
	re.now = at
}

func (re *replay) step() {
	ev := re.events.next()
	re.now = ev.at
	ev.run()
}

func (re *replay) clock() time.Time { return re.epoch.Add(re.now) }

// sample records the engines' loads, and once a second the hosts read the
// reports.
func (re *replay) sample() {
	re.events.add(re.now+sampleInterval, re.sample)
	for _, id := range re.order {
		re.engines[id].sample()
	}
	re.samples++
	if re.samples%samplesPerReport != 0 {
		return
	}
	for _, ho := range re.all {
		for _, id := range re.order {
			mo := re.engines[id]
			if !re.apart(ho.dc, mo.config.DataCentre) {
				ho.scheduler.ObserveLoad(re.clock(), id, mo.reported(reportSamples+re.lag))
			}
		}
	}
}

// pump lets waiting requests start that only time allows.
func (re *replay) pump() {
	re.events.add(re.now+pumpInterval, re.pump)
	for _, ho := range re.all {
		re.drain(ho)
	}
}

// arrive hands a request to a host of its data centre.
func (re *replay) arrive(number int, tr *trace.Request) error {
	class, err := re.classOf(tr)
	if err != nil {
		return errors.Trace(err)
	}
	hosts := re.hosts[tr.DataCentre]
	if len(hosts) == 0 {
		return errors.NotFoundf("data centre %q", tr.DataCentre)
	}
	re.turn[tr.DataCentre]++
	rq := &request{
		id:      mp.RequestID("r" + strconv.Itoa(number)),
		trace:   tr,
		class:   class,
		outcome: re.result.class(class),
		host:    hosts[re.turn[tr.DataCentre]%len(hosts)],
		arrival: re.now,
	}
	rq.outcome.Offered++
	re.promise(rq)
	re.open++
	rq.host.requests[rq.id] = rq
	re.decide(rq, rq.host.scheduler.Arrive(re.clock(), re.work(rq)))
	return nil
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
	if bucket.Within(re.clock()) {
		bucket.Take(rq.cost())
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

func (re *replay) work(rq *request) mp.Work {
	hosts := mp.TokensPerSecond(re.hostsEach)
	return mp.Work{
		ID:            rq.id,
		Organisation:  rq.trace.Organisation,
		Class:         rq.trace.Class,
		Model:         rq.trace.Model,
		Tier:          rq.class.Tier,
		Prompt:        rq.trace.Prompt,
		PrefixID:      rq.trace.PrefixID,
		PrefixTokens:  rq.trace.PrefixTokens,
		FirstToken:    rq.class.Targets.FirstToken.Std(),
		BetweenTokens: rq.class.Targets.BetweenTokens.Std(),
		LongestWait:   rq.class.LongestWait.Std(),
		Promised:      rq.class.Share.PromisedTokensPerSecond / hosts,
		Most:          rq.class.Share.MostTokensPerSecond / hosts,
	}
}

func (re *replay) decide(rq *request, de mp.Decision) {
	switch de.Verdict {
	case mp.VerdictStart:
		re.start(rq, de.Engine, de.Priority)
	case mp.VerdictWait:
		rq.host.waiting++
	case mp.VerdictRefuse:
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

// delay returns the one-way delay between host and engine.
func (rq *request) delay() time.Duration {
	if rq.engine.region == rq.host.region {
		return 0
	}
	return regionDelay
}

func (re *replay) submit(rq *request, mo *modelled) {
	if mo.down || re.apart(rq.host.dc, mo.config.DataCentre) {
		re.fail(rq, mp.Outcome{Answer: rq.produced, Failed: true, Unreachable: true})
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
	by := rq.arrival + rq.class.LongestWait.Std() + rq.class.Targets.FirstToken.Std()
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

func (re *replay) apart(a, b mp.DataCentreID) bool {
	return a != b && (re.cut[a] || re.cut[b])
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

func (rq *request) runOutcome(failed bool) mp.Outcome {
	out := mp.Outcome{Answer: rq.produced, Failed: failed}
	if rq.runFirst == 0 {
		return out
	}
	out.FirstToken = rq.runFirst - rq.started
	if tokens := rq.produced - rq.entered - 1; tokens > 0 {
		out.MeanGap = (rq.lastAt - rq.runFirst) / time.Duration(tokens)
	}
	return out
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

func (rq *request) gap(taken time.Duration) {
	if taken <= rq.class.Targets.BetweenTokens.Std() {
		rq.onTime++
	} else {
		rq.late++
	}
}

func (re *replay) complete(rq *request) {
	rq.outcome.complete(rq)
	re.result.inTime += rq.inTime
	if rq.produced != rq.trace.Output {
		re.result.Doubled++
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

// begin starts a fault and plans its end.
func (re *replay) begin(fa *trace.Fault) error {
	until := re.now + fa.Lasts.Std()
	switch fa.Kind {
	case trace.FaultSlow, trace.FaultCrash:
		mo, ok := re.engines[fa.Engine]
		if !ok {
			return errors.NotFoundf("engine %q", fa.Engine)
		}
		if fa.Kind == trace.FaultSlow {
			mo.slowdown = fa.Factor
			re.events.add(until, func() { mo.slowdown = 1 })
			return nil
		}
		re.crash(mo)
		re.events.add(until, func() { mo.down = false })
	case trace.FaultLag:
		re.lag = int(fa.Lag.Std() / sampleInterval)
		re.events.add(until, func() { re.lag = 0 })
	case trace.FaultCut:
		re.cut[fa.DataCentre] = true
		re.breakLinks(fa.DataCentre)
		re.events.add(until, func() { delete(re.cut, fa.DataCentre) })
	default:
		return errors.NotValidf("fault %q", fa.Kind)
	}
	return nil
}

func (re *replay) crash(mo *modelled) {
	mo.down = true
	mo.reset()
	for _, rq := range sortedRequests(mo.requests) {
		delete(mo.requests, rq.id)
		re.fail(rq, rq.runOutcome(true))
	}
}

// breakLinks ends the runs that cross the edge of a data centre.
func (re *replay) breakLinks(dc mp.DataCentreID) {
	for _, id := range re.order {
		mo := re.engines[id]
		for _, rq := range sortedRequests(mo.requests) {
			if rq.host.dc == mo.config.DataCentre || (rq.host.dc != dc && mo.config.DataCentre != dc) {
				continue
			}
			mo.model.Cancel(rq.id)
			delete(mo.requests, rq.id)
			re.fail(rq, rq.runOutcome(true))
		}
	}
}

func sortedRequests(requests map[mp.RequestID]*request) []*request {
	list := make([]*request, 0, len(requests))
	for _, rq := range requests {
		list = append(list, rq)
	}
	slices.SortFunc(list, func(a, b *request) int { return strings.Compare(string(a.id), string(b.id)) })
	return list
}
