// Package chaos runs chaos tests on a fleet of the program's own processes on one machine: routers as
// in service, fake hosts, lists and clients, all on loopback, with fault proxies in between that carry
// out a schedule of faults. What happened is a history, which package checker judges. Nothing here
// decides anything that a checker would have to know.
//
// chaos.go has a test from its options to its result, run.go its course, network.go the hosts, lists
// and proxies, layout.go the addresses, record.go the history, process.go a router's processes,
// player.go the faults, watch.go who looks for processes that hang, page.go the charts, failure.go
// what a violation leaves, and series.go tests one after another.
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

// Options is what a play may be told.
type Options struct {
	Experiment *experiment.Experiment
	Seed       uint64
	Program    string         // the router's binary
	Folder     string         // a new one; empty for one of the system's, which is gone after a play without a verdict
	Faults     []faults.Fault // in place of the experiment's, if Drawn
	Drawn      bool
	Routers    int                  // in place of the experiment's; 0 for those
	Profile    bool                 // routers write profiles when they are caught
	Say        func(string)         // lines as it goes; nil for nobody
	Event      func(*history.Event) // told of each event; nil for nobody
}

// Result is what came of a play.
type Result struct {
	Folder    string // with the history, the logs and whatever was caught
	Verdicts  []checker.Violation
	Events    []history.Event
	Tallies   []fakes.Tally
	Lost      int // events beyond the bound
	Took      time.Duration
	Datagrams [16]uint64 // between routers, by the high half of their first byte
	Stalls    int        // times that the machine let the rig itself stand still
}

// mostRouters bounds a play; addresses are laid out for so many.
const mostRouters = 100

const (
	readyWithin = 30 * time.Second // the platform's: then clients arrive in any case
	leaveWithin = 3700 * time.Millisecond
	endWithin   = leaveWithin + 2*time.Second
)

// play is a play under way.
type play struct {
	o       *Options
	spec    simulator.Spec
	layout  *layout
	rec     *recorder
	folder  string
	fleet   *fakes.Fleet
	mesh    *faultproxy.Mesh
	hosts   [][]*faultproxy.ConnProxy // by router and host
	lists   []*faultproxy.ConnProxy   // by router
	routers []*router
	start   starter
	player  *player
	front   *front
	stalls  *stalls

	voterLines [][]*faultproxy.ConnProxy // by router and router, nil for itself
	copyLines  []*faultproxy.ConnProxy   // by router
	candidate  *fakes.Host               // gets copies; nil without duties

	settings string // the operators' file of the routers, as it is before each gets its own
	views    bool   // routers keep a view of the fleet
}

// Run plays an experiment once. All that it started is ended when it returns, also where ctx ends.
func Run(ctx context.Context, o Options) (_ *Result, err error) {
	begun := time.Now()
	p := &play{o: &o, spec: o.Experiment.World(0, o.Seed)}
	if o.Routers > 0 {
		p.spec.Routers = o.Routers
	}
	if !o.Drawn {
		o.Faults = o.Experiment.Faults
	}
	if file := o.Experiment.Rig.Settings; file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		p.settings = string(text)
	}
	if o.Experiment.Rig.View {
		p.settings += "\nfleet {\n@FLEET@}\n"
	}
	if o.Experiment.Rig.Recovery {
		p.settings += "\nrecovery {\n  folder = \"@DISK@\"\n  discovery = \"rig\"\n}\n"
	}
	p.views = o.Experiment.Rig.View
	if p.eligibleVoters() > 0 {
		p.settings += "@DUTIES@"
	}
	if err := p.check(); err != nil {
		return nil, err
	}
	if err := p.open(); err != nil {
		return nil, err
	}
	keep := o.Folder != ""
	defer func() {
		if !keep {
			os.RemoveAll(p.folder)
		}
	}()
	plan, err := simulator.Plan(p.spec)
	if err != nil {
		p.rec.close()
		return nil, err
	}
	tallies, err := p.run(ctx, plan)
	datagrams := [16]uint64{}
	if p.mesh != nil {
		datagrams = p.mesh.Kinds()
	}
	if cerr := p.rec.close(); err == nil {
		err = cerr
	}
	if err != nil {
		keep = keep || p.caught()
		return nil, err
	}
	r := &Result{Folder: p.folder, Events: p.rec.events(), Tallies: tallies, Lost: p.rec.lost(), Took: time.Since(begun), Datagrams: datagrams, Stalls: p.stalls.count()}
	r.Verdicts = checker.CheckAll(r.Events)
	if len(r.Verdicts) > 0 {
		keep = true
		if err := p.writeFailure(r); err != nil {
			return nil, err
		}
	}
	if !keep {
		r.Folder = ""
	}
	return r, nil
}

// check refuses what can't be played, before anything is started.
func (p *play) check() error {
	x := p.o.Experiment
	if p.spec.Routers > mostRouters {
		return fmt.Errorf("routers is %d; the rig has addresses for %d", p.spec.Routers, mostRouters)
	}
	topology := p.spec.Topology()
	if v := x.Rig.Voters; v > 0 && (!x.Rig.View || v%2 == 0 || v > p.spec.Routers || x.Rig.Seeds > 0) {
		return fmt.Errorf("voters is %d; it needs view = true without seeds, must be odd, and not more than the routers, %d", v, p.spec.Routers)
	}
	if err := x.CheckFor(faults.RealProcesses); err != nil && !p.o.Drawn {
		return err
	}
	if err := faults.Check(p.o.Faults, topology, faults.RealProcesses, p.spec.Length); err != nil {
		return err
	}
	for _, f := range p.o.Faults {
		switch {
		case f.Kind == faults.Replace && !x.Rig.Held:
			return fmt.Errorf("%s: replace needs held = true in the block rig: the processes of a router share their clients' listener", f.Source)
		case f.Kind == faults.Restart && x.Rig.Held:
			return fmt.Errorf("%s: restart needs held = false in the block rig: nobody answers at a listener that the platform holds until the next process starts", f.Source)
		}
	}
	if _, err := os.Stat(p.o.Program); err != nil {
		return fmt.Errorf("the router's program: %w", err)
	}
	return enoughDescriptors(p.spec.Routers, len(topology.Hosts))
}

// open makes the folder and begins the history.
func (p *play) open() (err error) {
	if p.folder = p.o.Folder; p.folder == "" {
		if p.folder, err = os.MkdirTemp("", "reachlab-rig-"); err != nil {
			return err
		}
	} else if err = os.Mkdir(p.folder, 0o755); err != nil {
		return err
	}
	if p.rec, err = newRecorder(filepath.Join(p.folder, historyFile), p.o.Event); err != nil {
		return err
	}
	x := &p.o.Experiment.Rig
	p.rec.add(history.Event{What: history.Begin, Play: &history.Play{Version: history.Version, World: "rig", Name: p.o.Experiment.Name, Seed: p.o.Seed,
		Routers: p.spec.Routers, Hosts: len(p.spec.Topology().Hosts), Schedule: faults.Text(p.o.Faults), Slack: x.Slack.Nanoseconds(),
		Memory: int64(x.MemoryMB) << 20, Sockets: x.Sockets, Leave: leaveWithin.Nanoseconds(), Settle: x.Settle.Nanoseconds(), Views: p.viewsWithin().Nanoseconds()}})
	return nil
}

// historyFile is a history's name in its folder.
const historyFile = "history.jsonl"
