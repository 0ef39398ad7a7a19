package report

import (
	"encoding/json"
	"fmt"
	"html"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
)

// Formats are the names of the ways in which Write writes.
var Formats = []string{"terminal", "markdown", "csv", "json"}

// Write writes the report. As CSV it is one long table, a line for each figure; as JSON the Report
// itself.
func (r *Report) Write(w io.Writer, format string) error {
	switch format {
	case "terminal", "markdown":
		fmt.Fprintln(w, r.heading())
		for _, t := range r.tables() {
			fmt.Fprintln(w)
			out := t.RenderMarkdown
			if format == "terminal" {
				out = t.Render
			}
			fmt.Fprintln(w, out())
		}
		return nil
	case "csv":
		_, err := fmt.Fprintln(w, r.figures().RenderCSV())
		return err
	case "json":
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		return out.Encode(r)
	}
	return fmt.Errorf("format %q is none of %v", format, Formats)
}

func (r *Report) heading() string {
	if len(r.Pools) == 0 {
		return fmt.Sprintf("%s: no records", r.Folder)
	}
	truncated := ""
	if r.TruncatedLines > 0 {
		truncated = fmt.Sprintf("; %d last lines were cut off and passed over", r.TruncatedLines)
	}
	const form = "2006-01-02 15:04:05"
	return fmt.Sprintf("%s: records from %s to %s UTC%s", r.Folder, r.From.UTC().Format(form), r.To.UTC().Format(form), truncated)
}

// tables returns, for each pool, what was compared, how texts differ, and the times.
func (r *Report) tables() []table.Writer {
	var all []table.Writer
	for _, p := range r.Pools {
		all = append(all, p.counts(), p.texts(), p.times())
	}
	return all
}

func titled(title string, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetTitle(title)
	t.AppendHeader(header)
	t.Style().Format.Header = text.FormatDefault
	return t
}

func percentage(n, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(of))
}

func (p *Pool) counts() table.Writer {
	t := titled("Pool "+p.Name+": copies", "copies", "number", "share")
	add := func(name string, n int) { t.AppendRow(table.Row{name, n, percentage(n, p.Records)}) }
	add("recorded", p.Records)
	add("compared", p.Compared)
	add("compared, after a gap in the conversation", p.Gaps)
	for _, cause := range slices.Sorted(maps.Keys(p.Causes)) {
		add("not comparable: "+cause, p.Causes[cause])
	}
	return t
}

func (p *Pool) texts() table.Writer {
	t := titled("Pool "+p.Name+": answers, of those compared", "answers", "number", "share", "mean", "p10", "p50", "p90")
	add := func(name string, n int) { t.AppendRow(table.Row{name, n, percentage(n, p.Compared), "", "", "", ""}) }
	for _, kind := range slices.Sorted(maps.Keys(p.Texts)) {
		add("text: "+kind, p.Texts[kind])
	}
	add("same finish reason", p.SameFinish)
	add("similarity of a part only", p.Partial)
	spread := func(name string, s Spread, digits int) {
		f := func(v float64) string { return strconv.FormatFloat(v, 'f', digits, 64) }
		t.AppendRow(table.Row{name, s.Count, percentage(s.Count, p.Compared), f(s.Mean), f(s.P10), f(s.P50), f(s.P90)})
	}
	spread("similarity, 0 to 1", p.Similarity, 3)
	spread("tokens, more than live", p.TokenDelta, 1)
	spread("kept tokens, more than live", p.CachedTokenDelta, 1)
	return t
}

func (p *Pool) times() table.Writer {
	t := titled("Pool "+p.Name+": times in ms, p50 / p90 / p99", "class", "host", "answers", "time", "live", "copies", "copies to live, p50")
	for _, g := range p.Groups {
		for _, name := range times {
			pair := g.Times[name]
			if pair.Live.Count == 0 && pair.Copy.Count == 0 {
				continue
			}
			ratio := "-"
			if pair.MedianRatio > 0 {
				ratio = fmt.Sprintf("%.2f", pair.MedianRatio)
			}
			t.AppendRow(table.Row{orAll(g.Class), orAll(g.Host), g.Count, name, percentiles(pair.Live), percentiles(pair.Copy), ratio})
		}
	}
	return t
}

func orAll(name string) string {
	if name == "" {
		return "all"
	}
	return name
}

func percentiles(s Spread) string {
	if s.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f / %.1f / %.1f", s.P50, s.P90, s.P99)
}

// figures is all of the report as one line for each figure.
func (r *Report) figures() table.Writer {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"pool", "class", "host", "figure", "side", "place", "value"})
	for _, p := range r.Pools {
		one := func(figure string, v any) { t.AppendRow(table.Row{p.Name, "", "", figure, "", "", v}) }
		one("records", p.Records)
		one("compared", p.Compared)
		one("compared after a gap", p.Gaps)
		one("same finish", p.SameFinish)
		one("similarity of a part", p.Partial)
		for _, cause := range slices.Sorted(maps.Keys(p.Causes)) {
			one("not comparable: "+cause, p.Causes[cause])
		}
		for _, kind := range slices.Sorted(maps.Keys(p.Texts)) {
			one("text: "+kind, p.Texts[kind])
		}
		spread := func(class, host, figure, side string, s Spread) {
			for _, x := range []struct {
				percentile string
				v          float64
			}{{"count", float64(s.Count)}, {"mean", s.Mean}, {"p10", s.P10}, {"p50", s.P50}, {"p90", s.P90}, {"p99", s.P99}} {
				t.AppendRow(table.Row{p.Name, class, host, figure, side, x.percentile, x.v})
			}
		}
		spread("", "", "similarity", "", p.Similarity)
		spread("", "", "more tokens", "", p.TokenDelta)
		spread("", "", "more kept tokens", "", p.CachedTokenDelta)
		for _, g := range p.Groups {
			for _, name := range times {
				spread(g.Class, g.Host, name+", ms", "live", g.Times[name].Live)
				spread(g.Class, g.Host, name+", ms", "copy", g.Times[name].Copy)
			}
		}
	}
	return t
}

// WriteHTML writes one page with the tables and charts. All of it is in the page, so it opens
// without a network.
func (r *Report) WriteHTML(w io.Writer) error {
	fmt.Fprintf(w, "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Shadow pools</title>\n<style>%s</style></head><body>\n", style)
	fmt.Fprintf(w, "<h1>Shadow pools</h1>\n<p>%s</p>\n", html.EscapeString(r.heading()))
	for _, p := range r.Pools {
		fmt.Fprintf(w, "<h2>Pool %s</h2>\n<div class=\"charts\">\n", html.EscapeString(p.Name))
		charts, err := p.charts()
		if err != nil {
			return err
		}
		for _, chart := range charts {
			fmt.Fprintf(w, "<figure>%s</figure>\n", chart)
		}
		fmt.Fprintln(w, "</div>")
		for _, t := range []table.Writer{p.counts(), p.texts(), p.times()} {
			t.Style().HTML = table.HTMLOptions{CSSClass: "figures", EscapeText: true, EmptyColumn: "&nbsp;", Newline: "<br/>"}
			fmt.Fprintln(w, t.RenderHTML())
		}
	}
	_, err := fmt.Fprintln(w, "</body></html>")
	return err
}

const style = `body{font:15px/1.4 sans-serif;margin:2em auto;max-width:70em;padding:0 1em;color:#222}
table.figures{border-collapse:collapse;margin:1.5em 0;font-variant-numeric:tabular-nums}
table.figures caption,table.figures .title{text-align:left;font-weight:bold;padding:.3em 0}
table.figures th,table.figures td{border-bottom:1px solid #ddd;padding:.25em .8em;text-align:left}
table.figures td[align=right]{text-align:right}
.charts{display:flex;flex-wrap:wrap;gap:1em}figure{margin:0}`
