// Package bench measures the slopes from which the capacity page is worked out:
// decisions, relayed chunks, state for each organisation, engine and stream, and
// the sizes of messages.
package bench

import (
	"context"
	"runtime"
	"slices"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a line through measurements.
type Slope struct {
	Name string `json:"name"`
	// XUnit and YUnit say what was varied and what was measured.
	XUnit  string  `json:"x_unit"`
	YUnit  string  `json:"y_unit"`
	Points []Point `json:"points"`
	// Intercept and PerX are the line's value at zero and its rise.
	Intercept float64 `json:"intercept"`
	PerX      float64 `json:"per_x"`
	RSquared  float64 `json:"r_squared"`
}

// At returns the line's value.
func (sl Slope) At(x float64) float64 {
	return sl.Intercept + sl.PerX*x
}

// MaxX returns the largest measured X.
func (sl Slope) MaxX() float64 {
	most := 0.0
	for _, po := range sl.Points {
		most = max(most, po.X)
	}
	return most
}

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Result is everything that a run measured.
type Result struct {
	Slopes  []Slope  `json:"slopes"`
	Figures []Figure `json:"figures"`
}

// Slope returns a slope by its name; the zero slope if it was not measured.
func (re *Result) Slope(name string) Slope {
	for _, sl := range re.Slopes {
		if sl.Name == name {
			return sl
		}
	}
	return Slope{Name: name}
}

// Figure returns a figure by its name; zero if it was not measured.
func (re *Result) Figure(name string) float64 {
	for _, fi := range re.Figures {
		if fi.Name == name {
			return fi.Value
		}
	}
	return 0
}

// The names of the measurements.
const (
	DecisionTime           = "decision_time"
	DecisionAllocations    = "decision_allocations"
	SchedulerClassMemory   = "scheduler_memory_by_class"
	SchedulerEngineMemory  = "scheduler_memory_by_engine"
	ContractMemory         = "contract_memory"
	MeterClassMemory       = "meter_memory_by_class"
	ConfigApplyTime        = "config_apply_time"
	StreamMemory           = "stream_memory"
	ChunkTime              = "chunk_time"
	ChunkAllocations       = "chunk_allocations"
	FirstTokenOverhead     = "first_token_added"
	FirstTokenRatio        = "first_token_ratio"
	IdleCPU                = "idle_time"
	ServerListSize         = "list_size_by_server"
	GossipMessageSize      = "knowledge_size_by_server"
	LoadUpdateSize         = "load_sheet_size_by_engine"
	EmptyGossipMessageSize = "exchange_size"
	ContractValueSize      = "contract_value_size"
	EngineValueSize        = "engine_value_size"
	CodecTime              = "codec_time_by_byte"
	RequestTime            = "request_time"
	MetricsExpositionSize  = "metrics_exposition_size"
	LoadReportSize         = "load_report_size"
	OutcomesSize           = "outcomes_size_by_class"
)

// step is one group of measurements.
type step struct {
	name string
	run  func(ctx context.Context, re *Result) error
}

// steps lists the groups in their order.
var steps = []step{
	{name: "decisions", run: measureDecisions},
	{name: "state", run: measureState},
	{name: "configuration", run: measureConfiguration},
	{name: "messages", run: measureMessages},
	{name: "streams", run: measureStreams},
}

// Run measures everything. Progress takes the name of each group as it begins.
func Run(ctx context.Context, progress func(name string)) (*Result, error) {
	re := &Result{}
	for _, st := range steps {
		progress(st.name)
		if err := st.run(ctx, re); err != nil {
			return nil, errors.Annotatef(err, "measurement of %s", st.name)
		}
		if err := ctx.Err(); err != nil {
			return nil, errors.Annotate(err, "time limit of the measurement")
		}
	}
	return re, nil
}

func (re *Result) addFigure(name string, value float64, unit string) {
	re.Figures = append(re.Figures, Figure{Name: name, Value: value, Unit: unit})
}

// addSlope fits a line through the points.
func (re *Result) addSlope(name, xUnit, yUnit string, points []Point) {
	var xs, ys []float64
	for _, po := range points {
		xs = append(xs, po.X)
		ys = append(ys, po.Y)
	}
	sl := Slope{Name: name, XUnit: xUnit, YUnit: yUnit, Points: points}
	sl.Intercept, sl.PerX = stat.LinearRegression(xs, ys, nil, false)
	sl.RSquared = stat.RSquared(xs, ys, nil, sl.Intercept, sl.PerX)
	re.Slopes = append(re.Slopes, sl)
}

// rounds is how often a point is measured; the median counts.
const rounds = 3

func medianOf(measure func() float64) float64 {
	values := make([]float64, 0, rounds)
	for range rounds {
		values = append(values, measure())
	}
	slices.Sort(values)
	return values[rounds/2]
}

// memoryOf returns how many bytes of heap the result of a function holds.
func memoryOf(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// timeOf returns the nanoseconds that one of many calls takes.
func timeOf(calls int, call func(ix int)) float64 {
	begin := time.Now()
	for ix := range calls {
		call(ix)
	}
	return float64(time.Since(begin).Nanoseconds()) / float64(calls)
}
