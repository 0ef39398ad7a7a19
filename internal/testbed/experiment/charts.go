package experiment

import (
	"fmt"
	"html"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"reachspread/internal/router/report"
)

// palette is the palette of Okabe and Ito (Color Universal Design, 2008), whose colours people with
// colour vision deficiency can tell apart.
var palette = []color.Color{
	color.RGBA{0x00, 0x72, 0xb2, 0xff}, color.RGBA{0xe6, 0x9f, 0x00, 0xff}, color.RGBA{0x00, 0x9e, 0x73, 0xff}, color.RGBA{0xcc, 0x79, 0xa7, 0xff},
	color.RGBA{0x56, 0xb4, 0xe9, 0xff}, color.RGBA{0xd5, 0x5e, 0x00, 0xff}, color.RGBA{0x00, 0x00, 0x00, 0xff}, color.RGBA{0xf0, 0xe4, 0x42, 0xff},
}

const chartWidth, chartHeight = 24 * vg.Centimeter, 9 * vg.Centimeter

// groupByVariant groups stored runs by variant, and returns the names of the variants in the order of
// their first run. It leaves out runs in which a rule was broken, so that no chart includes them.
func groupByVariant(keptRuns []KeptRun) (names []string, runs map[string][]*KeptRun) {
	runs = map[string][]*KeptRun{}
	for i := range keptRuns {
		k := &keptRuns[i]
		if k.Broken != "" {
			continue
		}
		if runs[k.Variant] == nil {
			names = append(names, k.Variant)
		}
		runs[k.Variant] = append(runs[k.Variant], k)
	}
	return names, runs
}

// overTime draws a line for each variant. It shows, for each second, the share of successful
// requests among those that ended in that second, over all seeds and as a moving mean of five
// seconds.
func overTime(keptRuns []KeptRun) (string, error) {
	c := plot.New()
	c.Title.Text, c.X.Label.Text, c.Y.Label.Text = "requests that ended well", "second", "share, mean of 5 s"
	c.Y.Min, c.Y.Max = 0, 1
	c.Add(plotter.NewGrid())
	names, runs := groupByVariant(keptRuns)
	for i, name := range names {
		var good, all []float64
		for _, k := range runs[name] {
			for s, x := range k.Result.Seconds {
				for len(all) <= s {
					good, all = append(good, 0), append(all, 0)
				}
				good[s] += x.Good
				all[s] += x.Good + x.Other
			}
		}
		var points plotter.XYs
		for s := range all {
			g, n := 0.0, 0.0
			for at := max(s-2, 0); at <= min(s+2, len(all)-1); at++ {
				g, n = g+good[at], n+all[at]
			}
			if n > 0 {
				points = append(points, plotter.XY{X: float64(s), Y: g / n})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = palette[i%len(palette)], vg.Points(2)
		if i%2 == 1 { // every second line is dashed, so that both of two overlapping lines are visible
			line.Dashes = []vg.Length{vg.Points(6), vg.Points(6)}
		}
		c.Add(line)
		c.Legend.Add(name, line)
	}
	return svg(c)
}

// bySeed draws a point for the G of each run. The points of a variant are above its name, one for
// each seed.
func bySeed(keptRuns []KeptRun) (string, error) {
	c := plot.New()
	c.Title.Text, c.Y.Label.Text = "G of each world", "G"
	names, runs := groupByVariant(keptRuns)
	least := 1.0
	for i, name := range names {
		var points plotter.XYs
		for n, k := range runs[name] {
			g := k.g()
			least = min(least, g)
			offset := 0.4 * (float64(n)/float64(max(len(runs[name])-1, 1)) - 0.5)
			points = append(points, plotter.XY{X: float64(i) + offset, Y: g})
		}
		dots, err := plotter.NewScatter(points)
		if err != nil {
			return "", err
		}
		dots.Color, dots.Shape, dots.Radius = palette[i%len(palette)], draw.CircleGlyph{}, vg.Points(3)
		c.Add(dots)
	}
	c.Add(plotter.NewGrid())
	c.NominalX(names...)
	c.X.Min, c.X.Max = -0.5, float64(len(names))-0.5
	c.Y.Min, c.Y.Max = math.Floor(least*20)/20, 1
	return svg(c)
}

func svg(c *plot.Plot) (string, error) {
	c.Legend.Left = true
	return report.SVG(c, chartWidth, chartHeight)
}

// WritePage writes an HTML page with charts and the differences between variants. The page loads
// nothing from the network.
func (x *Experiment) WritePage(out io.Writer, keptRuns []KeptRun) error {
	time, err := overTime(keptRuns)
	if err != nil {
		return err
	}
	seeds, err := bySeed(keptRuns)
	if err != nil {
		return err
	}
	title := html.EscapeString(x.Name)
	_, err = fmt.Fprintf(out, "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>%s</title>\n"+
		"<style>body{font:16px sans-serif;margin:2em auto;max-width:62em}svg{max-width:100%%;height:auto}pre{background:#f4f4f4;padding:1em;overflow:auto}</style></head><body>\n"+
		"<h1>%s</h1>\n<p>%d worlds: %d variants, %d seeds.</p>\n%s\n%s\n", title, title, len(keptRuns), len(x.Variants), len(x.Seeds), time, seeds)
	if err != nil {
		return err
	}
	for _, d := range CompareRuns(keptRuns) {
		if _, err := fmt.Fprintf(out, "<p>%s</p>\n", html.EscapeString(d.String())); err != nil {
			return err
		}
	}
	for _, k := range keptRuns {
		if k.Broken != "" {
			if _, err := fmt.Fprintf(out, "<p>%s, seed %d: %s</p>\n", html.EscapeString(k.Variant), k.Seed, html.EscapeString(k.Broken)); err != nil {
				return err
			}
		}
	}
	_, err = fmt.Fprintf(out, "<pre>%s</pre>\n</body></html>\n", html.EscapeString(string(x.Text)))
	return err
}
