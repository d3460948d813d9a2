// Package capacity works out what each role of a host costs at a given size of
// the deployment, from measured slopes.
package capacity

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/bench"
	"github.com/mangopaddle/mangopaddle/loadwatch"
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

// Role is one of the duties of a host.
type Role struct {
	Name string
	// Built says whether the mechanism exists or its messages were only
	// encoded and counted.
	Built bool
	// Replaced says that planned roles take the place of this one.
	Replaced bool
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
	secondsPerDay   = 24 * 60 * 60
	nanosecond      = 1e-9 // seconds
	classesPerOrg   = float64(mp.TierCount)
	frameOverhead   = 66.0 // bytes of TCP, IP and Ethernet for a message
	probesPerSecond = 1.0
	useInterval     = 2.0 // seconds
	watchersPerDC   = 3.0
	loadInterval    = 1.0 // seconds
	ledgerRetention = 3600.0
	ledgerEntry     = 600.0 // bytes
	aggregateEntry  = 24.0  // bytes
	scrapeInterval  = 15.0  // seconds
	reportInterval  = 300.0 // seconds
	listInterval    = 1.0   // seconds
	tokenGap        = 54 * time.Millisecond
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

// activeClasses returns how many classes a host sees in an interval: at most
// one for each request.
func (mo *Model) activeClasses(interval float64) float64 {
	return min(mo.size.Requests/mo.size.Hosts*interval, mo.size.Organisations*classesPerOrg)
}

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

// Roles returns the roles of control, in the order of the page.
func (mo *Model) Roles() []Role {
	return []Role{
		mo.engineChoice(),
		mo.configuration(),
		mo.machineList(),
		mo.loadReports(),
		mo.membership(),
		mo.watcher(),
		mo.relay(),
		mo.aggregator(),
		mo.ledger(),
		mo.engineWatcher(),
		mo.burn(),
	}
}

func (mo *Model) engineChoice() Role {
	classes := mo.size.Organisations * classesPerOrg
	cost := Cost{
		Memory:    mo.enginesOfDC()*mo.result.Slope(bench.EngineMemory).PerX + classes*mo.result.Slope(bench.ScheduleOrgMemory).PerX,
		Processor: mo.size.Requests / mo.size.Hosts * max(0, mo.at(bench.DecisionTime, mo.enginesOfDC()/mo.size.Models)) * nanosecond,
	}
	return Role{
		Name:      "engine choice and admission",
		Built:     true,
		Mechanism: "pure scheduler of the host; own count and load from answers' headers; no message",
		State:     "engines of the data centre, classes seen",
		Mean:      cost,
		Busiest:   cost,
	}
}

func (mo *Model) configuration() Role {
	apply := mo.at(bench.ApplyTime, mo.size.Organisations) * nanosecond
	cost := Cost{
		Memory:    mo.at(bench.ContractMemory, mo.size.Organisations),
		Processor: mo.changesPerSecond() * apply,
	}
	return Role{
		Name:      "configuration in force",
		Built:     true,
		Mechanism: "values decoded by their revision; one snapshot for each revision",
		State:     "contracts, fleet, raw values",
		Mean:      cost,
		Busiest:   cost,
	}
}

// machineList is how hosts learn of live and leaving machines today.
func (mo *Model) machineList() Role {
	size := mo.at(bench.ListSizeByHost, mo.size.Hosts) + mo.result.Slope(bench.ListSizeByServer).PerX*mo.size.Engines
	watch := mo.message(2*mo.changesPerSecond(), mo.figure(bench.ChangeSize))
	value := mo.message(2*mo.changesPerSecond(), mo.figure(bench.ValueSize))
	list := mo.message(1/listInterval, size)
	cost := list.plus(watch).plus(value)
	cost.Memory = size * 2
	return Role{
		Name:      "platform read by every host",
		Built:     true,
		Mechanism: "each host watches the configuration and reads the whole list every second; to be replaced by the three roles that follow",
		State:     "list of machines",
		Replaced:  true,
		Mean:      cost,
		Busiest:   cost,
	}
}

// loadReports is how hosts learn of the load of engines today.
func (mo *Model) loadReports() Role {
	away := min(loadwatch.AwayReads, mo.size.Engines-mo.enginesOfDC())
	cost := mo.message((mo.enginesOfDC()+away)/loadInterval, mo.figure(bench.LoadReportSize))
	return Role{
		Name:      "load reports read by every host",
		Built:     true,
		Mechanism: "each host reads each engine of its data centre, and 32 others in turn, every second; to be replaced by the engine watcher's digest",
		State:     "none of its own",
		Replaced:  true,
		Mean:      cost,
		Busiest:   cost,
	}
}

func (mo *Model) membership() Role {
	changes := 3 * (mo.size.Lost + mo.size.Replaced) / secondsPerDay / mo.size.DataCentres
	updates := min(10, changes*10)
	// A probe and its answer, each as the prober and as the probed.
	cost := mo.message(4*probesPerSecond, mo.at(bench.ProbeSize, updates))
	cost.Memory = mo.hostsOfDC() * 1024
	return Role{
		Name:      "membership",
		Mechanism: "probes inside a data centre, changes carried on them",
		State:     "hosts of the data centre",
		Mean:      cost,
		Busiest:   cost,
	}
}

func (mo *Model) watcher() Role {
	changes := mo.changesPerSecond()
	listChange := mo.message((mo.size.Lost+3*mo.size.Replaced)/secondsPerDay, 150)
	busiest := mo.message(2*changes, mo.figure(bench.ChangeSize)).
		plus(mo.message(2*changes, mo.figure(bench.ValueSize))).
		plus(listChange)
	return Role{
		Name:      "configuration watcher",
		Mechanism: "three hosts of a data centre, by rendezvous; lists as changes",
		State:     "none of its own",
		Mean:      busiest.times(min(1, watchersPerDC/mo.hostsOfDC())),
		Busiest:   busiest,
	}
}

func (mo *Model) relay() Role {
	changes := mo.changesPerSecond()
	one := mo.message(changes, mo.figure(bench.ConfigChangeSize))
	fanOut := max(1, mo.hostsOfDC()/watchersPerDC)
	return Role{
		Name:      "configuration relay",
		Mechanism: "watchers push changed values to the hosts of the data centre",
		State:     "none of its own",
		Mean:      one.times(2),
		Busiest:   one.times(fanOut),
	}
}

func (mo *Model) aggregator() Role {
	classes := mo.activeClasses(useInterval)
	aggregators := min(mo.hostsOfDC()-1, classes)
	if aggregators <= 0 {
		return Role{Name: "limit aggregator", Mechanism: "one host: nothing to add up"}
	}
	each := classes / aggregators
	use := mo.message(aggregators/useInterval, mo.at(bench.UseSize, each))
	fraction := mo.message(aggregators/useInterval, mo.at(bench.FractionSize, each))
	// Sent as a reporter, and received as an aggregator.
	cost := use.plus(fraction).times(2)
	// The aggregators of a data centre share the classes; each keeps an entry
	// for every host.
	cost.Memory = mo.size.Organisations * classesPerOrg * aggregateEntry
	busiest := cost.plus(mo.message(2*mo.hostsOfDC()/useInterval, mo.at(bench.UseSize, classesPerOrg)))
	busiest.Memory = cost.Memory
	return Role{
		Name:      "limit aggregator",
		Mechanism: "each host reports every 2 s to the aggregator of each active organisation; to be made sparse: a class reports only when its use comes near its host's floor",
		State:     "last use by host and class",
		Mean:      cost,
		Busiest:   busiest,
	}
}

func (mo *Model) ledger() Role {
	calls := mo.size.Requests / mo.size.Hosts * mo.size.Calls
	// Owner and successor; placed and settled; a message and its answer; sent
	// and received.
	cost := mo.message(8*calls, mo.figure(bench.PlaceSize)).plus(mo.message(8*calls, mo.figure(bench.SettleSize))).times(0.5)
	cost.Memory = 2 * calls * ledgerRetention * ledgerEntry
	return Role{
		Name:      "ledger owner",
		Mechanism: "owner and successor by rendezvous in the key's home data centre, in memory for an hour",
		State:     "calls of an hour, twice",
		Mean:      cost,
		Busiest:   cost.times(2),
	}
}

func (mo *Model) engineWatcher() Role {
	engines := mo.size.Engines / mo.size.Hosts
	events := mo.size.Requests / mo.size.Engines * loadInterval
	watch := mo.message(engines/loadInterval, mo.at(bench.EngineStateSize, events))
	cost := watch.times(2)
	cost.Memory = mo.enginesOfDC() * 512
	return Role{
		Name:      "engine watcher and order giver",
		Mechanism: "each engine watched by one host; load travels on answers' headers, cache events to be sampled by length",
		State:     "digest of each engine",
		Mean:      cost,
		Busiest:   cost.times(3),
	}
}

func (mo *Model) burn() Role {
	classes := mo.size.Organisations * classesPerOrg
	scrape := mo.message(1/scrapeInterval, mo.figure(bench.ExpositionSize))
	report := mo.message(1/reportInterval, mo.at(bench.OutcomesSize, classes))
	// The codec of these is HTTP's, and JSON's in the case of the report.
	cost := scrape.plus(report)
	cost.Memory = classes * mo.result.Slope(bench.MeterMemory).PerX
	return Role{
		Name:      "metrics and burn report",
		Built:     true,
		Mechanism: "counts by class in the host; scraped every 15 s, whole outcomes read every 5 min",
		State:     "windows of each class",
		Mean:      cost,
		Busiest:   cost,
	}
}

// Planned returns the sum of the roles, without the reads that every host makes
// today and the planned roles replace.
func (mo *Model) Planned() (mean, busiest Cost) {
	for _, ro := range mo.Roles() {
		if ro.Replaced {
			continue
		}
		mean, busiest = mean.plus(ro.Mean), busiest.plus(ro.Busiest)
	}
	return mean, busiest
}

// Built returns the sum of the roles that exist.
func (mo *Model) Built() Cost {
	var total Cost
	for _, ro := range mo.Roles() {
		if ro.Built {
			total = total.plus(ro.Mean)
		}
	}
	return total
}

// PlatformCalls is the calls per second at the platform, a waiting watch counted
// as one in every second.
type PlatformCalls struct {
	Today   float64
	Planned float64
	// Restart is the burst of a start of all hosts at once: each host reads
	// the changes and every value.
	Restart float64
	// PlannedRestart is the same when only watchers read.
	PlannedRestart float64
}

// PlatformCalls returns the calls at the platform.
func (mo *Model) PlatformCalls() PlatformCalls {
	reads := 2 * mo.changesPerSecond()
	watchers := min(mo.size.Hosts, watchersPerDC*mo.size.DataCentres)
	values := mo.size.Organisations + 2
	return PlatformCalls{
		Today:          mo.size.Hosts * (1 + 1/listInterval + reads),
		Planned:        watchers * (2 + reads),
		Restart:        mo.size.Hosts * values,
		PlannedRestart: watchers * values,
	}
}
