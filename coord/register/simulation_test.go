package register

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/view"
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

// process is one machine, through all its lives.
type process struct {
	world   *world
	address string
	seeds   []string
	first   bool // its disk has never been written to
	life    int
	up      bool
	frozen  time.Duration // until then it does nothing
	waiting []func()      // for the end of that
	armed   bool          // it loses its disk with its next promise

	core    *Core
	machine *counter
	disk    disk
	writing bool
	slow    time.Duration // what a write takes in addition
	self    *coordpb.Member
	holder  map[int]time.Duration // shards, since when it may act on them
	views   uint64
}

// disk is what a machine keeps.
type disk struct {
	state   *coordpb.Durable
	records []*coordpb.Record
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

// counter is the machine: a version that orders raise by one, if they name the one in force. What it tells and keeps is text in fields
// with a space between, as most of the time of a schedule would go into a richer form.
type counter struct {
	Version int
	Taken   map[string]int // the last orders, with the version that each made
	By      []string       // the orders that made the last versions
	Hash    uint64         // of all orders
}

// remembered is how many orders a counter tells of, to be quick.
const remembered = 64

// counterOrder raises the version that it is on. Its name has no space.
type counterOrder struct {
	Name string
	On   int
}

func (o counterOrder) text() []byte { return fmt.Appendf(nil, "%d %s", o.On, o.Name) }

func orderOf(text []byte) (o counterOrder, err error) {
	on, name, _ := strings.Cut(string(text), " ")
	o.Name = name
	o.On, err = strconv.Atoi(on)
	return o, err
}

// counterReply tells what became of an order.
type counterReply struct {
	Taken   bool
	Version int
}

func (r counterReply) text() []byte { return fmt.Appendf(nil, "%t %d", r.Taken, r.Version) }

func replyOf(text []byte) (r counterReply, err error) {
	taken, version, _ := strings.Cut(string(text), " ")
	if r.Taken, err = strconv.ParseBool(taken); err != nil {
		return r, err
	}
	r.Version, err = strconv.Atoi(version)
	return r, err
}

func newCounter() *counter { return &counter{Taken: map[string]int{}} }

func (c *counter) Decide(text []byte) (change, reply []byte) {
	o, err := orderOf(text)
	answer := counterReply{Version: c.Version}
	switch made, taken := c.Taken[o.Name]; {
	case taken:
		answer = counterReply{true, made}
	case err == nil && o.On == c.Version:
		change, answer = text, counterReply{true, c.Version + 1}
	}
	return change, answer.text()
}

func (c *counter) Apply(change []byte) {
	o, _ := orderOf(change)
	c.Version++
	c.Taken[o.Name] = c.Version
	c.Hash = xxhash.Sum64String(strconv.FormatUint(c.Hash, 10) + o.Name)
	if c.By = append(c.By, o.Name); len(c.By) > remembered {
		delete(c.Taken, c.By[0])
		c.By = c.By[1:]
	}
}

func (c *counter) Snapshot() []byte {
	text := fmt.Appendf(nil, "%d %d", c.Version, c.Hash)
	for _, name := range c.By {
		text = append(append(text, ' '), name...)
	}
	return text
}

func (c *counter) Restore(text []byte) (err error) {
	*c = *newCounter()
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return fmt.Errorf("a counter of %d fields; there are two at least", len(fields))
	}
	if c.Version, err = strconv.Atoi(fields[0]); err != nil {
		return err
	}
	if c.Hash, err = strconv.ParseUint(fields[1], 10, 64); err != nil {
		return err
	}
	c.By = fields[2:]
	for i, name := range c.By {
		c.Taken[name] = c.Version - len(c.By) + 1 + i
	}
	return nil
}

func (c *counter) Value() any { return strconv.Itoa(c.Version) + " " + strconv.FormatUint(c.Hash, 10) }

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

// start begins a life of a machine's process.
func (p *process) start() {
	w := p.world
	if p.up {
		return
	}
	p.life++
	p.up, p.writing, p.frozen, p.waiting, p.holder = true, false, 0, nil, map[int]time.Duration{}
	p.machine = newCounter()
	c := Config{Self: &coordpb.Member{Address: p.address, Identity: w.rng.Uint64()}, Seeds: p.seeds, Eligible: true, Tolerance: w.tolerance, Seed: w.rng.Uint64()}
	if p.first {
		c.Founder = true
	}
	p.first = false
	if p.disk.state != nil {
		kept := proto.Clone(p.disk.state).(*coordpb.Durable)
		if err := Replay(kept, p.disk.records, p.machine); err != nil {
			w.fail("%s: %v", p.address, err)
		}
		c.Kept, c.Founder, c.Self.Identity = kept, kept.Founder, kept.Identity
	} else if w.plant == keepsIdentity && p.self != nil {
		c.Self.Identity, c.Founder = p.self.Identity, true
	}
	p.self = c.Self
	p.core = NewCore(c, p.machine, w.now)
	p.core.Know(w.addresses())
	if p.disk.state == nil {
		state, upTo := p.core.Durable()
		p.save(state, upTo)
	}
	p.tick(p.life)
}

// save has all of the state go to the disk.
func (p *process) save(state *coordpb.Durable, upTo uint64) {
	state = proto.Clone(state).(*coordpb.Durable)
	p.write(upTo, func() { p.disk = disk{state: state} })
}

// write has something be on the disk after a moment. A life that ends before leaves it there or not.
func (p *process) write(upTo uint64, keep func()) {
	w, life := p.world, p.life
	p.writing = true
	if w.plant == earlyWrite {
		p.carryOut(p.core.Written(upTo, w.now))
	}
	took := w.sync/2 + time.Duration(w.rng.Int64N(int64(w.sync))) + p.slow
	w.after(took, func() {
		if p.life != life || !p.up {
			return
		}
		if w.strike != nil && w.strike(point{from: p}) || p.life != life {
			return
		}
		keep()
		p.writing = false
		p.do(func() { p.carryOut(p.core.Written(upTo, w.now)) })
	})
}

// do has a live process do something, once it does anything.
func (p *process) do(f func()) {
	if !p.up {
		return
	}
	if p.frozen > p.world.now {
		p.waiting = append(p.waiting, f)
		return
	}
	f()
	p.flush()
	p.check()
}

func (p *process) tick(life int) {
	if p.life != life || !p.up || p.world.fault != nil {
		return
	}
	p.do(func() {
		p.core.SetHealthy(p.slow < 300*time.Millisecond)
		p.carryOut(p.core.Tick(p.world.now))
	})
	p.world.after(50*time.Millisecond, func() { p.tick(life) })
}

// flush hands what is to be written to the disk.
func (p *process) flush() {
	if p.writing || !p.up {
		return
	}
	records, upTo := p.core.Unwritten()
	if len(records) == 0 {
		return
	}
	kept := make([]*coordpb.Record, len(records))
	for i, r := range records {
		kept[i] = proto.Clone(r).(*coordpb.Record)
	}
	p.write(upTo, func() { p.disk.records = append(p.disk.records, kept...) })
}

func (p *process) carryOut(out Output) {
	w := p.world
	if out.View != nil {
		w.trace("%v %s view %d %v chain %v", w.now, p.address, out.View.Epoch, names(out.View.Members), chainNames(out.View))
		w.history.viewed(w, p, out.View)
		p.views++
		p.duties(out.View)
	}
	for _, c := range out.Commits {
		w.history.committed(w, p, c)
	}
	for _, s := range out.Sends {
		w.send(p.address, s.To, s.Message)
	}
}

func names(members []*coordpb.Member) (all []string) {
	for _, m := range members {
		all = append(all, m.Address)
	}
	return all
}

func chainNames(v *coordpb.View) (all []string) {
	for _, identity := range v.Chain {
		all = append(all, view.MemberOf(v, identity).GetAddress())
	}
	return all
}

// duties notes from when on this process may act on shards.
func (p *process) duties(v *coordpb.View) {
	for shard, duty := range v.Duties {
		if duty.Owner != p.self.Identity {
			delete(p.holder, shard)
			continue
		}
		if _, has := p.holder[shard]; !has || duty.Since == v.Epoch {
			p.holder[shard] = p.world.now + time.Duration(duty.WaitMs)*time.Millisecond
		}
	}
}

// acts tells whether this process would act on a shard now.
func (p *process) acts(shard int) bool {
	from, has := p.holder[shard]
	if !p.up || !has || p.frozen > p.world.now || p.world.now < from {
		return false
	}
	at, ok := p.core.ConfirmedAt()
	return p.world.plant == leaseIgnored || ok && p.world.now-at < view.Lease
}

// check looks at what must hold at any moment: nobody else acts on the duties of this process.
func (p *process) check() {
	for shard := range p.holder {
		if !p.acts(shard) {
			continue
		}
		for _, other := range p.world.nodes {
			if other != p && other.acts(shard) {
				p.world.fail("%s and %s both act on shard %d", p.address, other.address, shard)
			}
		}
	}
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

// receive has a process take in a message, with the faults that are planted.
func (p *process) receive(m *coordpb.Message) {
	w, before := p.world, p.machine.Version
	if read := m.GetRead(); read != nil && w.plant == unconfirmedReads && p.core.Readable() {
		w.send(p.address, m.From.Address, &coordpb.Message{From: p.self, Body: &coordpb.Message_Reply{Reply: &coordpb.Reply{Id: read.Id, Reply: p.machine.Snapshot()}}})
		return
	}
	p.carryOut(p.core.Receive(w.now, m))
	if submit := m.GetSubmit(); submit != nil && w.plant == earlyAck && p.machine.Version == before+1 {
		reply := counterReply{true, p.machine.Version}.text()
		w.send(p.address, m.From.Address, &coordpb.Message{From: p.self, Body: &coordpb.Message_Reply{Reply: &coordpb.Reply{Id: submit.Id, Reply: reply}}})
	}
}

// crash ends a process. What it was writing is on the disk or not.
func (p *process) crash() {
	p.up = false
	p.life++
}

// wipe takes a machine's disk.
func (p *process) wipe() { p.disk = disk{} }

// freeze has a process stand still for a while.
func (p *process) freeze(d time.Duration) {
	p.frozen = p.world.now + d
	life := p.life
	p.world.after(d, func() {
		if p.life != life || !p.up {
			return
		}
		waiting := p.waiting
		p.waiting = nil
		for _, f := range waiting {
			p.do(f)
		}
	})
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

// caller is a client: it sends orders and reads, one at a time, to machines that it knows.
type caller struct {
	world   *world
	number  int
	address string
	view    *coordpb.View
	next    uint64
	calls   map[uint64]*call
	stopped bool
	waits   bool // it calls again once it was answered or has given up
}

// call is one order or read.
type call struct {
	id      uint64
	order   *counterOrder // nil for a read
	began   time.Duration
	atLeast int // the version that was acknowledged by then
	sent    time.Duration
	over    bool
	client  int           // its number
	ended   time.Duration // where over
	answer  counterReply
	then    func() // what its client does next, nil for nothing
}

// answered notes the time of the first answer.
func (x *call) answered(now time.Duration) {
	if !x.over {
		x.over, x.ended = true, now
	}
	x.end()
}

// end has the client go on.
func (x *call) end() {
	if then := x.then; then != nil {
		x.then = nil
		then()
	}
}

func (w *world) client(name string) *caller {
	c := &caller{world: w, address: name, number: len(w.clients), calls: map[uint64]*call{}}
	w.clients[name] = c
	return c
}

// loop has a client call again and again, with pauses.
func (c *caller) loop(pause time.Duration) {
	if c.stopped || c.world.fault != nil {
		return
	}
	c.next++
	x := &call{id: c.next, began: c.world.now, atLeast: c.world.history.acknowledged, client: c.number}
	c.world.history.calls = append(c.world.history.calls, x)
	if c.world.rng.IntN(3) > 0 {
		on := c.world.history.acknowledged
		if c.world.rng.IntN(10) == 0 {
			on = max(on-1, 0) // a stale one
		}
		x.order = &counterOrder{Name: fmt.Sprintf("%s-%d", c.address, x.id), On: on}
	}
	c.calls[x.id] = x
	c.try(x)
	if !c.waits {
		c.again(pause)
		return
	}
	x.then = func() { c.again(pause) }
	c.world.after(givesUpAfter, x.end)
}

// again has a client call again after a pause.
func (c *caller) again(pause time.Duration) {
	c.world.after(time.Duration(c.world.rng.ExpFloat64()*float64(pause))+time.Millisecond, func() { c.loop(pause) })
}

// givesUpAfter is how long a client asks for an answer.
const givesUpAfter = 5 * time.Second

func (c *caller) try(x *call) {
	w := c.world
	if x.over || c.stopped || w.now-x.began > givesUpAfter {
		return
	}
	x.sent = w.now
	to := chain.Head(c.view)
	if x.order == nil {
		to = chain.Tail(c.view)
	}
	if to == "" || w.rng.IntN(3) == 0 {
		to = w.nodes[w.rng.IntN(len(w.nodes))].address
	}
	m := &coordpb.Message{From: &coordpb.Member{Address: c.address}}
	if x.order != nil {
		m.Body = &coordpb.Message_Submit{Submit: &coordpb.Submit{Id: x.id, Order: x.order.text()}}
	} else {
		m.Body = &coordpb.Message_Read{Read: &coordpb.Read{Id: x.id}}
	}
	w.send(c.address, to, m)
	sent := x.sent
	w.after(300*time.Millisecond, func() {
		if x.sent == sent {
			c.try(x)
		}
	})
}

func (c *caller) receive(m *coordpb.Message) {
	switch body := m.Body.(type) {
	case *coordpb.Message_Redirect:
		if v := body.Redirect.View; v.GetEpoch() > c.view.GetEpoch() {
			c.view = v
		}
		if x := c.calls[body.Redirect.Id]; x != nil {
			c.world.after(20*time.Millisecond, func() { c.try(x) })
		}
	case *coordpb.Message_Reply:
		if x := c.calls[body.Reply.Id]; x != nil {
			c.world.history.replied(c.world, x, body.Reply)
			x.answered(c.world.now)
		}
	}
}

// history is what clients and processes saw, and what must hold of it.
type history struct {
	acknowledged int               // the greatest version that was
	made         map[string]int    // acknowledged orders, with their versions
	by           map[int]string    // and the other way round
	refused      map[string]bool   // orders that were refused
	states       map[uint64]string // committed, by sequence
	views        map[uint64]string // by epoch
	votes        map[vote]*given
	orders, read int // that were answered
	lastAck      time.Duration
	calls        []*call        // all of them, in the order of their beginnings
	versions     map[string]int // that orders have made, by what processes have committed
}

func (h *history) init() {
	h.made, h.by, h.refused, h.states, h.views = map[string]int{}, map[int]string{}, map[string]bool{}, map[uint64]string{}, map[uint64]string{}
	h.votes, h.versions = map[vote]*given{}, map[string]int{}
}

// vote is one identity's part in the agreement on one epoch's view.
type vote struct{ identity, instance uint64 }

// given is what it has promised and accepted there so far.
type given struct{ promised, accepted *coordpb.Ballot }

// voted takes in that a process promises or accepts: no identity goes back behind what it promised, or forgets what it accepted.
func (h *history) voted(w *world, m *coordpb.Message) {
	of := func(instance uint64) *given {
		key := vote{m.From.Identity, instance}
		if h.votes[key] == nil {
			h.votes[key] = &given{}
		}
		return h.votes[key]
	}
	switch body := m.Body.(type) {
	case *coordpb.Message_Promise:
		g := of(body.Promise.Instance)
		if less(body.Promise.Ballot, g.promised) {
			w.fail("%s promises %v for view %d; it has promised %v", m.From.Address, body.Promise.Ballot, body.Promise.Instance, g.promised)
		}
		if less(body.Promise.AcceptedBallot, g.accepted) {
			w.fail("%s promises for view %d and tells of %v; it has accepted %v", m.From.Address, body.Promise.Instance, body.Promise.AcceptedBallot, g.accepted)
		}
		g.promised = body.Promise.Ballot
	case *coordpb.Message_Accepted:
		g := of(body.Accepted.Instance)
		if less(body.Accepted.Ballot, g.promised) {
			w.fail("%s accepts %v for view %d; it has promised %v", m.From.Address, body.Accepted.Ballot, body.Accepted.Instance, g.promised)
		}
		g.promised, g.accepted = body.Accepted.Ballot, body.Accepted.Ballot
	}
}

// less compares ballots; nil is the least.
func less(a, b *coordpb.Ballot) bool {
	if a == nil || b == nil {
		return a == nil && b != nil
	}
	return cmp.Or(cmp.Compare(a.Round, b.Round), cmp.Compare(a.Proposer, b.Proposer)) < 0
}

// replied takes in what a client was answered.
func (h *history) replied(w *world, x *call, r *coordpb.Reply) {
	if x.order == nil {
		h.read++
		var state counter
		if err := state.Restore(r.Reply); err != nil {
			w.fail("a read was answered %q: %v", r.Reply, err)
		}
		if !x.over {
			x.answer.Version = state.Version
		}
		if state.Version < x.atLeast {
			w.fail("a read that began at %v saw version %d; %d was acknowledged by then", x.began, state.Version, x.atLeast)
		}
		for i, name := range state.By {
			version := state.Version - len(state.By) + 1 + i
			if acked, ok := h.by[version]; ok && acked != name {
				w.fail("version %d was acknowledged for %s, and is read to be of %s", version, acked, name)
			}
		}
		return
	}
	answer, err := replyOf(r.Reply)
	if err != nil {
		w.fail("an order was answered %q: %v", r.Reply, err)
	}
	if !x.over {
		x.answer = answer
	}
	if !answer.Taken {
		h.refused[x.order.Name] = true
		if v := h.made[x.order.Name]; v > 0 {
			w.fail("order %s made version %d, and was refused later", x.order.Name, v)
		}
		return
	}
	h.orders++
	h.lastAck = w.now
	if h.refused[x.order.Name] {
		w.fail("order %s was refused, and acknowledged later", x.order.Name)
	}
	if other, taken := h.by[answer.Version]; taken && other != x.order.Name {
		w.fail("version %d was acknowledged for %s and for %s", answer.Version, other, x.order.Name)
	}
	if v, before := h.made[x.order.Name]; before && v != answer.Version {
		w.fail("order %s was acknowledged as version %d and as %d", x.order.Name, v, answer.Version)
	}
	h.made[x.order.Name], h.by[answer.Version] = answer.Version, x.order.Name
	h.acknowledged = max(h.acknowledged, answer.Version)
}

// committed takes in that a process tells of a state.
func (h *history) committed(w *world, p *process, c chain.Committed) {
	state := c.Value.(string)
	if other, ok := h.states[c.Position.Sequence]; ok && other != state {
		w.fail("%s commits another state %d than was committed before", p.address, c.Position.Sequence)
	}
	h.states[c.Position.Sequence] = state
	h.noteVersion(p.machine, state)
}

// noteVersion notes which order made the version of a committed state. The machine may be further by now.
func (h *history) noteVersion(m *counter, state string) {
	var version int
	fmt.Sscan(state, &version)
	if i := len(m.By) - 1 - (m.Version - version); i >= 0 && i < len(m.By) {
		h.versions[m.By[i]] = version
	}
}

// viewed takes in that a process learns of a view.
func (h *history) viewed(w *world, p *process, v *coordpb.View) {
	text := v.String()
	if other, ok := h.views[v.Epoch]; ok && other != text {
		w.fail("%s learns of another view %d than was decided: %s, before %s", p.address, v.Epoch, text, other)
	}
	h.views[v.Epoch] = text
}

// newest is the greatest epoch that any process has learnt of.
func (h *history) newest() uint64 {
	last := uint64(0)
	for epoch := range h.views {
		last = max(last, epoch)
	}
	return last
}

// living are the machines whose processes are up.
func (w *world) living() []*process {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(p *process) bool { return !p.up })
}
