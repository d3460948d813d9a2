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

// simulate sends a load through a placer to engines that prefill prompts in
// order of arrival. It returns the results by class, and the fraction of the
// engines' time that was used.
func simulate(seed uint64, load []requestClass, scale float64, duration time.Duration) (map[string]classResult, float64) {
	const engines = 12
	random := rand.New(rand.NewPCG(seed, seed))
	pl := placement.New(placement.WithSeed(seed))
	pl.SetServers(fleet(engines, false))
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
			Priority:       priority,
		}
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
		if cached[id][prefixID] {
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
	for priority, rc := range load {
		for at := start; at.Before(start.Add(duration)); {
			at = at.Add(time.Duration(random.ExpFloat64() / (rc.rate * scale) * float64(time.Second)))
			push(at, func(now time.Time) { arrive(now, priority, rc) })
		}
	}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		next.run(next.at)
	}
	return results, busy.Seconds() / duration.Seconds() / engines
}

// TestOverloadShedsLeastUrgentRequests offers more prompts than the engines can
// prefill. Urgent requests must still start in time, and the engines must stay
// busy.
func TestOverloadShedsLeastUrgentRequests(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			results, utilisation := simulate(seed, peakLoad, 2, 12*time.Second)
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
			results, _ := simulate(seed, peakLoad, 0.5, 20*time.Second)
			for name, result := range results {
				require.GreaterOrEqual(t, result.attainment(), 0.97, name)
			}
		})
	}
}
