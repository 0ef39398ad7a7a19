package report

import (
	"maps"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"
)

// figures returns the report as one table with a row for each figure.
func (r *Report) figures() table.Writer {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"pool", "class", "host", "figure", "side", "place", "value"})
	for _, p := range r.Pools {
		addCount := func(figure string, v any) { t.AppendRow(table.Row{p.Name, "", "", figure, "", "", v}) }
		addCount("records", p.Records)
		addCount("compared", p.Compared)
		addCount("compared after a gap", p.Gaps)
		addCount("same finish", p.SameFinish)
		addCount("similarity of a part", p.Partial)
		for _, cause := range slices.Sorted(maps.Keys(p.Causes)) {
			addCount("not comparable: "+cause, p.Causes[cause])
		}
		for _, kind := range slices.Sorted(maps.Keys(p.Texts)) {
			addCount("text: "+kind, p.Texts[kind])
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
