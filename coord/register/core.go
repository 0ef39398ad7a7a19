package register

import (
	"time"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// Config configures a Core.
type Config struct {
	// Self describes this process: its address, which stays the same across its incarnations, and
	// the identity of its storage.
	Self *coordpb.Member
	// Seeds are the addresses of the processes that vote on the first view. All processes must be
	// given the same seeds on their first start.
	Seeds []string
	// Founder reports whether this process may vote on the first view. It may if it runs at its
	// address for the first time.
	Founder bool
	// Eligible reports whether this process may become a member of a view.
	Eligible bool
	// Tolerance is the number of members whose simultaneous loss the register has to survive.
	Tolerance int
	// Seed seeds the random backoff after a failed proposal of a view.
	Seed uint64
	// Persisted is the state that Load returned, nil for a process with new storage.
	Persisted *coordpb.Durable
	// Unsynced reports whether a power failure could still destroy Persisted. If so, the Core
	// counts Persisted as RecoveredRecords records that aren't durable yet.
	Unsynced bool
}

// RecoveredRecords is the record count to pass to Core.RecordsWritten once the state that a process
// recovered from its disk is durable (see Config.Unsynced). Until then the Core sends no message
// that depends on this state.
const RecoveredRecords = 1

// Core runs one process's part of a register: the agreement on views and the chain protocol. It
// delays the effects of both until the records before them are on disk. It isn't safe for
// concurrent use.
type Core struct {
	config  Config
	view    *view.Decider
	chain   *chain.Replica
	machine chain.Machine

	deferred     []deferredEffect   // effects that wait for durable records, in order
	records      []*coordpb.Record  // records created since the last call of PendingRecords
	recordCount  uint64             // number of records created so far
	durableCount uint64             // number of those records that are durable
	loopback     []*coordpb.Message // messages from this process to itself
	healthy      bool
	draining     bool
}

// Send is a message and the address to send it to.
type Send struct {
	To      string
	Message *coordpb.Message
}

// Output is the result of a step of a Core. The owner may send the messages and publish the commits
// and the view at once: every record that they depend on is durable.
type Output struct {
	Sends   []Send
	Commits []chain.Committed
	View    *coordpb.View // the newly learned view, nil for none
}

// NewCore returns the Core of a process that starts now. The machine must already have the state
// that belongs to Config.Persisted.
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
		// It is unknown which messages this process sent before it restarted, so it takes no
		// further part in the epoch of the persisted view.
		c.chain.Resume(persisted.View, persisted.Promised != nil)
	}
	return c
}

// View returns the last view that this process has learned. The caller must not change it.
func (c *Core) View() *coordpb.View { return c.view.View() }

// Position returns the position of this process's state, which may include uncommitted changes.
func (c *Core) Position() *coordpb.Position { return c.chain.Position() }

// Readable reports whether this process is the tail and has the state of the chain, so that it can
// answer reads.
func (c *Core) Readable() bool { return c.chain.Readable() }

// ConfirmedAt returns the latest time at which this process's epoch was certainly the newest one. It
// is when the last round of confirmations began that a majority of the members answered; ok is false
// if there is no such time.
func (c *Core) ConfirmedAt() (time.Duration, bool) { return c.chain.ConfirmedAt() }

// SetKnownAddresses sets the addresses of the processes that may be or become members.
func (c *Core) SetKnownAddresses(addresses []string) { c.view.SetKnownAddresses(addresses) }

// SetHealthy tells the Core whether writes reach the disk in time.
func (c *Core) SetHealthy(healthy bool) { c.healthy = healthy }

// Drain makes this process announce to the others that it is about to shut down.
func (c *Core) Drain() { c.draining = true }

// CanShutDown reports whether the others can do without this process: enough of them have the
// state on their disks, and a standby, if there is one, has replaced this process as a member.
func (c *Core) CanShutDown() bool {
	c.updateStatus()
	return c.view.CanShutDown()
}

// CurrentTolerance returns how many more members may be lost at once without losing the state or
// the majority, as far as this process knows. It is at most Config.Tolerance.
func (c *Core) CurrentTolerance() int {
	c.updateStatus()
	return c.view.CurrentTolerance()
}

// PendingRecords returns the records created since the last call, in the order in which the owner
// has to write them, and the count to pass to RecordsWritten once they are durable.
func (c *Core) PendingRecords() ([]*coordpb.Record, uint64) {
	records := c.records
	c.records = nil
	return records, c.recordCount
}

// Durable returns the complete state to write to disk, and the count to pass to RecordsWritten once
// it is durable. The state contains the pending records, so PendingRecords no longer returns them.
func (c *Core) Durable() (*coordpb.Durable, uint64) {
	d := &coordpb.Durable{Identity: c.config.Self.Identity, Founder: c.config.Founder, Position: c.chain.Position(), State: c.machine.Snapshot()}
	c.view.Persist(d)
	c.records = nil
	return d, c.recordCount
}

// RecordsWritten tells the Core how many of the records created since its start are durable. It
// returns the effects that waited for them.
func (c *Core) RecordsWritten(records uint64, now time.Duration) Output {
	c.durableCount = max(c.durableCount, records)
	return c.applyEffects(now, nil, nil)
}

// Tick runs the timers that are due at the given time.
func (c *Core) Tick(now time.Duration) Output {
	c.updateStatus()
	return c.applyEffects(now, c.view.Tick(now), c.chain.Tick(now))
}

// Receive handles a message of the view agreement or of the chain protocol.
func (c *Core) Receive(now time.Duration, m *coordpb.Message) Output {
	c.updateStatus()
	if effects, ok := c.view.Receive(now, m); ok {
		return c.applyEffects(now, effects, nil)
	}
	effects, _ := c.chain.Receive(now, m)
	return c.applyEffects(now, nil, effects)
}

// updateStatus passes the current state of the chain and the disk to the view Decider.
func (c *Core) updateStatus() {
	c.view.SetStatus(view.Status{Position: c.chain.Position(), Confirmations: c.chain.Confirmations(), Idle: c.chain.Idle(), Healthy: c.healthy, Stalled: c.chain.Stalled(), Draining: c.draining})
}
