package enginemodel_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/enginemodel"
	_ "github.com/mangopaddle/mangopaddle/fixedseed" // deterministic cases
)

// TestSequencesProduceExactAnswers submits sequences of random priorities, may cancel
// one, and checks that every other sequence produces exactly its answer tokens.
func TestSequencesProduceExactAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		params := enginemodel.DefaultParams()
		params.Slots = rapid.IntRange(1, 5).Draw(rt, "slots")
		params.Preempts = rapid.Bool().Draw(rt, "preempts")
		en := enginemodel.New(params)
		want, got := map[mp.RequestID]mp.Tokens{}, map[mp.RequestID]mp.Tokens{}
		for number := range rapid.IntRange(1, 20).Draw(rt, "sequences") {
			sq := &enginemodel.Sequence{
				ID:           mp.RequestID(strconv.Itoa(number)),
				Priority:     rapid.IntRange(0, 9).Draw(rt, "priority"),
				PromptTokens: mp.Tokens(rapid.IntRange(0, 3000).Draw(rt, "prompt")),
				AnswerTokens: mp.Tokens(rapid.IntRange(1, 30).Draw(rt, "output")),
			}
			want[sq.ID] = sq.AnswerTokens
			en.Submit(sq)
		}
		if rapid.Bool().Draw(rt, "cancel") {
			require.True(rt, en.Cancel("0"))
			require.False(rt, en.Cancel("0"))
			delete(want, "0")
		}
		for !en.Idle() {
			duration, progress := en.Step()
			require.Positive(rt, duration)
			for _, pr := range progress {
				got[pr.Sequence.ID]++
				require.Equal(rt, pr.Finished, got[pr.Sequence.ID] == want[pr.Sequence.ID])
			}
		}
		require.Equal(rt, want, got)
	})
}

func TestSequencesRunInPriorityOrder(t *testing.T) {
	params := enginemodel.DefaultParams()
	params.Slots = 1
	en := enginemodel.New(params)
	for number, priority := range []int{5, 3, 0} {
		en.Submit(&enginemodel.Sequence{ID: mp.RequestID(strconv.Itoa(number)), Priority: priority, AnswerTokens: 1})
	}
	var order []mp.RequestID
	for !en.Idle() {
		_, progress := en.Step()
		for _, pr := range progress {
			order = append(order, pr.Sequence.ID)
		}
	}
	require.Equal(t, []mp.RequestID{"2", "1", "0"}, order)
}

func TestCachedPrefixSkipsPrefill(t *testing.T) {
	en := enginemodel.New(enginemodel.DefaultParams())
	run := func(id mp.RequestID) (steps int) {
		en.Submit(&enginemodel.Sequence{ID: id, PromptTokens: 5000, PrefixID: 7, PrefixTokens: 4900, AnswerTokens: 1})
		for !en.Idle() {
			en.Step()
			steps++
		}
		return steps
	}
	require.Greater(t, run("first"), run("second"))
	require.EqualValues(t, 4900, en.CachedTokens(7))
}
