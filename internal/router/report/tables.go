package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
)

// Formats are the formats of Write.
var Formats = []string{"terminal", "markdown", "csv", "json"}

// Write writes the report in one of Formats. As CSV it is one table with a line for each figure, as
// JSON the Report itself.
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

// heading names the folder and the time of its records.
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

// counts is the table of how many copies there were, by cause.
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

// texts is the table of how the compared answers differ.
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

// times is the table of the times of both sides.
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
