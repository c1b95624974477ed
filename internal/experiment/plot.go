package experiment

import (
	"image/color"
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/bramleypick/bramleypick/dynconfig"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// lineColors are distinguishable by readers with a colour vision deficiency too.
var lineColors = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255}, color.RGBA{R: 213, G: 94, B: 0, A: 255},
	color.RGBA{R: 0, G: 158, B: 115, A: 255}, color.RGBA{R: 204, G: 121, B: 167, A: 255},
}

// PlotTail plots the median p99 of each policy over the load, for the one-way delay of the first run.
func PlotTail(w io.Writer, runs []TailRun) error {
	p := plot.New()
	p.Title.Text = "p99 latency by load (median over the seeds)"
	p.X.Label.Text = "load, % of the slots"
	p.Y.Label.Text = "ms"
	p.Legend.Top, p.Legend.Left = true, true
	for i, policy := range tailPolicies {
		var points plotter.XYs
		for _, load := range tailLoads {
			found := tailRuns(runs, tailKey{runs[0].OneWayDelayMillis, load, policy})
			if len(found) > 0 {
				values := sortedValues(found, func(t TailRun) float64 { return t.Latency.P99 })
				points = append(points, plotter.XY{X: float64(load), Y: values[len(values)/2]})
			}
		}
		if err := addLine(p, policyLabel(policy), i, points); err != nil {
			return err
		}
	}
	return writeSVG(p, w)
}

// PlotZone plots, for one run, how many requests per second the upstreams of each zone started over time.
func PlotZone(w io.Writer, run ZoneRun) error {
	p := plot.New()
	p.Title.Text = "requests started in each zone; " + stoppedZone + " is stopped and returns with cold upstreams"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests/s"
	p.Legend.Top = true
	for i, zone := range zoneNames {
		var points plotter.XYs
		for j := shareWindowSamples; j < len(run.Shares); j++ {
			first, last := run.Shares[j-shareWindowSamples], run.Shares[j]
			seconds := float64(last.AtMillis-first.AtMillis) / 1000
			if seconds > 0 {
				points = append(points, plotter.XY{X: float64(last.AtMillis) / 1000, Y: float64(last.Started[zone]-first.Started[zone]) / seconds})
			}
		}
		if err := addLine(p, zone, i, points); err != nil {
			return err
		}
	}
	return writeSVG(p, w)
}

func policyLabel(policy dynconfig.Policy) string {
	if policy == dynconfig.PolicyOwner {
		return "owner"
	}
	return string(policy) + " (baseline)"
}

func addLine(p *plot.Plot, label string, i int, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, "plot line")
	}
	line.Color = lineColors[i%len(lineColors)]
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(label, line)
	return nil
}

func writeSVG(p *plot.Plot, w io.Writer) error {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(drawingArea(canvas))
	_, err := canvas.WriteTo(w)
	return errors.Wrap(err, "write plot")
}
