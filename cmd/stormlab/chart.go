package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"brookmux/internal/stormlab"
)

const (
	chartWide = 18 * vg.Centimeter
	chartHigh = 8 * vg.Centimeter
)

// chart draws the share served in time, second by second, a line for each variant of one scenario.
func chart(path string, rows []stormlab.Row) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, mean of %d seeds", rows[0].Scenario, rows[0].Seeds)
	p.X.Label.Text, p.Y.Label.Text = "seconds of the day", "worth served in time"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Add(plotter.NewGrid())
	for i, r := range rows {
		points := make(plotter.XYs, len(r.Series))
		for at, v := range r.Series {
			points[at].X, points[at].Y = float64(at), v
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("chart %s: %w", path, err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Variant, line)
	}
	if err := p.Save(chartWide, chartHigh, path); err != nil {
		return fmt.Errorf("chart %s: %w", path, err)
	}
	return nil
}
