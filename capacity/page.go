package capacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/mangopaddle/mangopaddle/bench"
)

// Write writes the tables of docs/CAPACITY.md in Markdown. It ignores errors of out.
func (es *Estimator) Write(out io.Writer, budget Budget) {
	es.writeSize(out)
	es.writeRoles(out, budget)
	es.writeRequestPath(out)
	es.writeStoreCalls(out)
	es.writeFailures(out)
	es.writeFits(out)
}

func (es *Estimator) writeSize(out io.Writer) {
	si := es.size
	fmt.Fprintf(out, "### Size\n\n")
	writeRow(out, "quantity", "total", "for each host", "for each data centre")
	writeRow(out, "---", "---:", "---:", "---:")
	writeRow(out, "hosts", formatNumber(si.Hosts), "1", formatNumber(es.hostsPerDC()))
	writeRow(out, "engines", formatNumber(si.Engines), formatNumber(si.Engines/si.Hosts), formatNumber(es.enginesPerDC()))
	writeRow(out, "requests/s", formatNumber(si.RequestsPerSecond), formatNumber(si.RequestsPerSecond/si.Hosts), formatNumber(si.RequestsPerSecond/si.DataCentres))
	writeRow(out, "tokens/s", formatNumber(si.TokensPerSecond), formatNumber(si.TokensPerSecond/si.Hosts), formatNumber(si.TokensPerSecond/si.DataCentres))
	writeRow(out, "in flight at 54 ms a token", formatNumber(es.InFlight()*si.Hosts), formatNumber(es.InFlight()), formatNumber(es.InFlight()*es.hostsPerDC()))
	writeRow(out, "organisations; models", formatNumber(si.Organisations)+"; "+formatNumber(si.Models), "", "")
	fmt.Fprintln(out)
}

// writeRoles writes the cost of each role. Values over the budget are bold.
func (es *Estimator) writeRoles(out io.Writer, budget Budget) {
	fmt.Fprintf(out, "### Control, for each host\n\n")
	writeRow(out, "role", "where", "memory", "messages/s", "bytes/s", "of a core", "busiest: memory", "bytes/s", "of a core")
	writeRow(out, "---", "---", "---:", "---:", "---:", "---:", "---:", "---:", "---:")
	for _, ro := range es.Roles() {
		writeRow(out, append([]string{ro.Name, string(ro.HostKind)}, costCells(ro.Mean, ro.Busiest, budget)...)...)
	}
	mean, busiest := es.GatewayTotal()
	writeRow(out, append([]string{"**sum on the users' platform**", ""}, costCells(mean, busiest, budget)...)...)
	writeRow(out, "budget", "", formatBytes(float64(budget.Memory)), "", formatBytes(budget.BytesPerSecond), formatPercent(budget.CPUCores), formatBytes(float64(budget.Memory)), formatBytes(budget.BytesPerSecond), formatPercent(budget.CPUCores))
	fmt.Fprintf(out, "\nBold figures are over the budget.\n\n")
	writeRow(out, "role", "state", "mechanism")
	writeRow(out, "---", "---", "---")
	for _, ro := range es.Roles() {
		writeRow(out, ro.Name, ro.State, ro.Mechanism)
	}
	fmt.Fprintln(out)
}

func costCells(mean, busiest Cost, budget Budget) []string {
	return []string{
		boldIf(formatBytes(mean.MemoryBytes), mean.MemoryBytes > float64(budget.Memory)),
		formatNumber(mean.MessagesPerSecond),
		boldIf(formatBytes(mean.BytesPerSecond), mean.BytesPerSecond > budget.BytesPerSecond),
		boldIf(formatPercent(mean.CPUCores), mean.CPUCores > budget.CPUCores),
		boldIf(formatBytes(busiest.MemoryBytes), busiest.MemoryBytes > float64(budget.Memory)),
		boldIf(formatBytes(busiest.BytesPerSecond), busiest.BytesPerSecond > budget.BytesPerSecond),
		boldIf(formatPercent(busiest.CPUCores), busiest.CPUCores > budget.CPUCores),
	}
}

func (es *Estimator) writeRequestPath(out io.Writer) {
	co := es.RequestPath()
	fmt.Fprintf(out, "### Request path, for each host (not control)\n\n")
	writeRow(out, "memory of open streams", "chunks and requests/s", "bytes/s", "cores")
	writeRow(out, "---:", "---:", "---:", "---:")
	writeRow(out, formatBytes(co.MemoryBytes), formatNumber(co.MessagesPerSecond), formatBytes(co.BytesPerSecond), fmt.Sprintf("%.2f", co.CPUCores))
	fmt.Fprintln(out)
}

// halfStoreLimitPerSecond is half of the store's limit on calls.
const halfStoreLimitPerSecond = 1000

func (es *Estimator) writeStoreCalls(out io.Writer) {
	sc := es.StoreCalls()
	fmt.Fprintf(out, "### Calls at the store (limit 2,000/s, a waiting watch counts as one)\n\n")
	writeRow(out, "", "calls")
	writeRow(out, "---", "---:")
	writeRow(out, "steady, each second", formatNumber(sc.SteadyPerSecond))
	writeRow(out, "all hosts restart", formatNumber(sc.FullRestart))
	writeRow(out, "at half of the limit these take", fmt.Sprintf("%.0f s", sc.FullRestart/halfStoreLimitPerSecond))
	fmt.Fprintln(out)
}

// writeFailures writes the cost of the failures that a deployment has in normal
// operation.
func (es *Estimator) writeFailures(out io.Writer) {
	si := es.size
	perDC := es.hostsPerDC()
	fmt.Fprintf(out, "### Failures\n\n")
	writeRow(out, "event", "how often", "requests in flight that callers lose", "part of a day's requests", "control messages", "recovery")
	writeRow(out, "---", "---", "---:", "---:", "---:", "---")
	writeRow(out, "a host crashes", formatNumber(si.HostsLostPerDay)+"/day", formatNumber(es.InFlight()), es.fractionOfDay(si.HostsLostPerDay*es.InFlight()), formatNumber(perDC*2), "callers retry on another host; there is no state to rebuild; the other hosts stop counting it as live after 1.5 s")
	writeRow(out, "a host is replaced", formatNumber(si.HostsReplacedPerDay)+"/day", "0", "0", formatNumber(perDC*2), "it keeps accepting requests until the load balancer has removed it, then finishes those in flight")
	writeRow(out, "a rack or switch (10 hosts)", "weekly", formatNumber(10*es.InFlight()), es.fractionOfDay(10*es.InFlight()), formatNumber(10*perDC*2), "as for ten crashes; the other hosts of the data centre take "+formatPercent(10/max(11, perDC))+" more traffic")
	writeRow(out, "a data centre", "a few times a year", formatNumber(perDC*es.InFlight()), es.fractionOfDay(perDC*es.InFlight()), formatNumber(perDC*2), formatPercent(1/si.DataCentres)+" of the traffic; the load balancer sends callers to the other data centres")
	writeRow(out, "a region is cut off for an hour", "occasionally", "0 from its own callers", "0", "0", "each side serves its own callers with its own engines and keeps its last configuration")
	fmt.Fprintln(out)
}

// fractionOfDay formats a number of requests as a percentage of a day's
// requests at the peak rate.
func (es *Estimator) fractionOfDay(requests float64) string {
	return fmt.Sprintf("%.5f %%", 100*requests/(es.size.RequestsPerSecond*secondsPerDay))
}

func (es *Estimator) writeFits(out io.Writer) {
	fmt.Fprintf(out, "### Slopes\n\n")
	writeRow(out, "slope", "at zero", "per x", "x", "unit", "points", "measured to", "used at", "factor", "R²")
	writeRow(out, "---", "---:", "---:", "---", "---", "---:", "---:", "---:", "---:", "---:")
	for _, lf := range es.result.Fits {
		at := es.evaluatedAt(lf.Name)
		writeRow(out, lf.Name, formatNumber(lf.Intercept), formatNumber(lf.PerX), lf.XUnit, lf.YUnit, formatNumber(float64(len(lf.Points))), formatNumber(lf.MaxX()), formatNumber(at), fmt.Sprintf("%.1f", at/lf.MaxX()), fmt.Sprintf("%.4f", lf.RSquared))
	}
	fmt.Fprintln(out)
	writeRow(out, "figure", "value", "unit")
	writeRow(out, "---", "---:", "---")
	for _, sc := range es.result.Scalars {
		writeRow(out, sc.Name, formatNumber(sc.Value), sc.Unit)
	}
}

// evaluatedAt returns the X at which the estimator evaluates a fit.
func (es *Estimator) evaluatedAt(name string) float64 {
	classes := es.size.Organisations * classesPerOrganisation
	switch name {
	case bench.DecisionTime:
		return es.enginesPerDC() / es.size.Models
	case bench.SchedulerEngineMemory:
		return es.enginesPerDC()
	case bench.SchedulerClassMemory, bench.MeterClassMemory, bench.OutcomesSize:
		return classes
	case bench.ContractMemory, bench.ConfigApplyTime:
		return es.size.Organisations
	case bench.StreamMemory:
		return es.InFlight()
	case bench.ServerListSize, bench.GossipMessageSize:
		return es.size.Engines
	case bench.LoadUpdateSize:
		return min(es.size.Engines, es.size.RequestsPerSecond/es.size.DataCentres*prefillSeconds)
	case bench.CodecTime:
		return es.fitAt(bench.LoadUpdateSize, es.size.RequestsPerSecond/es.size.Hosts*prefillSeconds)
	default:
		return 1
	}
}

func writeRow(out io.Writer, cells ...string) {
	fmt.Fprintf(out, "| %s |\n", strings.Join(cells, " | "))
}

func boldIf(text string, bold bool) string {
	if bold {
		return "**" + text + "**"
	}
	return text
}

func formatNumber(value float64) string {
	switch {
	case value != 0 && value < 10 && value > -10:
		return fmt.Sprintf("%.3g", value)
	default:
		return groupThousands(fmt.Sprintf("%.0f", value))
	}
}

// groupThousands inserts commas between thousands.
func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for ix := len(digits) - 3; ix > 0; ix -= 3 {
		digits = digits[:ix] + "," + digits[ix:]
	}
	return sign + digits
}

func formatPercent(fraction float64) string {
	return fmt.Sprintf("%.2f %%", 100*fraction)
}

func formatBytes(value float64) string {
	units := []string{"B", "KB", "MB", "GB"}
	unit := 0
	for value >= 1024 && unit < len(units)-1 {
		value /= 1024
		unit++
	}
	return fmt.Sprintf("%.3g %s", value, units[unit])
}
