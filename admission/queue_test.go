package admission_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/admission"
	_ "github.com/mangopaddle/mangopaddle/fixedseed" // deterministic cases
)

var epoch = time.Unix(1_700_000_000, 0)

func drawItem(rt *rapid.T, number int, flows []*admission.Flow) *admission.Item {
	return &admission.Item{
		ID:       mp.RequestID(strconv.Itoa(number)),
		Tier:     mp.Tier(rapid.IntRange(0, int(mp.MaxTier)).Draw(rt, "tier")),
		Promised: rapid.Bool().Draw(rt, "promised"),
		Cost:     mp.Tokens(rapid.IntRange(1, 5000).Draw(rt, "cost")),
		Flow:     rapid.SampledFrom(flows).Draw(rt, "flow"),
		Deadline: epoch.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "deadline")) * time.Second),
	}
}

// TestQueueOrder compares the queue with a plain map: no request is served before
// one of a more urgent tier; within a tier, none above the promised rate is served
// before one within it; none is lost or served twice; and the total cost and the next
// deadline are correct.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		qu := admission.New()
		flows := []*admission.Flow{{Weight: 10}, {Weight: 100}, {Weight: 0}}
		waiting := map[mp.RequestID]*admission.Item{}
		for number := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				it := drawItem(rt, number, flows)
				waiting[it.ID] = it
				qu.Push(it)
			case 2:
				checkPop(rt, qu, waiting)
			case 3:
				for id := range waiting {
					require.Equal(rt, waiting[id], qu.Remove(id))
					delete(waiting, id)
					break
				}
			}
			checkTotals(rt, qu, waiting)
		}
		for len(waiting) > 0 {
			checkPop(rt, qu, waiting)
		}
		require.Nil(rt, qu.Pop())
	})
}

func precedence(it *admission.Item) int {
	if it.Promised {
		return 2 * int(it.Tier)
	}
	return 2*int(it.Tier) + 1
}

func checkPop(rt *rapid.T, qu *admission.Queue, waiting map[mp.RequestID]*admission.Item) {
	it := qu.Pop()
	if len(waiting) == 0 {
		require.Nil(rt, it)
		return
	}
	require.Contains(rt, waiting, it.ID)
	for _, other := range waiting {
		require.LessOrEqual(rt, precedence(it), precedence(other))
	}
	delete(waiting, it.ID)
}

func checkTotals(rt *rapid.T, qu *admission.Queue, waiting map[mp.RequestID]*admission.Item) {
	require.Equal(rt, len(waiting), qu.Len())
	var all mp.Tokens
	var earliest time.Time
	for _, it := range waiting {
		all += it.Cost
		if earliest.IsZero() || it.Deadline.Before(earliest) {
			earliest = it.Deadline
		}
	}
	require.Equal(rt, all, qu.CostAhead(mp.MaxTier, false))
	if len(waiting) == 0 {
		require.Nil(rt, qu.Peek())
		return
	}
	require.Nil(rt, qu.Expired(earliest.Add(-time.Nanosecond)))
	require.Equal(rt, earliest, qu.Expired(earliest).Deadline)
}

// TestWeightedFairnessInTokens checks that two flows in the same tier are served
// tokens in proportion to their weights, whatever the sizes of their requests.
func TestWeightedFairnessInTokens(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := []float64{rapid.Float64Range(1, 8).Draw(rt, "a"), rapid.Float64Range(1, 8).Draw(rt, "b")}
		costs := []int{rapid.IntRange(1, 2000).Draw(rt, "cost a"), rapid.IntRange(1, 2000).Draw(rt, "cost b")}
		qu := admission.New()
		flows := []*admission.Flow{{Weight: weights[0]}, {Weight: weights[1]}}
		served := []float64{0, 0}
		const backlog, serve = 400, 300
		for ix := range 2 * backlog {
			qu.Push(&admission.Item{
				ID: mp.RequestID(strconv.Itoa(ix)), Promised: true, Cost: mp.Tokens(costs[ix%2]), Flow: flows[ix%2], Deadline: epoch,
			})
		}
		for range serve {
			it := qu.Pop()
			number, err := strconv.Atoi(string(it.ID))
			require.NoError(rt, err)
			served[number%2] += float64(it.Cost)
		}
		// The normalised service of two flows differs by at most one request of each.
		difference := served[0]/weights[0] - served[1]/weights[1]
		bound := float64(costs[0])/weights[0] + float64(costs[1])/weights[1]
		require.LessOrEqual(rt, max(difference, -difference), bound+1e-6)
	})
}

// TestRemovalAfterAWeightChangeLeavesNoTrace guards against a class that is served too
// early or too late because a request that left the queue is taken back at another weight
// than it was added with.
func TestRemovalAfterAWeightChangeLeavesNoTrace(t *testing.T) {
	for _, weight := range []float64{1, 10, 1000} {
		qu := admission.New()
		changed, other := &admission.Flow{Weight: 10}, &admission.Flow{Weight: 10}
		push := func(id mp.RequestID, flow *admission.Flow) {
			qu.Push(&admission.Item{ID: id, Cost: 100, Flow: flow, Deadline: epoch})
		}
		push("changed-1", changed)
		push("gone", changed)
		changed.Weight = weight
		qu.Remove("gone")
		changed.Weight = 10
		push("other-1", other)
		push("other-2", other)
		push("changed-2", changed)
		push("other-3", other)
		var served []mp.RequestID
		for qu.Len() > 0 {
			served = append(served, qu.Pop().ID)
		}
		require.Equal(t, []mp.RequestID{"changed-1", "other-1", "other-2", "changed-2", "other-3"}, served, "weight %v", weight)
	}
}
