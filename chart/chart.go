// Package chart renders bar charts as inline SVG for the self-contained HTML pages of
// packages replay and burn.
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
	width          = 22 * vg.Centimeter
	height         = 9 * vg.Centimeter
	barWidthPoints = 10
)

// Bar is one bar of a chart.
type Bar struct {
	Name string
	// Value is a ratio from 0 to 1.
	Value float64
}

// Bars returns a bar chart of ratios as SVG, or empty HTML if there are no
// bars. It returns an error if the chart can't be drawn.
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
	barChart, err := plotter.NewBarChart(values, vg.Points(barWidthPoints))
	if err != nil {
		return "", errors.Annotatef(err, "chart %q", title)
	}
	pl.Add(barChart)
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
