package main

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"reachspread/internal/system/status"
)

// noneText is printed in a table cell for a value that is unknown or does not exist.
const noneText = "-"

// writeTable writes a table with aligned columns. The heading names the columns, separated by |. The
// function rows calls its argument once for each row.
func writeTable(w io.Writer, heading string, rows func(row func(columns ...any))) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, strings.ReplaceAll(heading, "|", "\t"))
	rows(func(columns ...any) {
		for i, c := range columns {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, c)
		}
		fmt.Fprintln(t)
	})
}

func modelsText(all []status.Model) string {
	var names []string
	for _, m := range all {
		names = append(names, fmt.Sprintf("%s:%d", m.Name, m.Version))
	}
	return cmp.Or(strings.Join(names, ","), noneText)
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// durationText formats a duration in seconds, rounded to 10 ms. It returns a dash for nil.
func durationText(seconds *float64) string {
	if seconds == nil {
		return noneText
	}
	return time.Duration(*seconds * float64(time.Second)).Round(10 * time.Millisecond).String()
}
