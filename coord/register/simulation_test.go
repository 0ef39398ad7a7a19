package register

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

// world is several cores on a network and disks in virtual time, with faults between them, and clients. Everything in it follows from
// its seed. What must hold is looked at with each step.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	events queue
	order  int
	nodes  []*process
	byAddr map[string]*process
	links  map[[2]string]time.Duration // when the last message from one to another comes
	cut    map[[2]string]bool

	clients   map[string]*caller
	sync      time.Duration // that a disk takes for a write, on average
	tolerance int
	plant     plant
	history   history
	fault     error // the first thing that did not hold
	trace     func(format string, args ...any)
	strike    func(point) bool // is told of each point, where set; true loses the message or stops the write there
}

// point is a moment at which a fault may change what follows: a message of the protocol is about to arrive, or a write is about to be on
// the disk.
type point struct {
	from, to *process // to is nil for a write
}

// plant is a fault in the program itself, which the checks are to find.
type plant int

const (
	none             plant = iota
	earlyWrite             // what is written counts as on the disk at once
	keepsIdentity          // a process whose disk is gone goes by its old identity, and votes again
	unconfirmedReads       // the tail answers without asking the members
	earlyAck               // the head acknowledges an order that the tail does not have yet
	leaseIgnored           // duties go on without a confirmation
)

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

// newWorld has so many machines, of which the first three are the seeds.
func newWorld(seed uint64, machines, tolerance int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0)), byAddr: map[string]*process{}, links: map[[2]string]time.Duration{}, cut: map[[2]string]bool{},
		clients: map[string]*caller{}, tolerance: tolerance, trace: func(string, ...any) {}}
	w.history.init()
	w.sync = []time.Duration{time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond}[w.rng.IntN(3)]
	var seeds []string
	for i := range machines {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("m%d", i))
		}
	}
	for i := range machines {
		w.add(fmt.Sprintf("m%d", i), seeds, true)
	}
	return w
}

// add has another machine be there, which is not up yet.
func (w *world) add(address string, seeds []string, first bool) *process {
	p := &process{world: w, address: address, seeds: seeds, first: first}
	w.nodes = append(w.nodes, p)
	w.byAddr[address] = p
	return p
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

// run goes on until a time, or until something does not hold.
func (w *world) run(until time.Duration) {
	for w.fault == nil && len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = max(w.now, until)
}

func (w *world) fail(format string, args ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf("%v: %s", w.now, fmt.Sprintf(format, args...))
	}
}

// addresses are those of all machines.
func (w *world) addresses() (all []string) {
	for _, p := range w.nodes {
		all = append(all, p.address)
	}
	return all
}

// send brings a message to a machine or a client, unless the way is cut. Messages of one pair come in order.
func (w *world) send(from, to string, m *coordpb.Message) {
	w.history.voted(w, m)
	if p := w.byAddr[from]; m.GetPromise() != nil && (p.armed || w.plant == keepsIdentity && w.rng.IntN(10) == 0) {
		p.armed = false
		w.after(time.Millisecond, func() { // in the middle of an agreement, where it matters
			w.trace("%v wipe %s right after a promise", w.now, p.address)
			p.crash()
			p.wipe()
			w.after(5*time.Millisecond, p.start)
		})
	}
	if w.cut[[2]string{from, to}] {
		return
	}
	m = proto.Clone(m).(*coordpb.Message)
	at := w.now + 200*time.Microsecond + time.Duration(w.rng.ExpFloat64()*float64(400*time.Microsecond))
	pair := [2]string{from, to}
	at = max(at, w.links[pair])
	w.links[pair] = at
	w.after(at-w.now, func() {
		if w.cut[pair] {
			return
		}
		if c := w.clients[to]; c != nil {
			c.receive(m)
			return
		}
		if p := w.byAddr[to]; p != nil {
			if w.strike != nil && isFormal(m) && w.strike(point{w.byAddr[from], p}) {
				return
			}
			p.do(func() { p.receive(m) })
		}
	})
}

// isFormal tells whether a message is a step of the agreement on a view or of the chain, and is not sent again and again.
func isFormal(m *coordpb.Message) bool {
	switch m.Body.(type) {
	case *coordpb.Message_Heartbeat, *coordpb.Message_Confirm, *coordpb.Message_Confirmed, *coordpb.Message_Submit, *coordpb.Message_Read:
		return false
	}
	return true
}

// isolate cuts a machine off from others, in both directions or in one.
func (w *world) isolate(address string, others []string, oneWay, on bool) {
	for _, other := range others {
		if other == address {
			continue
		}
		w.cut[[2]string{address, other}] = on
		if !oneWay || !on {
			w.cut[[2]string{other, address}] = on
		}
	}
}

// living are the machines whose processes are up.
func (w *world) living() []*process {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(p *process) bool { return !p.up })
}
