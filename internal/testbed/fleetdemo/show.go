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

// show prints what came of the requests: a table by router, a chart by second, and whether every answer was as promised.
func (d *demo) show(r pintest.Report) error {
	asked := d.story.Requests()
	d.printRouters(asked)
	seconds := d.bySecond(asked)
	d.printSeconds(seconds)
	fmt.Fprintf(d.o.Out, "%d requests, %d served, %d changes of the pin; answers that were not as promised: %d\n", r.Requests, r.Served, r.Changes, len(r.Violations))
	for _, wrong := range r.Violations {
		fmt.Fprintln(d.o.Out, "  ", wrong)
	}
	if d.o.Page == "" {
		return nil
	}
	if err := report.WriteFile(d.o.Page, func(w io.Writer) error { return d.writePage(w, seconds) }); err != nil {
		return err
	}
	fmt.Fprintln(d.o.Out, "chart:", d.o.Page)
	return nil
}

func (d *demo) printRouters(asked []pintest.Request) {
	tallies := make([]tally, d.fleet.Len())
	for _, a := range asked {
		tallies[a.Router].add(a)
	}
	t := tabwriter.NewWriter(d.o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer t.Flush()
	fmt.Fprintln(t, "router\tserved\trefused\tfailed\t")
	for i, tally := range tallies {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t\n", d.fleet.Name(i), tally.served, tally.refused, tally.failed)
	}
}

// bySecond counts the requests of each second of the load.
func (d *demo) bySecond(asked []pintest.Request) []tally {
	seconds := make([]tally, int(d.o.Length/time.Second)+1)
	for _, a := range asked {
		if second := int(a.Sent.Sub(d.begun) / time.Second); second >= 0 && second < len(seconds) {
			seconds[second].add(a)
		}
	}
	return seconds
}

// printSeconds draws a bar for each second: served, then what was not.
func (d *demo) printSeconds(seconds []tally) {
	most := 1
	for _, s := range seconds {
		most = max(most, s.served+s.refused+s.failed)
	}
	for i, s := range seconds {
		served, lost := s.served*barWidth/most, (s.refused+s.failed)*barWidth/most
		what := ""
		for _, e := range d.events {
			if int(e.at/time.Second) == i {
				what += "  " + e.what
			}
		}
		fmt.Fprintf(d.o.Out, "%3ds %5d %s%s%s\n", i, s.served, strings.Repeat("#", served), strings.Repeat(".", lost), what)
	}
}

// writePage draws the same as a page.
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
		fmt.Fprintf(&list, "<li>%.1f s: %s</li>\n", e.at.Seconds(), html.EscapeString(e.what))
	}
	_, err = fmt.Fprintf(w, "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>A router fleet</title></head><body>\n%s\n<ul>\n%s</ul>\n</body></html>\n", svg, list.String())
	return err
}
