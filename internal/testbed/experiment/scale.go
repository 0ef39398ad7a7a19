package experiment

import (
	"cmp"
	"fmt"
	"html"
	"io"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Scale shows how the results of a fleet depend on its number of routers, at several loads. G and
// First have a row for each load and a column for each number of routers.
type Scale struct {
	Routers []int     // in ascending order
	Loads   []float64 // as multiples of the experiment's rates, in ascending order
	G       [][]float64
	First   [][]float64 // share of successful requests of the class with the highest value
}

// ScaleOf returns the Scale of stored runs whose variants differ only by routers and load. The value
// is NaN for a load and number of routers without a run, or only with runs that broke a rule.
func (x *Experiment) ScaleOf(keptRuns []KeptRun) *Scale {
	type point struct {
		routers int
		load    float64
	}
	at := map[string]point{}
	s := &Scale{}
	rates := func(classes int, rate func(int) float64) (sum float64) {
		for i := range classes {
			sum += rate(i)
		}
		return sum
	}
	base := rates(len(x.Spec.Classes), func(i int) float64 { return x.Spec.Classes[i].Rate })
	best := 0
	for i := range x.Spec.Classes {
		if x.Spec.Classes[i].Class.Value > x.Spec.Classes[best].Class.Value {
			best = i
		}
	}
	for i, v := range x.Variants {
		w := x.World(i, 0)
		p := point{w.Routers, rates(len(w.Classes), func(i int) float64 { return w.Classes[i].Rate }) / base}
		p.load = math.Round(p.load*1000) / 1000
		at[v.Name] = p
		if !slices.Contains(s.Routers, p.routers) {
			s.Routers = append(s.Routers, p.routers)
		}
		if !slices.Contains(s.Loads, p.load) {
			s.Loads = append(s.Loads, p.load)
		}
	}
	slices.Sort(s.Routers)
	slices.Sort(s.Loads)
	sums, worlds := map[point][2]float64{}, map[point]float64{}
	for i := range keptRuns {
		k := &keptRuns[i]
		p, known := at[k.Variant]
		if !known || k.Broken != "" {
			continue
		}
		first := 0.0
		if best < len(k.Result.Classes) {
			c := &k.Result.Classes[best]
			first = float64(c.Good) / float64(max(c.Asked, 1))
		}
		sums[p] = [2]float64{sums[p][0] + k.g(), sums[p][1] + first}
		worlds[p]++
	}
	for _, load := range s.Loads {
		var g, first []float64
		for _, n := range s.Routers {
			p := point{n, load}
			g, first = append(g, sums[p][0]/worlds[p]), append(first, sums[p][1]/worlds[p]) // 0/0 is NaN: there are no runs
		}
		s.G, s.First = append(s.G, g), append(s.First, first)
	}
	return s
}

// WriteTable writes a Markdown table with a row for each load. A row has G for each number of
// routers, the decrease of G from the first number to the last, and First for these two.
func (s *Scale) WriteTable(out io.Writer) error {
	head, rule := "| load |", "| --- |"
	for _, n := range s.Routers {
		head += fmt.Sprintf(" %d |", n)
		rule += " --- |"
	}
	text := head + " lost from the first to the last | best class, first and last |\n" + rule + " --- | --- |\n"
	for i, load := range s.Loads {
		text += fmt.Sprintf("| %g |", load)
		for _, g := range s.G[i] {
			text += " " + share(g) + " |"
		}
		row, first := s.G[i], s.First[i]
		text += fmt.Sprintf(" %s | %s, %s |\n", share(row[0]-row[len(row)-1]), share(first[0]), share(first[len(first)-1]))
	}
	_, err := io.WriteString(out, text)
	return err
}

func share(x float64) string {
	if math.IsNaN(x) {
		return "-"
	}
	return fmt.Sprintf("%.3f", x)
}

// draw adds a line to a chart for each load.
func (s *Scale) draw(c *plot.Plot, dashed bool) error {
	for i, load := range s.Loads {
		var points plotter.XYs
		for j, g := range s.G[i] {
			if !math.IsNaN(g) {
				points = append(points, plotter.XY{X: float64(s.Routers[j]), Y: g})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Width = palette[i%len(palette)], vg.Points(1.5)
		name := fmt.Sprintf("load %g", load)
		if dashed {
			line.Dashes, name = []vg.Length{vg.Points(4), vg.Points(3)}, name+", before"
		}
		c.Add(line)
		c.Legend.Add(name, line)
	}
	return nil
}

// WriteScalePage writes an HTML page with a chart of G by number of routers and the table. If before
// is not nil, the page includes that earlier result too, in the chart with dashed lines.
func WriteScalePage(out io.Writer, title string, s, before *Scale) error {
	c := plot.New()
	c.Title.Text, c.X.Label.Text, c.Y.Label.Text = "what is served by how many routers stand before the same hosts", "routers", "G"
	c.X.Scale, c.X.Tick.Marker = plot.LogScale{}, counts(s.Routers)
	c.Y.Min, c.Y.Max = 0, 1
	c.Add(plotter.NewGrid())
	for i, x := range []*Scale{s, before} {
		if x == nil {
			continue
		}
		if err := x.draw(c, i == 1); err != nil {
			return err
		}
	}
	picture, err := svg(c)
	if err != nil {
		return err
	}
	title = html.EscapeString(title)
	if _, err := fmt.Fprintf(out, "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>%s</title>\n"+
		"<style>body{font:16px sans-serif;margin:2em auto;max-width:62em}svg{max-width:100%%;height:auto}</style></head><body>\n<h1>%s</h1>\n%s\n<pre>\n", title, title, picture); err != nil {
		return err
	}
	for i, x := range []*Scale{s, before} {
		if x == nil {
			continue
		}
		if i == 1 {
			fmt.Fprintln(out, "\nbefore")
		}
		if err := x.WriteTable(out); err != nil {
			return err
		}
	}
	_, err = io.WriteString(out, "</pre>\n</body></html>\n")
	return err
}

// counts is a plot.Ticker that marks the given numbers of routers on an axis.
type counts []int

// Ticks implements plot.Ticker.
func (c counts) Ticks(low, high float64) (ticks []plot.Tick) {
	for _, n := range c {
		if x := float64(n); x >= low && x <= high {
			ticks = append(ticks, plot.Tick{Value: x, Label: fmt.Sprint(n)})
		}
	}
	slices.SortFunc(ticks, func(a, b plot.Tick) int { return cmp.Compare(a.Value, b.Value) })
	return ticks
}
