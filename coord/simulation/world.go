// Package simulation plays whole registers in virtual time: processes with disks on a network, clients that send orders and read, and the
// faults that the operators' bench knows by name. What a register promises is checked with each step and at the end.
//
// Everything in a World follows from its seed. A World is used by one goroutine; different Worlds share nothing. The tests of
// coord/register play a small counter in it, those of the configuration play the store of the control plane.
package simulation

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
)

// seedMachines is how many of the first machines vote on the first view.
const seedMachines = 3

// Plant is a fault in the program itself, which the checks are to find.
type Bug int

// The planted faults.
const (
	NoBug            Bug = iota
	EarlyWrite           // what is written counts as on the disk at once
	KeptIdentity         // a process whose disk is gone goes by its old identity, and votes again
	UnconfirmedReads     // the tail answers without asking the members
	EarlyReply           // the head acknowledges an order that the tail does not have yet
	IgnoredLease         // duties go on without a confirmation
	StaleRejections      // an order is refused without asking the members
)

// Options are what a World is made with.
type Options struct {
	Seed        uint64
	Machines    int
	Tolerance   int // machines that may be lost at once
	Application Application
	Bug         Bug
	Bandwidth   int           // bytes a second that a machine sends, 0 for no bound
	Sync        time.Duration // that a disk takes for a write on average, 0 for a drawn one
	Trace       func(format string, args ...any)
}

// World is several processes on a network and disks in virtual time.
type World struct {
	Options
	Now       time.Duration
	Processes []*Process
	History   History
	Violation error // the first thing that did not hold

	// Strike is told of each point at which a fault may change what follows, where set; true loses the message or stops the write there.
	InjectAt func(Point) bool

	rng            *rand.Rand
	events         queue
	scheduled      int
	byAddress      map[string]*Process
	lastArrival    map[[2]string]time.Duration // when the last message from one to another comes
	linkFreeAt     map[string]time.Duration    // until then a machine's link is busy with what was sent before
	partitioned    map[[2]string]int           // how many cuts lie between two
	clients        map[string]*Client
	connections    map[[2]string]int // counts resets of the connection between two
	onAcknowledged []func()          // wait for the next acknowledgement
}

// Point is a moment at which a fault may change what follows: a message of the protocol is about to arrive, or a write is about to be on
// the disk.
type Point struct {
	From, To *Process // To is nil for a write
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// New returns a world whose machines are not up yet. The first three are the seeds.
func New(o Options) *World {
	w := &World{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), byAddress: map[string]*Process{}, lastArrival: map[[2]string]time.Duration{},
		linkFreeAt: map[string]time.Duration{}, partitioned: map[[2]string]int{}, clients: map[string]*Client{}, connections: map[[2]string]int{}}
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

func processAddress(i int) string { return fmt.Sprintf("m%d", i) }

// Add has another machine be there, which is not up yet. First says that this is the first start of the whole system.
func (w *World) AddProcess(address string, seeds []string, first bool) *Process {
	p := &Process{world: w, Address: address, seeds: seeds, founder: first, disk: newDisk()}
	w.Processes = append(w.Processes, p)
	w.byAddress[address] = p
	return p
}

// Remove takes a machine out for good.
func (w *World) RemoveProcess(p *Process) {
	p.Crash()
	w.Processes = slices.DeleteFunc(w.Processes, func(q *Process) bool { return q == p })
	delete(w.byAddress, p.Address)
}

// StartAll starts all machines within 0.3 s of one another.
func (w *World) StartAll() {
	for _, p := range w.Processes {
		w.After(time.Duration(w.rng.IntN(300))*time.Millisecond, p.Start)
	}
}

// After has something happen after a time.
func (w *World) After(d time.Duration, do func()) {
	w.scheduled++
	heap.Push(&w.events, event{w.Now + d, w.scheduled, do})
}

// Run goes on until a time, or until something does not hold.
func (w *World) Run(until time.Duration) {
	for w.Violation == nil && len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.Now = max(w.Now, e.at)
		e.do()
	}
	w.Now = max(w.Now, until)
}

// Fail notes what did not hold. The first such thing ends the play.
func (w *World) Fail(format string, args ...any) {
	if w.Violation == nil {
		w.Violation = fmt.Errorf("%v: %s", w.Now, fmt.Sprintf(format, args...))
	}
}

// Addresses are those of all machines.
func (w *World) Addresses() (all []string) {
	for _, p := range w.Processes {
		all = append(all, p.Address)
	}
	return all
}

// Living are the machines whose processes are up.
func (w *World) Running() []*Process {
	return slices.DeleteFunc(slices.Clone(w.Processes), func(p *Process) bool { return !p.up })
}

// send brings a message to a machine or a client, unless the way is cut. Messages of one pair come in order.
func (w *World) send(from, to string, m *coordpb.Message) {
	w.History.checkAcceptor(w, m)
	w.wipeAfterPromise(from, m)
	pair := [2]string{from, to}
	if w.partitioned[pair] > 0 {
		return
	}
	at, sent := w.arrivalTime(pair, m)
	if !sent {
		return
	}
	m = proto.Clone(m).(*coordpb.Message)
	connection := w.connections[pair]
	w.After(at-w.Now, func() {
		if w.partitioned[pair] == 0 && w.connections[pair] == connection {
			w.deliver(from, to, m)
		}
	})
}

// mostQueued is how many bytes wait for a machine's link; what is sent beyond them is lost, as package link has it.
const maxQueuedBytes = 4 << 20

// arrival is when a message that is sent now arrives; ok is false where it finds no room.
func (w *World) arrivalTime(pair [2]string, m *coordpb.Message) (at time.Duration, ok bool) {
	leaves := w.Now
	if w.Bandwidth > 0 && w.byAddress[pair[0]] != nil {
		busy := max(w.linkFreeAt[pair[0]], w.Now)
		if busy-w.Now > transmissionTime(maxQueuedBytes, w.Bandwidth) {
			return 0, false
		}
		leaves = busy + transmissionTime(proto.Size(m), w.Bandwidth)
		w.linkFreeAt[pair[0]] = leaves
	}
	at = leaves + 200*time.Microsecond + time.Duration(w.rng.ExpFloat64()*float64(400*time.Microsecond))
	at = max(at, w.lastArrival[pair])
	w.lastArrival[pair] = at
	return at, true
}

// bytesTake is how long so many bytes take at a number of bytes a second.
func transmissionTime(bytes, bandwidth int) time.Duration {
	return time.Duration(float64(bytes) / float64(bandwidth) * float64(time.Second))
}

// deliver hands a message to who it is for.
func (w *World) deliver(from, to string, m *coordpb.Message) {
	if c := w.clients[to]; c != nil {
		c.receive(m)
		return
	}
	p := w.byAddress[to]
	if p == nil {
		return
	}
	if w.InjectAt != nil && isProtocolStep(m) && w.InjectAt(Point{w.byAddress[from], p}) {
		return
	}
	p.whenRunning(func() { p.receive(m) })
}

// wipeAfterPromise has a machine lose its disk in the middle of an agreement, where that matters, if that was drawn.
func (w *World) wipeAfterPromise(from string, m *coordpb.Message) {
	p := w.byAddress[from]
	if p == nil || m.GetPromise() == nil {
		return
	}
	if !p.wipeOnPromise && (w.Bug != KeptIdentity || w.rng.IntN(10) > 0) {
		return
	}
	p.wipeOnPromise = false
	w.After(time.Millisecond, func() {
		w.Trace("%v wipe %s right after a promise", w.Now, p.Address)
		p.Crash()
		p.Wipe()
		w.After(5*time.Millisecond, p.Start)
	})
}

// isFormal tells whether a message is a step of the agreement on a view or of the chain, and is not sent again and again.
func isProtocolStep(m *coordpb.Message) bool {
	switch m.Body.(type) {
	case *coordpb.Message_Heartbeat, *coordpb.Message_Confirm, *coordpb.Message_Confirmed, *coordpb.Message_Submit, *coordpb.Message_Read:
		return false
	}
	return true
}

// Cut is a way between two groups of machines that is interrupted.
type Partition struct {
	world *World
	pairs [][2]string
}

// CutOff interrupts the ways from some machines to others, and back unless one way only. Cuts add up.
func (w *World) Partition(some, others []string, oneWay bool) *Partition {
	c := &Partition{world: w}
	for _, a := range some {
		for _, b := range others {
			if a == b || slices.Contains(some, b) && slices.Contains(others, a) {
				continue
			}
			c.pairs = append(c.pairs, [2]string{a, b})
			if !oneWay {
				c.pairs = append(c.pairs, [2]string{b, a})
			}
		}
	}
	for _, pair := range c.pairs {
		w.partitioned[pair]++
	}
	return c
}

// Heal ends a cut.
func (c *Partition) Heal() {
	for _, pair := range c.pairs {
		c.world.partitioned[pair]--
	}
	c.pairs = nil
}

// Reset loses what is on its way between a machine and all others.
func (w *World) ResetConnections(address string) {
	for _, other := range w.Addresses() {
		w.connections[[2]string{address, other}]++
		w.connections[[2]string{other, address}]++
	}
}
