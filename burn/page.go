package burn

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/chart"
)

// WriteText writes the report as text tables.
func (re *Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "hosts: %d answered", len(re.Hosts))
	if len(re.MissingHosts) > 0 {
		fmt.Fprintf(out, ", no answer from %q: about %.0f %% of the traffic is missing here", re.MissingHosts, 100*re.MissingFraction)
	}
	fmt.Fprintf(out, "\nobjective %.2f; burn over 5 min and 1 h, as a multiple of the allowed misses\n\n", Objective)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "organisation\tclass\ttier\ttarget\tmet\tmissed\tattainment\tbudget left\tburn 5 min\tburn 1 h\talert")
	for _, ro := range re.Rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%d\t%.4f\t%.2f\t%.2f\t%.2f\t%s\n", ro.Organisation, ro.Class, ro.Tier, ro.Target, ro.Met, ro.Missed, ro.Attainment, ro.BudgetLeft, ro.ShortBurn, ro.LongBurn, ro.Alert)
	}
	fmt.Fprintln(table, "\norganisation\tclass\ttier\trequests\tcompleted\tgoodput\twasted\tfailures")
	for _, ct := range re.Classes {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%v\t%v\n", ct.Organisation, ct.Class, ct.Tier, ct.Requests, ct.Completed, ct.Goodput, formatCounts(ct.Wasted), formatCounts(ct.Failures))
	}
	fmt.Fprintf(table, "\ntier\ttarget\tcount\tp50\tp95\tp99\tquantiles within %.0f %%\n", 100*re.QuantileError)
	for _, lq := range re.Latencies {
		fmt.Fprintf(table, "%d\t%s\t%.0f\t%s\t%s\t%s\n", lq.Tier, lq.Target, lq.Count, lq.P50.Std().Round(latencyPrecision), lq.P95.Std().Round(latencyPrecision), lq.P99.Std().Round(latencyPrecision))
	}
	return errors.Trace(table.Flush())
}

// formatCounts formats counts in the order of their names, or a dash if there are
// none.
func formatCounts[V mp.Tokens | uint64](byName map[string]V) string {
	if len(byName) == 0 {
		return "-"
	}
	var list []string
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, fmt.Sprintf("%s %d", name, byName[name]))
	}
	return strings.Join(list, ", ")
}

// latencyPrecision is the precision to which printed latencies are rounded.
const latencyPrecision = 100 * time.Microsecond

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}.fast{background:#f9c0c0}.slow{background:#fbe5b0}</style>
</head><body><h1>Service-level burn</h1>
<p>{{len .Report.Hosts}} hosts answered.{{if .Report.MissingHosts}} <strong>No answer from {{.Report.MissingHosts}}: about {{printf "%.0f" .MissingPercent}} % of the traffic is missing here.</strong>{{end}}</p>
{{.Plot}}
<table><tr><th>organisation</th><th>class</th><th>tier</th><th>target</th><th>met</th><th>missed</th><th>attainment</th><th>budget left</th><th>burn 5 min</th><th>burn 1 h</th></tr>
{{range .Report.Rows}}<tr class="{{.Alert}}"><td>{{.Organisation}}</td><td>{{.Class}}</td><td>{{.Tier}}</td><td>{{.Target}}</td><td>{{.Met}}</td><td>{{.Missed}}</td><td>{{printf "%.4f" .Attainment}}</td><td>{{printf "%.2f" .BudgetLeft}}</td><td>{{printf "%.2f" .ShortBurn}}</td><td>{{printf "%.2f" .LongBurn}}</td></tr>
{{end}}</table>
<table><tr><th>organisation</th><th>class</th><th>tier</th><th>requests</th><th>completed</th><th>goodput</th><th>wasted</th><th>failures</th></tr>
{{range .Report.Classes}}<tr><td>{{.Organisation}}</td><td>{{.Class}}</td><td>{{.Tier}}</td><td>{{.Requests}}</td><td>{{.Completed}}</td><td>{{.Goodput}}</td><td>{{range $cause, $tokens := .Wasted}}{{$cause}} {{$tokens}} {{end}}</td><td>{{range $kind, $count := .Failures}}{{$kind}} {{$count}} {{end}}</td></tr>
{{end}}</table>
<table><tr><th>tier</th><th>target</th><th>count</th><th>p50</th><th>p95</th><th>p99</th></tr>
{{range .Report.Latencies}}<tr><td>{{.Tier}}</td><td>{{.Target}}</td><td>{{printf "%.0f" .Count}}</td><td>{{.P50}}</td><td>{{.P95}}</td><td>{{.P99}}</td></tr>
{{end}}</table></body></html>
`))

type pageData struct {
	Report         *Report
	MissingPercent float64
	Plot           template.HTML
}

// WriteHTML writes the report as a self-contained HTML page with a plot.
func (re *Report) WriteHTML(out io.Writer) error {
	plot, err := re.plot()
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(pageTemplate.Execute(out, pageData{Report: re, MissingPercent: 100 * re.MissingFraction, Plot: plot}))
}

// maxBars is the maximum number of rows in the plot. Rows with the lowest attainment
// are drawn first.
const maxBars = 24

func (re *Report) plot() (template.HTML, error) {
	var bars []chart.Bar
	for _, ro := range lowestAttainment(re.Rows) {
		bars = append(bars, chart.Bar{Name: string(ro.Class) + " " + ro.Target, Value: ro.Attainment})
	}
	return chart.Bars("Least attainment", bars)
}
