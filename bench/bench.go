// Package bench measures the costs that the capacity estimate extrapolates
// from: scheduling decisions, relayed chunks, memory for each organisation,
// engine and stream, and message sizes.
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

// Slope is a linear fit through measurements.
type Slope struct {
	Name string `json:"name"`
	// XUnit and YUnit name what was varied and the unit of what was measured.
	XUnit  string  `json:"x_unit"`
	YUnit  string  `json:"y_unit"`
	Points []Point `json:"points"`
	// Intercept is the fitted value at X = 0 and PerX the increase for each
	// unit of X.
	Intercept float64 `json:"intercept"`
	PerX      float64 `json:"per_x"`
	RSquared  float64 `json:"r_squared"`
}

// At returns the fitted value at x.
func (sl Slope) At(x float64) float64 {
	return sl.Intercept + sl.PerX*x
}

// MaxX returns the largest X that was measured.
func (sl Slope) MaxX() float64 {
	largest := 0.0
	for _, po := range sl.Points {
		largest = max(largest, po.X)
	}
	return largest
}

// Scalar is a single measured value.
type Scalar struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Result holds all measurements of a run.
type Result struct {
	Slopes  []Slope  `json:"slopes"`
	Scalars []Scalar `json:"figures"`
}

// Slope returns the slope with the given name, or a zero slope if it was not
// measured.
func (re *Result) Slope(name string) Slope {
	for _, sl := range re.Slopes {
		if sl.Name == name {
			return sl
		}
	}
	return Slope{Name: name}
}

// Scalar returns the value of the scalar with the given name, or zero if it was
// not measured.
func (re *Result) Scalar(name string) float64 {
	for _, sc := range re.Scalars {
		if sc.Name == name {
			return sc.Value
		}
	}
	return 0
}

// Names of the slopes and scalars.
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

// measurementGroup is a named group of measurements.
type measurementGroup struct {
	name string
	run  func(ctx context.Context, re *Result) error
}

// measurementGroups lists the groups in the order in which they run.
var measurementGroups = []measurementGroup{
	{name: "decisions", run: measureDecisions},
	{name: "state", run: measureState},
	{name: "configuration", run: measureConfiguration},
	{name: "messages", run: measureMessages},
	{name: "streams", run: measureStreams},
}

// Run measures everything and calls progress with the name of each group as it
// starts. It stops with an error at the first group that fails, and between
// groups when ctx ends.
func Run(ctx context.Context, progress func(name string)) (*Result, error) {
	re := &Result{}
	for _, mg := range measurementGroups {
		progress(mg.name)
		if err := mg.run(ctx, re); err != nil {
			return nil, errors.Annotatef(err, "measurement of %s", mg.name)
		}
		if err := ctx.Err(); err != nil {
			return nil, errors.Annotate(err, "time limit of the measurement")
		}
	}
	return re, nil
}

func (re *Result) addScalar(name string, value float64, unit string) {
	re.Scalars = append(re.Scalars, Scalar{Name: name, Value: value, Unit: unit})
}

// addSlope fits a line through the points and adds it to the result.
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

// repetitions is how often each point is measured; the median is used.
const repetitions = 3

// medianMeasurement repeats a measurement and returns the median.
func medianMeasurement(measure func() float64) float64 {
	values := make([]float64, 0, repetitions)
	for range repetitions {
		values = append(values, measure())
	}
	slices.Sort(values)
	return values[repetitions/2]
}

// heapBytesOf returns the bytes of heap that the result of a function keeps
// alive.
func heapBytesOf(construct func() any) float64 {
	before := heapBytes()
	kept := construct()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// heapBytes collects garbage and returns the bytes of heap still in use.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// nanosecondsPerCall returns the mean duration of a call in nanoseconds.
func nanosecondsPerCall(calls int, call func(ix int)) float64 {
	begin := time.Now()
	for ix := range calls {
		call(ix)
	}
	return float64(time.Since(begin).Nanoseconds()) / float64(calls)
}
