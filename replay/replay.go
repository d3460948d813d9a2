// Package replay simulates a deployment in virtual time. It submits the requests of a
// trace to the schedulers of its hosts, which are those of package schedule or a policy
// of package baseline, runs them on engines of package enginemodel, and counts the
// outcomes of each class. Package soak, in contrast, injects faults into real processes.
package replay

import (
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/baseline"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/schedule"
	"github.com/mangopaddle/mangopaddle/share"
	"github.com/mangopaddle/mangopaddle/trace"
)

// Policy names the scheduling policy of a replay.
type Policy string

// The policies. All but PolicyMangopaddle are baselines.
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
	// sampleInterval is the interval at which the load of every engine is recorded.
	sampleInterval = 250 * time.Millisecond
	// maxLoadSamples is the number of samples kept for each engine. A load report that
	// is older than all of them contains a zero load.
	maxLoadSamples = 64
	// samplesPerReport is the interval between two load reports, in samples.
	samplesPerReport = 4
	// reportAgeSamples is the age of a load report when it is read, in samples,
	// without a fault.
	reportAgeSamples = 1
	// dispatchInterval is the interval at which hosts dispatch waiting requests, in
	// addition to the dispatch after each completed request.
	dispatchInterval = 50 * time.Millisecond
	// interRegionDelay is the one-way network delay between regions.
	interRegionDelay = 30 * time.Millisecond
	// bytesPerAnswerToken is the size of one streamed token on the network.
	bytesPerAnswerToken = 180
	// bytesPerPromptToken is the size of one prompt token in a request body.
	bytesPerPromptToken = 4
	// maxAttemptsWithoutProgress is the number of consecutive failed attempts without a
	// new token after which a request is refused.
	maxAttemptsWithoutProgress = 4
)

// Option configures a replay.
type Option func(*replay)

// WithPolicy sets the scheduling policy. The default is PolicyMangopaddle.
func WithPolicy(policy Policy) Option {
	return func(re *replay) { re.policy = policy }
}

// WithHostsPerDataCentre sets the number of entry hosts in each data centre. The
// default is 3.
func WithHostsPerDataCentre(hosts int) Option {
	return func(re *replay) { re.hostsPerDataCentre = hosts }
}

// replay is the state of a replay.
type replay struct {
	set                *config.Set
	policy             Policy
	hostsPerDataCentre int

	now                time.Duration // virtual time since epoch
	epoch              time.Time
	eventQueue         eventQueue
	engines            map[mp.EngineID]*simulatedEngine
	engineIDs          []mp.EngineID // sorted, for a deterministic order
	hosts              map[mp.DataCentreID][]*host
	allHosts           []*host
	nextHost           map[mp.DataCentreID]int // round robin over the hosts
	promisedBuckets    map[classKey]*share.Bucket
	windows            map[windowKey]*window
	partitioned        map[mp.DataCentreID]bool
	reportDelaySamples int // additional age of load reports during a fault, in samples
	sampleCount        int
	unfinished         int // requests neither completed nor refused yet
	lastArrival        time.Duration
	result             *Result
}

// host is an entry host with its scheduler.
type host struct {
	dc        mp.DataCentreID
	region    mp.RegionID
	scheduler mp.Scheduler
	requests  map[mp.RequestID]*request
	waiting   int
}

// Run replays a trace with a configuration set. It returns an error if the policy is
// unknown, if a fault has an unknown kind or engine, or if a request names a data centre
// or class that does not exist.
func Run(set *config.Set, lines []trace.Line, opts ...Option) (*Result, error) {
	re := &replay{
		set:                set,
		policy:             PolicyMangopaddle,
		hostsPerDataCentre: 3,
		epoch:              time.Unix(1_700_000_000, 0),
		engines:            map[mp.EngineID]*simulatedEngine{},
		hosts:              map[mp.DataCentreID][]*host{},
		nextHost:           map[mp.DataCentreID]int{},
		promisedBuckets:    map[classKey]*share.Bucket{},
		windows:            map[windowKey]*window{},
		partitioned:        map[mp.DataCentreID]bool{},
		result:             newResult(),
	}
	for _, opt := range opts {
		opt(re)
	}
	if err := re.setUp(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := re.runTrace(lines); err != nil {
		return nil, errors.Trace(err)
	}
	re.computeTotals()
	return re.result, nil
}

func (re *replay) setUp() error {
	fleet := &re.set.Fleet
	for _, en := range fleet.Engines {
		re.engines[en.Name] = newSimulatedEngine(en, fleet.RegionOf(en.DataCentre))
		re.engineIDs = append(re.engineIDs, en.Name)
	}
	slices.Sort(re.engineIDs)
	for _, region := range fleet.Regions {
		for _, dc := range region.DataCentres {
			for ix := range re.hostsPerDataCentre {
				scheduler, err := re.newScheduler(dc, uint64(ix))
				if err != nil {
					return errors.Trace(err)
				}
				ho := &host{dc: dc, region: region.Name, scheduler: scheduler, requests: map[mp.RequestID]*request{}}
				re.hosts[dc] = append(re.hosts[dc], ho)
				re.allHosts = append(re.allHosts, ho)
			}
		}
	}
	return nil
}

// dataCentresOfRegion returns the number of data centres in the region of one.
func (re *replay) dataCentresOfRegion(dc mp.DataCentreID) int {
	for _, region := range re.set.Fleet.Regions {
		if slices.Contains(region.DataCentres, dc) {
			return len(region.DataCentres)
		}
	}
	return 1
}

// newScheduler returns a scheduler for a host in a data centre.
func (re *replay) newScheduler(dc mp.DataCentreID, seed uint64) (mp.Scheduler, error) {
	engines := schedule.EnginesOf(&re.set.Fleet, dc, nil)
	switch re.policy {
	case PolicyMangopaddle:
		sc := schedule.New(schedule.WithHosts(re.hostsPerDataCentre*re.dataCentresOfRegion(dc)), schedule.WithSeed(seed+1))
		sc.SetEngines(engines)
		return sc, nil
	case PolicyRoundRobin:
		return baseline.NewRoundRobin(engines), nil
	case PolicyLeastLoad:
		return baseline.NewLeastLoad(engines), nil
	case PolicyFIFO:
		return baseline.NewFIFO(engines, re.hostsPerDataCentre), nil
	default:
		return nil, errors.NotValidf("policy %q (want one of %q)", re.policy, Policies())
	}
}

// runTrace runs the trace and then the remaining events, until every request has
// finished or an hour of virtual time has passed since the last line of the trace.
func (re *replay) runTrace(lines []trace.Line) error {
	for ix := range lines {
		if lines[ix].Request != nil {
			re.lastArrival = lines[ix].At.Std()
		}
	}
	re.eventQueue.add(sampleInterval, re.sampleLoad)
	re.eventQueue.add(dispatchInterval, re.dispatchAll)
	for ix := range lines {
		li := &lines[ix]
		re.runUntil(li.At.Std())
		if li.Fault != nil {
			if err := re.injectFault(li.Fault); err != nil {
				return errors.Annotatef(err, "line %d of the trace", ix+1)
			}
			continue
		}
		if err := re.submitToHost(ix, li.Request); err != nil {
			return errors.Annotatef(err, "line %d of the trace", ix+1)
		}
	}
	limit := re.now + time.Hour
	for re.unfinished > 0 && re.now < limit {
		re.runNextEvent()
	}
	re.result.Lost += re.unfinished
	return nil
}

// runUntil runs the events up to a time and advances the clock to it.
func (re *replay) runUntil(at time.Duration) {
	for re.eventQueue.Len() > 0 && re.eventQueue.list[0].at <= at {
		re.runNextEvent()
	}
	re.now = at
}

// runNextEvent advances the clock to the next event and runs it.
func (re *replay) runNextEvent() {
	ev := re.eventQueue.next()
	re.now = ev.at
	ev.run()
}

func (re *replay) virtualTime() time.Time { return re.epoch.Add(re.now) }

// sampleLoad records the load of every engine. After every samplesPerReport samples,
// which is once a second, the hosts read the load reports.
func (re *replay) sampleLoad() {
	re.eventQueue.add(re.now+sampleInterval, re.sampleLoad)
	for _, id := range re.engineIDs {
		re.engines[id].sampleLoad()
	}
	re.sampleCount++
	if re.sampleCount%samplesPerReport != 0 {
		return
	}
	for _, ho := range re.allHosts {
		for _, id := range re.engineIDs {
			se := re.engines[id]
			if !re.isPartitioned(ho.dc, se.config.DataCentre) {
				ho.scheduler.ObserveLoad(re.virtualTime(), id, se.reportedLoad(reportAgeSamples+re.reportDelaySamples))
			}
		}
	}
}

// dispatchAll periodically dispatches the waiting requests of all hosts: as time
// passes, requests may expire or be able to start although none has completed.
func (re *replay) dispatchAll() {
	re.eventQueue.add(re.now+dispatchInterval, re.dispatchAll)
	for _, ho := range re.allHosts {
		re.dispatch(ho)
	}
}

// submitToHost submits a request to the next host of its data centre.
func (re *replay) submitToHost(line int, tr *trace.Request) error {
	class, err := re.classOf(tr)
	if err != nil {
		return errors.Trace(err)
	}
	hosts := re.hosts[tr.DataCentre]
	if len(hosts) == 0 {
		return errors.NotFoundf("data centre %q", tr.DataCentre)
	}
	re.nextHost[tr.DataCentre]++
	rq := &request{
		id:          mp.RequestID("r" + strconv.Itoa(line)),
		trace:       tr,
		class:       class,
		classResult: re.result.classResultFor(class),
		host:        hosts[re.nextHost[tr.DataCentre]%len(hosts)],
		arrival:     re.now,
	}
	rq.classResult.Offered++
	re.countPromisedWork(rq)
	re.unfinished++
	rq.host.requests[rq.id] = rq
	re.applyDecision(rq, rq.host.scheduler.Submit(re.virtualTime(), re.schedulerRequest(rq)))
	return nil
}
