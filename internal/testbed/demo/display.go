package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"reachspread/internal/router/report"
	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/hostmodel"
)

// display shows the outcomes of a demo while the demo runs. It also drains, kills and restarts hosts.
type display struct {
	options   *Options
	clients   *fakes.Clients
	processes *processes
	lines     int // number of lines of the last table, which the next table replaces
	seconds   []second
	notice    string
}

// second holds the number of requests in one second whose answers were good, and of all others.
type second struct{ Good, Other float64 }

// run drains, kills and restarts hosts at their times, and shows the outcomes until done is closed.
// On a terminal, it redraws the table every second. On another output, it writes a summary every
// summaryInterval seconds and the table at the end.
func (w *display) run(ctx context.Context, done <-chan bool, length time.Duration) {
	started := time.Now()
	steps := []struct {
		at  float64
		run func()
	}{{drainFraction, w.drain}, {killFraction, w.kill}, {restartFraction, w.restart}}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	var before second
	for n := 1; ; n++ {
		over := false
		var next <-chan time.Time
		if len(steps) > 0 {
			next = time.After(time.Until(started.Add(time.Duration(steps[0].at * float64(length)))))
		}
		select {
		case <-next:
			steps[0].run()
			steps = steps[1:]
			n--
			continue
		case <-ticker.C:
		case <-done:
			over = true
		}
		now := w.totals()
		w.seconds = append(w.seconds, second{now.Good - before.Good, now.Other - before.Other})
		before = now
		if over || w.options.Live || n%summaryInterval == 0 {
			w.draw(time.Since(started), over)
		}
		if over {
			return
		}
	}
}

// totals returns the counts of all requests so far.
func (w *display) totals() (all second) {
	for _, t := range w.clients.Tallies() {
		all.Good += float64(t.Good)
		all.Other += float64(t.Asked - t.Good)
	}
	return all
}

// announce shows the text of a step: in the table on a terminal, and else on a line of its own.
func (w *display) announce(text string) {
	w.notice = text
	if !w.options.Live {
		fmt.Fprintln(w.options.Out, text)
	}
}

// drain makes the first host drain, and marks it as terminating in discovery.
func (w *display) drain() {
	h := w.processes.Hosts[0]
	w.announce(h.ID + " drains")
	w.processes.UpdateList(h, "Terminating", 0)
	h.Step(hostmodel.Drain{})
}

// kill kills the second host.
func (w *display) kill() {
	h := w.processes.Hosts[1]
	w.announce(h.ID + " is killed")
	h.Kill()
}

// restart starts the second host again, and marks it as ready in discovery.
func (w *display) restart() {
	h := w.processes.Hosts[1]
	if err := h.Start(); err != nil {
		w.announce(fmt.Sprintf("%s does not come back: %v", h.ID, err))
		return
	}
	w.announce(h.ID + " is back, cold")
	w.processes.UpdateList(h, "Ready", time.Now().UnixMilli())
}

// draw writes the table or, if the output is not a terminal and the demo is not over, a one-line
// summary. On a terminal, the table replaces the previous one.
func (w *display) draw(after time.Duration, final bool) {
	var b strings.Builder
	if w.options.Live && w.lines > 0 {
		fmt.Fprintf(&b, "\x1b[%dA\x1b[J", w.lines)
	}
	table := &strings.Builder{}
	if w.options.Live || final {
		fmt.Fprintf(table, "%v  %s\n%-14s %6s %6s %6s %8s %7s %7s %8s %8s\n", after.Round(time.Second), w.notice, "class", "asked", "good", "late", "refused", "failed", "broken", "p50 ms", "p99 ms")
		for _, t := range w.clients.Tallies() {
			fmt.Fprintf(table, "%-14s %6d %6d %6d %8d %7d %7d %8.0f %8.0f\n", t.Class, t.Asked, t.Good, t.Late, t.Refused, t.Failed, t.Interrupted,
				float64(t.FirstToken.ValueAtQuantile(50))/1000, float64(t.FirstToken.ValueAtQuantile(99))/1000)
		}
		for _, h := range w.processes.Hosts {
			x := h.Stats()
			fmt.Fprintf(table, "%s: %d running, %d waiting, %d connections, capacity %.2f, up: %v\n", h.ID, x.Running, x.Waiting, x.Connections, x.Capacity, x.Alive)
		}
	} else {
		sum := w.totals()
		fmt.Fprintf(table, "%v: %.0f answered well, %.0f otherwise\n", after.Round(time.Second), sum.Good, sum.Other)
	}
	w.lines = strings.Count(table.String(), "\n")
	io.WriteString(w.options.Out, b.String()+table.String())
}

// page writes the charts to a file and returns its path.
func (w *display) page(x *experiment.Experiment, path string) (string, error) {
	if path == "" {
		path = filepath.Join(os.TempDir(), "reachlab-demo.html")
	}
	var k experiment.KeptRun
	k.Variant, k.Seed = "demo", x.Seeds[0]
	for _, s := range w.seconds {
		k.Result.Seconds = append(k.Result.Seconds, struct{ Good, Other float64 }(s))
		k.Result.Worth += s.Good
		k.Result.Asked += s.Good + s.Other
	}
	return path, report.WriteFile(path, func(to io.Writer) error { return x.WritePage(to, []experiment.KeptRun{k}) })
}
