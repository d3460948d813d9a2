package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/schedule"
)

// failingEngine is the one of engines that fails in a test.
const failingEngine mp.EngineID = "e0"

// startOnFailing submits requests until one starts on failingEngine, and returns its
// identifier. The requests that start on others end with an answer.
func startOnFailing(t *testing.T, sc *schedule.Scheduler, number *int) mp.RequestID {
	t.Helper()
	for range 100 {
		*number++
		rq := request(*number, 0)
		de := sc.Submit(epoch, rq)
		require.Equal(t, mp.ActionStart, de.Action)
		if de.Engine == failingEngine {
			return rq.ID
		}
		sc.Done(epoch, rq.ID, mp.Outcome{AnswerTokens: 1, TimeToFirstToken: time.Millisecond})
	}
	require.Fail(t, "no request started", "on engine %s", failingEngine)
	return ""
}

// TestCancelledAttemptDoesNotClearFailures guards against an engine that fails every
// request and is never ejected because callers disconnect in between.
func TestCancelledAttemptDoesNotClearFailures(t *testing.T) {
	sc := schedule.New()
	sc.SetEngines(engines(3, 4))
	number := 0
	for range 3 {
		sc.Done(epoch, startOnFailing(t, sc, &number), mp.Outcome{})
		sc.Done(epoch, startOnFailing(t, sc, &number), mp.Outcome{Failed: true})
	}
	for _, en := range sc.Engines(epoch) {
		require.Equal(t, en.ID == failingEngine, en.Ejected, en.ID)
	}
}

// TestAnswerWithoutTokensClearsFailures guards against sound engines that are ejected for
// longer and longer because their answers have no first token that the host can see.
func TestAnswerWithoutTokensClearsFailures(t *testing.T) {
	sc := schedule.New()
	sc.SetEngines(engines(3, 4))
	number := 0
	for range 6 {
		sc.Done(epoch, startOnFailing(t, sc, &number), mp.Outcome{Failed: true})
		sc.Done(epoch, startOnFailing(t, sc, &number), mp.Outcome{Completed: true})
	}
	for _, en := range sc.Engines(epoch) {
		require.False(t, en.Ejected, en.ID)
	}
}

// TestCancelledAttemptDoesNotEndBackoff guards against an unreachable engine that is tried
// again and again because callers disconnect while the host connects to it.
func TestCancelledAttemptDoesNotEndBackoff(t *testing.T) {
	backoffAfter := func(cancelled bool) time.Duration {
		sc := schedule.New()
		sc.SetEngines(engines(1, 4))
		now := epoch
		for number := range 4 {
			require.Equal(t, mp.ActionStart, sc.Submit(now, request(number, 0)).Action)
			sc.Done(now, request(number, 0).ID, mp.Outcome{Failed: true, Unreachable: true})
			now = now.Add(time.Minute)
			if cancelled {
				require.Equal(t, mp.ActionStart, sc.Submit(now, request(100+number, 0)).Action)
				sc.Done(now, request(100+number, 0).ID, mp.Outcome{})
			}
		}
		require.Equal(t, mp.ActionStart, sc.Submit(now, request(50, 0)).Action)
		sc.Done(now, request(50, 0).ID, mp.Outcome{Failed: true, Unreachable: true})
		backoff := time.Duration(0)
		for sc.Engines(now.Add(backoff))[0].Ejected {
			backoff += 100 * time.Millisecond
		}
		return backoff
	}
	require.Equal(t, backoffAfter(false), backoffAfter(true))
}

func TestEngineThatWantsAPauseGetsNoRequests(t *testing.T) {
	sc := schedule.New()
	sc.SetEngines(engines(2, 4))
	paused := sc.Submit(epoch, request(1, 2)).Engine
	other := sc.Reassign(epoch, "r1", mp.Outcome{Failed: true, Pause: 10 * time.Second})
	require.NotEqual(t, paused, other.Engine)
	for number := 2; number < 5; number++ {
		require.Equal(t, other.Engine, sc.Submit(epoch.Add(time.Second), request(number, 2)).Engine)
	}
	again := sc.Reassign(epoch.Add(time.Second), "r1", mp.Outcome{Failed: true, Unreachable: true})
	require.NotEqual(t, paused, again.Engine, "nor for want of another")
	sc.Done(epoch.Add(time.Second), "r2", mp.Outcome{Failed: true, Pause: time.Hour})
	urgent := request(6, 2)
	urgent.MaxWait = 5 * time.Second
	refused := sc.Submit(epoch.Add(time.Second), urgent)
	require.Equal(t, mp.ActionRefuse, refused.Action)
	require.Equal(t, 9*time.Second, refused.RetryAfter)
	require.Equal(t, paused, sc.Submit(epoch.Add(10*time.Second), request(7, 2)).Engine)
}
