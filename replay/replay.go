// Package replay runs a trace through the scheduling decisions against modelled
// engines, in virtual time, and counts the outcomes of each class.
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
	re.decide(rq, rq.host.scheduler.Submit(re.clock(), re.work(rq)))
	return nil
}
