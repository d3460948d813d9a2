package replay

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/enginemodel"
)

// simulatedEngine is an engine of the replay, driven in virtual time.
type simulatedEngine struct {
	config config.Engine
	region mp.RegionID
	model  *enginemodel.Engine
	params enginemodel.Params

	busy           bool    // a step is running
	slowdownFactor float64 // multiplies the duration of steps
	down           bool
	generation     int             // incremented by a crash; steps of an older generation are discarded
	loadSamples    []mp.EngineLoad // newest last
	requests       map[mp.RequestID]*request

	preemptions    uint64
	recomputed     mp.Tokens     // tokens computed again after a preemption
	busyTime       time.Duration // spent in steps before the last arrival
	capacityTokens int           // tokens that these steps could have produced: one for each slot not in prefill
}

// paramsFor returns parameters with which the engine produces its rated tokens per
// second when every slot is taken.
func paramsFor(en config.Engine) enginemodel.Params {
	pa := enginemodel.DefaultParams()
	pa.Slots = en.Slots
	full := pa.StepBase + time.Duration(en.Slots)*pa.StepPerSequence
	rated := float64(en.Slots) / float64(en.TokensPerSecond)
	scale := rated / full.Seconds()
	pa.StepBase = time.Duration(float64(pa.StepBase) * scale)
	pa.StepPerSequence = time.Duration(float64(pa.StepPerSequence) * scale)
	return pa
}

func newSimulatedEngine(en config.Engine, region mp.RegionID) *simulatedEngine {
	pa := paramsFor(en)
	return &simulatedEngine{
		config:         en,
		region:         region,
		model:          enginemodel.New(pa),
		params:         pa,
		slowdownFactor: 1,
		requests:       map[mp.RequestID]*request{},
	}
}

func (se *simulatedEngine) load() mp.EngineLoad {
	return mp.EngineLoad{Running: se.model.Running(), Waiting: se.model.Waiting()}
}

// reportedLoad returns a load report whose age is the given number of samples: the
// current load for zero, the newest sample for one, and so on. The load is zero if there
// are fewer samples.
func (se *simulatedEngine) reportedLoad(ageSamples int) mp.EngineLoad {
	if ageSamples == 0 {
		return se.load()
	}
	load := mp.EngineLoad{}
	if ix := len(se.loadSamples) - ageSamples; ix >= 0 {
		load = se.loadSamples[ix]
	}
	load.Age = mp.Duration(time.Duration(ageSamples) * sampleInterval)
	return load
}

// sampleLoad records the current load and drops the oldest samples beyond
// maxLoadSamples.
func (se *simulatedEngine) sampleLoad() {
	se.loadSamples = append(se.loadSamples, se.load())
	if len(se.loadSamples) > maxLoadSamples {
		se.loadSamples = se.loadSamples[len(se.loadSamples)-maxLoadSamples:]
	}
}

// reset removes all sequences and the prefix cache, as a crash does. It first adds the
// model's counters to the totals of the engine.
func (se *simulatedEngine) reset() {
	se.preemptions += se.model.Preemptions
	se.recomputed += se.model.Recomputed
	se.model = enginemodel.New(se.params)
	se.generation++
	se.busy = false
}
