// Package chain replicates one state over the chain of a view: changes are made at the head, each member keeps them on its disk before
// it passes them on, and the tail answers. Package view says who is in the chain.
//
// A Replica is a state machine without I/O, clock or goroutine. Its owner calls its methods with the time and what happened and carries
// out the effects in their order; messages that come behind a Write go out once all that was to be written is on the disk. The owner
// owes it one caller at a time, a clock that never goes back, each view that it learns, and a call of Seal when it has promised to
// leave an epoch.
package chain

import (
	"slices"
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

const (
	// ResendEvery is the time after which a message to a neighbour that has not been answered is sent again.
	ResendEvery = 200 * time.Millisecond
	// stuckAfter is how long the chain may take for a change, or to begin an epoch, before another view is called for.
	stuckAfter = 900 * time.Millisecond
	// hopTakes is how long one more member may take for a change: a write to a disk, and a pause of the process.
	hopTakes = 150 * time.Millisecond
	// slowestLink is how many bytes a second a change may be expected to travel from one member to the next.
	slowestLink = 1 << 20
	// restartsIn is the least time between the end of a process and the beginning of the next one on its machine.
	restartsIn = 250 * time.Millisecond
	// MostOrders bounds the orders that wait at the head; further ones are not taken.
	MostOrders = 256
)

// Machine is the state that is replicated. Its methods are called by the replica's caller.
type Machine interface {
	// Decide works out an order on the present state: the change that it makes, nil for none, and the reply.
	Decide(order []byte) (change, reply []byte)
	// Apply makes a change.
	Apply(change []byte)
	// Snapshot is all of the state.
	Snapshot() []byte
	// Restore puts a snapshot in place of the state.
	Restore(snapshot []byte) error
	// Value is the state in a form that never changes, for whoever reads it while changes go on.
	Value() any
}

// Effect is something for the owner to do: one of the types below.
type Effect interface{ isEffect() }

// Send brings a message to an address. Informal ones tell nothing that has to be on a disk first.
type Send struct {
	To       string
	Message  *coordpb.Message
	Informal bool
}

// Write puts a record on the disk.
type Write struct{ Record *coordpb.Record }

// Committed says that all of the chain have the state, so others may be told of it.
type Committed struct {
	Position *coordpb.Position
	Value    any // as the machine gave it
}

func (Send) isEffect()      {}
func (Write) isEffect()     {}
func (Committed) isEffect() {}

// order is one that waits at the head.
type order struct {
	origin *coordpb.Origin
	text   []byte
}

// waiting is a reply that waits for a confirmation that began after it.
type waiting struct {
	since  time.Duration
	origin *coordpb.Origin
	reply  []byte
	read   bool   // the reply is the state as it is by then
	known  uint64 // of a read: the sequence of the state that the asker has, 0 for none
}

// Replica is one process's.
type Replica struct {
	self    *coordpb.Member
	machine Machine
	now     time.Duration
	out     []Effect

	view     *coordpb.View
	sealed   bool
	position *coordpb.Position

	resumed    bool          // this process was in the epoch in a life before, and takes no part in it any more
	synced     bool          // the state is that with which the epoch began, or a later one of it
	downSynced bool          // so is that of all behind
	committed  uint64        // the sequence up to which all of the chain have the changes
	began      time.Duration // the epoch, here
	resendAt   time.Duration

	early     *coordpb.Sync // of an epoch that this process does not know yet
	earlyFrom string

	orders  []order
	pending *coordpb.Append // at the head: the change that is on its way; elsewhere the last one passed on
	pendAt  time.Duration

	catch    catchUp
	confirm  confirming
	answered map[string]time.Duration // when this process last confirmed its epoch to an address
	waiting  []waiting
}

// New returns a replica whose machine has the state of a position.
func New(self *coordpb.Member, m Machine, p *coordpb.Position, now time.Duration) *Replica {
	if p == nil {
		p = &coordpb.Position{}
	}
	return &Replica{self: self, machine: m, position: p, now: now, view: &coordpb.View{}, confirm: confirming{at: -1},
		answered: map[string]time.Duration{}}
}

// Position is how far the state is. It is not to be changed.
func (r *Replica) Position() *coordpb.Position { return r.position }

// Stuck tells that the chain has taken too long for something, though its members seem to live.
func (r *Replica) Stuck() bool {
	if r.sealed || r.index() < 0 {
		return false
	}
	if !r.synced || !r.downSynced {
		return r.resumed || r.now-max(r.began, r.catch.progressAt) >= stuckAfter
	}
	return r.isHead() && r.pending != nil && r.pending.Sequence > r.committed && r.now-r.pendAt >= r.patience()
}

// patience is how long the chain may take for the change that is on its way.
func (r *Replica) patience() time.Duration {
	hops := len(r.view.Chain) - 1
	return stuckAfter + time.Duration(hops)*hopTakes + time.Duration(hops*len(r.pending.Change))*time.Second/slowestLink
}

// Readable tells that this process is the tail and has the state of the chain.
func (r *Replica) Readable() bool { return !r.sealed && r.synced && r.isTail() }

// Sequence is the number of changes that are committed, as far as this process knows.
func (r *Replica) Sequence() uint64 { return r.committed }

// Idle is for how long this process has not acted on any duty for certain: since the end of its life before, if it has not been in a chain
// since.
func (r *Replica) Idle() time.Duration {
	if r.resumed {
		return r.now - r.began + restartsIn
	}
	return 0
}

// index is this process's place in the chain, -1 for none.
func (r *Replica) index() int { return slices.Index(r.view.Chain, r.self.Identity) }

func (r *Replica) isHead() bool { return r.index() == 0 }
func (r *Replica) isTail() bool { i := r.index(); return i >= 0 && i == len(r.view.Chain)-1 }

// Head and Tail are the addresses of the ends of the chain, empty where there is none.
func (r *Replica) Head() string { return Head(r.view) }

// Head is the address of the head of a view's chain, empty for none.
func Head(v *coordpb.View) string { return addressAt(v, 0) }

// Tail is the address of the tail of a view's chain, empty for none.
func Tail(v *coordpb.View) string { return addressAt(v, len(v.GetChain())-1) }

func addressAt(v *coordpb.View, i int) string {
	if i < 0 || i >= len(v.GetChain()) {
		return ""
	}
	if m := view.MemberOf(v, v.Chain[i]); m != nil {
		return m.Address
	}
	return ""
}

func (r *Replica) begin(now time.Duration) { r.now, r.out = max(now, r.now), nil }

func (r *Replica) do(e Effect) { r.out = append(r.out, e) }

func (r *Replica) send(to string, m *coordpb.Message) {
	if to == "" {
		return
	}
	m.From = r.self
	r.do(Send{To: to, Message: m})
}

func (r *Replica) successor() string   { return addressAt(r.view, r.index()+1) }
func (r *Replica) predecessor() string { return addressAt(r.view, r.index()-1) }

// Seal ends what is done in the present epoch.
func (r *Replica) Seal() { r.sealed = true }

// Resume takes up the view that a life before of this process knew. It takes no part in that epoch any more: what is on its disk may
// be more than it told its neighbours, so the chain has to begin another. Whom it confirmed the epoch to is forgotten: it may have been
// anybody, right before it began anew.
func (r *Replica) Resume(v *coordpb.View, sealed bool) {
	r.view, r.sealed, r.resumed, r.began = v, sealed, true, r.now
	for _, m := range v.Members {
		r.answered[m.Address] = r.now
	}
}

// Begin takes up a view.
func (r *Replica) Begin(now time.Duration, v *coordpb.View) []Effect {
	r.begin(now)
	r.view, r.sealed, r.resumed, r.synced, r.downSynced, r.began, r.pending = v, false, false, false, false, r.now, nil
	r.catch.askAt, r.catch.downstream, r.catch.progressAt = 0, 0, 0
	r.confirm, r.answered = confirming{nonce: r.confirm.nonce, at: -1}, map[string]time.Duration{}
	r.dismiss()
	if r.isHead() {
		r.complete()
	} else if early := r.early; early.GetEpoch() == v.Epoch {
		r.early = nil
		r.takeSync(r.earlyFrom, early)
	}
	return r.out
}

// dismiss sends those away who wait for an epoch that is over.
func (r *Replica) dismiss() {
	for _, w := range r.waiting {
		r.redirect(w.origin.Address, w.origin.Id)
	}
	r.waiting = nil
	if r.isHead() {
		return
	}
	for _, o := range r.orders {
		r.redirect(o.origin.Address, o.origin.Id)
	}
	r.orders = nil
}

// complete notes that the state is complete for the epoch, and has the next member get it.
func (r *Replica) complete() {
	r.synced = true
	r.progressed()
	if r.position.StateEpoch != r.view.Epoch {
		r.noteStateEpoch(r.view.Epoch)
	}
	if r.isTail() {
		r.allSynced()
		return
	}
	r.sendSync()
}

func (r *Replica) sendSync() {
	r.resendAt = r.now + ResendEvery
	r.send(r.successor(), &coordpb.Message{Body: &coordpb.Message_Sync{Sync: &coordpb.Sync{Epoch: r.view.Epoch, Position: r.position}}})
}

// allSynced notes that all behind have the state as well, and tells the member before.
func (r *Replica) allSynced() {
	if r.downSynced {
		return
	}
	r.downSynced = true
	r.commit(r.position.Sequence)
	if !r.isHead() {
		r.send(r.predecessor(), &coordpb.Message{Body: &coordpb.Message_Synced{Synced: &coordpb.Synced{Epoch: r.view.Epoch}}})
		return
	}
	r.takeNext()
}

// commit notes that all of the chain have the changes up to a sequence.
func (r *Replica) commit(sequence uint64) {
	r.committed = sequence
	if sequence == r.position.Sequence {
		r.do(Committed{r.position, r.machine.Value()})
	}
}

// Tick takes in that time has passed.
func (r *Replica) Tick(now time.Duration) []Effect {
	r.begin(now)
	if r.index() >= 0 && !r.sealed && r.synced && r.now >= r.resendAt {
		switch {
		case !r.downSynced && !r.isTail():
			r.sendSync()
		case r.pending != nil && r.pending.Sequence > r.committed:
			r.pass(r.pending)
		}
	}
	r.dueCatchUp()
	r.dueConfirm()
	return r.out
}

// Receive takes in a message; ok is false where it is none of this package's.
func (r *Replica) Receive(now time.Duration, m *coordpb.Message) (effects []Effect, ok bool) {
	r.begin(now)
	from := m.GetFrom().GetAddress()
	switch body := m.Body.(type) {
	case *coordpb.Message_Sync:
		r.takeSync(from, body.Sync)
	case *coordpb.Message_Synced:
		if r.in(body.Synced.Epoch) && r.synced && from == r.successor() {
			r.allSynced()
		}
	case *coordpb.Message_Need:
		r.takeNeed(from, body.Need)
	case *coordpb.Message_Snapshot:
		r.takeSnapshot(from, body.Snapshot)
	case *coordpb.Message_Entries:
		r.takeEntries(from, body.Entries)
	case *coordpb.Message_Syncing:
		r.takeSyncing(from, body.Syncing)
	case *coordpb.Message_Append:
		r.takeAppend(from, body.Append)
	case *coordpb.Message_Commit:
		r.takeCommit(from, body.Commit)
	case *coordpb.Message_Confirm:
		r.takeConfirm(from, body.Confirm)
	case *coordpb.Message_Confirmed:
		r.takeConfirmed(from, body.Confirmed)
	case *coordpb.Message_Submit:
		r.takeSubmit(from, body.Submit)
	case *coordpb.Message_Read:
		r.takeRead(from, body.Read)
	default:
		return nil, false
	}
	return r.out, true
}

// in tells whether a message is of the epoch that this process is in, and has not left.
func (r *Replica) in(epoch uint64) bool {
	return epoch == r.view.Epoch && !r.sealed && !r.resumed && r.index() >= 0
}

// takeSync takes in with which state the epoch begins.
func (r *Replica) takeSync(from string, s *coordpb.Sync) {
	if s.Epoch > r.view.Epoch {
		r.early, r.earlyFrom = s, from
	}
	if !r.in(s.Epoch) || from != r.predecessor() || s.Position == nil {
		return
	}
	switch {
	case r.synced && r.downSynced:
		r.send(from, &coordpb.Message{Body: &coordpb.Message_Synced{Synced: &coordpb.Synced{Epoch: r.view.Epoch}}})
	case r.synced:
		r.send(from, &coordpb.Message{Body: &coordpb.Message_Syncing{Syncing: &coordpb.Syncing{Epoch: r.view.Epoch, Progress: r.catch.progress}}})
	case sameState(s.Position, r.position):
		r.complete()
	case r.now >= r.catch.askAt:
		r.need(from, false)
	}
}

// takeSubmit has an order wait for its turn at the head.
func (r *Replica) takeSubmit(from string, s *coordpb.Submit) {
	if r.sealed || !r.isHead() || len(r.orders) >= MostOrders {
		r.redirect(from, s.Id)
		return
	}
	for _, o := range r.orders {
		if o.origin.Address == from && o.origin.Id == s.Id {
			return
		}
	}
	if p := r.pending; p != nil && p.Sequence > r.committed && p.Origin.GetAddress() == from && p.Origin.GetId() == s.Id {
		return
	}
	r.orders = append(r.orders, order{&coordpb.Origin{Address: from, Id: s.Id}, s.Order})
	r.takeNext()
}

func (r *Replica) redirect(to string, id uint64) {
	m := &coordpb.Redirect{Id: id}
	if r.view.Epoch > 0 {
		m.View = r.view
	}
	r.send(to, &coordpb.Message{Body: &coordpb.Message_Redirect{Redirect: m}})
}

// takeNext works out the orders that wait, one at a time: the next once the change of the one before is committed.
func (r *Replica) takeNext() {
	for len(r.orders) > 0 && r.isHead() && !r.sealed && r.downSynced && (r.pending == nil || r.pending.Sequence <= r.committed) {
		o := r.orders[0]
		r.orders = r.orders[1:]
		change, reply := r.machine.Decide(o.text)
		if change == nil {
			r.waiting = append(r.waiting, waiting{since: r.now, origin: o.origin, reply: reply})
			r.startConfirm()
			continue
		}
		r.append(&coordpb.Append{Epoch: r.view.Epoch, Sequence: r.position.Sequence + 1, PreviousEpoch: r.position.EntryEpoch,
			Change: change, Origin: o.origin, Reply: reply})
	}
}

// takeAppend takes in a change from the member before.
func (r *Replica) takeAppend(from string, a *coordpb.Append) {
	if !r.in(a.Epoch) || !r.synced || from != r.predecessor() {
		return
	}
	switch {
	case a.Sequence == r.position.Sequence+1 && a.PreviousEpoch == r.position.EntryEpoch:
		r.append(a)
	case a.Sequence == r.position.Sequence && r.pending != nil && r.pending.Sequence == a.Sequence:
		r.pass(r.pending) // it was lost further on
	case a.Sequence > r.position.Sequence:
		r.need(from, false)
	}
}

// append makes a change here and passes it on.
func (r *Replica) append(a *coordpb.Append) {
	r.apply(&coordpb.Entry{Epoch: a.Epoch, Sequence: a.Sequence, Change: a.Change})
	r.pending, r.pendAt = a, r.now
	r.pass(a)
}

// pass brings a change to the next member. Behind the last one it is committed, and its origin is answered.
func (r *Replica) pass(a *coordpb.Append) {
	r.resendAt = r.now + ResendEvery
	if !r.isTail() {
		r.send(r.successor(), &coordpb.Message{Body: &coordpb.Message_Append{Append: a}})
		return
	}
	if a.Origin != nil {
		r.send(a.Origin.Address, &coordpb.Message{Body: &coordpb.Message_Reply{Reply: &coordpb.Reply{Id: a.Origin.Id, Reply: a.Reply, Position: r.position}}})
	}
	for _, identity := range r.view.Chain {
		if m := view.MemberOf(r.view, identity); m != nil {
			r.send(m.Address, &coordpb.Message{Body: &coordpb.Message_Commit{Commit: &coordpb.Commit{Epoch: r.view.Epoch, Sequence: a.Sequence}}})
		}
	}
}

// takeCommit takes in that all of the chain have a change.
func (r *Replica) takeCommit(from string, c *coordpb.Commit) {
	if !r.in(c.Epoch) || !r.synced || from != Tail(r.view) || c.Sequence <= r.committed || c.Sequence > r.position.Sequence {
		return
	}
	r.commit(c.Sequence)
	r.takeNext()
}
