// Package capacity works out what each role of a host costs at a given size of
// the deployment, from measured slopes.
package capacity

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/bench"
)

// Size is the size of a deployment.
type Size struct {
	Hosts         float64
	Engines       float64
	DataCentres   float64
	Organisations float64
	Models        float64
	// Requests and Tokens are rates per second at the peak.
	Requests float64
	Tokens   float64
	// Changes is the number of configuration changes in a day.
	Changes float64
	// Calls is the part of the requests that may not be repeated.
	Calls float64
	// Lost and Replaced count hosts in a day.
	Lost     float64
	Replaced float64
}

// TargetSize returns the size that the users want in two years.
func TargetSize() Size {
	return Size{
		Hosts:         970,
		Engines:       6200,
		DataCentres:   22,
		Organisations: 1800,
		Models:        16,
		Requests:      86_000,
		Tokens:        23_000_000,
		Changes:       4500,
		Calls:         0.01,
		Lost:          87,
		Replaced:      670,
	}
}

// TodaySize returns the size of one of today's deployments. Its traffic fills
// its engines.
func TodaySize() Size {
	return Size{
		Hosts:         9,
		Engines:       12,
		DataCentres:   3,
		Organisations: 10,
		Models:        2,
		Requests:      58,
		Tokens:        15_400,
		Changes:       50,
		Calls:         0.1,
		Lost:          0.1,
		Replaced:      1,
	}
}

// Budget is what a host may spend on control.
type Budget struct {
	// Processor is a share of one core.
	Processor float64
	Memory    mp.Bytes
	// Traffic is bytes per second, sent and received.
	Traffic float64
}

// TargetBudget returns the budget of the users' target.
func TargetBudget() Budget {
	return Budget{Processor: 0.019, Memory: 32 * mp.Mebibyte, Traffic: 6 * float64(mp.Kibibyte)}
}

// Cost is what something costs one host.
type Cost struct {
	// Memory is in bytes.
	Memory float64
	// Messages and Traffic are rates per second, sent and received.
	Messages float64
	Traffic  float64
	// Processor is a share of one core.
	Processor float64
}

func (co Cost) plus(other Cost) Cost {
	return Cost{
		Memory:    co.Memory + other.Memory,
		Messages:  co.Messages + other.Messages,
		Traffic:   co.Traffic + other.Traffic,
		Processor: co.Processor + other.Processor,
	}
}

func (co Cost) times(factor float64) Cost {
	return Cost{
		Memory:    co.Memory * factor,
		Messages:  co.Messages * factor,
		Traffic:   co.Traffic * factor,
		Processor: co.Processor * factor,
	}
}

// Where says which front has a role.
type Where string

// The fronts.
const (
	OnBoth     Where = "both"
	OnPlatform Where = "users' platform"
	OnOwn      Where = "own interface"
)

// Role is one of the duties of a host.
type Role struct {
	Name string
	// Where is the front that has the role.
	Where Where
	// Mechanism names what carries the role.
	Mechanism string
	// State says what the memory holds.
	State string
	// Mean is the cost for a host on average, and Busiest for the host that
	// has most of the role.
	Mean    Cost
	Busiest Cost
}

// Model works out costs from measurements.
type Model struct {
	size   Size
	result *bench.Result
}

// New returns the model of a size.
func New(size Size, result *bench.Result) *Model {
	return &Model{size: size, result: result}
}

const (
	secondsPerDay  = 24 * 60 * 60
	nanosecond     = 1e-9 // seconds
	classesPerOrg  = float64(mp.TierCount)
	frameOverhead  = 66.0 // bytes of TCP, IP and Ethernet for a message
	scrapeInterval = 15.0 // seconds
	reportInterval = 300.0
	tokenGap       = 54 * time.Millisecond
)

func (mo *Model) figure(name string) float64 { return mo.result.Figure(name) }

func (mo *Model) at(name string, x float64) float64 { return mo.result.Slope(name).At(x) }

// hostsOfDC returns the hosts of one data centre.
func (mo *Model) hostsOfDC() float64 { return mo.size.Hosts / mo.size.DataCentres }

// enginesOfDC returns the engines of one data centre.
func (mo *Model) enginesOfDC() float64 { return mo.size.Engines / mo.size.DataCentres }

// InFlight returns the requests in flight on a host.
func (mo *Model) InFlight() float64 {
	return mo.size.Tokens / mo.size.Hosts * tokenGap.Seconds()
}

// changesPerSecond returns the rate of configuration changes.
func (mo *Model) changesPerSecond() float64 { return mo.size.Changes / secondsPerDay }

// message returns the cost of messages of a size at a rate, with their codec.
func (mo *Model) message(rate, size float64) Cost {
	return Cost{
		Messages:  rate,
		Traffic:   rate * (size + frameOverhead),
		Processor: rate * mo.at(bench.CodecTime, size) * nanosecond / 2,
	}
}

// RequestPath returns the cost of the data that a host relays. It is not part
// of the control budget.
func (mo *Model) RequestPath() Cost {
	requests, tokens := mo.size.Requests/mo.size.Hosts, mo.size.Tokens/mo.size.Hosts
	chunkBytes := 180.0
	return Cost{
		Memory:    mo.InFlight() * mo.result.Slope(bench.StreamMemory).PerX,
		Messages:  tokens + requests,
		Traffic:   2 * tokens * chunkBytes,
		Processor: (requests*mo.figure(bench.RequestTime) + tokens*mo.figure(bench.ChunkTime)) * nanosecond,
	}
}
