package main

import (
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// figure is a bar chart of one measurement.
type figure struct {
	file  string
	title string
	label string
	// maxY cuts off higher bars; zero shows all.
	maxY float64
	// omitted is a case that is not drawn.
	omitted string
	value   func(row) float64
}

var figures = map[string][]figure{
	"skew": {
		{"skew.png", "Worst load over mean at admission", "load / mean (cut off at 4)", 4, "", func(r row) float64 { return r.MaxRatio }},
		{"reuse.png", "Cache reuse as a share of the oracle's", "share", 0, "", func(r row) float64 { return r.ReuseOfOracle }},
	},
	"control": {{"control.png", "Control traffic of one router", "bytes / s", 0, originsCase, func(r row) float64 { return r.ControlBytes }}},
	"fair":    {{"fair.png", "Quiet workspaces' time to the end, over no surge", "ratio", 0, "", func(r row) float64 { return r.MaxRatio }}},
}

// plotRows writes the charts of a measurement: a group of bars for each case, a bar for each
// strategy.
func plotRows(dir, what string, rows []row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "plot")
	}
	for _, p := range figures[what] {
		if err := p.draw(filepath.Join(dir, p.file), rows); err != nil {
			return err
		}
	}
	return nil
}

const (
	barWidth     = vg.Length(7)
	caseWidth    = 1.5 * vg.Inch
	figureHeight = 4.5 * vg.Inch
	extraWidth   = 2 * vg.Inch
	// legendRoom is the space for the legend on the right, in widths of a case.
	legendRoom = 1.2
)

// palette has nine distinct colours; the default palette of the library has seven and then repeats.
var palette = []color.Color{
	color.RGBA{0x99, 0x99, 0x99, 0xff}, color.RGBA{0x56, 0xb4, 0xe9, 0xff}, color.RGBA{0xd5, 0x5e, 0x00, 0xff},
	color.RGBA{0xf0, 0xe4, 0x42, 0xff}, color.RGBA{0xcc, 0x79, 0xa7, 0xff}, color.RGBA{0x00, 0x72, 0xb2, 0xff},
	color.RGBA{0xe6, 0x9f, 0x00, 0xff}, color.RGBA{0x00, 0x9e, 0x73, 0xff}, color.RGBA{0x22, 0x22, 0x22, 0xff},
}

// barGroups are the values of a chart by case and strategy, in order of the rows.
type barGroups struct {
	cases      []string
	strategies []string
	values     map[string]map[string]float64
}

// groups returns the values of the rows that are drawn.
func (p figure) groups(rows []row) barGroups {
	g := barGroups{values: map[string]map[string]float64{}}
	for _, r := range rows {
		if p.omitted != "" && r.Case == p.omitted {
			continue
		}
		if g.values[r.Case] == nil {
			g.values[r.Case] = map[string]float64{}
			g.cases = append(g.cases, r.Case)
		}
		if !slices.Contains(g.strategies, r.Strategy) {
			g.strategies = append(g.strategies, r.Strategy)
		}
		g.values[r.Case][r.Strategy] = p.value(r)
	}
	return g
}

func (p figure) draw(path string, rows []row) error {
	g := p.groups(rows)
	chart := plot.New()
	chart.Title.Text = p.title
	chart.Y.Label.Text = p.label
	chart.Y.Min = 0
	chart.Legend.Top = true
	for i, strategy := range g.strategies {
		heights := make(plotter.Values, len(g.cases))
		for j, c := range g.cases {
			heights[j] = g.values[c][strategy]
		}
		bars, err := plotter.NewBarChart(heights, barWidth)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bars.Color = palette[i%len(palette)]
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(g.strategies)-1)/2)
		chart.Add(bars)
		chart.Legend.Add(strategy, bars)
	}
	chart.NominalX(g.cases...)
	chart.X.Max = float64(len(g.cases)) - 1 + legendRoom
	if p.maxY > 0 {
		chart.Y.Max = p.maxY
	}
	return errors.Wrap(chart.Save(caseWidth*vg.Length(len(g.cases))+extraWidth, figureHeight, path), "plot")
}
