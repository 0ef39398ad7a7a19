// Package demo shows the router to a newcomer: it starts fake hosts, discovery and the real router
// on free loopback ports, sends a plan's requests, drains one host and kills another on the way,
// and shows the outcomes. All it started has ended when it returns.
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
	"time"

	"reachspread/internal/logging"
	"reachspread/internal/router/program"
	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/simulator"
)

//go:embed demo.hcl
var defaults []byte

// Options are the length and outputs of a demo.
type Options struct {
	Out    io.Writer
	Live   bool          // Out is a terminal: the table is redrawn in place
	Length time.Duration // of the load; 0 for a minute
	StayUp bool          // the processes stay up after the load until ctx ends
	Page   string        // where the charts go; empty for a file in the system's folder of temporary files
	Log    io.Writer     // of the router; nil discards it
}

const (
	readyTimeout    = 10 * time.Second
	summaryInterval = 10 // seconds, between two summaries on an output that is no terminal
)

// When hosts drain, die and restart, as fractions of the length.
const drainFraction, killFraction, restartFraction = 0.35, 0.6, 0.7

// Run runs a demo until it is over or ctx ends. The error is that of starting or ending the
// processes, or of the page.
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
	shown := &display{options: &o, clients: clients, processes: s}
	shown.run(ctx, done, spec.Length)
	if ctx.Err() == nil {
		page, err := shown.page(x, o.Page)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Out, "charts: %s\n", page)
	}
	if o.StayUp && ctx.Err() == nil {
		fmt.Fprintf(o.Out, "all stays up until Ctrl-C; to ask:\n%s\n", s.curl())
		<-ctx.Done()
	}
	return nil
}

// processes are the hosts, discovery and router of a demo.
type processes struct {
	*fakes.Fleet
	addr       string
	stopRouter context.CancelFunc // of the router
	routerDone chan error
	folder     string
}

// start starts them and waits until the router is ready.
func start(ctx context.Context, spec *simulator.Spec, log io.Writer) (s *processes, err error) {
	s = &processes{routerDone: make(chan error, 1), stopRouter: func() {}}
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
	s.stopRouter = end
	go func() { s.routerDone <- program.New(cfg, env, "", logging.New(log, logging.Text)).Run(routerCtx, nil) }()
	return s, s.awaitReady(ctx)
}

// awaitReady waits until the router is ready.
func (s *processes) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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
		case err := <-s.routerDone:
			s.routerDone <- nil
			return fmt.Errorf("the router ended: %w", err)
		case <-ctx.Done():
			return fmt.Errorf("the router is not ready: %w", ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// stop ends the router, gracefully, and then the hosts and discovery.
func (s *processes) stop() error {
	var err error
	if s.addr != "" {
		s.stopRouter()
		select {
		case err = <-s.routerDone:
		case <-time.After(readyTimeout):
			err = errors.New("the router did not end in time")
		}
	}
	if s.Fleet != nil {
		s.Fleet.Close()
	}
	return errors.Join(err, os.RemoveAll(s.folder))
}

// curl is a command that sends a request to the router.
func (s *processes) curl() string {
	return fmt.Sprintf(`curl -N http://%s/v1/chat/completions -H 'X-Correlation-Id: '$RANDOM$RANDOM -H 'X-Service-Class: desk-chat' `+
		`-H 'X-Session-Key: me' -H 'X-Time-Left: 6000m' -H 'X-Facts: prompt_len=100,max_out=50' -d '{"stream":true,"max_tokens":50}'`, s.addr)
}
