package bench

import (
	"context"
	"runtime"
	"strconv"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/schedule"
)

// modelCount and organisationCount are those of capacity.TargetSize;
// requestsInFlight is what capacity.Estimator.InFlight returns for it, rounded.
const (
	modelCount        = 16
	organisationCount = 1800
	decisionCalls     = 60_000
	slotsPerEngine    = 220
	requestsInFlight  = 1280 // on one host
)

// newEngines returns engines among which the models are spread evenly.
func newEngines(count, models int) []schedule.Engine {
	engines := make([]schedule.Engine, count)
	for ix := range engines {
		engines[ix] = schedule.Engine{
			ID:     mp.EngineID("engine-" + strconv.Itoa(ix)),
			Models: []mp.ModelID{modelName(ix % models)},
			Slots:  slotsPerEngine,
		}
	}
	return engines
}

func modelName(ix int) mp.ModelID {
	return mp.ModelID("model-" + strconv.Itoa(ix))
}

// workload holds requests to schedule.
type workload struct {
	requests []mp.Request
}

func newWorkload(models, organisations int) *workload {
	wl := &workload{requests: make([]mp.Request, 4*requestsInFlight)}
	for ix := range wl.requests {
		wl.requests[ix] = mp.Request{
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

// measureDecision returns the mean time and allocations of one request's
// scheduler calls, from arrival to completion, while many requests are in
// flight.
func measureDecision(engines, models int) (nanoseconds, allocations float64) {
	sc := schedule.New(schedule.WithSeed(1))
	sc.SetEngines(newEngines(engines, models))
	wl := newWorkload(models, organisationCount)
	now := time.Unix(1_700_000_000, 0)
	outcome := mp.Outcome{AnswerTokens: 267, TimeToFirstToken: 200 * time.Millisecond, MeanTimeBetweenTokens: 40 * time.Millisecond}
	cycle := func(ix int) {
		now = now.Add(time.Millisecond)
		if ix >= requestsInFlight {
			sc.Done(now, wl.requests[(ix-requestsInFlight)%len(wl.requests)].ID, outcome)
		}
		if sc.Submit(now, wl.requests[ix%len(wl.requests)]).Action == mp.ActionWait {
			sc.Next(now)
		}
	}
	for ix := range len(wl.requests) {
		cycle(ix)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	nanoseconds = nanosecondsPerCall(decisionCalls, func(ix int) { cycle(ix + len(wl.requests)) })
	runtime.ReadMemStats(&after)
	return nanoseconds, float64(after.Mallocs-before.Mallocs) / decisionCalls
}

// measureDecisions fits the time of a decision over the number of engines, up to
// 282, the mean of a data centre in capacity.TargetSize.
func measureDecisions(_ context.Context, re *Result) error {
	var points []Point
	maxAllocations := 0.0
	for _, engines := range []int{6, 12, 24, 48, 96, 192, 282} {
		points = append(points, Point{X: float64(engines), Y: medianMeasurement(func() float64 {
			nanoseconds, allocations := measureDecision(engines, 1)
			maxAllocations = max(maxAllocations, allocations)
			return nanoseconds
		})})
	}
	re.addFit(DecisionTime, "engines of one model", "ns", points)
	re.addScalar(DecisionAllocations, maxAllocations, "allocations")
	nanoseconds, _ := measureDecision(282, modelCount)
	re.addScalar("decision_time_282_engines_16_models", nanoseconds, "ns")
	return nil
}
