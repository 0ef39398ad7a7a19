// Package demo shows the router at work to a newcomer: it starts stand-in hosts, discovery and the real router on free
// loopback ports, sends a plan's requests, drains one host and kills another on the way, and tells what came of it.
package demo

import (
	"cmp"
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"reachspread/internal/logging"
	"reachspread/internal/router/program"
	"reachspread/internal/router/report"
	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/hostmodel"
	"reachspread/internal/testbed/simulator"
)

//go:embed demo.hcl
var defaults []byte

// Options are what a demo may be told.
type Options struct {
	Out    io.Writer
	Live   bool          // Out is a terminal: the table is drawn over and over
	Length time.Duration // of the load; 0 for a minute
	Keep   bool          // all stays up until ctx ends
	Page   string        // where the charts go; empty for a folder of the system's
	Log    io.Writer     // of the router; nil for nowhere
}

const (
	readyWithin = 10 * time.Second
	lineEvery   = 10 // seconds, between two lines that are not drawn over
)

// troubles is when what happens, in shares of the length.
const drainAt, killAt, backAt = 0.35, 0.6, 0.7

// Run plays a demo until it is over or ctx ends. Whatever it started is ended by then.
func Run(ctx context.Context, o Options) (err error) {
	x, err := experiment.Parse(defaults, "demo.hcl")
	if err != nil {
		return err
	}
	spec := x.World(0, x.Seeds[0])
	spec.Length = cmp.Or(o.Length, spec.Length)
	plan, err := simulator.Plan(spec)
	if err != nil {
		return err
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	s, err := start(ctx, &spec, o.Log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.stop()) }()
	fmt.Fprintf(o.Out, "router %s, discovery %s", s.addr, s.List.Addr)
	for _, h := range s.Hosts {
		fmt.Fprintf(o.Out, ", %s %s", h.ID, h.Addr)
	}
	fmt.Fprintf(o.Out, "\n%d requests in %v\n", len(plan), spec.Length)

	clients := fakes.NewClients(s.addr, &spec)
	done := make(chan bool)
	go func() {
		defer close(done)
		clients.Run(ctx, plan)
	}()
	shown := &show{o: &o, clients: clients, s: s}
	shown.watch(ctx, done, spec.Length)
	if ctx.Err() == nil {
		page, err := shown.page(x, o.Page)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Out, "charts: %s\n", page)
	}
	if o.Keep && ctx.Err() == nil {
		fmt.Fprintf(o.Out, "all stays up until Ctrl-C; to ask:\n%s\n", s.curl())
		<-ctx.Done()
	}
	return nil
}

// stage is what a demo has started.
type stage struct {
	*fakes.Fleet
	addr   string
	end    context.CancelFunc // of the router
	ended  chan error
	folder string
}

func start(ctx context.Context, spec *simulator.Spec, log io.Writer) (s *stage, err error) {
	s = &stage{ended: make(chan error, 1), end: func() {}}
	defer func() {
		if err != nil {
			s.stop()
			s = nil
		}
	}()
	if s.folder, err = os.MkdirTemp("", "reachlab-demo-"); err != nil {
		return s, err
	}
	if s.Fleet, err = fakes.NewFleet(spec, fakes.AnyPort); err != nil {
		return s, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, err
	}
	s.addr = ln.Addr().String()
	ln.Close() // the router listens there next
	path := filepath.Join(s.folder, "config.json")
	if err = os.WriteFile(path, s.RouterConfig(fakes.RouterSite{Name: "demo", Listen: s.addr}), 0o600); err != nil {
		return s, err
	}
	env := func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] }
	cfg, err := program.Load(env)
	if err != nil {
		return s, err
	}
	routerCtx, end := context.WithCancel(context.WithoutCancel(ctx)) // it ends after its clients
	s.end = end
	go func() { s.ended <- program.New(cfg, env, "", logging.New(log, logging.Text)).Run(routerCtx, nil) }()
	return s, s.ready(ctx)
}

// ready waits until the router says that it is.
func (s *stage) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		resp, err := http.Get("http://" + s.addr + "/-/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case err := <-s.ended:
			s.ended <- nil
			return fmt.Errorf("the router ended: %w", err)
		case <-ctx.Done():
			return fmt.Errorf("the router is not ready: %w", ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// stop ends all of it, the router first and in order.
func (s *stage) stop() error {
	var err error
	if s.addr != "" {
		s.end()
		select {
		case err = <-s.ended:
		case <-time.After(readyWithin):
			err = errors.New("the router did not end in time")
		}
	}
	if s.Fleet != nil {
		s.Fleet.Close()
	}
	return errors.Join(err, os.RemoveAll(s.folder))
}

func (s *stage) curl() string {
	return fmt.Sprintf(`curl -N http://%s/v1/chat/completions -H 'X-Correlation-Id: '$RANDOM$RANDOM -H 'X-Service-Class: desk-chat' `+
		`-H 'X-Session-Key: me' -H 'X-Time-Left: 6000m' -H 'X-Facts: prompt_len=100,max_out=50' -d '{"stream":true,"max_tokens":50}'`, s.addr)
}

// show tells of a demo as it goes.
type show struct {
	o       *Options
	clients *fakes.Clients
	s       *stage
	lines   int // drawn last, to be drawn over
	seconds []second
	notice  string
}

type second struct{ Good, Other float64 }

// watch shows the table each second, and has things happen to the hosts.
func (w *show) watch(ctx context.Context, done <-chan bool, length time.Duration) {
	started := time.Now()
	happen := []struct {
		at float64
		do func()
	}{{drainAt, w.drain}, {killAt, w.kill}, {backAt, w.back}}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	var before second
	for n := 1; ; n++ {
		over := false
		var next <-chan time.Time
		if len(happen) > 0 {
			next = time.After(time.Until(started.Add(time.Duration(happen[0].at * float64(length)))))
		}
		select {
		case <-next:
			happen[0].do()
			happen = happen[1:]
			n--
			continue
		case <-ticker.C:
		case <-done:
			over = true
		}
		now := w.sum()
		w.seconds = append(w.seconds, second{now.Good - before.Good, now.Other - before.Other})
		before = now
		if over || w.o.Live || n%lineEvery == 0 {
			w.draw(time.Since(started), over)
		}
		if over {
			return
		}
	}
}

func (w *show) sum() (all second) {
	for _, t := range w.clients.Tallies() {
		all.Good += float64(t.Good)
		all.Other += float64(t.Asked - t.Good)
	}
	return all
}

func (w *show) announce(text string) {
	w.notice = text
	if !w.o.Live {
		fmt.Fprintln(w.o.Out, text)
	}
}

func (w *show) drain() {
	h := w.s.Hosts[0]
	w.announce(h.ID + " drains")
	w.s.UpdateList(h, "Terminating", 0)
	h.Step(hostmodel.Drain{})
}

func (w *show) kill() {
	h := w.s.Hosts[1]
	w.announce(h.ID + " is killed")
	h.Kill()
}

func (w *show) back() {
	h := w.s.Hosts[1]
	if err := h.Start(); err != nil {
		w.announce(fmt.Sprintf("%s does not come back: %v", h.ID, err))
		return
	}
	w.announce(h.ID + " is back, cold")
	w.s.UpdateList(h, "Ready", time.Now().UnixMilli())
}

// draw writes the table, over the last one on a terminal.
func (w *show) draw(after time.Duration, final bool) {
	var b strings.Builder
	if w.o.Live && w.lines > 0 {
		fmt.Fprintf(&b, "\x1b[%dA\x1b[J", w.lines)
	}
	table := &strings.Builder{}
	if w.o.Live || final {
		fmt.Fprintf(table, "%v  %s\n%-14s %6s %6s %6s %8s %7s %7s %8s %8s\n", after.Round(time.Second), w.notice, "class", "asked", "good", "late", "refused", "failed", "broken", "p50 ms", "p99 ms")
		for _, t := range w.clients.Tallies() {
			fmt.Fprintf(table, "%-14s %6d %6d %6d %8d %7d %7d %8.0f %8.0f\n", t.Class, t.Asked, t.Good, t.Late, t.Refused, t.Failed, t.Interrupted,
				float64(t.FirstToken.ValueAtQuantile(50))/1000, float64(t.FirstToken.ValueAtQuantile(99))/1000)
		}
		for _, h := range w.s.Hosts {
			x := h.Stats()
			fmt.Fprintf(table, "%s: %d running, %d waiting, %d connections, capacity %.2f, up: %v\n", h.ID, x.Running, x.Waiting, x.Connections, x.Capacity, x.Alive)
		}
	} else {
		sum := w.sum()
		fmt.Fprintf(table, "%v: %.0f answered well, %.0f otherwise\n", after.Round(time.Second), sum.Good, sum.Other)
	}
	w.lines = strings.Count(table.String(), "\n")
	io.WriteString(w.o.Out, b.String()+table.String())
}

// page writes the charts and returns where.
func (w *show) page(x *experiment.Experiment, path string) (string, error) {
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
