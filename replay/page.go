package replay

import (
	"html/template"
	"io"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/chart"
)

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Replay with {{.Policy}}</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}td:first-child,th:first-child{text-align:left}</style>
</head><body><h1>Replay with {{.Policy}}</h1>
<p>Goodput {{printf "%.4f" .Result.GoodputOfCapacity}} of capacity, wasted {{printf "%.4f" .Result.WastedRatio}}, lost {{.Result.Lost}}, doubled {{.Result.WrongLength}}.</p>
<table><tr><th>class</th><th>tier</th><th>offered</th><th>completed</th><th>refused</th><th>first token in time</th><th>of promised</th><th>between tokens in time</th><th>goodput</th><th>wasted</th></tr>
{{range .Result.Classes}}<tr><td>{{.Class}}</td><td>{{.Tier}}</td><td>{{.Offered}}</td><td>{{.Completed}}</td><td>{{.RefusedTotal}}</td><td>{{printf "%.4f" .FirstTokenAttainment}}</td><td>{{printf "%.4f" .PromisedFirstTokenAttainment}}</td><td>{{printf "%.4f" .BetweenTokensAttainment}}</td><td>{{.Goodput}}</td><td>{{.Wasted}}</td></tr>
{{end}}</table>
{{range .Plots}}{{.}}{{end}}
</body></html>
`))

type pageData struct {
	Policy string
	Result *Result
	Plots  []template.HTML
}

// WriteHTML writes the result as a self-contained HTML page with a table and plots. It
// returns an error if a plot can't be drawn or out fails.
func (rs *Result) WriteHTML(out io.Writer, policy string) error {
	data := pageData{Policy: policy, Result: rs}
	for _, plot := range []struct {
		title string
		value func(cr *ClassResult) float64
	}{
		{"First token in time, part of offered", (*ClassResult).FirstTokenAttainment},
		{"Between tokens in time, part of gaps", (*ClassResult).BetweenTokensAttainment},
	} {
		svg, err := rs.bars(plot.title, plot.value)
		if err != nil {
			return errors.Trace(err)
		}
		data.Plots = append(data.Plots, svg)
	}
	return errors.Trace(page.Execute(out, data))
}

func (rs *Result) bars(title string, value func(cr *ClassResult) float64) (template.HTML, error) {
	var bars []chart.Bar
	for _, cr := range rs.Classes {
		bars = append(bars, chart.Bar{Name: string(cr.Class), Value: value(cr)})
	}
	return chart.Bars(title, bars)
}
