package bench

import (
	"context"
	"runtime"
	"strconv"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/schedule"
)

const (
	models        = 16
	organisations = 1800
	decisionCalls = 60_000
	engineSlots   = 220
	keptRunning   = 1280 // requests in flight on a host
)

// engineList returns engines that share the models evenly.
func engineList(count, models int) []schedule.Engine {
	list := make([]schedule.Engine, count)
	for ix := range list {
		list[ix] = schedule.Engine{
			ID:     mp.EngineID("engine-" + strconv.Itoa(ix)),
			Models: []mp.ModelID{modelName(ix % models)},
			Slots:  engineSlots,
		}
	}
	return list
}

func modelName(ix int) mp.ModelID {
	return mp.ModelID("model-" + strconv.Itoa(ix))
}

// workload holds requests that are ready to be scheduled.
type workload struct {
	work []mp.Request
}

func newWorkload(models, organisations int) *workload {
	wl := &workload{work: make([]mp.Request, 4*keptRunning)}
	for ix := range wl.work {
		wl.work[ix] = mp.Request{
			ID:                  mp.RequestID("request-" + strconv.Itoa(ix)),
			Organisation:        organisationName(ix % organisations),
			Class:               "class",
			Model:               modelName(ix % models),
			Tier:                mp.Tier(ix % mp.TierCount),
			PromptTokens:        500,
			PrefixID:            uint64(ix%97) << 20,
			PrefixTokens:        300,
			BetweenTokensTarget: 54 * time.Millisecond,
			MaxWait:             10 * time.Second,
			PromisedRate:        100,
		}
	}
	return wl
}

func organisationName(ix int) mp.OrganisationID {
	return mp.OrganisationID("organisation-" + strconv.Itoa(ix))
}

// decide returns the time and the allocations of one request's decisions, from
// its arrival to its end, with many requests in flight.
func decide(engines, models int) (nanoseconds, allocations float64) {
	sc := schedule.New(schedule.WithSeed(1))
	sc.SetEngines(engineList(engines, models))
	wl := newWorkload(models, organisations)
	now := time.Unix(1_700_000_000, 0)
	outcome := mp.Outcome{AnswerTokens: 267, TimeToFirstToken: 200 * time.Millisecond, MeanTimeBetweenTokens: 40 * time.Millisecond}
	cycle := func(ix int) {
		now = now.Add(time.Millisecond)
		if ix >= keptRunning {
			sc.Done(now, wl.work[(ix-keptRunning)%len(wl.work)].ID, outcome)
		}
		if sc.Submit(now, wl.work[ix%len(wl.work)]).Action == mp.ActionWait {
			sc.Next(now)
		}
	}
	for ix := range len(wl.work) {
		cycle(ix)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	nanoseconds = timeOf(decisionCalls, func(ix int) { cycle(ix + len(wl.work)) })
	runtime.ReadMemStats(&after)
	return nanoseconds, float64(after.Mallocs-before.Mallocs) / decisionCalls
}

func measureDecisions(_ context.Context, re *Result) error {
	var points []Point
	most := 0.0
	for _, engines := range []int{6, 12, 24, 48, 96, 192, 282} {
		points = append(points, Point{X: float64(engines), Y: medianOf(func() float64 {
			nanoseconds, allocations := decide(engines, 1)
			most = max(most, allocations)
			return nanoseconds
		})})
	}
	re.addSlope(DecisionTime, "engines of one model", "ns", points)
	re.addFigure(DecisionAllocations, most, "allocations")
	nanoseconds, _ := decide(282, models)
	re.addFigure("decision_time_282_engines_16_models", nanoseconds, "ns")
	return nil
}
