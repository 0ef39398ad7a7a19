package chain

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

const (
	// partBytes is how much of a snapshot goes at once: 0.05 s on a link of 10 Mbit/s, so that heartbeats behind it are in time.
	partBytes = 64 << 10
	// mostRecent and mostRecentBytes bound the changes that are kept for those who lack only these.
	mostRecent      = 256
	mostRecentBytes = 1 << 20
	// mostEntriesBytes bounds the changes in one message, one change left aside.
	mostEntriesBytes = 256 << 10
	// mostState bounds a snapshot.
	mostState = 64 << 20
	// askAgain is how long an answer to a Need is waited for, and followEvery the time between two that ask for nothing but news.
	askAgain    = 400 * time.Millisecond
	followEvery = 300 * time.Millisecond
	// offeredFor is how long a snapshot is kept after the last part of it was asked for.
	offeredFor = 5 * time.Second
)

// change is one of late, with what it followed on.
type change struct {
	entry    *coordpb.Entry
	previous uint64 // the epoch in which the change before was made
}

// recentChanges are the last ones that led to the present state, the oldest first.
type recentChanges struct {
	all   []change
	bytes int
}

func (c *recentChanges) add(x change) {
	c.all = append(c.all, x)
	c.bytes += len(x.entry.Change)
	for len(c.all) > mostRecent || c.bytes > mostRecentBytes && len(c.all) > 1 {
		c.bytes -= len(c.all[0].entry.Change)
		c.all[0] = change{}
		c.all = c.all[1:]
	}
}

// after are the changes behind a position; ok is false where the position is none of those that they lead through.
func (c *recentChanges) after(p, present *coordpb.Position) (all []change, ok bool) {
	if sameState(p, present) {
		return nil, true
	}
	for i, x := range c.all {
		if x.entry.Sequence == p.GetSequence()+1 && x.previous == p.GetEntryEpoch() {
			return c.all[i:], true
		}
	}
	return nil, false
}

// sameState tells whether two positions are of the same state: a sequence has one change in an epoch.
func sameState(a, b *coordpb.Position) bool {
	return a.GetSequence() == b.GetSequence() && a.GetEntryEpoch() == b.GetEntryEpoch()
}

// offer is a snapshot that others get in parts.
type offer struct {
	position *coordpb.Position
	text     []byte
	sum      uint64
	usedAt   time.Duration
}

// part names the part at an offset.
func (o *offer) part(offset int) *coordpb.Part {
	return &coordpb.Part{Position: o.position, Size: uint64(len(o.text)), Sum: o.sum, Offset: uint64(offset)}
}

// has tells whether a part is one of this snapshot.
func (o *offer) has(p *coordpb.Part) bool {
	return o != nil && p != nil && p.Sum == o.sum && p.Size == uint64(len(o.text)) && sameState(p.Position, o.position) && p.Offset <= p.Size
}

// collection is a snapshot of which some parts have come.
type collection struct {
	of   *coordpb.Part
	text []byte
}

// catchUp is what a replica has of the states of others, and they of its own.
type catchUp struct {
	follows bool // also where it takes no part in the chain, to be ready for the next epoch
	recent  recentChanges
	offer   *offer
	begun   *collection
	askAt   time.Duration // the next Need, at the earliest
	asked   int           // whom: counts those that did not answer

	progress   uint64 // grows with each part that somebody behind got, and with each that has all
	downstream uint64 // what the next member told of its own
	progressAt time.Duration
}

// Follow has the replica get the state also while it takes no part in the chain, so that it can begin the next epoch at once.
func (r *Replica) Follow() { r.catch.follows = true }

// takesPart tells whether this process is of the chain, and has not left it.
func (r *Replica) takesPart() bool { return r.index() >= 0 && !r.resumed }

// dueCatchUp asks for the state where this process takes no part in the chain.
func (r *Replica) dueCatchUp() {
	c := &r.catch
	if c.offer != nil && r.now-c.offer.usedAt >= offeredFor {
		c.offer = nil
	}
	if r.takesPart() {
		if !r.synced && c.begun != nil && r.now >= c.askAt {
			r.need(r.predecessor(), false)
		}
		return
	}
	if c.follows && !r.sealed && len(r.view.Chain) > 0 && r.now >= c.askAt {
		c.asked++
		r.need(r.source(), true)
	}
}

// source is whom a process asks that takes no part: the tail, and by turns the others of the chain where that does not answer.
func (r *Replica) source() string {
	n := len(r.view.Chain)
	at := addressAt(r.view, (n-1)-(r.catch.asked-1)%n)
	if at == r.self.Address {
		return addressAt(r.view, (n-1)-r.catch.asked%n)
	}
	return at
}

// need asks for what the state lacks.
func (r *Replica) need(from string, ahead bool) {
	c := &r.catch
	c.askAt = r.now + askAgain
	n := &coordpb.Need{Epoch: r.view.Epoch, Position: r.position, Ahead: ahead}
	if c.begun != nil {
		n.Have = &coordpb.Part{Position: c.begun.of.Position, Size: c.begun.of.Size, Sum: c.begun.of.Sum, Offset: uint64(len(c.begun.text))}
	}
	r.send(from, &coordpb.Message{Body: &coordpb.Message_Need{Need: n}})
}

// takeNeed answers with what a state lacks.
func (r *Replica) takeNeed(from string, n *coordpb.Need) {
	if !r.in(n.Epoch) || !r.synced || !n.Ahead && from != r.successor() {
		return
	}
	if n.Ahead && !sameState(n.Position, r.position) && !view.IsAhead(r.position, n.Position) {
		return // it has more than this process
	}
	if !n.Ahead {
		r.progressed()
	}
	if changes, ok := r.catch.recent.after(n.Position, r.position); ok {
		r.sendEntries(from, n, changes)
		return
	}
	o := r.offered(n.Have)
	offset := 0
	if o.has(n.Have) {
		offset = int(n.Have.Offset)
	}
	text := o.text[offset:min(len(o.text), offset+partBytes)]
	r.send(from, &coordpb.Message{Body: &coordpb.Message_Snapshot{Snapshot: &coordpb.Snapshot{Epoch: n.Epoch, Position: r.position,
		State: text, Part: o.part(offset), Ahead: n.Ahead}}})
}

// offered is the snapshot of which a part is sent: the one that was begun, as long as what came after it is known.
func (r *Replica) offered(have *coordpb.Part) *offer {
	o := r.catch.offer
	if o != nil {
		if _, ok := r.catch.recent.after(o.position, r.position); !ok && !o.has(have) {
			o = nil
		}
	}
	if o == nil {
		text := r.machine.Snapshot()
		o = &offer{position: r.position, text: text, sum: xxhash.Sum64(text)}
		r.catch.offer = o
	}
	o.usedAt = r.now
	return o
}

// sendEntries brings changes, as many as fit into one message.
func (r *Replica) sendEntries(to string, n *coordpb.Need, changes []change) {
	m := &coordpb.Entries{Epoch: n.Epoch, Position: r.position, Ahead: n.Ahead}
	bytes := 0
	for i, x := range changes {
		if bytes += len(x.entry.Change); i > 0 && bytes > mostEntriesBytes {
			break
		}
		if i == 0 {
			m.PreviousEpoch = x.previous
		}
		m.Entries = append(m.Entries, x.entry)
	}
	r.send(to, &coordpb.Message{Body: &coordpb.Message_Entries{Entries: m}})
}

// mayTake tells whether a state may be taken from a member: of the one before in the chain until the epoch has begun here, or of any where
// this process takes no part.
func (r *Replica) mayTake(from string, epoch uint64, ahead bool) bool {
	if epoch != r.view.Epoch || r.sealed {
		return false
	}
	if ahead {
		return !r.takesPart()
	}
	return r.in(epoch) && from == r.predecessor()
}

// takeEntries makes changes that the state lacks.
func (r *Replica) takeEntries(from string, e *coordpb.Entries) {
	if e.Position == nil || !r.mayTake(from, e.Epoch, e.Ahead) {
		return
	}
	r.catch.asked = 0
	previous := e.PreviousEpoch
	for _, entry := range e.Entries {
		if entry == nil || entry.Sequence != r.position.Sequence+1 || previous != r.position.EntryEpoch {
			return // of an answer that came late
		}
		r.takeEntry(entry, previous, e.Ahead)
		previous = entry.Epoch
	}
	if e.Ahead || !r.synced {
		r.caughtUp(from, e.Position, e.Ahead)
	}
}

// takeEntry makes one change. Where the epoch has begun here, the members behind lack it as well.
func (r *Replica) takeEntry(e *coordpb.Entry, previous uint64, ahead bool) {
	if ahead || !r.synced {
		r.apply(e)
		return
	}
	r.append(&coordpb.Append{Epoch: e.Epoch, Sequence: e.Sequence, PreviousEpoch: previous, Change: e.Change})
}

// apply makes a change that was made elsewhere before.
func (r *Replica) apply(e *coordpb.Entry) {
	r.machine.Apply(e.Change)
	r.catch.recent.add(change{e, r.position.EntryEpoch})
	r.position = &coordpb.Position{StateEpoch: r.position.StateEpoch, Sequence: e.Sequence, EntryEpoch: e.Epoch}
	r.do(Write{&coordpb.Record{Body: &coordpb.Record_Entry{Entry: e}}})
}

// caughtUp goes on once what a member sent was taken: with the epoch where the state is that member's, else with the next Need.
func (r *Replica) caughtUp(from string, to *coordpb.Position, ahead bool) {
	if !sameState(r.position, to) {
		r.need(from, ahead)
		return
	}
	if !ahead {
		r.complete()
		return
	}
	r.catch.askAt = r.now + followEvery
	if to.StateEpoch > r.position.StateEpoch {
		r.noteStateEpoch(to.StateEpoch)
	}
}

// noteStateEpoch notes that the state includes that with which an epoch began.
func (r *Replica) noteStateEpoch(epoch uint64) {
	r.position = &coordpb.Position{StateEpoch: epoch, Sequence: r.position.Sequence, EntryEpoch: r.position.EntryEpoch}
	r.do(Write{&coordpb.Record{Body: &coordpb.Record_StateEpoch{StateEpoch: epoch}}})
}

// takeSnapshot takes in a part of a state, and puts that in place of the own one once it is whole.
func (r *Replica) takeSnapshot(from string, s *coordpb.Snapshot) {
	if s.Position == nil || !r.mayTake(from, s.Epoch, s.Ahead) || !s.Ahead && r.synced {
		return
	}
	r.catch.asked = 0
	of := s.Position
	if s.Part != nil {
		of = s.Part.Position
	}
	text, whole := r.collect(from, s)
	if !whole {
		return
	}
	if s.Ahead && !view.IsAhead(of, r.position) {
		r.catch.askAt = r.now + followEvery
		return
	}
	if r.machine.Restore(text) != nil {
		return
	}
	r.catch.recent = recentChanges{}
	r.position = &coordpb.Position{StateEpoch: of.GetStateEpoch(), Sequence: of.GetSequence(), EntryEpoch: of.GetEntryEpoch()}
	r.do(Write{&coordpb.Record{Body: &coordpb.Record_Installed{Installed: &coordpb.Installed{Position: r.position, State: text}}}})
	r.caughtUp(from, s.Position, s.Ahead)
}

// collect adds a part to those that came before; whole is true once all are there.
func (r *Replica) collect(from string, s *coordpb.Snapshot) (text []byte, whole bool) {
	if s.Part == nil {
		return s.State, true
	}
	c := &r.catch
	if b := c.begun; b == nil || b.of.Sum != s.Part.Sum || b.of.Size != s.Part.Size || !sameState(b.of.Position, s.Part.Position) {
		if s.Part.Offset > 0 || s.Part.Size > mostState {
			return nil, false
		}
		c.begun = &collection{of: s.Part}
	}
	b := c.begun
	if s.Part.Offset != uint64(len(b.text)) {
		return nil, false // it came before
	}
	b.text = append(b.text, s.State...)
	if uint64(len(b.text)) < b.of.Size {
		r.need(from, s.Ahead)
		return nil, false
	}
	c.begun = nil
	return b.text, xxhash.Sum64(b.text) == b.of.Sum
}

// progressed notes that this process or somebody behind is getting the state.
func (r *Replica) progressed() {
	r.catch.progress++
	r.catch.progressAt = r.now
}

// takeSyncing takes in that the next member has the state, and those behind it are getting it.
func (r *Replica) takeSyncing(from string, s *coordpb.Syncing) {
	if !r.in(s.Epoch) || from != r.successor() || s.Progress == r.catch.downstream {
		return
	}
	r.catch.downstream = s.Progress
	r.progressed()
}
