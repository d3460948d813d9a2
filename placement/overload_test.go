package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/placement"
)

// prefillRate is how many prompt tokens a simulated engine prefills per second.
const prefillRate = 45_000.0

// requestClass is one kind of request in the simulated load.
type requestClass struct {
	name          string
	rate          float64 // requests per second
	prefixTokens  mp.Tokens
	prefixes      int // distinct shared prefixes of the class
	uniqueTokens  mp.Tokens
	latencyTarget time.Duration
	deadline      time.Duration
}

// peakLoad is the load of a fleet of 60 engines on its busiest day, scaled down to
// a fifth for 12 engines, in order of priority: short questions (most urgent),
// checks, and drafts with long prompts (least urgent).
var peakLoad = []requestClass{
	{name: "question", rate: 16, prefixTokens: 172, prefixes: 15, uniqueTokens: 543, latencyTarget: time.Second, deadline: 15 * time.Second},
	{name: "check", rate: 32, prefixTokens: 568, prefixes: 45, uniqueTokens: 1800, latencyTarget: time.Second, deadline: 3 * time.Second},
	{name: "draft", rate: 80, prefixTokens: 6300, prefixes: 320, uniqueTokens: 2890, latencyTarget: 1500 * time.Millisecond, deadline: 5 * time.Second},
}

// classResult counts the outcomes of the requests of a class.
type classResult struct {
	offered, onTime, late, refused int
}

func (cr classResult) attainment() float64 { return float64(cr.onTime) / float64(cr.offered) }

// event is a function that runs at a point in simulated time.
type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

// simulation is a load on a fleet of engines, sent by hosts that each get an equal part
// of it.
type simulation struct {
	load     []requestClass // by priority, most urgent first
	scale    float64        // multiplies the rates of the load
	duration time.Duration
	engines  int
	hosts    int
	// firstPriority is the priority of the first class.
	firstPriority int
	// warm reports that the engines have the prefixes cached that they own.
	warm bool
}

// loadInterval is how often the hosts tell each other their loads.
const loadInterval = 100 * time.Millisecond

// newHosts returns the placers of the hosts, and a function by which they tell each
// other their loads.
func newHosts(seed uint64, engines, hosts int) (placers []*placement.Placer, exchange func()) {
	total := map[mp.ServerID]placement.Load{}
	told := make([]map[mp.ServerID]placement.Load, hosts)
	for ix := range hosts {
		pl := placement.New(placement.WithSeed(seed+uint64(ix)), placement.WithPeerLoad(func(id mp.ServerID) placement.Load {
			return placement.Load{
				PrefillTokens: total[id].PrefillTokens - told[ix][id].PrefillTokens,
				Streams:       total[id].Streams - told[ix][id].Streams,
			}
		}))
		pl.SetServers(fleet(engines, false))
		placers = append(placers, pl)
	}
	return placers, func() {
		clear(total)
		for ix, pl := range placers {
			told[ix] = pl.Loads()
			for id, load := range told[ix] {
				sum := total[id]
				total[id] = placement.Load{PrefillTokens: sum.PrefillTokens + load.PrefillTokens, Streams: sum.Streams + load.Streams}
			}
		}
	}
}

// simulate sends a load through the hosts' placers to engines that prefill prompts in
// order of arrival. It returns the results by class, and the fraction of the
// engines' time that was used.
func simulate(seed uint64, sim simulation) (map[string]classResult, float64) {
	random := rand.New(rand.NewPCG(seed, seed))
	placers, exchange := newHosts(seed, sim.engines, sim.hosts)
	results := map[string]classResult{}
	cached := map[mp.ServerID]map[uint64]bool{}
	freeAt := map[mp.ServerID]time.Time{}
	var busy time.Duration
	var events []event
	push := func(at time.Time, run func(time.Time)) {
		ev := event{at: at, order: len(events), run: run}
		ix, _ := slices.BinarySearchFunc(events, ev, func(a, b event) int { return a.at.Compare(b.at) })
		events = slices.Insert(events, ix, ev)
	}
	arrive := func(now time.Time, priority int, rc requestClass) {
		prefixID := uint64(priority*1000 + random.IntN(rc.prefixes) + 1)
		rq := &placement.Request{
			Service:        "engines",
			Prompt:         []placement.PromptSegment{{ID: prefixID, Tokens: rc.prefixTokens}, {ID: random.Uint64() | 1<<63, Tokens: rc.uniqueTokens}},
			PromptTokens:   rc.prefixTokens + rc.uniqueTokens,
			LatencyTarget:  rc.latencyTarget,
			TimeToDeadline: rc.deadline,
			Priority:       sim.firstPriority + priority,
		}
		rq.UrgentLatencyTarget = sim.urgentTarget(priority)
		pl := placers[random.IntN(len(placers))]
		result := results[rc.name]
		result.offered++
		ch, _ := pl.Choose(now, rq)
		if ch.Lateness(rq) > 0 {
			result.refused++
			results[rc.name] = result
			return
		}
		results[rc.name] = result
		pl.RecordStart(ch)
		id := ch.Server.ID
		if cached[id] == nil {
			cached[id] = map[uint64]bool{}
		}
		prefillTokens := rq.PromptTokens
		if cached[id][prefixID] || (sim.warm && ch.PrefixCached) {
			prefillTokens -= rc.prefixTokens
		}
		cached[id][prefixID] = true
		prefill := time.Duration(float64(prefillTokens) / prefillRate * float64(time.Second))
		busy += prefill
		begin := now
		if freeAt[id].After(now) {
			begin = freeAt[id]
		}
		freeAt[id] = begin.Add(prefill)
		push(freeAt[id], func(done time.Time) {
			pl.RecordFirstEvent(done, ch, done.Sub(now))
			pl.RecordEnd(done, ch, true, placement.Succeeded)
			result := results[rc.name]
			if done.Sub(now) <= rc.latencyTarget {
				result.onTime++
			} else {
				result.late++
			}
			results[rc.name] = result
		})
	}
	for at := start; at.Before(start.Add(sim.duration)); at = at.Add(loadInterval) {
		push(at, func(time.Time) { exchange() })
	}
	for priority, rc := range sim.load {
		for at := start; at.Before(start.Add(sim.duration)); {
			at = at.Add(time.Duration(random.ExpFloat64() / (rc.rate * sim.scale) * float64(time.Second)))
			push(at, func(now time.Time) { arrive(now, priority, rc) })
		}
	}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		next.run(next.at)
	}
	return results, busy.Seconds() / sim.duration.Seconds() / float64(sim.engines)
}

// urgentTarget returns the shortest latency target of the more urgent classes.
func (sim simulation) urgentTarget(priority int) time.Duration {
	var shortest time.Duration
	for _, rc := range sim.load[:priority] {
		if shortest == 0 || rc.latencyTarget < shortest {
			shortest = rc.latencyTarget
		}
	}
	return shortest
}

// TestOverloadShedsLeastUrgentRequests offers more prompts than the engines can
// prefill. Urgent requests must still start in time, and the engines must stay
// busy.
func TestOverloadShedsLeastUrgentRequests(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			results, utilisation := simulate(seed, simulation{load: peakLoad, scale: 2, duration: 12 * time.Second, engines: 12, hosts: 1})
			require.GreaterOrEqual(t, results["question"].attainment(), 0.99)
			require.Zero(t, results["question"].refused)
			require.GreaterOrEqual(t, results["check"].attainment(), 0.95)
			require.Positive(t, results["draft"].refused, "the load exceeds the prefill capacity")
			require.GreaterOrEqual(t, results["draft"].attainment(), 0.3)
			require.Zero(t, results["draft"].late, "accepted requests start in time")
			require.GreaterOrEqual(t, utilisation, 0.85)
		})
	}
}

// TestLoadWithinCapacityMeetsTargets offers a load that the engines can prefill.
// Almost all requests of each class must start in time.
func TestLoadWithinCapacityMeetsTargets(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			results, _ := simulate(seed, simulation{load: peakLoad, scale: 0.5, duration: 20 * time.Second, engines: 12, hosts: 1})
			for name, result := range results {
				require.GreaterOrEqual(t, result.attainment(), 0.97, name)
			}
		})
	}
}

// generousTargetLoad is the load of a fleet of 12 engines in a burst in which the least
// urgent class has the most generous target and the longest prompts: digests (priority
// 2) would fill the queues up to a length at which guides (priority 1) are late.
var generousTargetLoad = []requestClass{
	{name: "guide", rate: 20, prefixTokens: 6300, prefixes: 60, uniqueTokens: 2890, latencyTarget: 800 * time.Millisecond, deadline: 6 * time.Second},
	{name: "digest", rate: 95, prefixTokens: 13_300, prefixes: 120, uniqueTokens: 3720, latencyTarget: 2 * time.Second, deadline: 12 * time.Second},
}

// TestGenerousTargetsDontCrowdOutUrgentRequests offers more digests than the engines can
// prefill, from few and many hosts. The more urgent guides must be served in time, and
// refused no more often than the digests; the engines must stay busy.
func TestGenerousTargetsDontCrowdOutUrgentRequests(t *testing.T) {
	for _, hosts := range []int{1, 8, 60} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			for seed := uint64(1); seed <= 4; seed++ {
				results, utilisation := simulate(seed, simulation{load: generousTargetLoad, scale: 2, duration: 12 * time.Second, engines: 12, hosts: hosts, firstPriority: 1, warm: true})
				t.Logf("seed %d: %+v, utilisation %.3f", seed, results, utilisation)
				require.GreaterOrEqual(t, results["guide"].attainment(), 0.95)
				require.Positive(t, results["digest"].refused, "the load exceeds the prefill capacity")
				require.Zero(t, results["digest"].late, "accepted requests start in time")
				require.GreaterOrEqual(t, utilisation, 0.85)
			}
		})
	}
}
