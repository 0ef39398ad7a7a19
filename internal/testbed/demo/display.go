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

// display shows the outcomes of a demo as it runs, and drains and kills hosts.
type display struct {
	options   *Options
	clients   *fakes.Clients
	processes *processes
	lines     int // of the last table, which the next one replaces
	seconds   []second
	notice    string
}

// second counts the requests of a second by whether their answers were good.
type second struct{ Good, Other float64 }

// run shows the table each second, and runs the steps on hosts at their times, until done is
// closed.
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

// totals counts all requests so far.
func (w *display) totals() (all second) {
	for _, t := range w.clients.Tallies() {
		all.Good += float64(t.Good)
		all.Other += float64(t.Asked - t.Good)
	}
	return all
}

// announce shows a step.
func (w *display) announce(text string) {
	w.notice = text
	if !w.options.Live {
		fmt.Fprintln(w.options.Out, text)
	}
}

// drain has the first host drain.
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

// restart starts the second host again.
func (w *display) restart() {
	h := w.processes.Hosts[1]
	if err := h.Start(); err != nil {
		w.announce(fmt.Sprintf("%s does not come back: %v", h.ID, err))
		return
	}
	w.announce(h.ID + " is back, cold")
	w.processes.UpdateList(h, "Ready", time.Now().UnixMilli())
}

// draw writes the table, in place of the last one on a terminal, or a summary.
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

// page writes the charts and returns the path.
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
