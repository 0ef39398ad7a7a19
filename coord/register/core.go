// Package register keeps one state on several machines: a chain of replicas under an agreed view, each with its storage. It puts the
// state machines of packages view and chain together, and drives them.
//
// Core is the state machine: inputs in; sends, writes and commits out. Replica drives one on a link and a disk. Client brings orders to
// the head and reads from the tail, from any process.
package register

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// Config is what a Core is told at its start.
type Config struct {
	Self      *coordpb.Member
	Seeds     []string // addresses that vote on the first view, the same everywhere on the first start
	Founder   bool     // this is the first life at its address
	Eligible  bool     // this process may be a member
	Tolerance int      // members that may be lost at once
	Seed      uint64   // of all chance
	Kept      *coordpb.Durable
	Unsynced  bool // what was kept may not survive a loss of power yet: it counts as FoundRecords that are to be written
}

// FoundRecords is the number that Core.Written is told once what a process found on its disk is certain to survive a loss of power. Nothing
// that rests on it is said before.
const FoundRecords = 1

// Core is one process's part in a register. It has no I/O, clock or goroutine.
type Core struct {
	c       Config
	view    *view.Decider
	chain   *chain.Replica
	machine chain.Machine

	queue   []outgoing // in their order, until what they tell of is on the disk
	records []*coordpb.Record
	written uint64 // records so far
	durable uint64 // of these, on the disk
	own     []*coordpb.Message
	healthy bool
	leaving bool
}

// outgoing is an effect that waits for the disk.
type outgoing struct {
	after uint64 // records that have to be there
	send  *Send
	done  *chain.Committed
}

// Send is a message to an address.
type Send struct {
	To      string
	Message *coordpb.Message
}

// Output is what a step wants done: the sends and commits may be carried out at once.
type Output struct {
	Sends   []Send
	Commits []chain.Committed
	View    *coordpb.View // a new one, nil for none
}

// NewCore returns the Core of a process that starts now. The machine must have the state that was kept.
func NewCore(c Config, m chain.Machine, now time.Duration) *Core {
	kept := c.Kept
	if kept == nil {
		kept = &coordpb.Durable{}
	}
	o := &Core{c: c, machine: m, healthy: true}
	if c.Unsynced {
		o.written = FoundRecords
	}
	o.view = view.New(view.Config{Self: c.Self, Seeds: c.Seeds, Founder: c.Founder, Eligible: c.Eligible, Tolerance: c.Tolerance, Seed: c.Seed,
		View: kept.View, Promised: kept.Promised, AcceptedNumber: kept.AcceptedBallot, AcceptedView: kept.AcceptedView}, now)
	o.chain = chain.New(c.Self, m, kept.Position, now)
	if c.Eligible {
		o.chain.FollowAsLearner()
	}
	if kept.View != nil {
		// A process that comes back takes no part in the epoch that it left: what it promised or missed meanwhile is unknown. Its
		// members have to begin another.
		o.chain.Resume(kept.View, kept.Promised != nil)
	}
	return o
}

// View is the last view that this process knows of.
func (o *Core) View() *coordpb.View { return o.view.View() }

// Position is how far the state is.
func (o *Core) Position() *coordpb.Position { return o.chain.Position() }

// Readable tells that this process is the tail and has the state of the chain.
func (o *Core) Readable() bool { return o.chain.Readable() }

// ConfirmedAt is when the epoch was the last one for certain.
func (o *Core) ConfirmedAt() (time.Duration, bool) { return o.chain.ConfirmedAt() }

// Know names the addresses of processes that may be members.
func (o *Core) Know(addresses []string) { o.view.SetKnownAddresses(addresses) }

// SetHealthy tells whether what is written gets to the disk in time.
func (o *Core) SetHealthy(healthy bool) { o.healthy = healthy }

// Leave tells that the process is about to end.
func (o *Core) Leave() { o.leaving = true }

// MayEnd tells that the others can do without this process: enough of them have the state on their disks, and its seat went to another
// where there is one for it.
func (o *Core) CanShutDown() bool {
	o.status()
	return o.view.CanShutDown()
}

// Bears is how many members more may be lost at once, as this process knows it.
func (o *Core) ToleranceLeft() int {
	o.status()
	return o.view.ToleranceLeft()
}

// Unwritten takes the records that are to be written next. They count up to the number returned, which Written is to be told once they
// are there.
func (o *Core) Unwritten() ([]*coordpb.Record, uint64) {
	records := o.records
	o.records = nil
	return records, o.written
}

// Durable is all that is to be on the disk, with the number of records in it.
func (o *Core) Durable() (*coordpb.Durable, uint64) {
	d := &coordpb.Durable{Identity: o.c.Self.Identity, Founder: o.c.Founder, Position: o.chain.Position(), State: o.machine.Snapshot()}
	o.view.Persist(d)
	o.records = nil
	return d, o.written
}

// Written takes in that so many records are on the disk.
func (o *Core) Written(records uint64, now time.Duration) Output {
	o.durable = max(o.durable, records)
	return o.settle(now, nil, nil)
}

// Tick takes in that time has passed.
func (o *Core) Tick(now time.Duration) Output {
	o.status()
	return o.settle(now, o.view.Tick(now), o.chain.Tick(now))
}

// Receive takes in a message.
func (o *Core) Receive(now time.Duration, m *coordpb.Message) Output {
	o.status()
	if effects, ok := o.view.Receive(now, m); ok {
		return o.settle(now, effects, nil)
	}
	effects, _ := o.chain.Receive(now, m)
	return o.settle(now, nil, effects)
}

// status has the view know how this process stands.
func (o *Core) status() {
	o.view.SetStatus(view.Status{Position: o.chain.Position(), Confirmations: o.chain.Confirmations(), Idle: o.chain.Idle(), Healthy: o.healthy, Stalled: o.chain.Stalled(), Draining: o.leaving})
}

// settle carries effects out, with those that follow from them.
func (o *Core) settle(now time.Duration, fromView []view.Effect, fromChain []chain.Effect) Output {
	var out Output
	for {
		o.takeView(now, fromView, &out)
		o.takeChain(fromChain, &out)
		o.release(&out)
		fromView, fromChain = nil, nil
		if len(o.own) == 0 {
			return out
		}
		m := o.own[0]
		o.own = o.own[1:]
		o.status()
		if effects, ok := o.view.Receive(now, m); ok {
			fromView = effects
		} else {
			fromChain, _ = o.chain.Receive(now, m)
		}
	}
}

func (o *Core) takeView(now time.Duration, effects []view.Effect, out *Output) {
	for _, e := range effects {
		switch e := e.(type) {
		case view.Send:
			o.send(e.To, e.Message, e.Immediate, out)
		case view.Write:
			o.write(e.Record)
		case view.Sealed:
			o.chain.Seal()
		case view.ViewChanged:
			out.View = e.View
			o.takeChain(o.chain.BeginEpoch(now, e.View), out)
		}
	}
}

func (o *Core) takeChain(effects []chain.Effect, out *Output) {
	for _, e := range effects {
		switch e := e.(type) {
		case chain.Send:
			o.send(e.To, e.Message, e.Immediate, out)
		case chain.Write:
			o.write(e.Record)
		case chain.Committed:
			o.queue = append(o.queue, outgoing{after: o.written, done: &e})
		}
	}
}

func (o *Core) write(r *coordpb.Record) {
	o.records = append(o.records, r)
	o.written++
}

// send sends at once what tells nothing that has to be on the disk, and keeps all else in its order.
func (o *Core) send(to string, m *coordpb.Message, informal bool, out *Output) {
	if informal && to != o.c.Self.Address {
		out.Sends = append(out.Sends, Send{to, m})
		return
	}
	o.queue = append(o.queue, outgoing{after: o.written, send: &Send{to, m}})
}

// release lets out what is on the disk by now.
func (o *Core) release(out *Output) {
	n := 0
	for _, q := range o.queue {
		if q.after > o.durable {
			break
		}
		n++
		switch {
		case q.done != nil:
			out.Commits = append(out.Commits, *q.done)
		case q.send.To == o.c.Self.Address && !forClient(q.send.Message):
			o.own = append(o.own, proto.Clone(q.send.Message).(*coordpb.Message))
		default:
			out.Sends = append(out.Sends, *q.send)
		}
	}
	o.queue = slices.Delete(o.queue, 0, n)
}

// forClient tells whether a message is for a client, which may be one of this very process.
func forClient(m *coordpb.Message) bool { return m.GetReply() != nil || m.GetRedirect() != nil }

// Replay puts the records that were written behind a saved state into it. The machine gets the state.
func Replay(d *coordpb.Durable, records []*coordpb.Record, m chain.Machine) error {
	if len(d.State) > 0 {
		if err := m.Restore(d.State); err != nil {
			return err
		}
	}
	if d.Position == nil {
		d.Position = &coordpb.Position{}
	}
	for _, r := range records {
		if err := replay(d, r, m); err != nil {
			return err
		}
	}
	return nil
}

func replay(d *coordpb.Durable, r *coordpb.Record, m chain.Machine) error {
	switch b := r.Body.(type) {
	case *coordpb.Record_Promised:
		d.Promised = b.Promised.Ballot
	case *coordpb.Record_Accepted:
		d.AcceptedBallot, d.AcceptedView = b.Accepted.Ballot, b.Accepted.View
	case *coordpb.Record_Learned:
		d.View, d.Promised, d.AcceptedBallot, d.AcceptedView = b.Learned, nil, nil, nil
	case *coordpb.Record_Entry:
		m.Apply(b.Entry.Change)
		d.Position.Sequence, d.Position.EntryEpoch = b.Entry.Sequence, b.Entry.Epoch
	case *coordpb.Record_Installed:
		d.Position = b.Installed.Position
		return m.Restore(b.Installed.State)
	case *coordpb.Record_StateEpoch:
		d.Position.StateEpoch = b.StateEpoch
	}
	return nil
}
