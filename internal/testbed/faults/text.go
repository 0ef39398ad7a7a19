package faults

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Text returns a schedule as text, one block per fault, from which it can be read again.
func Text(all []Fault) string {
	var b strings.Builder
	for i := range all {
		all[i].text(&b)
	}
	return b.String()
}

func (f *Fault) text(b *strings.Builder) {
	fmt.Fprintf(b, "\nfault %q {\n", f.Kind)
	line := func(field string, set bool, value string) {
		if set {
			fmt.Fprintf(b, "  %s = %s\n", field, value)
		}
	}
	span := func(d time.Duration) string { return strconv.Quote(d.String()) }
	share := func(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
	line("at", f.When == nil, span(f.At))
	line("length", true, span(f.Length))
	line("routers", !f.Routers.IsEmpty(), f.Routers.text())
	line("hosts", !f.Hosts.IsEmpty(), f.Hosts.text())
	line("peers", !f.Peers.IsEmpty(), f.Peers.text())
	line("zone", f.Zone != "", strconv.Quote(f.Zone))
	var links []string
	for _, l := range f.Links {
		links = append(links, strconv.Quote(l))
	}
	line("links", len(links) > 0, "["+strings.Join(links, ", ")+"]")
	line("direction", f.Direction != "", strconv.Quote(string(f.Direction)))
	if f.Zones {
		line("groups", true, `"zones"`)
	} else if len(f.Groups) > 0 {
		var groups []string
		for _, g := range f.Groups {
			groups = append(groups, numbers(g))
		}
		line("groups", true, "["+strings.Join(groups, ", ")+"]")
	}
	line("bridge", len(f.Bridge) > 0, numbers(f.Bridge))
	line("share", f.Share != 0, share(f.Share))
	line("size", f.Size != 0, share(f.Size))
	line("delay", f.Delay != 0, span(f.Delay))
	line("jitter", f.Jitter != 0, span(f.Jitter))
	line("disk", f.Disk != "", strconv.Quote(string(f.Disk)))
	line("file", f.File != "", strconv.Quote(f.File))
	line("keep", f.RemainingFraction != 0, share(f.RemainingFraction))
	if w := f.When; w != nil {
		b.WriteString("  when {\n")
		line("  what", w.What != "", strconv.Quote(w.What))
		line("  who", w.Who != "", strconv.Quote(w.Who))
		line("  text", w.Text != "", strconv.Quote(w.Text))
		line("  nth", w.Nth != 0, strconv.Itoa(w.Nth))
		line("  after", f.At != 0, span(f.At))
		b.WriteString("  }\n")
	}
	b.WriteString("}\n")
}

func (s *Selection) text() string {
	switch {
	case s.All:
		return `"all"`
	case len(s.Numbers) > 0:
		return numbers(s.Numbers)
	case s.Zone != "":
		return strconv.Quote(s.Zone)
	}
	return strconv.FormatFloat(s.Fraction, 'g', -1, 64)
}

func numbers(ns []int) string {
	var texts []string
	for _, n := range ns {
		texts = append(texts, strconv.Itoa(n))
	}
	return "[" + strings.Join(texts, ", ") + "]"
}

// Whom returns the names of the affected routers and hosts for a log line.
func (s *Injection) Whom() string {
	var texts []string
	for _, n := range s.Routers {
		texts = append(texts, "r"+strconv.Itoa(n))
	}
	for _, n := range s.Hosts {
		texts = append(texts, "h"+strconv.Itoa(n))
	}
	if s.Kind == Partition {
		if s.Zones {
			return "zones"
		}
		for _, g := range s.Groups {
			texts = append(texts, numbers(g))
		}
	}
	return strings.Join(texts, " ")
}
