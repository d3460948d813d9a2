// Package bench measures the resource use of the router's parts: the time of
// scheduling decisions and relayed chunks, the memory for each organisation,
// engine and stream, and the sizes of messages. Package capacity extrapolates
// from its result to larger deployments.
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

// LinearFit is a linear fit through measurements of one quantity that grows with
// another.
type LinearFit struct {
	Name string `json:"name"`
	// XUnit and YUnit name what was varied and the unit of what was measured.
	XUnit  string  `json:"x_unit"`
	YUnit  string  `json:"y_unit"`
	Points []Point `json:"points"`
	// Intercept is the fitted value at X = 0 and PerX, the slope, the increase for
	// each unit of X.
	Intercept float64 `json:"intercept"`
	PerX      float64 `json:"per_x"`
	RSquared  float64 `json:"r_squared"`
}

// At returns the fitted value at x.
func (lf LinearFit) At(x float64) float64 {
	return lf.Intercept + lf.PerX*x
}

// MaxX returns the largest X that was measured.
func (lf LinearFit) MaxX() float64 {
	largest := 0.0
	for _, po := range lf.Points {
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
	Fits    []LinearFit `json:"slopes"`
	Scalars []Scalar    `json:"figures"`
}

// Fit returns the fit with the given name, or a zero fit if it was not measured.
func (re *Result) Fit(name string) LinearFit {
	for _, lf := range re.Fits {
		if lf.Name == name {
			return lf
		}
	}
	return LinearFit{Name: name}
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

// Names of measurements, each with its unit. Those with "by" are fits over what
// follows it, the others are scalars. ChunkTime and RequestTime are CPU time.
const (
	DecisionTime           = "decision_time"              // ns per request, by engines of its model
	DecisionAllocations    = "decision_allocations"       // allocations per request, at most
	SchedulerClassMemory   = "scheduler_memory_by_class"  // bytes, by active classes
	SchedulerEngineMemory  = "scheduler_memory_by_engine" // bytes, by engines
	ContractMemory         = "contract_memory"            // bytes, by contracts
	MeterClassMemory       = "meter_memory_by_class"      // bytes, by active classes
	ConfigApplyTime        = "config_apply_time"          // ns per change, by contracts
	StreamMemory           = "stream_memory"              // bytes, by open streams
	ChunkTime              = "chunk_time"                 // ns that the router takes for a chunk
	ChunkAllocations       = "chunk_allocations"          // allocations by the router for a chunk
	FirstTokenOverhead     = "first_token_added"          // ns that the router adds to the first token, at the median
	FirstTokenRatio        = "first_token_ratio"          // median time to the first token, routed to direct
	IdleCPU                = "idle_time"                  // % of a core, without traffic
	ServerListSize         = "list_size_by_server"        // bytes of the store's response, by backend servers
	GossipMessageSize      = "knowledge_size_by_server"   // bytes with the list, by backend servers
	LoadUpdateSize         = "load_sheet_size_by_engine"  // bytes, by engines with load
	EmptyGossipMessageSize = "exchange_size"              // bytes without list and configuration
	ContractValueSize      = "contract_value_size"        // bytes
	EngineValueSize        = "engine_value_size"          // bytes
	CodecTime              = "codec_time_by_byte"         // ns to encode and decode a load update, by its bytes
	RequestTime            = "request_time"               // ns that the router takes for a request with one chunk
	MetricsExpositionSize  = "metrics_exposition_size"    // bytes
	LoadReportSize         = "load_report_size"           // bytes, request and response with headers
	OutcomesSize           = "outcomes_size_by_class"     // bytes, by classes
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

// addFit fits a line through the points and adds it to the result.
func (re *Result) addFit(name, xUnit, yUnit string, points []Point) {
	var xs, ys []float64
	for _, po := range points {
		xs = append(xs, po.X)
		ys = append(ys, po.Y)
	}
	lf := LinearFit{Name: name, XUnit: xUnit, YUnit: yUnit, Points: points}
	lf.Intercept, lf.PerX = stat.LinearRegression(xs, ys, nil, false)
	lf.RSquared = stat.RSquared(xs, ys, nil, lf.Intercept, lf.PerX)
	re.Fits = append(re.Fits, lf)
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
