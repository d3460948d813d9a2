// Package capacity estimates the memory, CPU time and network traffic that each
// control-plane role of a host needs in a deployment of a given size. It extrapolates
// from the measurements of package bench, and writes the tables of docs/CAPACITY.md.
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
	// MaxChangeDelay is the time within which a change must take effect.
	MaxChangeDelay time.Duration
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
		MaxChangeDelay:        5 * time.Second,
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
		MaxChangeDelay:        3 * time.Second,
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

// Cost is the estimated resource use of one host.
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

// HostKind is the kind of the hosts that have a role.
type HostKind string

// Kinds of hosts: the gateway on the platform's machines, which package gateway
// implements, and the host for the router's own API, which package host implements.
const (
	AnyHost     HostKind = "both"
	GatewayHost HostKind = "users' platform"
	OwnAPIHost  HostKind = "own interface"
)

// Role is one of the control-plane tasks of a host.
type Role struct {
	Name     string
	HostKind HostKind
	// Mechanism describes how the role works.
	Mechanism string
	// State describes what the role keeps in memory.
	State string
	// Mean is the mean cost over all hosts of the kind, and Busiest the cost on the
	// host that does most of the role's work.
	Mean    Cost
	Busiest Cost
}

// Estimator estimates the costs of a deployment from measurements.
type Estimator struct {
	size   Size
	result *bench.Result
}

// New returns the estimator for a deployment of the given size. A measurement that is
// missing from the result counts as zero.
func New(size Size, result *bench.Result) *Estimator {
	return &Estimator{size: size, result: result}
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

func (es *Estimator) scalar(name string) float64 { return es.result.Scalar(name) }

func (es *Estimator) fitAt(name string, x float64) float64 { return es.result.Fit(name).At(x) }

// hostsPerDC returns the mean number of hosts in a data centre.
func (es *Estimator) hostsPerDC() float64 { return es.size.Hosts / es.size.DataCentres }

// enginesPerDC returns the mean number of engines in a data centre.
func (es *Estimator) enginesPerDC() float64 { return es.size.Engines / es.size.DataCentres }

// InFlight returns the mean number of requests in flight on a host.
func (es *Estimator) InFlight() float64 {
	return es.size.TokensPerSecond / es.size.Hosts * tokenInterval.Seconds()
}

func (es *Estimator) changesPerSecond() float64 { return es.size.ConfigChangesPerDay / secondsPerDay }

// messageCost returns the cost of messages of a size in bytes at a rate per
// second. A host either encodes or decodes a message, which takes half of the codec
// time for both.
func (es *Estimator) messageCost(rate, size float64) Cost {
	return Cost{
		MessagesPerSecond: rate,
		BytesPerSecond:    rate * (size + frameOverheadBytes),
		CPUCores:          rate * es.fitAt(bench.CodecTime, size) * secondsPerNanosecond / 2,
	}
}

// RequestPath returns the cost of relaying requests, which is not part of the
// control-plane budget. Each chunk is received and sent.
func (es *Estimator) RequestPath() Cost {
	requests, tokens := es.size.RequestsPerSecond/es.size.Hosts, es.size.TokensPerSecond/es.size.Hosts
	chunkBytes := 180.0 // one token
	return Cost{
		MemoryBytes:       es.InFlight() * es.result.Fit(bench.StreamMemory).PerX,
		MessagesPerSecond: tokens + requests,
		BytesPerSecond:    2 * tokens * chunkBytes,
		CPUCores:          (requests*es.scalar(bench.RequestTime) + tokens*es.scalar(bench.ChunkTime)) * secondsPerNanosecond,
	}
}
