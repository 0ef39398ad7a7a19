package report

import (
	"bytes"
	"image/color"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The colors of live answers and of copies in all charts. They also differ in lightness.
var (
	liveColor = color.RGBA{R: 0x1f, G: 0x4e, B: 0x79, A: 0xff}
	copyColor = color.RGBA{R: 0xe0, G: 0x7b, B: 0x00, A: 0xff}
)

const (
	chartWidth, chartHeight = 11 * vg.Centimeter, 8 * vg.Centimeter
	similarityBins          = 20
)

// charts returns a pool's charts as SVG: the times to the first event and to the complete answer,
// each for live answers and copies, and the similarity of the texts. It returns none if no answers
// were compared.
func (p *Pool) charts() ([]string, error) {
	all := p.groups[groupKey{}]
	if all == nil {
		return nil, nil // no answers were compared
	}
	var charts []string
	for _, name := range []string{FirstEvent, CompleteAnswer} {
		c, err := cumulativeChart(name, all.live[name], all.copied[name])
		if err != nil {
			return nil, err
		}
		charts = append(charts, c)
	}
	c, err := similarityChart(p.similarities)
	return append(charts, c), err
}

// cumulativeChart draws the cumulative distribution of a time: the fraction of the live answers and
// of the copies that came within it.
func cumulativeChart(name string, live, copied *hdrhistogram.Histogram) (string, error) {
	c := plot.New()
	c.Title.Text = name
	c.X.Label.Text, c.Y.Label.Text = "milliseconds", "share of answers within"
	c.X.Scale, c.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	c.Y.Min, c.Y.Max = 0, 1
	c.Add(plotter.NewGrid())
	for _, side := range []struct {
		name  string
		h     *hdrhistogram.Histogram
		color color.Color
	}{{"live", live, liveColor}, {"copies", copied, copyColor}} {
		if side.h.TotalCount() == 0 {
			continue
		}
		var points plotter.XYs
		for q := 0.5; q <= 100; q += 0.5 {
			points = append(points, plotter.XY{X: float64(side.h.ValueAtQuantile(q)) / 1000, Y: q / 100})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = side.color, vg.Points(2)
		c.Add(line)
		c.Legend.Add(side.name, line)
	}
	// The axis covers whole decades around the data, so that each end has a labeled tick.
	c.X.Min = math.Pow(10, math.Floor(math.Log10(c.X.Min)))
	c.X.Max = math.Pow(10, math.Ceil(math.Log10(c.X.Max*1.0001)))
	c.Legend.Left, c.Legend.Top = true, true
	return svg(c)
}

// similarityChart draws a histogram of the similarities of the compared texts.
func similarityChart(values []float64) (string, error) {
	c := plot.New()
	c.Title.Text = "similarity of the texts"
	c.X.Label.Text, c.Y.Label.Text = "1 for equal", "answers"
	bins := make([]plotter.HistogramBin, similarityBins)
	for i := range bins {
		bins[i].Min, bins[i].Max = float64(i)/similarityBins, float64(i+1)/similarityBins
	}
	for _, v := range values {
		bins[min(int(v*similarityBins), similarityBins-1)].Weight++
	}
	h := &plotter.Histogram{Bins: bins, Width: 1.0 / similarityBins, FillColor: copyColor}
	h.LineStyle.Color, h.LineStyle.Width = color.White, vg.Points(0.5)
	c.X.Min, c.X.Max, c.Y.Min = 0, 1, 0
	c.Add(h)
	c.X.Max = 1
	return svg(c)
}

// svg draws a chart in the size that the report uses for all charts.
func svg(c *plot.Plot) (string, error) { return SVG(c, chartWidth, chartHeight) }

// SVG draws a chart as an SVG element for an HTML page, without an XML declaration.
func SVG(c *plot.Plot, width, height vg.Length) (string, error) {
	w, err := c.WriterTo(width, height, "svg")
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if _, err := w.WriteTo(&out); err != nil {
		return "", err
	}
	return string(out.Bytes()[max(bytes.Index(out.Bytes(), []byte("<svg")), 0):]), nil
}
