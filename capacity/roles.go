package capacity

import (
	"math"

	"github.com/mangopaddle/mangopaddle/bench"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/loadwatch"
	"github.com/mangopaddle/mangopaddle/peer"
)

const (
	listIntervalSeconds       = 1.8 // of package follow
	gossipIntervalSeconds     = 3.0 // this and the next one of package peer
	remoteUpdateRounds        = 2.0 // rounds of load updates between two to other data centres
	loadReportIntervalSeconds = 1.0 // of package loadwatch
	// storePageKeys is the maximum number of keys in one response of the store.
	storePageKeys = 500.0
	// prefillSeconds is how long a prompt is queued and prefilled, during which
	// its engine is listed in load updates: the median on the days with the
	// heaviest load. Engines that are listed only for their jitter-sensitive
	// streams are not counted.
	prefillSeconds = 0.15
)

// Roles returns the control-plane roles in the order of the page.
func (es *Estimator) Roles() []Role {
	return []Role{
		es.scheduling(),
		es.configuration(),
		es.storeReader(),
		es.gossip(),
		es.loadUpdates(),
		es.remoteLoadUpdates(),
		es.metrics(),
		es.publishedSet(),
		es.loadReports(),
	}
}

func (es *Estimator) scheduling() Role {
	classes := es.size.Organisations * classesPerOrganisation
	cost := Cost{
		MemoryBytes: es.enginesPerDC()*es.result.Fit(bench.SchedulerEngineMemory).PerX + classes*es.result.Fit(bench.SchedulerClassMemory).PerX,
		CPUCores:    es.size.RequestsPerSecond / es.size.Hosts * max(0, es.fitAt(bench.DecisionTime, es.enginesPerDC()/es.size.Models)) * secondsPerNanosecond,
	}
	return Role{
		Name:      "engine choice and admission",
		HostKind:  AnyHost,
		Mechanism: "the host's own scheduler, from its request counts and the load in the headers of engine responses; no messages",
		State:     "engines of the data centre, classes with requests",
		Mean:      cost,
		Busiest:   cost,
	}
}

func (es *Estimator) configuration() Role {
	applySeconds := es.fitAt(bench.ConfigApplyTime, es.size.Organisations) * secondsPerNanosecond
	cost := Cost{
		MemoryBytes: es.fitAt(bench.ContractMemory, es.size.Organisations),
		CPUCores:    es.changesPerSecond() * applySeconds,
	}
	return Role{
		Name:      "active configuration",
		HostKind:  AnyHost,
		Mechanism: "only values with a new revision are decoded; one snapshot for each revision",
		State:     "contracts, fleet, raw values",
		Mean:      cost,
		Busiest:   cost,
	}
}

// storeReaders returns the number of hosts that read the store on behalf of the others.
func (es *Estimator) storeReaders() float64 {
	if follow.SharesReads(es.size.MaxChangeDelay) {
		return 1
	}
	return es.size.DataCentres
}

// storeReader is the role of the host that reads the store on behalf of the others: one
// in each data centre, or one for all.
func (es *Estimator) storeReader() Role {
	pages := math.Ceil(es.size.Engines / storePageKeys)
	// The request for a page is nearly empty, so that the mean message of a call is
	// half of the page.
	busiest := es.messageCost(2*pages/listIntervalSeconds, es.fitAt(bench.ServerListSize, es.size.Engines)/pages/2)
	busiest.MemoryBytes = es.fitAt(bench.GossipMessageSize, es.size.Engines)
	mean := busiest.times(es.storeReaders() / es.size.Hosts)
	mean.MemoryBytes = busiest.MemoryBytes
	return Role{
		Name:      "list of backend servers",
		HostKind:  GatewayHost,
		Mechanism: "the first host of each data centre, or of all if changes have 8 s to take effect, reads the whole list every 1.8 s and keeps a watch open",
		State:     "the list",
		Mean:      mean,
		Busiest:   busiest,
	}
}

// gossip is the periodic exchange of state with another host, including the
// transfer of a newer list or configuration.
func (es *Estimator) gossip() Role {
	// Request and response, once as client and once as server.
	cost := es.messageCost(4/gossipIntervalSeconds, es.scalar(bench.EmptyGossipMessageSize))
	listChangesPerSecond := (es.size.HostsLostPerDay + 3*es.size.HostsReplacedPerDay) / secondsPerDay
	// On average each host receives a changed list once and sends it once.
	cost = cost.plus(es.messageCost(2*listChangesPerSecond, es.fitAt(bench.GossipMessageSize, es.size.Engines)))
	setBytes := es.size.Organisations*es.scalar(bench.ContractValueSize) + es.size.Engines*es.scalar(bench.EngineValueSize)
	cost = cost.plus(es.messageCost(2*es.changesPerSecond(), setBytes))
	return Role{
		Name:      "gossip between hosts",
		HostKind:  GatewayHost,
		Mechanism: "a call to a random host every 3 s; a newer list of servers is sent whole and compressed, a configuration compressed and by itself",
		State:     "the hosts seen in the last 30 s",
		Mean:      cost,
		Busiest:   cost,
	}
}

// loadUpdateInterval returns the interval between two load updates of a host, in seconds.
func (es *Estimator) loadUpdateInterval() float64 {
	return peer.UpdateInterval(int(es.hostsPerDC()) - 1).Seconds()
}

// loadUpdates is the exchange of load updates with the other hosts of the data centre.
func (es *Estimator) loadUpdates() Role {
	loadedEngines := min(es.size.Engines, es.size.RequestsPerSecond/es.size.Hosts*prefillSeconds)
	size := es.fitAt(bench.LoadUpdateSize, loadedEngines)
	cost := es.messageCost(2*(es.hostsPerDC()-1)/es.loadUpdateInterval(), size)
	cost.MemoryBytes = es.hostsPerDC() * size
	return Role{
		Name:      "load updates within a data centre",
		HostKind:  GatewayHost,
		Mechanism: "each host sends its outstanding load at each engine to all other hosts of its data centre, every 0.1 s, or every 5 ms for each of them if that is longer",
		State:     "the newest update of each host",
		Mean:      cost,
		Busiest:   cost,
	}
}

// remoteLoadUpdates is the exchange of load updates with the total load of a data
// centre, sent to all other data centres.
func (es *Estimator) remoteLoadUpdates() Role {
	others := es.size.DataCentres - 1
	loadedEngines := min(es.size.Engines, es.size.RequestsPerSecond/es.size.DataCentres*prefillSeconds)
	size := es.fitAt(bench.LoadUpdateSize, loadedEngines)
	// Each host receives every update; the first one to get it relays it.
	interval := remoteUpdateRounds * es.loadUpdateInterval()
	mean := es.messageCost(2*others/interval, size)
	mean.MemoryBytes = others * size
	busiest := mean.plus(es.messageCost(others/interval, size))
	return Role{
		Name:      "load updates between data centres",
		HostKind:  GatewayHost,
		Mechanism: "every second round of load updates the first host of each data centre sends the total load to one host of each other data centre, which relays it to the others there",
		State:     "the newest total of each other data centre",
		Mean:      mean,
		Busiest:   busiest,
	}
}

func (es *Estimator) metrics() Role {
	classes := es.size.Organisations * classesPerOrganisation
	scrape := es.messageCost(1/scrapeIntervalSeconds, es.scalar(bench.MetricsExpositionSize))
	report := es.messageCost(1/reportIntervalSeconds, es.fitAt(bench.OutcomesSize, classes))
	// The codec cost stands for HTTP, and for JSON in the case of the report.
	cost := scrape.plus(report)
	cost.MemoryBytes = classes * es.result.Fit(bench.MeterClassMemory).PerX
	return Role{
		Name:      "metrics and burn report",
		HostKind:  AnyHost,
		Mechanism: "each host counts outcomes by class; its metrics are scraped every 15 s, the outcomes of all classes are read every 5 min",
		State:     "time windows of each class",
		Mean:      cost,
		Busiest:   cost,
	}
}

// publishedSet is the role of receiving the published configuration set, in hosts
// for the router's own API. Package configwatch implements it.
func (es *Estimator) publishedSet() Role {
	size := es.size.Organisations*es.scalar(bench.ContractValueSize) + es.size.Engines*es.scalar(bench.EngineValueSize)
	cost := es.messageCost(2*es.changesPerSecond(), size/2)
	cost.MemoryBytes = size
	return Role{
		Name:      "published configuration set",
		HostKind:  OwnAPIHost,
		Mechanism: "each host keeps a watch open; after a change it receives the whole set",
		State:     "raw values",
		Mean:      cost,
		Busiest:   cost,
	}
}

// loadReports is the role of polling the engines' load reports, in hosts for the
// router's own API. Package loadwatch implements it.
func (es *Estimator) loadReports() Role {
	remotePolls := min(loadwatch.MaxRemotePolls, es.size.Engines-es.enginesPerDC())
	cost := es.messageCost((es.enginesPerDC()+remotePolls)/loadReportIntervalSeconds, es.scalar(bench.LoadReportSize))
	return Role{
		Name:      "load reports of engines",
		HostKind:  OwnAPIHost,
		Mechanism: "every second, each host polls all engines of its data centre and up to 32 of the others in rotation",
		State:     "none",
		Mean:      cost,
		Busiest:   cost,
	}
}

// GatewayTotal returns the sum of the roles of a gateway host.
func (es *Estimator) GatewayTotal() (mean, busiest Cost) {
	for _, ro := range es.Roles() {
		if ro.HostKind == OwnAPIHost {
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
func (es *Estimator) StoreCalls() StoreCalls {
	pages := math.Ceil(es.size.Engines / storePageKeys)
	return StoreCalls{
		SteadyPerSecond: es.storeReaders() * (1 + pages/listIntervalSeconds),
		FullRestart:     es.size.Hosts * (pages + 1),
	}
}
