package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/placement"
)

// TestOnlyTheMostSensitiveStreamsAreKeptApart checks which classes of a service get
// engines of their own: those that can't run beside prompts at all, and of those that
// almost can the ones that tolerate least.
func TestOnlyTheMostSensitiveStreamsAreKeptApart(t *testing.T) {
	tests := []struct {
		name           string
		tokensPerEvent int
		gapTargets     []time.Duration
		want           []bool
	}{
		{"one class close to its limit", 5, []time.Duration{600 * time.Millisecond, 250 * time.Millisecond, 150 * time.Millisecond}, []bool{false, false, true}},
		{"a second class that almost keeps its target", 5, []time.Duration{500 * time.Millisecond, 200 * time.Millisecond, 120 * time.Millisecond}, []bool{false, false, true}},
		{"two classes that tolerate about the same", 5, []time.Duration{200 * time.Millisecond, 180 * time.Millisecond}, []bool{true, true}},
		{"two classes that can't run beside prompts", 8, []time.Duration{40 * time.Millisecond, 160 * time.Millisecond}, []bool{true, true}},
		{"no class close to its limit", 2, []time.Duration{500 * time.Millisecond, 300 * time.Millisecond}, []bool{false, false}},
		{"no target", 5, []time.Duration{0, 150 * time.Millisecond}, []bool{false, true}},
		{"unknown size of events", 0, []time.Duration{100 * time.Millisecond}, []bool{false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var classes []placement.Class
			for _, gapTarget := range test.gapTargets {
				classes = append(classes, placement.Class{Tolerance: placement.NewJitterTolerance(gapTarget, test.tokensPerEvent)})
			}
			wo := placement.NewWorkload(classes)
			for ix, cl := range classes {
				require.Equal(t, test.want[ix], wo.JitterSensitive(cl.Tolerance), "class %d", ix)
			}
		})
	}
}

// TestUrgentLatencyTargetIsThatOfTheSameQueues checks that neither less urgent classes
// nor those with engines of their own shorten a class's wait.
func TestUrgentLatencyTargetIsThatOfTheSameQueues(t *testing.T) {
	wo := placement.NewWorkload([]placement.Class{
		{Priority: 0, LatencyTarget: 400 * time.Millisecond, Tolerance: placement.NewJitterTolerance(120*time.Millisecond, 3)},
		{Priority: 1, LatencyTarget: 800 * time.Millisecond, Tolerance: placement.NewJitterTolerance(200*time.Millisecond, 3)},
		{Priority: 2, LatencyTarget: 2 * time.Second, Tolerance: placement.NewJitterTolerance(500*time.Millisecond, 3)},
	})
	tolerance := placement.NewJitterTolerance(500*time.Millisecond, 3)
	require.Zero(t, wo.UrgentLatencyTarget(1, tolerance), "the most urgent class has engines of its own")
	require.Equal(t, 800*time.Millisecond, wo.UrgentLatencyTarget(2, tolerance))
	require.True(t, wo.HasJitterSensitive())
}

// TestUrgencyNeverMakesRefusalLikelier draws classes, prompts and queues: whenever a
// less urgent request is accepted, so is a more urgent one of the same service with the
// same prompt, whatever their latency targets are.
func TestUrgencyNeverMakesRefusalLikelier(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		milliseconds := rapid.IntRange(50, 5000)
		classes := make([]placement.Class, 3)
		for priority := range classes {
			classes[priority] = placement.Class{Priority: priority, LatencyTarget: time.Duration(milliseconds.Draw(rt, "target")) * time.Millisecond}
		}
		wo := placement.NewWorkload(classes)
		load := map[mp.ServerID]placement.Load{}
		pl := placement.New(placement.WithPeerLoad(func(id mp.ServerID) placement.Load { return load[id] }))
		servers := fleet(rapid.IntRange(1, 20).Draw(rt, "engines"), false)
		pl.SetServers(servers)
		busiest := rapid.IntRange(0, 60_000).Draw(rt, "pending tokens")
		for _, se := range servers {
			load[se.ID] = placement.Load{PrefillTokens: mp.Tokens(rapid.IntRange(busiest/2, busiest).Draw(rt, "queue"))}
		}
		shared := mp.Tokens(rapid.IntRange(0, 14_000).Draw(rt, "shared tokens"))
		acceptedBefore := true
		for _, cl := range classes {
			rq := &placement.Request{
				Service:             "engines",
				Prompt:              []placement.PromptSegment{{ID: 7, Tokens: shared}, {ID: 8, Tokens: 900}},
				PromptTokens:        shared + 900,
				LatencyTarget:       cl.LatencyTarget,
				UrgentLatencyTarget: wo.UrgentLatencyTarget(cl.Priority, cl.Tolerance),
				Priority:            cl.Priority,
			}
			ch, _ := pl.Choose(start, rq)
			accepted := ch.Lateness(rq) <= 0
			if accepted && !acceptedBefore {
				rt.Fatalf("priority %d is accepted behind %v (%v in the mean) and a more urgent one was not", cl.Priority, ch.QueueWait, ch.MeanQueueWait)
			}
			acceptedBefore = accepted
		}
	})
}
