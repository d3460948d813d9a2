package hedging_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mangopaddle/mangopaddle/fixedseed" // makes every run use the same cases
	"github.com/mangopaddle/mangopaddle/hedging"
)

// player plays a state and keeps who works on the request.
type model struct {
	*rapid.T
	state hedging.State[int]
	added int
	// working holds the backups that work on the request.
	working map[int]bool
	// takenOver reports that the present attempt's server has been left or has answered.
	takenOver, ended bool
}

func (mo *model) cancelAll(backups []int) {
	for _, backup := range backups {
		require.True(mo, mo.working[backup], "cancelled twice, or never asked")
		delete(mo.working, backup)
	}
}

func (mo *model) add() {
	if mo.state.IsOpen() {
		mo.added++
		mo.state.AddBackup(mo.added)
		mo.working[mo.added] = true
	}
}

// finish finishes any backup that was ever added, so also one that was cancelled.
func (mo *model) finish() {
	if mo.added == 0 {
		return
	}
	backup, begun := rapid.IntRange(1, mo.added).Draw(mo.T, "backup"), rapid.Bool().Draw(mo.T, "begun")
	working := mo.working[backup]
	outcome, others := mo.state.Finish(backup, begun)
	require.Equal(mo, working && begun && !mo.takenOver && !mo.ended, outcome == hedging.Accepted)
	delete(mo.working, backup)
	mo.cancelAll(others)
	if outcome == hedging.Accepted {
		mo.takenOver = true
		replacement, decided := mo.state.Replacement()
		require.True(mo, decided)
		require.Equal(mo, backup, replacement)
	}
}

func (mo *model) goOn() {
	if !mo.takenOver {
		mo.cancelAll(mo.state.GoOn())
	}
}

func (mo *model) end() {
	mo.ended = true
	mo.cancelAll(mo.state.End())
}

// TestOneAttemptGoesOn guards against two servers that both go on with one request, and
// against a silent server that is left before another one has taken over.
func TestOneAttemptGoesOn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mo := &model{T: rt, working: map[int]bool{}}
		moves := []func(){mo.add, mo.finish, mo.goOn, mo.finish, mo.add, mo.end}
		for range rapid.IntRange(1, 40).Draw(rt, "moves") {
			move := rapid.IntRange(0, len(moves)-1).Draw(rt, "move")
			moves[move]()
			_, decided := mo.state.Replacement()
			require.Equal(rt, mo.takenOver, decided)
			require.Equal(rt, !mo.takenOver && !mo.ended, mo.state.IsOpen())
			require.Equal(rt, mo.state.IsOpen() && len(mo.working) > 0, mo.state.HasPending())
			if move == 2 || !mo.state.IsOpen() {
				require.Empty(rt, mo.working, "a server goes on working on a request that another one answers")
			}
		}
	})
}

func TestSilenceIsMeasuredFromTheLastProgress(t *testing.T) {
	var co hedging.State[int]
	start := time.Unix(1000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	left := func(millis int) time.Duration {
		_, left := co.Silence(at(millis))
		return left
	}
	require.True(t, co.Await(at(0), time.Second))
	require.Equal(t, 400*time.Millisecond, left(600))
	require.False(t, co.Await(at(700), time.Second), "waits again without progress")
	require.Zero(t, left(1000))
	co.GoOn()
	require.True(t, co.Await(at(1100), 600*time.Millisecond), "another timeout needs another check")
	require.Equal(t, 100*time.Millisecond, left(1600))
	require.False(t, co.Await(at(1200), 0))
	require.Negative(t, left(9000))
	require.True(t, co.Await(at(1300), 600*time.Millisecond))
	co.End()
	require.Negative(t, left(9000))
}
