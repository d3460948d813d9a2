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

// readRate is how many prompt tokens a played engine reads in a second.
const readRate = 45_000.0

// class is a kind of request that the load is made of.
type class struct {
	name     string
	rate     float64 // requests a second
	shared   mp.Tokens
	parts    int // shared parts of the class
	own      mp.Tokens
	target   time.Duration
	deadline time.Duration
}

// quotingDesk is the load of the heaviest day of a quoting desk with 60 engines,
// a fifth of it: long drafts, checks, and urgent questions, in their priorities
// from last to first.
var quotingDesk = []class{
	{name: "question", rate: 16, shared: 172, parts: 15, own: 543, target: time.Second, deadline: 15 * time.Second},
	{name: "check", rate: 32, shared: 568, parts: 45, own: 1800, target: time.Second, deadline: 3 * time.Second},
	{name: "draft", rate: 80, shared: 6300, parts: 320, own: 2890, target: 1500 * time.Millisecond, deadline: 5 * time.Second},
}

// played counts what callers of a class got.
type played struct {
	asked, inTime, late, refused int
}

func (pl played) attainment() float64 { return float64(pl.inTime) / float64(pl.asked) }

// event is something that happens at a time of the play.
type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

// play sends a load through a placer to engines that read prompts in the order in
// which they come, and returns what callers got by class, with the part of the
// engines' time that was used.
func play(seed uint64, load []class, scale float64, span time.Duration) (map[string]played, float64) {
	const engines = 12
	random := rand.New(rand.NewPCG(seed, seed))
	pl := placement.New(placement.WithSeed(seed))
	pl.SetServers(fleet(engines, false))
	results := map[string]played{}
	memory := map[mp.ServerID]map[uint64]bool{}
	free := map[mp.ServerID]time.Time{}
	var busy time.Duration
	var events []event
	push := func(at time.Time, run func(time.Time)) {
		ev := event{at: at, order: len(events), run: run}
		ix, _ := slices.BinarySearchFunc(events, ev, func(a, b event) int { return a.at.Compare(b.at) })
		events = slices.Insert(events, ix, ev)
	}
	arrive := func(now time.Time, priority int, cl class) {
		part := uint64(priority*1000 + random.IntN(cl.parts) + 1)
		work := &placement.Request{
			Service:        "engines",
			Prompt:         []placement.PromptSegment{{ID: part, Tokens: cl.shared}, {ID: random.Uint64() | 1<<63, Tokens: cl.own}},
			PromptTokens:   cl.shared + cl.own,
			LatencyTarget:  cl.target,
			TimeToDeadline: cl.deadline,
			Priority:       priority,
		}
		result := results[cl.name]
		result.asked++
		ch, _ := pl.Choose(now, work)
		if ch.Lateness(work) > 0 {
			result.refused++
			results[cl.name] = result
			return
		}
		results[cl.name] = result
		pl.RecordStart(ch)
		id := ch.Server.ID
		if memory[id] == nil {
			memory[id] = map[uint64]bool{}
		}
		unread := work.PromptTokens
		if memory[id][part] {
			unread -= cl.shared
		}
		memory[id][part] = true
		reading := time.Duration(float64(unread) / readRate * float64(time.Second))
		busy += reading
		begin := now
		if free[id].After(now) {
			begin = free[id]
		}
		free[id] = begin.Add(reading)
		push(free[id], func(done time.Time) {
			pl.RecordFirstEvent(done, ch, done.Sub(now))
			pl.RecordEnd(done, ch, true, placement.Succeeded)
			result := results[cl.name]
			if done.Sub(now) <= cl.target {
				result.inTime++
			} else {
				result.late++
			}
			results[cl.name] = result
		})
	}
	for priority, cl := range load {
		for at := start; at.Before(start.Add(span)); {
			at = at.Add(time.Duration(random.ExpFloat64() / (cl.rate * scale) * float64(time.Second)))
			push(at, func(now time.Time) { arrive(now, priority, cl) })
		}
	}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		next.run(next.at)
	}
	return results, busy.Seconds() / span.Seconds() / engines
}

// TestOverloadIsBorneByTheLastPriority plays more prompts than the engines can
// read: what is urgent still begins in time, and the engines stay busy.
func TestOverloadIsBorneByTheLastPriority(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			results, used := play(seed, quotingDesk, 2, 12*time.Second)
			require.GreaterOrEqual(t, results["question"].attainment(), 0.99)
			require.Zero(t, results["question"].refused)
			require.GreaterOrEqual(t, results["check"].attainment(), 0.95)
			require.Positive(t, results["draft"].refused, "the load is more than the engines can read")
			require.GreaterOrEqual(t, results["draft"].attainment(), 0.3)
			require.Zero(t, results["draft"].late, "what is taken is answered in time")
			require.GreaterOrEqual(t, used, 0.85)
		})
	}
}

// TestLoadWithinCapacityIsServed plays a load that the engines can read.
func TestLoadWithinCapacityIsServed(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			results, _ := play(seed, quotingDesk, 0.5, 20*time.Second)
			for name, result := range results {
				require.GreaterOrEqual(t, result.attainment(), 0.97, name)
			}
		})
	}
}
