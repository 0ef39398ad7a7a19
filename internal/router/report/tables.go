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

// Formats lists the formats that Write supports.
var Formats = []string{"terminal", "markdown", "csv", "json"}

// Write writes the report in one of Formats. The CSV form is one table with a row for each figure.
// The JSON form is the encoded Report.
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
	return fmt.Errorf("format %q is not supported; it must be one of %v", format, Formats)
}

// heading returns a line with the folder, the period of its records, and the number of skipped
// lines.
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

// tables returns three tables for each pool: the counts of the copies, the differences of the texts,
// and the times.
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

func percentage(n, total int) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(total))
}

// counts returns the table of the numbers of copies: recorded, compared, and not comparable by cause.
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

// texts returns the table of how the compared answers differ.
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

// times returns the table of the times of live answers and copies.
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
