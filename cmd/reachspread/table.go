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

// noneText stands in a table for what is not known or does not exist.
const noneText = "-"

// writeTable writes rows in columns under a heading, whose columns are separated by |.
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

// durationText is a time in seconds for people, a dash for nil.
func durationText(seconds *float64) string {
	if seconds == nil {
		return noneText
	}
	return time.Duration(*seconds * float64(time.Second)).Round(10 * time.Millisecond).String()
}
