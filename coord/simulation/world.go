package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// seedMachines is how many of the first machines vote on the first view.
const seedMachines = 3

// Options configure a World.
type Options struct {
	Seed        uint64
	Machines    int // at the start
	Tolerance   int // how many machines may be lost at once
	Application Application
	Bug         Bug
	Bandwidth   int                              // of each machine's link, in bytes per second; 0 for no limit
	Sync        time.Duration                    // mean duration of a write to disk; 0 draws it from the seed
	Trace       func(format string, args ...any) // receives a line for each traced event; may be nil
}

// World simulates processes with disks on a network, in virtual time.
type World struct {
	Options
	Now       time.Duration
	Processes []*Process
	History   History
	Violation error // the first property that didn't hold, nil for none

	// InjectAt, if set, is called at each point at which a fault may change what follows. If it
	// returns true, the message of that point is dropped, or the write of that point is stopped.
	InjectAt func(Point) bool

	rng            *rand.Rand
	events         queue
	scheduled      int // the number of events scheduled so far, which orders events at the same time
	byAddress      map[string]*Process
	clients        map[string]*Client
	lastArrival    map[[2]string]time.Duration // when the latest message from one address to another arrives
	linkFreeAt     map[string]time.Duration    // by machine, when its link has transmitted everything queued
	partitioned    map[[2]string]int           // the number of active partitions from one address to another
	connections    map[[2]string]int           // the number of connection resets from one address to another
	onAcknowledged []func()                    // functions to call at the next acknowledgement
}

// Point is a moment at which a fault may change what follows: a message of the protocol is about to
// arrive, or a write is about to become durable.
type Point struct {
	From, To *Process // for a write, From is the writer and To is nil
}

// New returns a world whose processes aren't running yet. The first three machines are the seeds
// of all processes.
func New(o Options) *World {
	w := &World{
		Options:     o,
		rng:         rand.New(rand.NewPCG(o.Seed, 0)),
		byAddress:   map[string]*Process{},
		clients:     map[string]*Client{},
		lastArrival: map[[2]string]time.Duration{},
		linkFreeAt:  map[string]time.Duration{},
		partitioned: map[[2]string]int{},
		connections: map[[2]string]int{},
	}
	w.History.init()
	if w.Trace == nil {
		w.Trace = func(string, ...any) {}
	}
	drawn := []time.Duration{time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond}[w.rng.IntN(3)]
	if w.Sync == 0 {
		w.Sync = drawn
	}
	var seeds []string
	for i := range min(seedMachines, o.Machines) {
		seeds = append(seeds, processAddress(i))
	}
	for i := range o.Machines {
		w.AddProcess(processAddress(i), seeds, true)
	}
	return w
}

// processAddress returns the address of the machine with a number.
func processAddress(i int) string { return fmt.Sprintf("m%d", i) }

// AddProcess adds a machine whose process isn't running yet. first is true if the first start of
// this process is part of the first start of the whole system.
func (w *World) AddProcess(address string, seeds []string, first bool) *Process {
	p := &Process{world: w, Address: address, seeds: seeds, founder: first, disk: newDisk()}
	w.Processes = append(w.Processes, p)
	w.byAddress[address] = p
	return p
}

// RemoveProcess crashes the process of a machine and removes the machine permanently.
func (w *World) RemoveProcess(p *Process) {
	p.Crash()
	w.Processes = slices.DeleteFunc(w.Processes, func(q *Process) bool { return q == p })
	delete(w.byAddress, p.Address)
}

// StartAll starts each process after a random delay of less than 0.3 s.
func (w *World) StartAll() {
	for _, p := range w.Processes {
		w.After(time.Duration(w.rng.IntN(300))*time.Millisecond, p.Start)
	}
}

// Run runs all events up to a time, and stops early at a violation.
func (w *World) Run(until time.Duration) {
	for w.Violation == nil && len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.Now = max(w.Now, e.at)
		e.do()
	}
	w.Now = max(w.Now, until)
}

// Fail records a property that doesn't hold. The first one ends the run.
func (w *World) Fail(format string, args ...any) {
	if w.Violation == nil {
		w.Violation = fmt.Errorf("%v: %s", w.Now, fmt.Sprintf(format, args...))
	}
}

// Addresses returns the addresses of all machines.
func (w *World) Addresses() (all []string) {
	for _, p := range w.Processes {
		all = append(all, p.Address)
	}
	return all
}

// Running returns the processes that are up.
func (w *World) Running() []*Process {
	return slices.DeleteFunc(slices.Clone(w.Processes), func(p *Process) bool { return !p.up })
}
