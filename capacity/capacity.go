// Package capacity estimates the memory, processor time and network traffic that
// each role of a host needs in a deployment of a given size. It extrapolates from
// the linear fits that package bench measures.
package capacity

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/bench"
)

// Size describes the size and load of a deployment.
type Size struct {
	Hosts         float64
	Engines       float64
	DataCentres   float64
	Organisations float64
	Models        float64
	// RequestsPerSecond and TokensPerSecond are peak rates for the whole
	// deployment.
	RequestsPerSecond   float64
	TokensPerSecond     float64
	ConfigChangesPerDay float64
	// NonIdempotentFraction is the fraction of requests that must not be
	// retried, from 0 to 1.
	NonIdempotentFraction float64
	// HostsLostPerDay counts failures; HostsReplacedPerDay counts planned
	// replacements.
	HostsLostPerDay     float64
	HostsReplacedPerDay float64
}

// TargetSize returns the size that the users expect in two years.
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

// CurrentSize returns the size of one of the deployments in use today. Its
// traffic fully loads its engines.
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

// Budget is what one host may spend on the control plane.
type Budget struct {
	// CPUCores is the number of cores; less than one is a fraction of a core.
	CPUCores float64
	Memory   mp.Bytes
	// BytesPerSecond is the network traffic, sent and received.
	BytesPerSecond float64
}

// TargetBudget returns the budget that the users set as their target.
func TargetBudget() Budget {
	return Budget{CPUCores: 0.019, Memory: 32 * mp.Mebibyte, BytesPerSecond: 6 * float64(mp.Kibibyte)}
}

// Cost is the resource use of one host.
type Cost struct {
	MemoryBytes float64
	// MessagesPerSecond and BytesPerSecond count what is sent and received.
	MessagesPerSecond float64
	BytesPerSecond    float64
	// CPUCores is the number of cores; less than one is a fraction of a core.
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

// PlatformKind is the kind of platform on which a host has a role.
type PlatformKind string

// Kinds of platforms: the users' platform, or one that implements the router's
// own interface.
const (
	AnyPlatform   PlatformKind = "both"
	UsersPlatform PlatformKind = "users' platform"
	OwnPlatform   PlatformKind = "own interface"
)

// Role is one of the control-plane tasks of a host.
type Role struct {
	Name     string
	Platform PlatformKind
	// Mechanism describes how the role works.
	Mechanism string
	// State describes what the role keeps in memory.
	State string
	// Mean is the cost on an average host, and Busiest the cost on the host
	// that does most of the role's work.
	Mean    Cost
	Busiest Cost
}

// Model estimates costs from measurements.
type Model struct {
	size   Size
	result *bench.Result
}

// New returns the model for a deployment of the given size.
func New(size Size, result *bench.Result) *Model {
	return &Model{size: size, result: result}
}

const (
	secondsPerDay          = 24 * 60 * 60
	secondsPerNanosecond   = 1e-9
	classesPerOrganisation = float64(mp.TierCount)
	frameOverheadBytes     = 66.0 // TCP, IP and Ethernet headers of one message
	scrapeIntervalSeconds  = 15.0
	reportIntervalSeconds  = 300.0                 // between two reads of a host's outcomes for the burn report
	tokenInterval          = 54 * time.Millisecond // between two tokens of a stream
)

func (mo *Model) scalar(name string) float64 { return mo.result.Scalar(name) }

func (mo *Model) slopeAt(name string, x float64) float64 { return mo.result.Slope(name).At(x) }

// hostsPerDC returns the mean number of hosts in a data centre.
func (mo *Model) hostsPerDC() float64 { return mo.size.Hosts / mo.size.DataCentres }

// enginesPerDC returns the mean number of engines in a data centre.
func (mo *Model) enginesPerDC() float64 { return mo.size.Engines / mo.size.DataCentres }

// InFlight returns the mean number of requests in flight on a host.
func (mo *Model) InFlight() float64 {
	return mo.size.TokensPerSecond / mo.size.Hosts * tokenInterval.Seconds()
}

func (mo *Model) changesPerSecond() float64 { return mo.size.ConfigChangesPerDay / secondsPerDay }

// messageCost returns the cost of messages of a size in bytes at a rate per
// second. A host either encodes or decodes a message, which takes half of the codec
// time for both.
func (mo *Model) messageCost(rate, size float64) Cost {
	return Cost{
		MessagesPerSecond: rate,
		BytesPerSecond:    rate * (size + frameOverheadBytes),
		CPUCores:          rate * mo.slopeAt(bench.CodecTime, size) * secondsPerNanosecond / 2,
	}
}

// RequestPath returns the cost of relaying requests, which is not part of the
// control-plane budget.
func (mo *Model) RequestPath() Cost {
	requests, tokens := mo.size.RequestsPerSecond/mo.size.Hosts, mo.size.TokensPerSecond/mo.size.Hosts
	chunkBytes := 180.0
	return Cost{
		MemoryBytes:       mo.InFlight() * mo.result.Slope(bench.StreamMemory).PerX,
		MessagesPerSecond: tokens + requests,
		BytesPerSecond:    2 * tokens * chunkBytes,
		CPUCores:          (requests*mo.scalar(bench.RequestTime) + tokens*mo.scalar(bench.ChunkTime)) * secondsPerNanosecond,
	}
}
