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
	// RequestsPerSecond and Tokens are rates per second at the peak.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// ConfigChangesPerDay is the number of configuration changes in a day.
	ConfigChangesPerDay float64
	// NonIdempotentFraction is the part of the requests that may not be repeated.
	NonIdempotentFraction float64
	// HostsLostPerDay and Replaced count hosts in a day.
	HostsLostPerDay     float64
	HostsReplacedPerDay float64
}

// TargetSize returns the size that the users want in two years.
func TargetSize() Size {
	return Size{
		Hosts:                 970,
		Engines:               6200,
		DataCentres:           22,
		Organisations:         1800,
		Models:                16,
		RequestsPerSecond:     86_000,
		TokensPerSecond:       23_000_000,
		ConfigChangesPerDay:   4500,
		NonIdempotentFraction: 0.01,
		HostsLostPerDay:       87,
		HostsReplacedPerDay:   670,
	}
}

// CurrentSize returns the size of one of today's deployments. Its traffic fills
// its engines.
func CurrentSize() Size {
	return Size{
		Hosts:                 9,
		Engines:               12,
		DataCentres:           3,
		Organisations:         10,
		Models:                2,
		RequestsPerSecond:     58,
		TokensPerSecond:       15_400,
		ConfigChangesPerDay:   50,
		NonIdempotentFraction: 0.1,
		HostsLostPerDay:       0.1,
		HostsReplacedPerDay:   1,
	}
}

// Budget is what a host may spend on control.
type Budget struct {
	// CPUCores is a share of one core.
	CPUCores float64
	Memory   mp.Bytes
	// BytesPerSecond is bytes per second, sent and received.
	BytesPerSecond float64
}

// TargetBudget returns the budget of the users' target.
func TargetBudget() Budget {
	return Budget{CPUCores: 0.019, Memory: 32 * mp.Mebibyte, BytesPerSecond: 6 * float64(mp.Kibibyte)}
}

// Cost is what something costs one host.
type Cost struct {
	// MemoryBytes is in bytes.
	MemoryBytes float64
	// MessagesPerSecond and Traffic are rates per second, sent and received.
	MessagesPerSecond float64
	BytesPerSecond    float64
	// CPUCores is a share of one core.
	CPUCores float64
}

func (co Cost) plus(other Cost) Cost {
	return Cost{
		MemoryBytes:       co.MemoryBytes + other.MemoryBytes,
		MessagesPerSecond: co.MessagesPerSecond + other.MessagesPerSecond,
		BytesPerSecond:    co.BytesPerSecond + other.BytesPerSecond,
		CPUCores:          co.CPUCores + other.CPUCores,
	}
}

func (co Cost) times(factor float64) Cost {
	return Cost{
		MemoryBytes:       co.MemoryBytes * factor,
		MessagesPerSecond: co.MessagesPerSecond * factor,
		BytesPerSecond:    co.BytesPerSecond * factor,
		CPUCores:          co.CPUCores * factor,
	}
}

// PlatformKind says which front has a role.
type PlatformKind string

// The fronts.
const (
	AnyPlatform   PlatformKind = "both"
	UsersPlatform PlatformKind = "users' platform"
	OwnPlatform   PlatformKind = "own interface"
)

// Role is one of the duties of a host.
type Role struct {
	Name string
	// Platform is the front that has the role.
	Platform PlatformKind
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
	return mo.size.TokensPerSecond / mo.size.Hosts * tokenGap.Seconds()
}

// changesPerSecond returns the rate of configuration changes.
func (mo *Model) changesPerSecond() float64 { return mo.size.ConfigChangesPerDay / secondsPerDay }

// message returns the cost of messages of a size at a rate, with their codec.
func (mo *Model) message(rate, size float64) Cost {
	return Cost{
		MessagesPerSecond: rate,
		BytesPerSecond:    rate * (size + frameOverhead),
		CPUCores:          rate * mo.at(bench.CodecTime, size) * nanosecond / 2,
	}
}

// RequestPath returns the cost of the data that a host relays. It is not part
// of the control budget.
func (mo *Model) RequestPath() Cost {
	requests, tokens := mo.size.RequestsPerSecond/mo.size.Hosts, mo.size.TokensPerSecond/mo.size.Hosts
	chunkBytes := 180.0
	return Cost{
		MemoryBytes:       mo.InFlight() * mo.result.Slope(bench.StreamMemory).PerX,
		MessagesPerSecond: tokens + requests,
		BytesPerSecond:    2 * tokens * chunkBytes,
		CPUCores:          (requests*mo.figure(bench.RequestTime) + tokens*mo.figure(bench.ChunkTime)) * nanosecond,
	}
}
