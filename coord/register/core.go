package register

import (
	"time"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// Config is what a Core is made with.
type Config struct {
	// Self is this process: its address, which stays the same over its incarnations, and the
	// identity of its storage.
	Self *coordpb.Member
	// Seeds are the addresses of the processes that vote on the first view. They have to be the
	// same in all processes on the first start.
	Seeds []string
	// Founder reports whether this process may vote on the first view: it runs at its address for
	// the first time.
	Founder bool
	// Eligible reports whether this process may become a member.
	Eligible bool
	// Tolerance is how many members may be lost at once.
	Tolerance int
	// Seed is the seed of the random backoff.
	Seed uint64
	// Persisted is what Load returned, nil for a process with new storage.
	Persisted *coordpb.Durable
	// Unsynced reports whether Persisted may not survive a power failure yet. It counts as
	// RecoveredRecords that are still to be written.
	Unsynced bool
}

// RecoveredRecords is the count that Core.RecordsWritten gets once what a process found on its disk is
// durable (Config.Unsynced). Nothing that rests on it is sent before.
const RecoveredRecords = 1

// Core is one process's part in a register: its parts in the agreement on views and in the chain, and
// the order of their effects with respect to the disk. It isn't safe for concurrent use.
type Core struct {
	config  Config
	view    *view.Decider
	chain   *chain.Replica
	machine chain.Machine

	deferred     []deferredEffect   // in their order, until the records that they depend on are durable
	records      []*coordpb.Record  // since PendingRecords was called
	recordCount  uint64             // records so far
	durableCount uint64             // of these, the durable ones
	loopback     []*coordpb.Message // messages of this process to itself
	healthy      bool
	draining     bool
}

// Send is a message to an address.
type Send struct {
	To      string
	Message *coordpb.Message
}

// Output is the outcome of a step. Messages may be sent, and commits and the view published, at once.
type Output struct {
	Sends   []Send
	Commits []chain.Committed
	View    *coordpb.View // a new one, nil for none
}

// NewCore returns the Core of a process that starts now. The machine has the state that belongs to
// Config.Persisted.
func NewCore(c Config, m chain.Machine, now time.Duration) *Core {
	persisted := c.Persisted
	if persisted == nil {
		persisted = &coordpb.Durable{}
	}
	o := &Core{config: c, machine: m, healthy: true}
	if c.Unsynced {
		o.recordCount = RecoveredRecords
	}
	o.view = view.New(view.Config{
		Self:           c.Self,
		Seeds:          c.Seeds,
		Founder:        c.Founder,
		Eligible:       c.Eligible,
		Tolerance:      c.Tolerance,
		Seed:           c.Seed,
		View:           persisted.View,
		Promised:       persisted.Promised,
		AcceptedNumber: persisted.AcceptedBallot,
		AcceptedView:   persisted.AcceptedView,
	}, now)
	o.chain = chain.New(c.Self, m, persisted.Position, now)
	if c.Eligible {
		o.chain.FollowAsLearner()
	}
	if persisted.View != nil {
		// What this process told others before it restarted is unknown, so it takes no further part
		// in the epoch.
		o.chain.Resume(persisted.View, persisted.Promised != nil)
	}
	return o
}

// View is the last view that this process has learned. It must not be changed.
func (o *Core) View() *coordpb.View { return o.view.View() }

// Position is that of the state here, committed or not.
func (o *Core) Position() *coordpb.Position { return o.chain.Position() }

// Readable reports whether this process is the tail and has the state of the chain.
func (o *Core) Readable() bool { return o.chain.Readable() }

// ConfirmedAt is when the epoch was certainly the last one; ok is false if that isn't known.
func (o *Core) ConfirmedAt() (time.Duration, bool) { return o.chain.ConfirmedAt() }

// SetKnownAddresses sets the addresses of processes that may be members.
func (o *Core) SetKnownAddresses(addresses []string) { o.view.SetKnownAddresses(addresses) }

// SetHealthy reports whether writes get to the disk in time.
func (o *Core) SetHealthy(healthy bool) { o.healthy = healthy }

// Drain reports to the others that the process is about to shut down.
func (o *Core) Drain() { o.draining = true }

// CanShutDown reports whether the others can do without this process: enough of them have the
// state on their disks, and its seat was given to a standby where there is one.
func (o *Core) CanShutDown() bool {
	o.updateStatus()
	return o.view.CanShutDown()
}

// CurrentTolerance is how many more members may be lost at once, as this process knows it.
func (o *Core) CurrentTolerance() int {
	o.updateStatus()
	return o.view.CurrentTolerance()
}

// PendingRecords returns the records that were made since the last call, to be written in their
// order, and the count that RecordsWritten gets once they are durable.
func (o *Core) PendingRecords() ([]*coordpb.Record, uint64) {
	records := o.records
	o.records = nil
	return records, o.recordCount
}

// Durable returns the complete state to write to disk, with the count of the records in it.
// Pending records are part of it.
func (o *Core) Durable() (*coordpb.Durable, uint64) {
	d := &coordpb.Durable{Identity: o.config.Self.Identity, Founder: o.config.Founder, Position: o.chain.Position(), State: o.machine.Snapshot()}
	o.view.Persist(d)
	o.records = nil
	return d, o.recordCount
}

// RecordsWritten reports that so many records are durable.
func (o *Core) RecordsWritten(records uint64, now time.Duration) Output {
	o.durableCount = max(o.durableCount, records)
	return o.applyEffects(now, nil, nil)
}

// Tick runs the timers that are due.
func (o *Core) Tick(now time.Duration) Output {
	o.updateStatus()
	return o.applyEffects(now, o.view.Tick(now), o.chain.Tick(now))
}

// Receive handles a message.
func (o *Core) Receive(now time.Duration, m *coordpb.Message) Output {
	o.updateStatus()
	if effects, ok := o.view.Receive(now, m); ok {
		return o.applyEffects(now, effects, nil)
	}
	effects, _ := o.chain.Receive(now, m)
	return o.applyEffects(now, nil, effects)
}

// updateStatus has the Decider know the present state of the chain and the disk.
func (o *Core) updateStatus() {
	o.view.SetStatus(view.Status{Position: o.chain.Position(), Confirmations: o.chain.Confirmations(), Idle: o.chain.Idle(), Healthy: o.healthy, Stalled: o.chain.Stalled(), Draining: o.draining})
}
