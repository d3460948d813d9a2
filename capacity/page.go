package capacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/mangopaddle/mangopaddle/bench"
)

// Write prints the tables of the capacity page in Markdown.
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
	writeRow(out, "hosts", number(si.Hosts), "1", number(mo.hostsOfDC()))
	writeRow(out, "engines", number(si.Engines), number(si.Engines/si.Hosts), number(mo.enginesOfDC()))
	writeRow(out, "requests/s", number(si.RequestsPerSecond), number(si.RequestsPerSecond/si.Hosts), number(si.RequestsPerSecond/si.DataCentres))
	writeRow(out, "tokens/s", number(si.TokensPerSecond), number(si.TokensPerSecond/si.Hosts), number(si.TokensPerSecond/si.DataCentres))
	writeRow(out, "in flight at 54 ms a token", number(mo.InFlight()*si.Hosts), number(mo.InFlight()), number(mo.InFlight()*mo.hostsOfDC()))
	writeRow(out, "organisations; models", number(si.Organisations)+"; "+number(si.Models), "", "")
	fmt.Fprintln(out)
}

// writeRoles prints what each role costs a host. What is over the budget is
// set in bold.
func (mo *Model) writeRoles(out io.Writer, budget Budget) {
	fmt.Fprintf(out, "### Control, for each host\n\n")
	writeRow(out, "role", "where", "memory", "messages/s", "bytes/s", "of a core", "busiest: memory", "bytes/s", "of a core")
	writeRow(out, "---", "---", "---:", "---:", "---:", "---:", "---:", "---:", "---:")
	for _, ro := range mo.Roles() {
		writeRow(out, append([]string{ro.Name, string(ro.Platform)}, costCells(ro.Mean, ro.Busiest, budget)...)...)
	}
	mean, busiest := mo.Total()
	writeRow(out, append([]string{"**sum on the users' platform**", ""}, costCells(mean, busiest, budget)...)...)
	writeRow(out, "budget", "", bytesText(float64(budget.Memory)), "", bytesText(budget.BytesPerSecond), percent(budget.CPUCores), bytesText(float64(budget.Memory)), bytesText(budget.BytesPerSecond), percent(budget.CPUCores))
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
		over(bytesText(mean.MemoryBytes), mean.MemoryBytes > float64(budget.Memory)),
		number(mean.MessagesPerSecond),
		over(bytesText(mean.BytesPerSecond), mean.BytesPerSecond > budget.BytesPerSecond),
		over(percent(mean.CPUCores), mean.CPUCores > budget.CPUCores),
		over(bytesText(busiest.MemoryBytes), busiest.MemoryBytes > float64(budget.Memory)),
		over(bytesText(busiest.BytesPerSecond), busiest.BytesPerSecond > budget.BytesPerSecond),
		over(percent(busiest.CPUCores), busiest.CPUCores > budget.CPUCores),
	}
}

func (mo *Model) writeRequestPath(out io.Writer) {
	co := mo.RequestPath()
	fmt.Fprintf(out, "### Request path, for each host (not control)\n\n")
	writeRow(out, "memory of open streams", "chunks and requests/s", "bytes/s", "cores")
	writeRow(out, "---:", "---:", "---:", "---:")
	writeRow(out, bytesText(co.MemoryBytes), number(co.MessagesPerSecond), bytesText(co.BytesPerSecond), fmt.Sprintf("%.2f", co.CPUCores))
	fmt.Fprintln(out)
}

// storeHalfLimit is half of the calls that the store takes in a second.
const storeHalfLimit = 1000

func (mo *Model) writePlatform(out io.Writer) {
	sc := mo.StoreCalls()
	fmt.Fprintf(out, "### Calls at the store (limit 2,000/s, a waiting watch counts as one)\n\n")
	writeRow(out, "", "calls")
	writeRow(out, "---", "---:")
	writeRow(out, "steady, each second", number(sc.SteadyPerSecond))
	writeRow(out, "all hosts restart", number(sc.FullRestart))
	writeRow(out, "at half of the limit these take", fmt.Sprintf("%.0f s", sc.FullRestart/storeHalfLimit))
	fmt.Fprintln(out)
}

// writeFailures prints what the failures of an ordinary day cost.
func (mo *Model) writeFailures(out io.Writer) {
	si := mo.size
	perDC := mo.hostsOfDC()
	fmt.Fprintf(out, "### Failures\n\n")
	writeRow(out, "event", "how often", "requests in flight that callers lose", "part of a day's requests", "control messages", "recovery")
	writeRow(out, "---", "---", "---:", "---:", "---:", "---")
	writeRow(out, "a host crashes", number(si.HostsLostPerDay)+"/day", number(mo.InFlight()), mo.partOfDay(si.HostsLostPerDay*mo.InFlight()), number(perDC*2), "callers repeat at another host; no state to rebuild; other hosts drop it from their counts in 1.5 s")
	writeRow(out, "a host is replaced", number(si.HostsReplacedPerDay)+"/day", "0", "0", number(perDC*2), "lame duck, then every answer is finished")
	writeRow(out, "a rack or switch (10 hosts)", "weekly", number(10*mo.InFlight()), mo.partOfDay(10*mo.InFlight()), number(10*perDC*2), "as ten crashes; the other hosts of the data centre carry "+percent(10/max(11, perDC))+" more")
	writeRow(out, "a data centre", "a few a year", number(perDC*mo.InFlight()), mo.partOfDay(perDC*mo.InFlight()), number(perDC*2), percent(1/si.DataCentres)+" of the traffic; callers are led elsewhere by the balancer")
	writeRow(out, "a region is cut off for an hour", "now and then", "0 of its own callers", "0", "0", "each side serves its callers from its own engines and keeps its last configuration")
	fmt.Fprintln(out)
}

// partOfDay returns requests as a part of those of a day at the peak.
func (mo *Model) partOfDay(requests float64) string {
	return fmt.Sprintf("%.5f %%", 100*requests/(mo.size.RequestsPerSecond*secondsPerDay))
}

func (mo *Model) writeSlopes(out io.Writer) {
	fmt.Fprintf(out, "### Slopes\n\n")
	writeRow(out, "slope", "at zero", "per x", "x", "unit", "points", "measured to", "used at", "factor", "R²")
	writeRow(out, "---", "---:", "---:", "---", "---", "---:", "---:", "---:", "---:", "---:")
	for _, sl := range mo.result.Slopes {
		used := mo.usedAt(sl.Name)
		writeRow(out, sl.Name, number(sl.Intercept), number(sl.PerX), sl.XUnit, sl.YUnit, number(float64(len(sl.Points))), number(sl.MaxX()), number(used), fmt.Sprintf("%.1f", used/sl.MaxX()), fmt.Sprintf("%.4f", sl.RSquared))
	}
	fmt.Fprintln(out)
	writeRow(out, "figure", "value", "unit")
	writeRow(out, "---", "---:", "---")
	for _, fi := range mo.result.Figures {
		writeRow(out, fi.Name, number(fi.Value), fi.Unit)
	}
}

// usedAt returns the X at which the page reads a slope.
func (mo *Model) usedAt(name string) float64 {
	classes := mo.size.Organisations * classesPerOrg
	switch name {
	case bench.DecisionTime:
		return mo.enginesOfDC() / mo.size.Models
	case bench.SchedulerEngineMemory:
		return mo.enginesOfDC()
	case bench.SchedulerClassMemory, bench.MeterClassMemory, bench.OutcomesSize:
		return classes
	case bench.ContractMemory, bench.ConfigApplyTime:
		return mo.size.Organisations
	case bench.StreamMemory:
		return mo.InFlight()
	case bench.ServerListSize, bench.GossipMessageSize:
		return mo.size.Engines
	case bench.LoadUpdateSize:
		return min(mo.size.Engines, mo.size.RequestsPerSecond/mo.size.DataCentres*readingTime)
	case bench.CodecTime:
		return mo.at(bench.LoadUpdateSize, mo.size.RequestsPerSecond/mo.size.Hosts*readingTime)
	default:
		return 1
	}
}

func writeRow(out io.Writer, cells ...string) {
	fmt.Fprintf(out, "| %s |\n", strings.Join(cells, " | "))
}

func over(text string, isOver bool) string {
	if isOver {
		return "**" + text + "**"
	}
	return text
}

func number(value float64) string {
	switch {
	case value != 0 && value < 10 && value > -10:
		return fmt.Sprintf("%.3g", value)
	default:
		return grouped(fmt.Sprintf("%.0f", value))
	}
}

// grouped puts commas between thousands.
func grouped(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for ix := len(digits) - 3; ix > 0; ix -= 3 {
		digits = digits[:ix] + "," + digits[ix:]
	}
	return sign + digits
}

func percent(share float64) string {
	return fmt.Sprintf("%.2f %%", 100*share)
}

func bytesText(value float64) string {
	units := []string{"B", "KB", "MB", "GB"}
	unit := 0
	for value >= 1024 && unit < len(units)-1 {
		value /= 1024
		unit++
	}
	return fmt.Sprintf("%.3g %s", value, units[unit])
}
