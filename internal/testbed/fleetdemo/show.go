package fleetdemo

import (
	"fmt"
	"html"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"reachspread/internal/router/report"
	"reachspread/internal/testbed/pintest"
)

const (
	barWidth    = 50
	chartWidth  = 9 * vg.Inch
	chartHeight = 4 * vg.Inch
)

// show prints the outcomes of the requests, as a table by router and as bars by second, and the
// violations of the pins. It writes the page if Options.Page is set.
func (d *demo) show(r pintest.Report) error {
	requests := d.scenario.Requests()
	d.printRouters(requests)
	seconds := d.bySecond(requests)
	d.printSeconds(seconds)
	fmt.Fprintf(d.options.Out, "%d requests, %d served, %d changes of the pin; answers that were not as promised: %d\n", r.Requests, r.Served, r.Changes, len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintln(d.options.Out, "  ", violation)
	}
	if d.options.Page == "" {
		return nil
	}
	if err := report.WriteFile(d.options.Page, func(w io.Writer) error { return d.writePage(w, seconds) }); err != nil {
		return err
	}
	fmt.Fprintln(d.options.Out, "chart:", d.options.Page)
	return nil
}

// printRouters prints a table of the outcomes by router.
func (d *demo) printRouters(requests []pintest.Request) {
	tallies := make([]tally, d.fleet.Len())
	for _, a := range requests {
		tallies[a.Router].add(a)
	}
	t := tabwriter.NewWriter(d.options.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer t.Flush()
	fmt.Fprintln(t, "router\tserved\trefused\tfailed\t")
	for i, tally := range tallies {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t\n", d.fleet.Name(i), tally.served, tally.refused, tally.failed)
	}
}

// bySecond returns the outcomes of the requests sent in each second of the load.
func (d *demo) bySecond(requests []pintest.Request) []tally {
	seconds := make([]tally, int(d.options.Length/time.Second)+1)
	for _, a := range requests {
		if second := int(a.Sent.Sub(d.loadStart) / time.Second); second >= 0 && second < len(seconds) {
			seconds[second].add(a)
		}
	}
	return seconds
}

// printSeconds prints a bar for each second, with the events of that second. In a bar, # stands for
// served requests and . for all others.
func (d *demo) printSeconds(seconds []tally) {
	largest := 1
	for _, s := range seconds {
		largest = max(largest, s.served+s.refused+s.failed)
	}
	for i, s := range seconds {
		served, lost := s.served*barWidth/largest, (s.refused+s.failed)*barWidth/largest
		events := ""
		for _, e := range d.events {
			if int(e.at/time.Second) == i {
				events += "  " + e.text
			}
		}
		fmt.Fprintf(d.options.Out, "%3ds %5d %s%s%s\n", i, s.served, strings.Repeat("#", served), strings.Repeat(".", lost), events)
	}
}

// writePage writes an HTML page with a chart of the outcomes by second and a list of the events.
func (d *demo) writePage(w io.Writer, seconds []tally) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = "Requests by second", "seconds", "requests"
	served, lost := plotter.XYs{}, plotter.XYs{}
	for i, s := range seconds {
		served = append(served, plotter.XY{X: float64(i), Y: float64(s.served)})
		lost = append(lost, plotter.XY{X: float64(i), Y: float64(s.refused + s.failed)})
	}
	for _, line := range []struct {
		name   string
		points plotter.XYs
	}{{"served", served}, {"refused or failed", lost}} {
		drawn, err := plotter.NewLine(line.points)
		if err != nil {
			return err
		}
		if line.name != "served" {
			drawn.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
		}
		chart.Add(drawn)
		chart.Legend.Add(line.name, drawn)
	}
	svg, err := report.SVG(chart, chartWidth, chartHeight)
	if err != nil {
		return err
	}
	var list strings.Builder
	for _, e := range d.events {
		fmt.Fprintf(&list, "<li>%.1f s: %s</li>\n", e.at.Seconds(), html.EscapeString(e.text))
	}
	_, err = fmt.Fprintf(w, "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>A router fleet</title></head><body>\n%s\n<ul>\n%s</ul>\n</body></html>\n", svg, list.String())
	return err
}
