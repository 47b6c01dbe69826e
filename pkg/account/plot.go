package account

import (
	"image/color"
	"io"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

const (
	// plotStep is the width of an interval on the time axis.
	plotStep = time.Second
	// plotWidth and plotHeight are the size of the page.
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
)

// interval is the requests that arrived in one plotStep.
type interval struct {
	onTime, late, unserved float64
	waits                  []float64 // seconds before requests were sent
	pauses                 []float64 // seconds of the longest pause of streams
}

// WriteSVG plots the requests by outcome and the 90th percentiles of waits and pauses over the time of arrival.
func WriteSVG(w io.Writer, records []Record) error {
	intervals := divide(records)
	service, waits := plot.New(), plot.New()
	service.Title.Text, service.Y.Label.Text = "Requests by outcome", "requests per second"
	waits.Title.Text, waits.Y.Label.Text, waits.X.Label.Text = "90th percentiles", "seconds", "seconds since the first arrival"
	curves := []struct {
		p     *plot.Plot
		name  string
		color color.Color
		of    func(interval) float64
	}{
		{service, "on time", color.RGBA{G: 130, A: 255}, func(i interval) float64 { return i.onTime }},
		{service, "late", color.RGBA{R: 230, G: 150, A: 255}, func(i interval) float64 { return i.late }},
		{service, "not served", color.RGBA{R: 200, A: 255}, func(i interval) float64 { return i.unserved }},
		{waits, "wait before sending", color.RGBA{B: 200, A: 255}, func(i interval) float64 { return percentile90(i.waits) }},
		{waits, "longest pause of streams", color.RGBA{R: 130, B: 130, A: 255}, func(i interval) float64 { return percentile90(i.pauses) }},
	}
	for _, c := range curves {
		points := make(plotter.XYs, len(intervals))
		for i, in := range intervals {
			points[i] = plotter.XY{X: float64(i) * plotStep.Seconds(), Y: c.of(in)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fault.Wrap(err, fault.StepSettings, c.name, "plot")
		}
		line.Color = c.color
		c.p.Add(line)
		c.p.Legend.Add(c.name, line)
		c.p.Legend.Top = true
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter}
	for row, p := range []*plot.Plot{service, waits} {
		p.Draw(tiles.At(draw.New(canvas), 0, row))
	}
	_, err := canvas.WriteTo(w)
	return fault.Wrap(err, fault.StepSettings, "", "write plot")
}

// divide sorts the records into intervals from the first to the last arrival.
func divide(records []Record) []interval {
	if len(records) == 0 {
		return nil
	}
	byArrival := func(a, b Record) int { return int(a.Arrived - b.Arrived) }
	first, last := slices.MinFunc(records, byArrival).Arrived, slices.MaxFunc(records, byArrival).Arrived
	out := make([]interval, (last-first)/plotStep+1)
	for _, r := range records {
		i := &out[(r.Arrived-first)/plotStep]
		switch {
		case r.Outcome != "done" || r.Status >= 400:
			i.unserved++
		case CauseOf(r) == OnTime:
			i.onTime++
		default:
			i.late++
		}
		if r.Sent >= 0 {
			i.waits = append(i.waits, r.Sent.Seconds())
		}
		if r.FirstEvent >= 0 {
			i.pauses = append(i.pauses, r.Pause.Seconds())
		}
	}
	return out
}

func percentile90(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return stat.Quantile(0.9, stat.Empirical, values, nil)
}
