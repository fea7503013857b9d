package trace

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"valescale/internal/plat/fault"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// The colours are distinguishable in print and with most kinds of colour blindness.
var (
	goodColour = color.RGBA{0x00, 0x72, 0xb2, 0xff}
	lostColour = color.RGBA{0xd5, 0x5e, 0x00, 0xff}
)

// Plot draws the requests answered in time and the lost requests by second. The extension of
// the file name selects the image format.
func (l Losses) Plot(file string) error {
	const op = "trace.Plot"
	p := plot.New()
	p.Title.Text = "Requests by end time"
	p.X.Label.Text = "seconds since the first request ended"
	p.Y.Label.Text = "requests / s"
	var good, lost plotter.XYs
	for _, s := range l.Seconds {
		x := float64(s.Unix - l.Seconds[0].Unix)
		good = append(good, plotter.XY{X: x, Y: float64(s.Good)})
		lost = append(lost, plotter.XY{X: x, Y: float64(s.Lost)})
	}
	if len(good) == 0 {
		return fault.Newf(op, Unreadable, "no requests to plot")
	}
	for _, series := range []struct {
		name   string
		points plotter.XYs
		colour color.Color
	}{{"in time", good, goodColour}, {"lost", lost, lostColour}} {
		line, err := plotter.NewLine(series.points)
		if err != nil {
			return fault.New(op, Unreadable, err)
		}
		line.Color = series.colour
		p.Add(line)
		p.Legend.Add(series.name, line)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fault.New(op, Unreadable, err)
	}
	return nil
}
