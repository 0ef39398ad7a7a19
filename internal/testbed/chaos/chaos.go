// Package chaos runs chaos tests on a fleet of real router processes on one machine. The routers
// run the production program; hosts, discovery lists and clients are fakes. All of them use
// loopback addresses. Fault proxies between them carry out a schedule of faults. The package
// records the events of a run as a history, and package checker judges the history. No decision
// made here affects a checker's verdict unless it is in the history.
//
// chaos.go turns the options of a test into its result, and run.go has the steps of one run.
// network.go starts hosts, lists and proxies; layout.go assigns addresses; record.go writes the
// history; process.go manages a router's processes; player.go injects the faults; watch.go detects
// processes that hang; page.go draws the charts; failure.go reports violations; and series.go runs
// several tests one after another.
package chaos

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"reachspread/internal/testbed/checker"
	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/faultproxy"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/simulator"
)

// Options configure a chaos test: its experiment, its seed and its outputs.
type Options struct {
	Experiment *experiment.Experiment
	Seed       uint64
	Program    string         // path of the router's binary
	Folder     string         // must not exist yet; empty creates a temporary folder, which is removed after a test without violations
	Faults     []faults.Fault // replace the experiment's faults if Drawn is set
	Drawn      bool
	Routers    int                  // replaces the experiment's number of routers unless it is 0
	Profile    bool                 // a router that is found unresponsive writes a CPU profile
	Print      func(string)         // called with progress lines; may be nil
	Observe    func(*history.Event) // called with each event; may be nil
}

// Result is the result of a chaos test.
type Result struct {
	Folder    string // has the history, the logs and the profiles; empty if the folder was removed
	Verdicts  []checker.Violation
	Events    []history.Event
	Tallies   []fakes.Tally
	Lost      int // events that were dropped because the history was full
	Took      time.Duration
	Datagrams [16]uint64 // counts of datagrams between routers, by the high four bits of their first byte
	Stalls    int        // how often the machine stalled this process
}

// maxRouters is the largest number of routers in a test. The layout has addresses for no more.
const maxRouters = 100

const (
	readyTimeout = 30 * time.Second // the platform's limit, after which clients arrive even if a router is not ready
	drainTimeout = 3700 * time.Millisecond
	exitTimeout  = drainTimeout + 2*time.Second
)

// play is the state of a running chaos test.
type play struct {
	options  *Options
	spec     simulator.Spec
	layout   *layout
	recorder *recorder
	folder   string
	fleet    *fakes.Fleet
	mesh     *faultproxy.Mesh
	hosts    [][]*faultproxy.ConnProxy // by router and host
	lists    []*faultproxy.ConnProxy   // by router
	routers  []*router
	starter  starter
	player   *player
	balancer *loadBalancer
	stalls   *stalls

	voterProxies [][]*faultproxy.ConnProxy // by router and router, nil for itself
	copyProxies  []*faultproxy.ConnProxy   // by router
	candidate    *fakes.Host               // receives copies of requests; nil without duties

	settings string // template of the settings file, before each router's placeholders are filled in
	hasViews bool   // routers maintain a view of the fleet
}

// Run runs an experiment once. When it returns, even because ctx has ended, all processes and
// goroutines that it started have ended. It returns an error if the experiment is invalid, if a
// process can't be started, if the history can't be written, or if ctx has ended. Violations are
// not errors: they are the Verdicts of the result.
func Run(ctx context.Context, o Options) (_ *Result, err error) {
	start := time.Now()
	p := &play{options: &o, spec: o.Experiment.World(0, o.Seed), hasViews: o.Experiment.Rig.View}
	if o.Routers > 0 {
		p.spec.Routers = o.Routers
	}
	if !o.Drawn {
		o.Faults = o.Experiment.Faults
	}
	if err := p.readSettings(); err != nil {
		return nil, err
	}
	if err := p.check(); err != nil {
		return nil, err
	}
	if err := p.open(); err != nil {
		return nil, err
	}
	keepFolder := o.Folder != ""
	defer func() {
		if !keepFolder {
			os.RemoveAll(p.folder)
		}
	}()
	plan, err := simulator.Plan(p.spec)
	if err != nil {
		p.recorder.close()
		return nil, err
	}
	tallies, err := p.run(ctx, plan)
	if closeErr := p.recorder.close(); err == nil {
		err = closeErr
	}
	if err != nil {
		keepFolder = keepFolder || p.foundUnresponsive()
		return nil, err
	}
	r := p.result(tallies, time.Since(start))
	if len(r.Verdicts) > 0 {
		keepFolder = true
		if err := p.writeFailure(r); err != nil {
			return nil, err
		}
	}
	if !keepFolder {
		r.Folder = ""
	}
	return r, nil
}

// readSettings builds the template of the routers' settings file. openRouters replaces its
// placeholders by each router's own values.
func (p *play) readSettings() error {
	x := &p.options.Experiment.Rig
	if x.Settings != "" {
		text, err := os.ReadFile(x.Settings)
		if err != nil {
			return err
		}
		p.settings = string(text)
	}
	if x.View {
		p.settings += "\nfleet {\n@FLEET@}\n"
	}
	if x.Recovery {
		p.settings += "\nrecovery {\n  folder = \"@DISK@\"\n  discovery = \"rig\"\n}\n"
	}
	if p.eligibleVoters() > 0 {
		p.settings += "@DUTIES@"
	}
	return nil
}

// result runs the checkers on the history of a run and returns the result.
func (p *play) result(tallies []fakes.Tally, took time.Duration) *Result {
	r := &Result{
		Folder:  p.folder,
		Events:  p.recorder.events(),
		Tallies: tallies,
		Lost:    p.recorder.lost(),
		Took:    took,
		Stalls:  p.stalls.count(),
	}
	if p.mesh != nil {
		r.Datagrams = p.mesh.Kinds()
	}
	r.Verdicts = checker.CheckAll(r.Events)
	return r
}

// check returns an error for an invalid experiment, before anything is started.
func (p *play) check() error {
	x := p.options.Experiment
	if p.spec.Routers > maxRouters {
		return fmt.Errorf("routers is %d; the rig has addresses for %d", p.spec.Routers, maxRouters)
	}
	topology := p.spec.Topology()
	if v := x.Rig.Voters; v > 0 && (!x.Rig.View || v%2 == 0 || v > p.spec.Routers || x.Rig.Seeds > 0) {
		return fmt.Errorf("voters is %d; it needs view = true without seeds, must be odd, and not more than the routers, %d", v, p.spec.Routers)
	}
	if err := x.CheckFor(faults.RealProcesses); err != nil && !p.options.Drawn {
		return err
	}
	if err := faults.Check(p.options.Faults, topology, faults.RealProcesses, p.spec.Length); err != nil {
		return err
	}
	for _, f := range p.options.Faults {
		switch {
		case f.Kind == faults.Replace && !x.Rig.Held:
			return fmt.Errorf("%s: replace needs held = true in the block rig: the old and the new process of a router share one client listener", f.Source)
		case f.Kind == faults.Restart && x.Rig.Held:
			return fmt.Errorf("%s: restart needs held = false in the block rig: connections to a listener that the platform holds are not answered until the next process starts", f.Source)
		}
	}
	if _, err := os.Stat(p.options.Program); err != nil {
		return fmt.Errorf("the router's program: %w", err)
	}
	return enoughDescriptors(p.spec.Routers, len(topology.Hosts))
}

// open creates the folder and writes the first event of the history.
func (p *play) open() (err error) {
	if p.folder = p.options.Folder; p.folder == "" {
		if p.folder, err = os.MkdirTemp("", "reachlab-rig-"); err != nil {
			return err
		}
	} else if err = os.Mkdir(p.folder, 0o755); err != nil {
		return err
	}
	if p.recorder, err = newRecorder(filepath.Join(p.folder, historyFile), p.options.Observe); err != nil {
		return err
	}
	x := &p.options.Experiment.Rig
	p.recorder.add(history.Event{What: history.Begin, Play: &history.Play{Version: history.Version, World: "rig", Name: p.options.Experiment.Name, Seed: p.options.Seed,
		Routers: p.spec.Routers, Hosts: len(p.spec.Topology().Hosts), Schedule: faults.Text(p.options.Faults), Slack: x.Slack.Nanoseconds(),
		Memory: int64(x.MemoryMB) << 20, Sockets: x.Sockets, Leave: drainTimeout.Nanoseconds(), Settle: x.Settle.Nanoseconds(), Views: p.viewsWithin().Nanoseconds()}})
	return nil
}

// historyFile is the name of the history file in the folder of a run.
const historyFile = "history.jsonl"
