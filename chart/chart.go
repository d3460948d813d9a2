// Package chart draws bar charts as SVG for the self-contained pages of reports.
package chart

import (
	"bytes"
	"html/template"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	width    = 22 * vg.Centimeter
	height   = 9 * vg.Centimeter
	barWidth = 10 // points
)

// Bar is one bar of a chart.
type Bar struct {
	Name string
	// Value is a part between 0 and 1.
	Value float64
}

// Bars returns a chart of parts. Without bars it is empty.
func Bars(title string, bars []Bar) (template.HTML, error) {
	if len(bars) == 0 {
		return "", nil
	}
	var values plotter.Values
	var names []string
	for _, ba := range bars {
		values = append(values, ba.Value)
		names = append(names, ba.Name)
	}
	pl := plot.New()
	pl.Title.Text = title
	pl.Y.Min, pl.Y.Max = 0, 1
	drawn, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return "", errors.Annotatef(err, "chart %q", title)
	}
	pl.Add(drawn)
	pl.NominalX(names...)
	writer, err := pl.WriterTo(width, height, "svg")
	if err != nil {
		return "", errors.Annotatef(err, "chart %q", title)
	}
	var svg bytes.Buffer
	if _, err := writer.WriteTo(&svg); err != nil {
		return "", errors.Annotatef(err, "chart %q", title)
	}
	return template.HTML(svg.String()), nil
}
