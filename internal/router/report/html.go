package report

import (
	"fmt"
	"html"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// WriteHTML writes one HTML page with the tables and charts. The page refers to no other resource,
// so that a browser can show it without a network.
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

// style is the CSS style sheet of the page.
const style = `body{font:15px/1.4 sans-serif;margin:2em auto;max-width:70em;padding:0 1em;color:#222}
table.figures{border-collapse:collapse;margin:1.5em 0;font-variant-numeric:tabular-nums}
table.figures caption,table.figures .title{text-align:left;font-weight:bold;padding:.3em 0}
table.figures th,table.figures td{border-bottom:1px solid #ddd;padding:.25em .8em;text-align:left}
table.figures td[align=right]{text-align:right}
.charts{display:flex;flex-wrap:wrap;gap:1em}figure{margin:0}`
