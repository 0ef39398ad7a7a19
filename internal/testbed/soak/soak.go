// Package soak plays a fleet of router processes for a long time: clients that use their connections until the process is gone, operators
// that change the configuration in storms, and signals, restarts, standstills and leaving hosts that come in series and overlap, all drawn from
// a seed. A judge looks at what clients, hosts and operators saw. The same seed draws the same schedule; what becomes of it is real time's.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"reachspread/internal/testbed/localfleet"
)

// Options are a play's.
type Options struct {
	Out        io.Writer // a line for each event; nil for none
	Network    string    // the first three bytes of all addresses
	Executable []string  // runs a router
	Seed       uint64
	Routers    int
	Disks      int // of them keep the register
	Hosts      int
	Clients    int // on all routers together
	Length     time.Duration
}

const (
	service     = "s"
	clientHost  = "h.example"
	heartbeatMs = 500
	revocation  = 5000 // ms
	graceS      = 6
	apply       = 2 * time.Second // until a change is in force on all routers, as the settings say
	contact     = 3 * time.Second // without trouble, until a router counts as in touch
	quiesceTime = 30 * time.Second
)

// Finding is something that may not be.
type Finding struct {
	At   time.Duration // since the beginning
	Rule string
	What string
}

func (f Finding) String() string { return fmt.Sprintf("%7.3fs %s: %s", f.At.Seconds(), f.Rule, f.What) }

// Report is what came of a play.
type Report struct {
	Seed      uint64
	Requests  map[Outcome]int
	Events    map[string]int
	Orders    int // that were acknowledged
	Probes    int
	Ends      int           // processes that were told to end, and did
	LongestTo time.Duration // end
	MostCPU   float64       // of a core, that a process used while it ended
	Findings  []Finding
}

// play is one.
type play struct {
	o     Options
	fleet *localfleet.Fleet
	hosts *hosts
	begun time.Time

	mu       sync.Mutex
	report   Report
	troubles []fault
}

// fault is a time in which a router may not do all that it should, or the register, where its machine is one.
type fault struct {
	router   int
	from, to time.Duration // to is below 0 while it goes on
	planned  bool          // it was told to end, or to reload: what it has taken may not be lost
}

// Run plays until the length is over or ctx ends, and judges what was seen.
func Run(ctx context.Context, o Options) (*Report, error) {
	return runWith(ctx, o, func(ctx context.Context, p *play) { newConductor(p).run(ctx) })
}

// runWith is Run with another schedule.
func runWith(ctx context.Context, o Options, schedule func(context.Context, *play)) (*Report, error) {
	folder, err := os.MkdirTemp("", "reachspread-soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	p := &play{o: o, begun: time.Now(), report: Report{Seed: o.Seed, Requests: map[Outcome]int{}, Events: map[string]int{}}}
	p.fleet = localfleet.New(localfleet.Options{Folder: folder, Network: o.Network, Routers: o.Routers, Disks: o.Disks, Executable: o.Executable,
		HeartbeatMs: heartbeatMs, RevocationMs: revocation, GraceS: graceS})
	defer p.fleet.KillAll()
	if err := p.fleet.StartAll(); err != nil {
		return nil, err
	}
	work, stop := context.WithCancel(ctx)
	defer stop()
	p.hosts = newHosts(p)
	defer p.hosts.close()
	beating, stopHeartbeats := context.WithCancel(context.WithoutCancel(ctx)) // hosts call on until clients have ended
	defer stopHeartbeats()
	if err := p.bringUp(work, beating); err != nil {
		return nil, err
	}
	p.playAll(work, stop, schedule)
	p.readLogs()
	slices.SortFunc(p.report.Findings, func(a, b Finding) int { return int(a.At - b.At) })
	return &p.report, ctx.Err()
}

// bringUp waits until all routers serve. Hosts call until beating ends.
func (p *play) bringUp(ctx, beating context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*quiesceTime)
	defer cancel()
	op := newOperator(p)
	if !op.begin(ctx) {
		return fmt.Errorf("soak: the first configuration is never taken: %w", ctx.Err())
	}
	for range p.o.Hosts {
		if err := p.hosts.add(); err != nil {
			return err
		}
	}
	go p.hosts.heartbeats(beating)
	var all []int
	for i := range p.fleet.Len() {
		all = append(all, i)
	}
	return p.fleet.AwaitReady(ctx, all...)
}

// playAll has clients, operators and the schedule work beside each other, and judges once all have ended.
func (p *play) playAll(ctx context.Context, stop context.CancelFunc, schedule func(context.Context, *play)) {
	var clients, background sync.WaitGroup
	asked := make([][]asked, p.o.Clients)
	for i := range p.o.Clients {
		c := &client{play: p, router: i % p.fleet.Len(), rng: p.rng(uint64(i) + 1000), number: i}
		clients.Go(func() { asked[i] = c.run(ctx) })
	}
	operator := newOperator(p)
	background.Go(func() { operator.work(ctx) })
	schedule(ctx, p)
	stop()
	clients.Wait()
	background.Wait()
	p.judgeRequests(slices.Concat(asked...))
	operator.judge()
}

func (p *play) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.o.Seed, stream)) }

func (p *play) now() time.Duration { return time.Since(p.begun) }

func (p *play) log(event, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Events[event]++
	if p.o.Out != nil {
		fmt.Fprintf(p.o.Out, "%7.3fs %s %s\n", p.now().Seconds(), event, what)
	}
}

func (p *play) find(rule, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Findings = append(p.report.Findings, Finding{p.now(), rule, what})
}

// trouble notes that something begins at a router, and returns what ends it.
func (p *play) trouble(router int, planned bool) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.troubles)
	p.troubles = append(p.troubles, fault{router, p.now(), -1, planned})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.troubles[n].to = p.now()
	}
}

// struck tells whether any trouble of some kind fell into a time.
func (p *play) struck(from, to time.Duration, counts func(fault) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.troubles, func(t fault) bool {
		return t.from <= to && (t.to < 0 || t.to >= from) && counts(t)
	})
}
