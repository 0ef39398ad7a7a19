// Package soak runs soak tests on a fleet of router processes. Clients use their connections until
// the router exits, an operator changes the configuration in bursts, and signals, restarts, frozen
// processes and draining hosts come in overlapping series. All of these are drawn from a seed. The
// package judges what clients, hosts and the operator observed. The same seed draws the same
// schedule, but the outcomes depend on real time.
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

// Options are the size, length and seed of a soak test.
type Options struct {
	Out        io.Writer // receives a line for each event; nil for none
	Network    string    // the first three bytes of all addresses, as in "127.80.0"
	Executable []string  // the command that runs a router
	Seed       uint64
	Routers    int
	Disks      int // number of routers that have a disk; these are eligible as members of the register
	Hosts      int
	Clients    int // number of clients of all routers together
	Length     time.Duration
}

const (
	service         = "s"
	clientHost      = "h.example"
	heartbeatMs     = 500
	revocationMs    = 5000
	graceS          = 6
	applyTime       = 2 * time.Second // time from a change until it is in force on all routers, according to the settings
	contactTime     = 3 * time.Second // how long a router must have no fault before it must meet the rules again
	recoveryTimeout = 30 * time.Second
)

// The numbers of the random number streams. Each part of the test draws from a stream of its own.
const (
	operatorStream    = 1
	probeStream       = 2
	scheduleStream    = 3
	firstClientStream = 1000
)

// Finding is a violation of a rule.
type Finding struct {
	At     time.Duration // since the start of the run
	Rule   string
	Detail string
}

func (f Finding) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", f.At.Seconds(), f.Rule, f.Detail)
}

// Report is the result of a soak test.
type Report struct {
	Seed               uint64
	Requests           map[Outcome]int
	Events             map[string]int
	Changes            int // acknowledged changes of the configuration
	Probes             int
	Terminations       int           // processes that exited after SIGTERM
	LongestTermination time.Duration // longest time from SIGTERM to the exit
	MaxTerminationCPU  float64       // highest use of a processor after SIGTERM, as a fraction of one core
	Findings           []Finding
}

// soakRun is the state of one run of the soak test.
type soakRun struct {
	options Options
	fleet   *localfleet.Fleet
	hosts   *hosts
	start   time.Time

	mu     sync.Mutex
	report Report
	faults []fault
}

// fault is a period in which a router need not meet all rules. A fault of a router with a disk also
// affects the register.
type fault struct {
	router   int
	from, to time.Duration // since the start of the run; to is below 0 while the fault lasts
	planned  bool          // a graceful shutdown, in which no accepted request may be lost
}

// Run runs the soak test until its length is over or ctx ends. It returns an error if the fleet can't
// be started or ctx ends. Violations are not errors: they are findings of the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	return runWith(ctx, o, func(ctx context.Context, p *soakRun) { newScheduler(p).run(ctx) })
}

// runWith is like Run, but the function schedule decides which events happen and when the test ends.
func runWith(ctx context.Context, o Options, schedule func(context.Context, *soakRun)) (*Report, error) {
	folder, err := os.MkdirTemp("", "reachspread-soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	p := &soakRun{options: o, start: time.Now(), report: Report{Seed: o.Seed, Requests: map[Outcome]int{}, Events: map[string]int{}}}
	p.fleet = localfleet.New(localfleet.Options{Folder: folder, Network: o.Network, Routers: o.Routers, Disks: o.Disks, Executable: o.Executable,
		HeartbeatMs: heartbeatMs, RevocationMs: revocationMs, GraceS: graceS})
	defer p.fleet.KillAll()
	if err := p.fleet.StartAll(); err != nil {
		return nil, err
	}
	work, stop := context.WithCancel(ctx)
	defer stop()
	p.hosts = newHosts(p)
	defer p.hosts.close()
	heartbeats, stopHeartbeats := context.WithCancel(context.WithoutCancel(ctx)) // hosts send heartbeats until the clients have ended
	defer stopHeartbeats()
	if err := p.awaitServing(work, heartbeats); err != nil {
		return nil, err
	}
	p.runAll(work, stop, schedule)
	p.judgeLogs()
	slices.SortFunc(p.report.Findings, func(a, b Finding) int { return int(a.At - b.At) })
	return &p.report, ctx.Err()
}

// awaitServing sends the first configuration, starts the hosts, and waits until all routers serve.
// The hosts send heartbeats with the context heartbeats.
func (p *soakRun) awaitServing(ctx, heartbeats context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*recoveryTimeout)
	defer cancel()
	op := newOperator(p)
	if !op.configure(ctx) {
		return fmt.Errorf("soak: no router acknowledged the first configuration: %w", ctx.Err())
	}
	for range p.options.Hosts {
		if err := p.hosts.add(); err != nil {
			return err
		}
	}
	go p.hosts.heartbeats(heartbeats) // returns after the hosts are closed
	return p.fleet.AwaitReady(ctx, p.allRouters()...)
}

// allRouters returns the numbers of all routers.
func (p *soakRun) allRouters() (all []int) {
	for i := range p.fleet.Len() {
		all = append(all, i)
	}
	return all
}

// runAll runs clients, the operator and the schedule concurrently. Once all have ended, it judges the
// requests and the configuration.
func (p *soakRun) runAll(ctx context.Context, stop context.CancelFunc, schedule func(context.Context, *soakRun)) {
	var clients, background sync.WaitGroup
	requests := make([][]request, p.options.Clients)
	for i := range p.options.Clients {
		c := &client{soak: p, router: i % p.fleet.Len(), rng: p.rng(firstClientStream + uint64(i)), number: i}
		clients.Go(func() { requests[i] = c.run(ctx) })
	}
	operator := newOperator(p)
	background.Go(func() { operator.run(ctx) })
	schedule(ctx, p)
	stop()
	clients.Wait()
	background.Wait()
	p.judgeRequests(slices.Concat(requests...))
	operator.judge()
}

// rng returns a random number generator for one stream of the test's seed.
func (p *soakRun) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.options.Seed, stream)) }

// now returns the time since the start of the run.
func (p *soakRun) now() time.Duration { return time.Since(p.start) }

// log counts an event and prints it.
func (p *soakRun) log(event, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Events[event]++
	if p.options.Out != nil {
		fmt.Fprintf(p.options.Out, "%7.3fs %s %s\n", p.now().Seconds(), event, what)
	}
}

// addFinding adds a violation of a rule with the present time.
func (p *soakRun) addFinding(rule, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Findings = append(p.report.Findings, Finding{p.now(), rule, what})
}

// beginFault records that a fault of a router begins, and returns the function that ends it.
func (p *soakRun) beginFault(router int, planned bool) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.faults)
	p.faults = append(p.faults, fault{router, p.now(), -1, planned})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.faults[n].to = p.now()
	}
}

// hadFault reports whether a fault for which counts returns true was in force between two times.
func (p *soakRun) hadFault(from, to time.Duration, counts func(fault) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.faults, func(f fault) bool {
		return f.from <= to && (f.to < 0 || f.to >= from) && counts(f)
	})
}
