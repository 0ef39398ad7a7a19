package pairedruns

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
)

// maxShownCauses is the maximum number of causes in a row. A row names the causes whose loss changed
// most.
const maxShownCauses = 4

// Print writes a row for each site and day. It adds a row for each site if there are several days,
// and a row for all sites if there are several sites. Rows for plays with broken rules follow.
func (r *Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tday\tbefore\tafter\tdifference\tpairs\tlosses that changed most")
	for _, site := range r.plan.Sites {
		for _, day := range r.plan.Days {
			r.row(t, site, day)
		}
		if len(r.plan.Days) > 1 {
			r.row(t, site, "")
		}
	}
	if len(r.plan.Sites) > 1 {
		r.row(t, "", "")
	}
	for _, p := range r.Broken() {
		fmt.Fprintf(t, "broken\t%s\tseed %d\t%s\t%s\n", p.Day, p.Seed, p.Version, strings.Join(r.played[p].Broken, " "))
	}
	return t.Flush()
}

func (r *Result) row(w io.Writer, site, day string) {
	d := r.ValueDifference(site, day)
	name := strings.TrimSuffix(filepath.Base(site), ".toml")
	if site == "" {
		name = "all"
	}
	fmt.Fprintf(w, "%s\t%s\t%.4f\t%.4f\t%s\t%d\t%s\n", name, cmp.Or(day, "all"), r.Mean(Before, site, day), r.Mean(After, site, day), d, d.Pairs,
		r.changes(site, day))
}

// String returns the mean and, unless it is NaN, the standard error.
func (d Difference) String() string {
	if math.IsNaN(d.Error) {
		return fmt.Sprintf("%+.4f", d.Mean)
	}
	return fmt.Sprintf("%+.4f ± %.4f", d.Mean, d.Error)
}

// changes returns the causes whose loss changed most, with the differences.
func (r *Result) changes(site, day string) string {
	size := func(cause string) float64 { return math.Abs(r.Lost(site, day, cause).Mean) }
	causes := slices.SortedFunc(slices.Values(r.Causes()), func(a, b string) int { return cmp.Compare(size(b), size(a)) })
	var columns []string
	for _, cause := range causes[:min(len(causes), maxShownCauses)] {
		columns = append(columns, fmt.Sprintf("%s %s", cause, r.Lost(site, day, cause)))
	}
	return strings.Join(columns, ", ")
}
