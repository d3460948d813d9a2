package capacity

import (
	"math"

	"github.com/mangopaddle/mangopaddle/bench"
	"github.com/mangopaddle/mangopaddle/loadwatch"
)

const (
	// The intervals of the packages follow and peer, in seconds.
	listInterval     = 1.8
	exchangeInterval = 3.0
	sheetInterval    = 0.1
	wholeInterval    = 0.2
	loadInterval     = 1.0 // of the package loadwatch
	// storePage is how many keys one answer of the store holds.
	storePage = 500.0
	// readingTime is how long a prompt waits and is read, so that its engine stands
	// on a load sheet: seconds at the median of the heaviest days.
	readingTime = 0.15
)

// Roles returns the roles of control, in the order of the page.
func (mo *Model) Roles() []Role {
	return []Role{
		mo.engineChoice(),
		mo.configuration(),
		mo.storeReader(),
		mo.exchange(),
		mo.loadSheets(),
		mo.wholeSheets(),
		mo.burn(),
		mo.publishedSet(),
		mo.loadReports(),
	}
}

func (mo *Model) engineChoice() Role {
	classes := mo.size.Organisations * classesPerOrg
	cost := Cost{
		MemoryBytes: mo.enginesOfDC()*mo.result.Slope(bench.SchedulerEngineMemory).PerX + classes*mo.result.Slope(bench.SchedulerClassMemory).PerX,
		CPUCores:    mo.size.RequestsPerSecond / mo.size.Hosts * max(0, mo.at(bench.DecisionTime, mo.enginesOfDC()/mo.size.Models)) * nanosecond,
	}
	return Role{
		Name:      "engine choice and admission",
		Platform:  AnyPlatform,
		Mechanism: "pure scheduler of the host; own count and load from answers' headers; no message",
		State:     "engines of the data centre, classes seen",
		Mean:      cost,
		Busiest:   cost,
	}
}

func (mo *Model) configuration() Role {
	apply := mo.at(bench.ConfigApplyTime, mo.size.Organisations) * nanosecond
	cost := Cost{
		MemoryBytes: mo.at(bench.ContractMemory, mo.size.Organisations),
		CPUCores:    mo.changesPerSecond() * apply,
	}
	return Role{
		Name:      "configuration in force",
		Platform:  AnyPlatform,
		Mechanism: "values decoded by their revision; one snapshot for each revision",
		State:     "contracts, fleet, raw values",
		Mean:      cost,
		Busiest:   cost,
	}
}

// storeReader is the first host of each data centre, which reads the store for the
// others.
func (mo *Model) storeReader() Role {
	pages := math.Ceil(mo.size.Engines / storePage)
	busiest := mo.message(2*pages/listInterval, mo.at(bench.ServerListSize, mo.size.Engines)/pages/2)
	busiest.MemoryBytes = mo.at(bench.GossipMessageSize, mo.size.Engines)
	mean := busiest.times(1 / mo.hostsOfDC())
	mean.MemoryBytes = busiest.MemoryBytes
	return Role{
		Name:      "list of backend servers",
		Platform:  UsersPlatform,
		Mechanism: "the first host of a data centre reads it whole each 1.8 s and holds a watch",
		State:     "the list",
		Mean:      mean,
		Busiest:   busiest,
	}
}

// exchange is how a host learns from another one, and hands on what is new.
func (mo *Model) exchange() Role {
	// A call and its answer, as the caller and as the called.
	cost := mo.message(4/exchangeInterval, mo.figure(bench.EmptyGossipMessageSize))
	changes := (mo.size.HostsLostPerDay + 3*mo.size.HostsReplacedPerDay) / secondsPerDay
	// A changed list is received once and handed on once in the mean.
	cost = cost.plus(mo.message(2*changes, mo.at(bench.GossipMessageSize, mo.size.Engines)))
	contracts := mo.size.Organisations*mo.figure(bench.ContractValueSize) + mo.size.Engines*mo.figure(bench.EngineValueSize)
	cost = cost.plus(mo.message(2*mo.changesPerSecond(), contracts))
	return Role{
		Name:      "exchange between hosts",
		Platform:  UsersPlatform,
		Mechanism: "a call to a random host each 3 s; a newer list or configuration is handed on whole",
		State:     "hosts heard of in 30 s",
		Mean:      cost,
		Busiest:   cost,
	}
}

// loadSheets are datagrams to the hosts of the data centre.
func (mo *Model) loadSheets() Role {
	loaded := min(mo.size.Engines, mo.size.RequestsPerSecond/mo.size.Hosts*readingTime)
	size := mo.at(bench.LoadUpdateSize, loaded)
	cost := mo.message(2*(mo.hostsOfDC()-1)/sheetInterval, size)
	cost.MemoryBytes = mo.hostsOfDC() * size
	return Role{
		Name:      "load sheets in the data centre",
		Platform:  UsersPlatform,
		Mechanism: "each host tells each other one what it has outstanding at engines, each 0.1 s",
		State:     "the newest sheet of each host",
		Mean:      cost,
		Busiest:   cost,
	}
}

// wholeSheets are datagrams with the sum of a data centre, to all others.
func (mo *Model) wholeSheets() Role {
	others := mo.size.DataCentres - 1
	loaded := min(mo.size.Engines, mo.size.RequestsPerSecond/mo.size.DataCentres*readingTime)
	size := mo.at(bench.LoadUpdateSize, loaded)
	// Received by each host, and passed on by the one that it came to.
	mean := mo.message(2*others/wholeInterval, size)
	mean.MemoryBytes = others * size
	busiest := mean.plus(mo.message(others/wholeInterval, size))
	return Role{
		Name:      "load sheets of other data centres",
		Platform:  UsersPlatform,
		Mechanism: "the first host of a data centre tells one host of each other one the sum, each 0.2 s, which passes it on",
		State:     "the newest sum of each data centre",
		Mean:      mean,
		Busiest:   busiest,
	}
}

func (mo *Model) burn() Role {
	classes := mo.size.Organisations * classesPerOrg
	scrape := mo.message(1/scrapeInterval, mo.figure(bench.MetricsExpositionSize))
	report := mo.message(1/reportInterval, mo.at(bench.OutcomesSize, classes))
	// The codec of these is HTTP's, and JSON's in the case of the report.
	cost := scrape.plus(report)
	cost.MemoryBytes = classes * mo.result.Slope(bench.MeterClassMemory).PerX
	return Role{
		Name:      "metrics and burn report",
		Platform:  AnyPlatform,
		Mechanism: "counts by class in the host; scraped every 15 s, whole outcomes read every 5 min",
		State:     "windows of each class",
		Mean:      cost,
		Busiest:   cost,
	}
}

// publishedSet is how the own interface learns of its configuration.
func (mo *Model) publishedSet() Role {
	size := mo.size.Organisations*mo.figure(bench.ContractValueSize) + mo.size.Engines*mo.figure(bench.EngineValueSize)
	cost := mo.message(2*mo.changesPerSecond(), size/2)
	cost.MemoryBytes = size
	return Role{
		Name:      "published set",
		Platform:  OwnPlatform,
		Mechanism: "each host holds a watch; a change brings the set whole",
		State:     "raw values",
		Mean:      cost,
		Busiest:   cost,
	}
}

// loadReports is how the own interface learns of the load of engines.
func (mo *Model) loadReports() Role {
	away := min(loadwatch.MaxRemoteReads, mo.size.Engines-mo.enginesOfDC())
	cost := mo.message((mo.enginesOfDC()+away)/loadInterval, mo.figure(bench.LoadReportSize))
	return Role{
		Name:      "load reports of engines",
		Platform:  OwnPlatform,
		Mechanism: "each host reads each engine of its data centre, and 32 others in turn, every second",
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

// StoreCalls is the calls at the store.
type StoreCalls struct {
	// SteadyPerSecond is calls per second, a waiting watch counted as one in every second.
	SteadyPerSecond float64
	// FullRestart is the burst of a start of all hosts at once: each reads the list
	// and the configuration.
	FullRestart float64
}

// StoreCalls returns the calls at the store.
func (mo *Model) StoreCalls() StoreCalls {
	pages := math.Ceil(mo.size.Engines / storePage)
	return StoreCalls{
		SteadyPerSecond: mo.size.DataCentres * (1 + pages/listInterval),
		FullRestart:     mo.size.Hosts * (pages + 1),
	}
}
