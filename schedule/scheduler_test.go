package schedule_test

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	_ "github.com/mangopaddle/mangopaddle/fixedseed" // deterministic cases
	"github.com/mangopaddle/mangopaddle/schedule"
)

var epoch = time.Unix(1_700_000_000, 0)

const model mp.ModelID = "m"

func engines(count, slots int) []schedule.Engine {
	list := make([]schedule.Engine, count)
	for ix := range list {
		list[ix] = schedule.Engine{ID: mp.EngineID("e" + strconv.Itoa(ix)), Models: []mp.ModelID{model}, Slots: slots}
	}
	return list
}

func request(number int, tier mp.Tier) mp.Request {
	return mp.Request{
		ID:                  mp.RequestID("r" + strconv.Itoa(number)),
		Organisation:        "o",
		Class:               mp.ClassName("c" + strconv.Itoa(int(tier))),
		Model:               model,
		Tier:                tier,
		PromptTokens:        100,
		FirstTokenTarget:    900 * time.Millisecond,
		BetweenTokensTarget: 54 * time.Millisecond,
		MaxWait:             30 * time.Second,
		PromisedRate:        1000,
	}
}

// stateMachine drives a scheduler with random submissions, completions, failures,
// drains and steps of time, and checks its invariants.
type stateMachine struct {
	scheduler *schedule.Scheduler
	now       time.Time
	submitted int // requests so far; also the number of the last one
	requests  map[mp.RequestID]mp.Request
	waiting   map[mp.RequestID]time.Time // when the wait began
	running   map[mp.RequestID]mp.EngineID
	draining  map[mp.EngineID]bool
	engines   []schedule.Engine
}

func newStateMachine(rt *rapid.T) *stateMachine {
	sm := &stateMachine{
		scheduler: schedule.New(schedule.WithHosts(rapid.IntRange(1, 5).Draw(rt, "hosts"))),
		now:       epoch,
		requests:  map[mp.RequestID]mp.Request{},
		waiting:   map[mp.RequestID]time.Time{},
		running:   map[mp.RequestID]mp.EngineID{},
		draining:  map[mp.EngineID]bool{},
		engines:   engines(rapid.IntRange(1, 4).Draw(rt, "engines"), rapid.IntRange(1, 6).Draw(rt, "slots")),
	}
	sm.scheduler.SetEngines(sm.engines)
	return sm
}

func (sm *stateMachine) recordStart(rt *rapid.T, id mp.RequestID, engine mp.EngineID) {
	require.NotContains(rt, sm.running, id, "a request was started twice")
	require.False(rt, sm.draining[engine], "a draining engine got a request")
	sm.running[id] = engine
}

// dispatch expires and starts waiting requests until none qualifies.
func (sm *stateMachine) dispatch(rt *rapid.T) {
	for {
		id, ok := sm.scheduler.Expire(sm.now)
		if !ok {
			break
		}
		since, waited := sm.waiting[id]
		require.True(rt, waited, "an expired request was not waiting")
		require.GreaterOrEqual(rt, sm.now.Sub(since), sm.requests[id].MaxWait)
		delete(sm.waiting, id)
	}
	for id, since := range sm.waiting {
		require.Less(rt, sm.now.Sub(since), sm.requests[id].MaxWait, "request %s waits longer than its maximum wait", id)
	}
	for {
		as, ok := sm.scheduler.Next(sm.now)
		if !ok {
			break
		}
		require.Contains(rt, sm.waiting, as.ID)
		for id := range sm.waiting {
			require.LessOrEqual(rt, sm.requests[as.ID].Tier, sm.requests[id].Tier, "a request was started before one of a more urgent tier")
		}
		delete(sm.waiting, as.ID)
		sm.recordStart(rt, as.ID, as.Engine)
	}
}

func (sm *stateMachine) submit(rt *rapid.T) {
	sm.submitted++
	rq := request(sm.submitted, mp.Tier(rapid.IntRange(0, int(mp.MaxTier)).Draw(rt, "tier")))
	sm.requests[rq.ID] = rq
	de := sm.scheduler.Submit(sm.now, rq)
	switch de.Action {
	case mp.ActionStart:
		for id := range sm.waiting {
			require.Less(rt, rq.Tier, sm.requests[id].Tier, "a new request overtook a waiting one of its tier or a more urgent one")
		}
		sm.recordStart(rt, rq.ID, de.Engine)
	case mp.ActionWait:
		sm.waiting[rq.ID] = sm.now
	case mp.ActionRefuse:
		require.Positive(rt, de.RetryAfter)
		require.True(rt, de.Reason.Response().NotRun)
	}
}

// drawRunning draws a running request; false if there is none. The requests are
// listed in order of submission, so that the same seed draws the same one.
func (sm *stateMachine) drawRunning(rt *rapid.T) (mp.RequestID, bool) {
	if len(sm.running) == 0 {
		return "", false
	}
	var ids []mp.RequestID
	for number := 1; number <= sm.submitted; number++ {
		id := mp.RequestID("r" + strconv.Itoa(number))
		if _, ok := sm.running[id]; ok {
			ids = append(ids, id)
		}
	}
	return rapid.SampledFrom(ids).Draw(rt, "running"), true
}

func (sm *stateMachine) finish(rt *rapid.T) {
	id, ok := sm.drawRunning(rt)
	if !ok {
		return
	}
	delete(sm.running, id)
	sm.scheduler.Done(sm.now, id, mp.Outcome{AnswerTokens: 50, TimeToFirstToken: 100 * time.Millisecond, MeanTimeBetweenTokens: 30 * time.Millisecond})
}

func (sm *stateMachine) fail(rt *rapid.T) {
	id, ok := sm.drawRunning(rt)
	if !ok {
		return
	}
	delete(sm.running, id)
	unreachable := rapid.Bool().Draw(rt, "unreachable")
	de := sm.scheduler.Reassign(sm.now, id, mp.Outcome{Failed: true, Unreachable: unreachable})
	if de.Action == mp.ActionStart {
		sm.recordStart(rt, id, de.Engine)
	}
}

func (sm *stateMachine) toggleDraining(rt *rapid.T) {
	ix := rapid.IntRange(0, len(sm.engines)-1).Draw(rt, "engine")
	sm.engines[ix].Draining = !sm.engines[ix].Draining
	sm.draining[sm.engines[ix].ID] = sm.engines[ix].Draining
	sm.scheduler.SetEngines(sm.engines)
}

func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sm := newStateMachine(rt)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0, 1, 2, 3, 4:
				sm.submit(rt)
			case 5, 6:
				sm.finish(rt)
			case 7:
				sm.fail(rt)
			case 8:
				sm.toggleDraining(rt)
			case 9:
				// Time passes without a dispatch, as between two events.
				sm.now = sm.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "ms")) * time.Millisecond)
				continue
			}
			sm.dispatch(rt)
		}
		sm.dispatch(rt)
		sm.checkCounts(rt)
	})
}

// checkCounts compares the scheduler's counts with the expected ones, to detect
// slots that are leaked or released twice.
func (sm *stateMachine) checkCounts(rt *rapid.T) {
	want := map[mp.EngineID]int{}
	for _, engine := range sm.running {
		want[engine]++
	}
	for _, es := range sm.scheduler.Engines(sm.now) {
		require.Equal(rt, want[es.ID], es.InFlight, "engine %s", es.ID)
	}
	total := 0
	for _, count := range sm.scheduler.Waiting() {
		total += count
	}
	require.Equal(rt, len(sm.waiting), total)
}

func TestRequestWithTooLongExpectedWaitIsRefused(t *testing.T) {
	sc := schedule.New()
	sc.SetEngines(engines(1, 1))
	var last mp.Decision
	for number := range 2000 {
		rq := request(number, 3)
		rq.MaxWait = 5 * time.Second
		if last = sc.Submit(epoch, rq); last.Action == mp.ActionRefuse {
			break
		}
	}
	require.Equal(t, mp.ActionRefuse, last.Action)
	require.Equal(t, mp.KindOverloaded, last.Reason)
	require.Equal(t, mp.ActionWait, sc.Submit(epoch, request(9999, 0)).Action, "an urgent request must not be refused because less urgent ones wait")
}

func TestRequestAboveMaxConcurrencyIsRefused(t *testing.T) {
	sc := schedule.New()
	sc.SetEngines(engines(1, 100))
	rq := request(1, 0)
	rq.MaxConcurrency = 1
	require.Equal(t, mp.ActionStart, sc.Submit(epoch, rq).Action)
	rq.ID = "r2"
	de := sc.Submit(epoch, rq)
	require.Equal(t, mp.KindShareExceeded, de.Reason)
	sc.Done(epoch, "r1", mp.Outcome{AnswerTokens: 1})
	require.Equal(t, mp.ActionStart, sc.Submit(epoch, rq).Action)
}

func TestBestEffortAboveMaxRate(t *testing.T) {
	sc := schedule.New()
	sc.SetEngines(engines(1, 20))
	submit := func(number int) mp.Decision {
		rq := request(number, 0)
		rq.PromisedRate, rq.MaxRate = 1, 1
		return sc.Submit(epoch, rq)
	}
	require.Equal(t, 0, submit(0).Priority, "the first request is within the promised rate")
	second := submit(1)
	require.Equal(t, mp.ActionStart, second.Action)
	require.Equal(t, 2*mp.TierCount, second.Priority, "a best-effort request is less urgent than every tier")
	var refused mp.Decision
	for number := 2; refused.Action != mp.ActionRefuse; number++ {
		require.Less(t, number, 20, "best-effort requests took reserved capacity")
		refused = submit(number)
	}
	require.Equal(t, mp.KindShareExceeded, refused.Reason)
	other := request(100, 1)
	require.Equal(t, mp.ActionStart, sc.Submit(epoch, other).Action)
}

func TestEnginePriorityFollowsTierAndPromisedRate(t *testing.T) {
	sc := schedule.New()
	sc.SetEngines(engines(1, 100))
	last := -1
	for tier := range mp.MaxTier + 1 {
		for _, promised := range []mp.TokensPerSecond{1000, 0} {
			rq := request(last+100, tier)
			rq.Class, rq.PromisedRate = mp.ClassName(rq.ID), promised
			de := sc.Submit(epoch, rq)
			require.Equal(t, mp.ActionStart, de.Action)
			require.Greater(t, de.Priority, last)
			last = de.Priority
		}
	}
}

func TestStaleLoadReportIgnored(t *testing.T) {
	sc := schedule.New()
	sc.SetEngines(engines(2, 10))
	sc.ObserveLoad(epoch, "e0", mp.EngineLoad{Running: 10, Age: mp.Duration(5 * time.Second)})
	sc.ObserveLoad(epoch, "e1", mp.EngineLoad{Running: 6})
	require.Equal(t, mp.EngineID("e0"), sc.Submit(epoch, request(1, 0)).Engine)
	sc.ObserveLoad(epoch, "e0", mp.EngineLoad{Running: 10})
	require.Equal(t, mp.EngineID("e1"), sc.Submit(epoch, request(2, 0)).Engine)
}

// oddReports are load reports that no engine can mean.
var oddReports = []string{
	`{"running":-1,"waiting":0}`, `{"running":0,"waiting":-5}`, `{"running":9223372036854775807,"waiting":9223372036854775807}`,
	`{"running":4611686018427387904,"waiting":0}`, `{"running":0,"waiting":2305843009213693952}`, `{"running":0,"waiting":0,"age":"-2s"}`,
}

// TestOddLoadReportIsIgnored guards against an engine that looks empty because of a load report
// with a number that is negative or too large.
func TestOddLoadReportIsIgnored(t *testing.T) {
	for _, text := range oddReports {
		var load mp.EngineLoad
		require.NoError(t, json.Unmarshal([]byte(text), &load))
		sc := schedule.New()
		sc.SetEngines(engines(2, 10))
		sc.ObserveLoad(epoch, "e0", mp.EngineLoad{Running: 10})
		sc.ObserveLoad(epoch, "e1", mp.EngineLoad{Running: 6})
		sc.ObserveLoad(epoch, "e0", load)
		require.Equal(t, mp.EngineID("e1"), sc.Submit(epoch, request(1, 0)).Engine, text)
	}
}

// FuzzEngineReport checks for any report of an engine that the scheduler starts a request, and
// takes the engine for empty only if the report says so.
func FuzzEngineReport(f *testing.F) {
	for _, text := range append(oddReports, `{"running":3,"waiting":1,"age":"200ms"}`, `{}`, `{"running":1e300}`) {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var load mp.EngineLoad
		if json.Unmarshal(data, &load) != nil {
			return
		}
		sc := schedule.New()
		sc.SetEngines(engines(2, 10))
		sc.ObserveLoad(epoch, "e0", mp.EngineLoad{Running: 10})
		sc.ObserveLoad(epoch, "e1", mp.EngineLoad{Running: 6})
		sc.ObserveLoad(epoch, "e0", load)
		de := sc.Submit(epoch, request(1, 0))
		require.Equal(t, mp.ActionStart, de.Action)
		if de.Engine == "e0" {
			require.True(t, load.Running >= 0 && load.Running <= 6 && load.Waiting >= 0 && load.Waiting <= 6, "%+v", load)
		}
	})
}

func TestAtMostOneThirdOfEnginesIsEjected(t *testing.T) {
	sc := schedule.New()
	sc.SetEngines(engines(4, 10))
	for number := range 100 {
		de := sc.Submit(epoch, request(number, 2))
		require.Equal(t, mp.ActionStart, de.Action)
		sc.Done(epoch, request(number, 2).ID, mp.Outcome{Failed: true})
	}
	ejected := 0
	for _, es := range sc.Engines(epoch) {
		if es.Ejected {
			ejected++
		}
	}
	require.Equal(t, 1, ejected, "at most one third of four engines may be ejected")
}

func TestOverflowToOtherRegion(t *testing.T) {
	sc := schedule.New()
	list := engines(2, 4)
	list[1].Distance = schedule.OtherRegion
	sc.SetEngines(list)
	for number := range 4 {
		require.Equal(t, mp.EngineID("e0"), sc.Submit(epoch, request(number, 2)).Engine)
	}
	require.Equal(t, mp.EngineID("e1"), sc.Submit(epoch, request(4, 2)).Engine)
}

func TestRetryAvoidsUnreachableRegion(t *testing.T) {
	sc := schedule.New()
	list := engines(4, 4)
	list[2].Distance, list[3].Distance = schedule.OtherRegion, schedule.OtherRegion
	sc.SetEngines(list)
	for number := range 8 {
		require.Contains(t, []mp.EngineID{"e0", "e1"}, sc.Submit(epoch, request(number, 2)).Engine)
	}
	remote := sc.Submit(epoch, request(8, 2))
	require.Contains(t, []mp.EngineID{"e2", "e3"}, remote.Engine, "the region of the host is full")
	again := sc.Reassign(epoch, "r8", mp.Outcome{Failed: true, Unreachable: true})
	require.Equal(t, mp.ActionStart, again.Action)
	require.Contains(t, []mp.EngineID{"e0", "e1"}, again.Engine)
}

// TestRetryTriesAvoidedEngineRatherThanNone guards against breaking an answer that has
// begun because a dial to the only other engine was refused a moment ago.
func TestRetryTriesAvoidedEngineRatherThanNone(t *testing.T) {
	sc := schedule.New()
	sc.SetEngines(engines(2, 4))
	first := sc.Submit(epoch, request(1, 2))
	second := sc.Reassign(epoch, "r1", mp.Outcome{Failed: true, Unreachable: true})
	require.NotEqual(t, first.Engine, second.Engine)
	third := sc.Reassign(epoch.Add(100*time.Millisecond), "r1", mp.Outcome{Failed: true, Unreachable: true})
	require.Equal(t, mp.ActionStart, third.Action)
	require.Equal(t, first.Engine, third.Engine, "the engine whose backoff began first")
	waiting := sc.Submit(epoch.Add(100*time.Millisecond), request(2, 2))
	require.NotEqual(t, mp.ActionStart, waiting.Action, "a new request waits for the end of the backoff")
}

// TestContentionOutweighsPrefixAffinity guards against sending a request to a nearly
// full engine because its prefix is cached there, while another engine is idle.
func TestContentionOutweighsPrefixAffinity(t *testing.T) {
	for _, test := range []struct {
		running int
		want    mp.EngineID
	}{{4, "e0"}, {30, "e1"}} {
		sc := schedule.New()
		sc.SetEngines(engines(2, 32))
		sc.ObserveLoad(epoch, "e1", mp.EngineLoad{Running: 31})
		rq := request(1, 0)
		rq.PrefixID, rq.PrefixTokens, rq.PromptTokens = 7, 1000, 1100
		require.Equal(t, mp.EngineID("e0"), sc.Submit(epoch, rq).Engine)
		sc.ObserveLoad(epoch, "e0", mp.EngineLoad{Running: test.running})
		sc.ObserveLoad(epoch, "e1", mp.EngineLoad{Running: 0})
		rq.ID = "r2"
		require.Equal(t, test.want, sc.Submit(epoch, rq).Engine, "with %d running", test.running)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ engines, models int }{{12, 2}, {282, 16}} {
		b.Run(strconv.Itoa(size.engines)+" engines", func(b *testing.B) {
			sc := schedule.New()
			list := engines(size.engines, 220)
			for ix := range list {
				list[ix].Models = []mp.ModelID{mp.ModelID(strconv.Itoa(ix % size.models))}
			}
			sc.SetEngines(list)
			requests := make([]mp.Request, 1800)
			for ix := range requests {
				requests[ix] = request(ix, mp.Tier(ix%mp.TierCount))
				requests[ix].Organisation = mp.OrganisationID(strconv.Itoa(ix))
				requests[ix].Model = mp.ModelID(strconv.Itoa(ix % size.models))
			}
			b.ReportAllocs()
			now := epoch
			for ix := 0; b.Loop(); ix++ {
				now = now.Add(time.Millisecond)
				rq := requests[ix%len(requests)]
				sc.Submit(now, rq)
				sc.Done(now, rq.ID, mp.Outcome{AnswerTokens: 100})
			}
		})
	}
}
