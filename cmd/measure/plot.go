package main

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// picture says what a measure's bars show.
type picture struct {
	file  string
	title string
	label string
	value func(row) float64
}

var pictures = map[string][]picture{
	"skew": {
		{"skew.png", "Worst load over mean at admission", "load / mean", func(r row) float64 { return r.MaxRatio }},
		{"reuse.png", "Cache reuse as a share of the oracle's", "share", func(r row) float64 { return r.ReuseOfOracle }},
	},
	"control": {{"control.png", "Control traffic of one router", "bytes / s", func(r row) float64 { return r.ControlBytes }}},
	"fair":    {{"fair.png", "Quiet workspaces' time to the end, over no surge", "ratio", func(r row) float64 { return r.MaxRatio }}},
}

// plotRows writes a measure's pictures: a group of bars for each case, a bar for each way.
func plotRows(dir, what string, rows []row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "plot")
	}
	for _, p := range pictures[what] {
		if err := p.draw(filepath.Join(dir, p.file), rows); err != nil {
			return err
		}
	}
	return nil
}

const (
	barWidth  = vg.Length(7)
	perCase   = 2.4 * vg.Inch
	pictureH  = 4.5 * vg.Inch
	extraWide = 2 * vg.Inch
)

func (p picture) draw(path string, rows []row) error {
	var cases, ways []string
	values := map[string]map[string]float64{}
	for _, r := range rows {
		if values[r.Case] == nil {
			values[r.Case] = map[string]float64{}
			cases = append(cases, r.Case)
		}
		if !contains(ways, r.Way) {
			ways = append(ways, r.Way)
		}
		values[r.Case][r.Way] = p.value(r)
	}
	chart := plot.New()
	chart.Title.Text = p.title
	chart.Y.Label.Text = p.label
	chart.Y.Min = 0
	chart.Legend.Top = true
	for i, way := range ways {
		heights := make(plotter.Values, len(cases))
		for j, c := range cases {
			heights[j] = values[c][way]
		}
		bars, err := plotter.NewBarChart(heights, barWidth)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(ways)-1)/2)
		chart.Add(bars)
		chart.Legend.Add(way, bars)
	}
	chart.NominalX(cases...)
	return errors.Wrap(chart.Save(perCase*vg.Length(len(cases))+extraWide, pictureH, path), "plot")
}

func contains(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}
