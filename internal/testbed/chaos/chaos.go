// Package chaos plays a fleet of the program's own processes on one machine: routers as in service, stand-in hosts, lists and
// clients, all on loopback, with relays in between that carry out a schedule of faults. What happened is a history, which
// package judge judges. Nothing here decides anything that a checker would have to know.
//
// layout.go has the addresses, record.go the history, process.go a router's processes, player.go the faults, watch.go who
// looks for processes that hang, page.go the picture, and series.go the plays one after another.
package chaos

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
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

func (p *play) run(ctx context.Context, plan []simulator.Planned) (_ []fakes.Tally, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if p.layout, err = newLayout(); err != nil {
		return nil, err
	}
	defer p.layout.close()
	p.start = newStarter()
	defer p.start.close()
	var background sync.WaitGroup
	aside, endAside := context.WithCancel(context.Background())
	defer background.Wait()
	defer endAside()
	p.stalls = &stalls{rec: p.rec}
	background.Go(func() { p.stalls.watch(aside) })

	if err := p.openNetwork(); err != nil {
		return nil, err
	}
	defer p.closeNetwork()
	if err := p.openRouters(); err != nil {
		return nil, err
	}
	defer p.endRouters()
	p.front = newFront(p)
	background.Go(func() { p.front.watch(aside) })
	for _, r := range p.routers {
		if err := r.begin(""); err != nil {
			return nil, err
		}
	}
	ready, noMore := context.WithTimeout(ctx, readyWithin)
	for _, r := range p.routers {
		e, err := p.rec.await(ready, func(e *history.Event) bool {
			return e.Who == r.name() && (e.What == history.Ready || e.What == history.Exit)
		})
		if err != nil || e.What == history.Exit {
			noMore()
			why := fmt.Sprint("is not ready: ", err)
			if e.What == history.Exit {
				why = fmt.Sprintf("ended before it was ready, status %d", e.Status)
			}
			log, _ := os.ReadFile(filepath.Join(r.folder, "log"))
			return nil, fmt.Errorf("router %s %s; its last words: %q", r.name(), why, lastLine(log))
		}
	}
	noMore()
	w := newWatch(p)
	background.Go(func() { w.run(aside) })
	if p.viewsWithin() > 0 {
		background.Go(func() { p.watchViews(aside) })
	}
	if every := p.o.Experiment.Rig.Scrape; every > 0 {
		background.Go(func() { p.scrape(aside, every) })
	}

	if every := p.o.Experiment.Rig.HandOver; every > 0 && p.eligibleVoters() > 0 {
		background.Go(func() { p.handOver(aside, every) })
	}

	clients := fakes.NewClients("", &p.spec)
	clients.RouterFor, clients.Observe, clients.Grace, clients.Retries = p.front.pick, p.saw, p.o.Experiment.Rig.Slack+time.Second, p.o.Experiment.Rig.Retries
	x := &p.o.Experiment.Rig
	clients.Behavior = fakes.ClientBehavior{Chunked: x.Pieces, Stalled: x.Silent, Departing: x.Leave}
	p.player = newPlayer(p)
	over := make(chan error, 1)
	go func() { over <- p.player.run(ctx) }()
	clients.Run(ctx, plan)
	err = <-over
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	endAside() // what ends now ends as it should: nobody is to be found silent
	background.Wait()
	p.endRouters()
	p.rec.add(history.Event{What: history.End})
	return clients.Tallies(), err
}

// saw puts what clients tell into the history. They know routers by their addresses.
func (p *play) saw(s fakes.ClientEvent) {
	e := s.Event
	if e.What == history.Ask {
		e.Who, e.Until = p.layout.routerAt(e.Who), p.rec.at(s.WaitsUntil)
	}
	p.rec.add(e)
}

func (p *play) openNetwork() (err error) {
	p.fleet, err = fakes.NewFleet(&p.spec, p.layout.host)
	if err != nil {
		return err
	}
	for n, h := range p.fleet.Hosts {
		name := fmt.Sprint("h", n)
		h.Observe(func(s fakes.HostEvent) { p.hostSaw(name, s) })
	}
	if p.spec.Routers > 1 {
		p.mesh, err = faultproxy.NewMesh(addresses(p.spec.Routers, p.layout.peer), addresses(p.spec.Routers, p.layout.seen), p.o.Seed, mostDatagram, func(from, bytes int) {
			p.rec.add(history.Event{What: history.Wide, Who: fmt.Sprint("r", from), Bytes: bytes})
		})
		if err != nil {
			return err
		}
	}
	if p.eligibleVoters() > 0 {
		if err := p.openDuties(); err != nil {
			return err
		}
	}
	for i := range p.spec.Routers {
		row := make([]*faultproxy.ConnProxy, len(p.fleet.Hosts))
		p.hosts = append(p.hosts, row)
		for n, h := range p.fleet.Hosts {
			if row[n], err = faultproxy.NewConnProxy(p.layout.hostOf(i, n), h.Addr, p.o.Seed, uint64(i)<<20|uint64(n), closings{p.rec, i}); err != nil {
				return err
			}
		}
		list, err := p.fleet.AddList("127.0.0.1:0", func(n int) string { return p.layout.hostOf(i, n) })
		if err != nil {
			return err
		}
		who := fmt.Sprint("r", i)
		list.Observe(func(entries []fakes.Entry) {
			for _, e := range entries {
				p.rec.add(history.Event{What: history.ListApplied, Who: who, From: p.hostName(e.ID), Text: e.State})
			}
		})
		conns, err := faultproxy.NewConnProxy(p.layout.list(i), list.Addr, p.o.Seed, uint64(i)<<20|0xfffff, nil)
		if err != nil {
			return err
		}
		p.lists = append(p.lists, conns)
	}
	return nil
}

// mostDatagram is the platform's bound between routers.
const mostDatagram = 256

// hostName is a host's name in the history, by that of the list.
func (p *play) hostName(id string) string {
	if n := fakes.HostNumber(id); n >= 0 {
		return fmt.Sprint("h", n)
	}
	return id
}

func (p *play) hostSaw(name string, s fakes.HostEvent) {
	switch s.Kind {
	case fakes.RequestReceived:
		p.rec.add(history.Event{What: history.Attempt, ID: s.ID, Who: name, From: p.layout.routerAt(s.Conn), Conn: s.Conn})
	case fakes.RequestDone:
		p.rec.add(history.Event{What: history.Done, ID: s.ID, Who: name})
	case fakes.Collapsed:
		p.rec.add(history.Event{What: history.Fell, Who: name})
	}
}

// closings puts into the history that a router closed a connection.
type closings struct {
	rec    *recorder
	router int
}

// Closed implements relay.Watcher.
func (c closings) Closed(conn string) {
	c.rec.add(history.Event{What: history.Closed, Who: fmt.Sprint("r", c.router), Conn: conn})
}

func (p *play) closeNetwork() {
	var all sync.WaitGroup
	for _, row := range append(p.hosts, p.lists) {
		for _, c := range row {
			if c != nil {
				all.Go(c.Close)
			}
		}
	}
	p.closeDuties(&all)
	all.Wait()
	if p.mesh != nil {
		p.mesh.Close()
	}
	if p.fleet != nil {
		p.fleet.Close()
	}
}

// network has all links be as the faults of the moment have them.
func (p *play) network(on []*faults.Injection, listDown bool) error {
	if p.mesh != nil {
		p.mesh.Set(on)
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed error
	set := func(c *faultproxy.ConnProxy, i int, far faults.End, blackholed bool) {
		all.Go(func() {
			near := faults.End{Kind: faults.AtRouter, N: i}
			out, in := faults.ConditionOf(on, near, far), faults.ConditionOf(on, far, near)
			out.Blackholed = out.Blackholed || blackholed
			if err := c.Set(out, in); err != nil {
				mu.Lock()
				failed = errors.Join(failed, err)
				mu.Unlock()
			}
		})
	}
	for i := range p.hosts {
		for n, c := range p.hosts[i] {
			set(c, i, faults.End{Kind: faults.AtHost, N: n}, false)
		}
		set(p.lists[i], i, faults.End{Kind: faults.AtList}, listDown)
	}
	p.eachLine(func(c *faultproxy.ConnProxy, near int, far faults.End) { set(c, near, far, false) })
	all.Wait()
	return failed
}

// lastLine is the last line of a log that says something.
func lastLine(log []byte) string {
	lines := strings.Split(strings.TrimSpace(string(log)), "\n")
	return lines[len(lines)-1]
}

// writeFailure leaves what a person needs: the verdicts, the schedule and the last events before the first of them.
func (p *play) writeFailure(r *Result) error {
	f, err := os.Create(filepath.Join(p.folder, "verdicts.txt"))
	if err != nil {
		return err
	}
	WriteFailure(f, r, p.o.Seed)
	return f.Close()
}

// lastEvents is how many events before a verdict are shown.
const lastEvents = 30

// WriteFailure writes the verdicts with seed, schedule and the events that led to the first of them.
func WriteFailure(w io.Writer, r *Result, seed uint64) {
	for i := range r.Verdicts {
		fmt.Fprintln(w, r.Verdicts[i].String())
	}
	fmt.Fprintf(w, "seed %d, history %s\n", seed, filepath.Join(r.Folder, historyFile))
	if len(r.Events) > 0 && r.Events[0].Play != nil {
		fmt.Fprintln(w, r.Events[0].Play.Schedule)
	}
	if len(r.Verdicts) == 0 {
		return
	}
	v := &r.Verdicts[0]
	var last []string
	for i := range r.Events {
		e := &r.Events[i]
		if e.T > v.T {
			break
		}
		near := v.Who == "" || strings.HasPrefix(e.Who, v.Who) || e.From == v.Who || v.ID != "" && e.ID == v.ID
		if e.What != history.Usage && (near || e.What == history.Fault || e.What == history.Heal) {
			last = append(last, e.String())
		}
	}
	fmt.Fprintf(w, "before the first of them:\n%s\n", strings.Join(last[max(0, len(last)-lastEvents):], "\n"))
}
