package capacity

import (
	"math"

	"github.com/mangopaddle/mangopaddle/bench"
	"github.com/mangopaddle/mangopaddle/loadwatch"
)

const (
	// Intervals of the packages follow and peer.
	listIntervalSeconds         = 1.8
	gossipIntervalSeconds       = 3.0
	loadUpdateIntervalSeconds   = 0.1
	remoteUpdateIntervalSeconds = 0.2
	loadReportIntervalSeconds   = 1.0 // of package loadwatch
	// storePageKeys is the maximum number of keys in one response of the store.
	storePageKeys = 500.0
	// prefillSeconds is how long a prompt is queued and prefilled, during which
	// its engine is listed in load updates: the median on the days with the
	// heaviest load. Engines that are listed only for their jitter-sensitive
	// streams are not counted.
	prefillSeconds = 0.15
)

// Roles returns the control-plane roles in the order of the page.
func (mo *Model) Roles() []Role {
	return []Role{
		mo.scheduling(),
		mo.configuration(),
		mo.storeReader(),
		mo.gossip(),
		mo.loadUpdates(),
		mo.remoteLoadUpdates(),
		mo.metrics(),
		mo.publishedSet(),
		mo.loadReports(),
	}
}

func (mo *Model) scheduling() Role {
	classes := mo.size.Organisations * classesPerOrganisation
	cost := Cost{
		MemoryBytes: mo.enginesPerDC()*mo.result.Slope(bench.SchedulerEngineMemory).PerX + classes*mo.result.Slope(bench.SchedulerClassMemory).PerX,
		CPUCores:    mo.size.RequestsPerSecond / mo.size.Hosts * max(0, mo.slopeAt(bench.DecisionTime, mo.enginesPerDC()/mo.size.Models)) * secondsPerNanosecond,
	}
	return Role{
		Name:      "engine choice and admission",
		Platform:  AnyPlatform,
		Mechanism: "the host's own scheduler; its request counts and the load in the headers of engine responses; no messages",
		State:     "engines of the data centre, classes seen",
		Mean:      cost,
		Busiest:   cost,
	}
}

func (mo *Model) configuration() Role {
	applySeconds := mo.slopeAt(bench.ConfigApplyTime, mo.size.Organisations) * secondsPerNanosecond
	cost := Cost{
		MemoryBytes: mo.slopeAt(bench.ContractMemory, mo.size.Organisations),
		CPUCores:    mo.changesPerSecond() * applySeconds,
	}
	return Role{
		Name:      "active configuration",
		Platform:  AnyPlatform,
		Mechanism: "only values with a new revision are decoded; one snapshot for each revision",
		State:     "contracts, fleet, raw values",
		Mean:      cost,
		Busiest:   cost,
	}
}

// storeReader is the role of the first host of each data centre, which reads
// the store on behalf of the others.
func (mo *Model) storeReader() Role {
	pages := math.Ceil(mo.size.Engines / storePageKeys)
	// The request for a page is nearly empty, so that the mean message of a call is
	// half of the page.
	busiest := mo.messageCost(2*pages/listIntervalSeconds, mo.slopeAt(bench.ServerListSize, mo.size.Engines)/pages/2)
	busiest.MemoryBytes = mo.slopeAt(bench.GossipMessageSize, mo.size.Engines)
	mean := busiest.times(1 / mo.hostsPerDC())
	mean.MemoryBytes = busiest.MemoryBytes
	return Role{
		Name:      "list of backend servers",
		Platform:  UsersPlatform,
		Mechanism: "the first host of each data centre reads the whole list every 1.8 s and keeps a watch open",
		State:     "the list",
		Mean:      mean,
		Busiest:   busiest,
	}
}

// gossip is the periodic exchange of state with another host, including the
// transfer of a newer list or configuration.
func (mo *Model) gossip() Role {
	// Request and response, once as client and once as server.
	cost := mo.messageCost(4/gossipIntervalSeconds, mo.scalar(bench.EmptyGossipMessageSize))
	listChangesPerSecond := (mo.size.HostsLostPerDay + 3*mo.size.HostsReplacedPerDay) / secondsPerDay
	// On average each host receives a changed list once and sends it once.
	cost = cost.plus(mo.messageCost(2*listChangesPerSecond, mo.slopeAt(bench.GossipMessageSize, mo.size.Engines)))
	setBytes := mo.size.Organisations*mo.scalar(bench.ContractValueSize) + mo.size.Engines*mo.scalar(bench.EngineValueSize)
	cost = cost.plus(mo.messageCost(2*mo.changesPerSecond(), setBytes))
	return Role{
		Name:      "gossip between hosts",
		Platform:  UsersPlatform,
		Mechanism: "a call to a random host every 3 s; a newer list or configuration is sent whole",
		State:     "hosts heard of in the last 30 s",
		Mean:      cost,
		Busiest:   cost,
	}
}

// loadUpdates is the exchange of load updates with the hosts of the data centre.
func (mo *Model) loadUpdates() Role {
	loadedEngines := min(mo.size.Engines, mo.size.RequestsPerSecond/mo.size.Hosts*prefillSeconds)
	size := mo.slopeAt(bench.LoadUpdateSize, loadedEngines)
	cost := mo.messageCost(2*(mo.hostsPerDC()-1)/loadUpdateIntervalSeconds, size)
	cost.MemoryBytes = mo.hostsPerDC() * size
	return Role{
		Name:      "load updates within a data centre",
		Platform:  UsersPlatform,
		Mechanism: "each host sends its outstanding load at each engine to all other hosts of its data centre, every 0.1 s",
		State:     "the newest update of each host",
		Mean:      cost,
		Busiest:   cost,
	}
}

// remoteLoadUpdates is the exchange of load updates with the total load of a data
// centre, sent to all other data centres.
func (mo *Model) remoteLoadUpdates() Role {
	others := mo.size.DataCentres - 1
	loadedEngines := min(mo.size.Engines, mo.size.RequestsPerSecond/mo.size.DataCentres*prefillSeconds)
	size := mo.slopeAt(bench.LoadUpdateSize, loadedEngines)
	// Each host receives every update; the first one to get it relays it.
	mean := mo.messageCost(2*others/remoteUpdateIntervalSeconds, size)
	mean.MemoryBytes = others * size
	busiest := mean.plus(mo.messageCost(others/remoteUpdateIntervalSeconds, size))
	return Role{
		Name:      "load updates between data centres",
		Platform:  UsersPlatform,
		Mechanism: "every 0.2 s the first host of each data centre sends the total load to one host of each other data centre, which relays it to the others there",
		State:     "the newest total of each other data centre",
		Mean:      mean,
		Busiest:   busiest,
	}
}

func (mo *Model) metrics() Role {
	classes := mo.size.Organisations * classesPerOrganisation
	scrape := mo.messageCost(1/scrapeIntervalSeconds, mo.scalar(bench.MetricsExpositionSize))
	report := mo.messageCost(1/reportIntervalSeconds, mo.slopeAt(bench.OutcomesSize, classes))
	// The codec cost stands for HTTP, and for JSON in the case of the report.
	cost := scrape.plus(report)
	cost.MemoryBytes = classes * mo.result.Slope(bench.MeterClassMemory).PerX
	return Role{
		Name:      "metrics and burn report",
		Platform:  AnyPlatform,
		Mechanism: "counts by class in each host; metrics scraped every 15 s, outcomes of all classes read every 5 min",
		State:     "time windows of each class",
		Mean:      cost,
		Busiest:   cost,
	}
}

// publishedSet is how hosts receive their configuration over the router's own
// platform interface.
func (mo *Model) publishedSet() Role {
	size := mo.size.Organisations*mo.scalar(bench.ContractValueSize) + mo.size.Engines*mo.scalar(bench.EngineValueSize)
	cost := mo.messageCost(2*mo.changesPerSecond(), size/2)
	cost.MemoryBytes = size
	return Role{
		Name:      "published set",
		Platform:  OwnPlatform,
		Mechanism: "each host keeps a watch open; a change sends the whole set",
		State:     "raw values",
		Mean:      cost,
		Busiest:   cost,
	}
}

// loadReports is how hosts read the engines' load over the router's own
// platform interface.
func (mo *Model) loadReports() Role {
	remoteReads := min(loadwatch.MaxRemotePolls, mo.size.Engines-mo.enginesPerDC())
	cost := mo.messageCost((mo.enginesPerDC()+remoteReads)/loadReportIntervalSeconds, mo.scalar(bench.LoadReportSize))
	return Role{
		Name:      "load reports of engines",
		Platform:  OwnPlatform,
		Mechanism: "each host polls all engines of its data centre, and 32 others in turn, every second",
		State:     "none of its own",
		Mean:      cost,
		Busiest:   cost,
	}
}

// Total returns the sum of the roles on the users' platform.
func (mo *Model) Total() (mean, busiest Cost) {
	for _, ro := range mo.Roles() {
		if ro.Platform == OwnPlatform {
			continue
		}
		mean, busiest = mean.plus(ro.Mean), busiest.plus(ro.Busiest)
	}
	return mean, busiest
}

// StoreCalls is the load on the store, in calls.
type StoreCalls struct {
	// SteadyPerSecond is the steady rate. A pending watch counts as one call in
	// each second.
	SteadyPerSecond float64
	// FullRestart is the burst when all hosts start at once and each reads the
	// list and the configuration.
	FullRestart float64
}

// StoreCalls returns the load on the store.
func (mo *Model) StoreCalls() StoreCalls {
	pages := math.Ceil(mo.size.Engines / storePageKeys)
	return StoreCalls{
		SteadyPerSecond: mo.size.DataCentres * (1 + pages/listIntervalSeconds),
		FullRestart:     mo.size.Hosts * (pages + 1),
	}
}
