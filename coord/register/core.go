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

// RecoveredRecords is the count that Core.RecordsWritten gets once what a process found on its
// disk is durable (Config.Unsynced). Nothing that rests on it is sent before.
const RecoveredRecords = 1

// Core is one process's part in a register: its parts in the agreement on views and in the
// chain, and the order of their effects with respect to the disk. It isn't safe for concurrent
// use.
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

// Output is the outcome of a step. Messages may be sent, and commits and the view published, at
// once.
type Output struct {
	Sends   []Send
	Commits []chain.Committed
	View    *coordpb.View // a new one, nil for none
}

// NewCore returns the Core of a process that starts now. The machine has the state that belongs to
// Config.Persisted.
func NewCore(config Config, m chain.Machine, now time.Duration) *Core {
	persisted := config.Persisted
	if persisted == nil {
		persisted = &coordpb.Durable{}
	}
	c := &Core{config: config, machine: m, healthy: true}
	if config.Unsynced {
		c.recordCount = RecoveredRecords
	}
	c.view = view.New(view.Config{
		Self:           config.Self,
		Seeds:          config.Seeds,
		Founder:        config.Founder,
		Eligible:       config.Eligible,
		Tolerance:      config.Tolerance,
		Seed:           config.Seed,
		View:           persisted.View,
		Promised:       persisted.Promised,
		AcceptedNumber: persisted.AcceptedBallot,
		AcceptedView:   persisted.AcceptedView,
	}, now)
	c.chain = chain.New(config.Self, m, persisted.Position, now)
	if config.Eligible {
		c.chain.FollowAsLearner()
	}
	if persisted.View != nil {
		// What this process told others before it restarted is unknown, so it takes no further part
		// in the epoch.
		c.chain.Resume(persisted.View, persisted.Promised != nil)
	}
	return c
}

// View is the last view that this process has learned. It must not be changed.
func (c *Core) View() *coordpb.View { return c.view.View() }

// Position is that of the state here, committed or not.
func (c *Core) Position() *coordpb.Position { return c.chain.Position() }

// Readable reports whether this process is the tail and has the state of the chain.
func (c *Core) Readable() bool { return c.chain.Readable() }

// ConfirmedAt is when the epoch was certainly the last one; ok is false if that isn't known.
func (c *Core) ConfirmedAt() (time.Duration, bool) { return c.chain.ConfirmedAt() }

// SetKnownAddresses sets the addresses of processes that may be members.
func (c *Core) SetKnownAddresses(addresses []string) { c.view.SetKnownAddresses(addresses) }

// SetHealthy reports whether writes get to the disk in time.
func (c *Core) SetHealthy(healthy bool) { c.healthy = healthy }

// Drain reports to the others that the process is about to shut down.
func (c *Core) Drain() { c.draining = true }

// CanShutDown reports whether the others can do without this process: enough of them have the
// state on their disks, and its seat was given to a standby where there is one.
func (c *Core) CanShutDown() bool {
	c.updateStatus()
	return c.view.CanShutDown()
}

// CurrentTolerance is how many more members may be lost at once, as this process knows it.
func (c *Core) CurrentTolerance() int {
	c.updateStatus()
	return c.view.CurrentTolerance()
}

// PendingRecords returns the records that were made since the last call, to be written in their
// order, and the count that RecordsWritten gets once they are durable.
func (c *Core) PendingRecords() ([]*coordpb.Record, uint64) {
	records := c.records
	c.records = nil
	return records, c.recordCount
}

// Durable returns the complete state to write to disk, with the count of the records in it.
// Pending records are part of it.
func (c *Core) Durable() (*coordpb.Durable, uint64) {
	d := &coordpb.Durable{Identity: c.config.Self.Identity, Founder: c.config.Founder, Position: c.chain.Position(), State: c.machine.Snapshot()}
	c.view.Persist(d)
	c.records = nil
	return d, c.recordCount
}

// RecordsWritten reports that so many records are durable.
func (c *Core) RecordsWritten(records uint64, now time.Duration) Output {
	c.durableCount = max(c.durableCount, records)
	return c.applyEffects(now, nil, nil)
}

// Tick runs the timers that are due.
func (c *Core) Tick(now time.Duration) Output {
	c.updateStatus()
	return c.applyEffects(now, c.view.Tick(now), c.chain.Tick(now))
}

// Receive handles a message.
func (c *Core) Receive(now time.Duration, m *coordpb.Message) Output {
	c.updateStatus()
	if effects, ok := c.view.Receive(now, m); ok {
		return c.applyEffects(now, effects, nil)
	}
	effects, _ := c.chain.Receive(now, m)
	return c.applyEffects(now, nil, effects)
}

// updateStatus has the Decider know the present state of the chain and the disk.
func (c *Core) updateStatus() {
	c.view.SetStatus(view.Status{Position: c.chain.Position(), Confirmations: c.chain.Confirmations(), Idle: c.chain.Idle(), Healthy: c.healthy, Stalled: c.chain.Stalled(), Draining: c.draining})
}
