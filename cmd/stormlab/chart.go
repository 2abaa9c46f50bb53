package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"brookmux/internal/stormlab"
)

// Size of a chart.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 8 * vg.Centimeter
)

// drawChart writes a chart to path: the share served in time, by second, with a line for each row. The rows are the variants
// of one scenario; there must be at least one.
func drawChart(path string, rows []stormlab.Row) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, mean of %d seeds", rows[0].Scenario, rows[0].Seeds)
	p.X.Label.Text, p.Y.Label.Text = "seconds of the day", "worth served in time"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Add(plotter.NewGrid())
	for i, r := range rows {
		points := make(plotter.XYs, len(r.ShareBySecond))
		for second, v := range r.ShareBySecond {
			points[second].X, points[second].Y = float64(second), v
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("chart %s: %w", path, err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Variant, line)
	}
	if err := p.Save(chartWidth, chartHeight, path); err != nil {
		return fmt.Errorf("chart %s: %w", path, err)
	}
	return nil
}
