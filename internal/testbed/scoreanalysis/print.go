package scoreanalysis

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Print shows at most maxShownCauses causes of a day, and no cause that took less worth than
// minShownLoss.
const (
	maxShownCauses = 8
	minShownLoss   = 0.0005
)

// Print writes what each day of a lost, and the mean loss of each cause. If compared is not nil, it
// is the account of other plays of the same days, and Print adds the differences from its figures in
// parentheses.
func Print(w io.Writer, a, compared *Account) {
	if a.ID != "" {
		fmt.Fprintf(w, "%s, entry %s: %s\n", a.Site, a.ID, a.Why)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "day\tworth\tscore\trules\twhat took most, in worth")
	for i := range a.Days {
		d := &a.Days[i]
		var other *Day
		if compared != nil {
			other = compared.Named(d.Name)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", d.Name, valueText(d, other), scoreText(d), rulesText(d), causesText(d.Losses, other))
	}
	fmt.Fprintf(t, "mean\t\t\t\t%s\n", causesText(a.Mean(), meanOf(compared)))
}

// meanOf returns the mean losses of an account in the form of a day, or nil if a is nil.
func meanOf(a *Account) *Day {
	if a == nil {
		return nil
	}
	return &Day{Losses: a.Mean()}
}

func valueText(d, other *Day) string {
	if other == nil {
		return fmt.Sprintf("%.3f", d.Worth)
	}
	return fmt.Sprintf("%.3f (%+.3f)", d.Worth, d.Worth-other.Worth)
}

func scoreText(d *Day) string {
	if !d.Scored {
		return "-"
	}
	return fmt.Sprintf("%.2f", d.Score)
}

func rulesText(d *Day) string {
	if len(d.Broken) == 0 {
		return "kept"
	}
	return "broken: " + strings.Join(d.Broken, " ")
}

func causesText(all []Loss, other *Day) string {
	var columns []string
	for _, l := range all[:min(len(all), maxShownCauses)] {
		if l.Worth < minShownLoss {
			break
		}
		column := fmt.Sprintf("%s %.3f", l.Cause, l.Worth)
		if other != nil {
			column += fmt.Sprintf(" (%+.3f)", l.Worth-other.Lost(l.Cause))
		}
		columns = append(columns, column)
	}
	return strings.Join(columns, ", ")
}
