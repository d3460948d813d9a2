package capacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/mangopaddle/mangopaddle/bench"
)

// Write writes the Markdown tables of the capacity page.
func (mo *Model) Write(out io.Writer, budget Budget) {
	mo.writeSize(out)
	mo.writeRoles(out, budget)
	mo.writeRequestPath(out)
	mo.writePlatform(out)
	mo.writeFailures(out)
	mo.writeSlopes(out)
}

func (mo *Model) writeSize(out io.Writer) {
	si := mo.size
	fmt.Fprintf(out, "### Size\n\n")
	writeRow(out, "quantity", "total", "for each host", "for each data centre")
	writeRow(out, "---", "---:", "---:", "---:")
	writeRow(out, "hosts", formatNumber(si.Hosts), "1", formatNumber(mo.hostsPerDC()))
	writeRow(out, "engines", formatNumber(si.Engines), formatNumber(si.Engines/si.Hosts), formatNumber(mo.enginesPerDC()))
	writeRow(out, "requests/s", formatNumber(si.RequestsPerSecond), formatNumber(si.RequestsPerSecond/si.Hosts), formatNumber(si.RequestsPerSecond/si.DataCentres))
	writeRow(out, "tokens/s", formatNumber(si.TokensPerSecond), formatNumber(si.TokensPerSecond/si.Hosts), formatNumber(si.TokensPerSecond/si.DataCentres))
	writeRow(out, "in flight at 54 ms a token", formatNumber(mo.InFlight()*si.Hosts), formatNumber(mo.InFlight()), formatNumber(mo.InFlight()*mo.hostsPerDC()))
	writeRow(out, "organisations; models", formatNumber(si.Organisations)+"; "+formatNumber(si.Models), "", "")
	fmt.Fprintln(out)
}

// writeRoles writes the cost of each role. Values over the budget are bold.
func (mo *Model) writeRoles(out io.Writer, budget Budget) {
	fmt.Fprintf(out, "### Control, for each host\n\n")
	writeRow(out, "role", "where", "memory", "messages/s", "bytes/s", "of a core", "busiest: memory", "bytes/s", "of a core")
	writeRow(out, "---", "---", "---:", "---:", "---:", "---:", "---:", "---:", "---:")
	for _, ro := range mo.Roles() {
		writeRow(out, append([]string{ro.Name, string(ro.Platform)}, costCells(ro.Mean, ro.Busiest, budget)...)...)
	}
	mean, busiest := mo.Total()
	writeRow(out, append([]string{"**sum on the users' platform**", ""}, costCells(mean, busiest, budget)...)...)
	writeRow(out, "budget", "", formatBytes(float64(budget.Memory)), "", formatBytes(budget.BytesPerSecond), formatPercent(budget.CPUCores), formatBytes(float64(budget.Memory)), formatBytes(budget.BytesPerSecond), formatPercent(budget.CPUCores))
	fmt.Fprintf(out, "\nBold figures are over the budget.\n\n")
	writeRow(out, "role", "state", "mechanism")
	writeRow(out, "---", "---", "---")
	for _, ro := range mo.Roles() {
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

func (mo *Model) writeRequestPath(out io.Writer) {
	co := mo.RequestPath()
	fmt.Fprintf(out, "### Request path, for each host (not control)\n\n")
	writeRow(out, "memory of open streams", "chunks and requests/s", "bytes/s", "cores")
	writeRow(out, "---:", "---:", "---:", "---:")
	writeRow(out, formatBytes(co.MemoryBytes), formatNumber(co.MessagesPerSecond), formatBytes(co.BytesPerSecond), fmt.Sprintf("%.2f", co.CPUCores))
	fmt.Fprintln(out)
}

// halfStoreLimitPerSecond is half of the store's limit on calls.
const halfStoreLimitPerSecond = 1000

func (mo *Model) writePlatform(out io.Writer) {
	sc := mo.StoreCalls()
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
func (mo *Model) writeFailures(out io.Writer) {
	si := mo.size
	perDC := mo.hostsPerDC()
	fmt.Fprintf(out, "### Failures\n\n")
	writeRow(out, "event", "how often", "requests in flight that callers lose", "part of a day's requests", "control messages", "recovery")
	writeRow(out, "---", "---", "---:", "---:", "---:", "---")
	writeRow(out, "a host crashes", formatNumber(si.HostsLostPerDay)+"/day", formatNumber(mo.InFlight()), mo.fractionOfDay(si.HostsLostPerDay*mo.InFlight()), formatNumber(perDC*2), "callers repeat at another host; no state to rebuild; other hosts drop it from their counts in 1.5 s")
	writeRow(out, "a host is replaced", formatNumber(si.HostsReplacedPerDay)+"/day", "0", "0", formatNumber(perDC*2), "lame duck, then every answer is finished")
	writeRow(out, "a rack or switch (10 hosts)", "weekly", formatNumber(10*mo.InFlight()), mo.fractionOfDay(10*mo.InFlight()), formatNumber(10*perDC*2), "as ten crashes; the other hosts of the data centre carry "+formatPercent(10/max(11, perDC))+" more")
	writeRow(out, "a data centre", "a few a year", formatNumber(perDC*mo.InFlight()), mo.fractionOfDay(perDC*mo.InFlight()), formatNumber(perDC*2), formatPercent(1/si.DataCentres)+" of the traffic; callers are led elsewhere by the balancer")
	writeRow(out, "a region is cut off for an hour", "now and then", "0 of its own callers", "0", "0", "each side serves its callers from its own engines and keeps its last configuration")
	fmt.Fprintln(out)
}

// fractionOfDay formats a number of requests as a percentage of a day's
// requests at the peak rate.
func (mo *Model) fractionOfDay(requests float64) string {
	return fmt.Sprintf("%.5f %%", 100*requests/(mo.size.RequestsPerSecond*secondsPerDay))
}

func (mo *Model) writeSlopes(out io.Writer) {
	fmt.Fprintf(out, "### Slopes\n\n")
	writeRow(out, "slope", "at zero", "per x", "x", "unit", "points", "measured to", "used at", "factor", "R²")
	writeRow(out, "---", "---:", "---:", "---", "---", "---:", "---:", "---:", "---:", "---:")
	for _, sl := range mo.result.Slopes {
		at := mo.evaluatedAt(sl.Name)
		writeRow(out, sl.Name, formatNumber(sl.Intercept), formatNumber(sl.PerX), sl.XUnit, sl.YUnit, formatNumber(float64(len(sl.Points))), formatNumber(sl.MaxX()), formatNumber(at), fmt.Sprintf("%.1f", at/sl.MaxX()), fmt.Sprintf("%.4f", sl.RSquared))
	}
	fmt.Fprintln(out)
	writeRow(out, "figure", "value", "unit")
	writeRow(out, "---", "---:", "---")
	for _, sc := range mo.result.Scalars {
		writeRow(out, sc.Name, formatNumber(sc.Value), sc.Unit)
	}
}

// evaluatedAt returns the X at which the model evaluates a slope.
func (mo *Model) evaluatedAt(name string) float64 {
	classes := mo.size.Organisations * classesPerOrganisation
	switch name {
	case bench.DecisionTime:
		return mo.enginesPerDC() / mo.size.Models
	case bench.SchedulerEngineMemory:
		return mo.enginesPerDC()
	case bench.SchedulerClassMemory, bench.MeterClassMemory, bench.OutcomesSize:
		return classes
	case bench.ContractMemory, bench.ConfigApplyTime:
		return mo.size.Organisations
	case bench.StreamMemory:
		return mo.InFlight()
	case bench.ServerListSize, bench.GossipMessageSize:
		return mo.size.Engines
	case bench.LoadUpdateSize:
		return min(mo.size.Engines, mo.size.RequestsPerSecond/mo.size.DataCentres*prefillSeconds)
	case bench.CodecTime:
		return mo.slopeAt(bench.LoadUpdateSize, mo.size.RequestsPerSecond/mo.size.Hosts*prefillSeconds)
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
