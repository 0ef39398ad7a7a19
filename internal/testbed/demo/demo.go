// Package demo demonstrates the router to new users. It starts fake hosts, a fake discovery service
// and the real router on free loopback ports, and sends the requests of a plan. During the load, it
// drains one host and kills another, and it shows the outcomes of the requests. Everything that Run
// started has ended when Run returns.
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

// Options holds the length and the outputs of a demo.
type Options struct {
	Out    io.Writer
	Live   bool          // Out is a terminal: the table is redrawn in place
	Length time.Duration // length of the load; 0 stands for the length in demo.hcl, a minute
	StayUp bool          // whether hosts, discovery and router stay up after the load until ctx ends
	Page   string        // file for the charts; empty stands for a file in the system's temporary folder
	Log    io.Writer     // receives the router's log; nil discards it
}

const (
	readyTimeout    = 10 * time.Second
	summaryInterval = 10 // in seconds, between two summaries if the output is not a terminal
)

// Times at which the first host drains and the second host is killed and restarted, as fractions of
// the length.
const drainFraction, killFraction, restartFraction = 0.35, 0.6, 0.7

// Run runs a demo until the demo is over or ctx ends. It returns an error if the hosts, discovery or
// the router can't be started or stopped, or if the page can't be written.
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

// processes holds the hosts, the discovery service and the router of a demo. All of them run in this
// process.
type processes struct {
	*fakes.Fleet
	addr       string
	stopRouter context.CancelFunc // starts the router's shutdown
	routerDone chan error
	folder     string
}

// start starts the hosts, discovery and the router, and waits until the router is ready.
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
	ln.Close() // the router listens at this address next
	path := filepath.Join(s.folder, "config.json")
	if err = os.WriteFile(path, s.RouterConfig(fakes.RouterSite{Name: "demo", Listen: s.addr}), 0o600); err != nil {
		return s, err
	}
	env := func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] }
	cfg, err := program.Load(env)
	if err != nil {
		return s, err
	}
	routerCtx, end := context.WithCancel(context.WithoutCancel(ctx)) // stop ends the router after the clients, even if ctx has ended
	s.stopRouter = end
	go func() { s.routerDone <- program.New(cfg, env, "", logging.New(log, logging.Text)).Run(routerCtx, nil) }()
	return s, s.awaitReady(ctx)
}

// awaitReady waits until the router is ready, for at most readyTimeout.
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
			return fmt.Errorf("the router ended before it was ready: %w", err)
		case <-ctx.Done():
			return fmt.Errorf("the router did not become ready: %w", ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// stop shuts the router down gracefully, and then stops the hosts and discovery.
func (s *processes) stop() error {
	var err error
	if s.addr != "" {
		s.stopRouter()
		select {
		case err = <-s.routerDone:
		case <-time.After(readyTimeout):
			err = errors.New("the router did not end within the time limit")
		}
	}
	if s.Fleet != nil {
		s.Fleet.Close()
	}
	return errors.Join(err, os.RemoveAll(s.folder))
}

// curl returns a shell command that sends a request to the router.
func (s *processes) curl() string {
	return fmt.Sprintf(`curl -N http://%s/v1/chat/completions -H 'X-Correlation-Id: '$RANDOM$RANDOM -H 'X-Service-Class: desk-chat' `+
		`-H 'X-Session-Key: me' -H 'X-Time-Left: 6000m' -H 'X-Facts: prompt_len=100,max_out=50' -d '{"stream":true,"max_tokens":50}'`, s.addr)
}
