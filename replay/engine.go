package replay

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/enginemodel"
)

// modelled is an engine of the replay.
type modelled struct {
	config config.Engine
	region mp.RegionID
	model  *enginemodel.Engine
	params enginemodel.Params

	busy     bool // an iteration is under way
	slowdown float64
	down     bool
	epoch    int // counts crashes; an iteration of an older epoch is void
	loads    []mp.EngineLoad
	requests map[mp.RequestID]*request

	preempted uint64
	repeated  mp.Tokens     // computed again after a preemption
	worked    time.Duration // in iterations while requests arrived
	possible  int           // tokens that full slots would have given in them
}

// paramsOf returns parameters that give the rated output with full slots.
func paramsOf(en config.Engine) enginemodel.Params {
	pa := enginemodel.DefaultParams()
	pa.Slots = en.Slots
	full := pa.StepBase + time.Duration(en.Slots)*pa.StepPerSequence
	rated := float64(en.Slots) / float64(en.TokensPerSecond)
	scale := rated / full.Seconds()
	pa.StepBase = time.Duration(float64(pa.StepBase) * scale)
	pa.StepPerSequence = time.Duration(float64(pa.StepPerSequence) * scale)
	return pa
}

func newModelled(en config.Engine, region mp.RegionID) *modelled {
	pa := paramsOf(en)
	return &modelled{
		config:   en,
		region:   region,
		model:    enginemodel.New(pa),
		params:   pa,
		slowdown: 1,
		requests: map[mp.RequestID]*request{},
	}
}

func (mo *modelled) load() mp.EngineLoad {
	return mp.EngineLoad{Running: mo.model.Running(), Waiting: mo.model.Waiting()}
}

// reported returns the load as it was some samples ago.
func (mo *modelled) reported(samples int) mp.EngineLoad {
	if samples == 0 {
		return mo.load()
	}
	load := mp.EngineLoad{}
	if ix := len(mo.loads) - samples; ix >= 0 {
		load = mo.loads[ix]
	}
	load.Age = mp.Duration(time.Duration(samples) * sampleInterval)
	return load
}

// sample keeps the load of the last samples.
func (mo *modelled) sample() {
	mo.loads = append(mo.loads, mo.load())
	if len(mo.loads) > keptSamples {
		mo.loads = mo.loads[len(mo.loads)-keptSamples:]
	}
}

// reset empties a crashed engine.
func (mo *modelled) reset() {
	mo.preempted += mo.model.Preempted
	mo.repeated += mo.model.Recomputed
	mo.model = enginemodel.New(mo.params)
	mo.epoch++
	mo.busy = false
}
