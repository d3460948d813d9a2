package hedging_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mangopaddle/mangopaddle/fixedseed" // makes every run use the same cases
	"github.com/mangopaddle/mangopaddle/hedging"
)

// player plays a contest and keeps who works on the request.
type player struct {
	*rapid.T
	contest hedging.Contest[int]
	entered int
	// working holds the challengers that work on the request.
	working map[int]bool
	// over reports that the present attempt's server has been left or has answered.
	takenOver, ended bool
}

func (pl *player) giveUp(challengers []int) {
	for _, challenger := range challengers {
		require.True(pl, pl.working[challenger], "given up twice, or never asked")
		delete(pl.working, challenger)
	}
}

func (pl *player) enter() {
	if pl.contest.IsOpen() {
		pl.entered++
		pl.contest.Enter(pl.entered)
		pl.working[pl.entered] = true
	}
}

// finish finishes any challenger that ever entered, so also one that was given up.
func (pl *player) finish() {
	if pl.entered == 0 {
		return
	}
	challenger, begun := rapid.IntRange(1, pl.entered).Draw(pl.T, "challenger"), rapid.Bool().Draw(pl.T, "begun")
	working := pl.working[challenger]
	verdict, others := pl.contest.Finish(challenger, begun)
	require.Equal(pl, working && begun && !pl.takenOver && !pl.ended, verdict == hedging.TookOver)
	delete(pl.working, challenger)
	pl.giveUp(others)
	if verdict == hedging.TookOver {
		pl.takenOver = true
		winner, decided := pl.contest.Winner()
		require.True(pl, decided)
		require.Equal(pl, challenger, winner)
	}
}

func (pl *player) goOn() {
	if !pl.takenOver {
		pl.giveUp(pl.contest.GoOn())
	}
}

func (pl *player) end() {
	pl.ended = true
	pl.giveUp(pl.contest.End())
}

// TestOneAttemptGoesOn guards against two servers that both go on with one request, and
// against a silent server that is left before another one has taken over.
func TestOneAttemptGoesOn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := &player{T: rt, working: map[int]bool{}}
		moves := []func(){pl.enter, pl.finish, pl.goOn, pl.finish, pl.enter, pl.end}
		for range rapid.IntRange(1, 40).Draw(rt, "moves") {
			move := rapid.IntRange(0, len(moves)-1).Draw(rt, "move")
			moves[move]()
			_, decided := pl.contest.Winner()
			require.Equal(rt, pl.takenOver, decided)
			require.Equal(rt, !pl.takenOver && !pl.ended, pl.contest.IsOpen())
			require.Equal(rt, pl.contest.IsOpen() && len(pl.working) > 0, pl.contest.IsChallenged())
			if move == 2 || !pl.contest.IsOpen() {
				require.Empty(rt, pl.working, "a server goes on working on a request that another one answers")
			}
		}
	})
}

func TestSilenceIsMeasuredFromTheLastProgress(t *testing.T) {
	var co hedging.Contest[int]
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
