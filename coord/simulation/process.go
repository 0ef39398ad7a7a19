package simulation

import (
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/register"
	"reachspread/coord/storage"
	"reachspread/coord/view"
)

const (
	tickInterval = 50 * time.Millisecond
	// slowWriteThreshold is the additional delay of writes at which a process counts as unhealthy.
	slowWriteThreshold = 300 * time.Millisecond
	// writeRetryDelay is the time from a failed write to the next attempt.
	writeRetryDelay = 200 * time.Millisecond
	// maxClockDrift is by how much a monotonic clock may run fast or slow, in parts per million.
	maxClockDrift = 500
)

// Process is the process of one machine across all of its incarnations.
type Process struct {
	Address string
	Core    *register.Core // of the current incarnation, or of the last one while the process is down

	world       *World
	seeds       []string
	founder     bool // the next start is the first one, as part of the first start of the whole system
	incarnation int
	up          bool
	startedAt   time.Duration // when the current incarnation started
	drift       float64       // of the monotonic clock, as a fraction
	frozenUntil time.Duration
	postponed   []func() // work to run once the process is no longer frozen

	self           *coordpb.Member
	machine        *trackedMachine
	disk           *disk
	store          *storage.Store
	needsFullWrite bool            // the next write has to contain the complete state
	writing        *register.Batch // the write in progress, nil for none
	nextWrite      time.Duration   // the earliest time of the next write after a failed one
	writeDelay     time.Duration   // the additional duration of each write, until writeDelayEnd at the latest
	writeDelayEnd  time.Duration
	wipeOnPromise  bool // the machine's disk is wiped right after the next promise

	ownedSince map[int]time.Duration // by owned shard, the time from which the process may act on it
}

// clock returns the time of the process's monotonic clock. The clock starts at 0 with each
// incarnation, and drifts.
func (p *Process) clock() time.Duration {
	return time.Duration(float64(p.world.Now-p.startedAt) * (1 + p.drift))
}

// Up reports whether the process runs.
func (p *Process) Up() bool { return p.up }

// Version returns the version of the process's state.
func (p *Process) Version() int { return p.machine.version() }

// Start starts the process, unless the process is up or its machine was removed.
func (p *Process) Start() {
	w := p.world
	if p.up || w.byAddress[p.Address] != p {
		return
	}
	p.beginIncarnation()
	config := register.Config{
		Self:      &coordpb.Member{Address: p.Address, Identity: w.rng.Uint64()},
		Seeds:     p.seeds,
		Founder:   p.founder,
		Eligible:  true,
		Tolerance: w.Tolerance,
		Seed:      w.rng.Uint64(),
	}
	p.founder = false
	store, persisted, err := p.disk.load(p.machine)
	if err != nil {
		w.Fail("%s: %v", p.Address, err)
		return
	}
	p.store, p.needsFullWrite = store, store.SaveRequired()
	switch {
	case persisted != nil:
		config.Persisted, config.Unsynced = persisted, true
		config.Founder, config.Self.Identity = persisted.Founder, persisted.Identity
	case w.Bug == ReusedIdentity && p.self != nil:
		config.Founder, config.Self.Identity = true, p.self.Identity
	}
	p.self = config.Self
	w.Trace("%v %s starts incarnation %d, persisted %v", w.Now, p.Address, p.incarnation, persisted != nil)
	p.Core = register.NewCore(config, p.machine, 0)
	p.Core.SetKnownAddresses(w.Addresses())
	p.startWrite()
	p.tick(p.incarnation)
}

// beginIncarnation resets the state that doesn't survive a restart, and draws the clock's drift.
func (p *Process) beginIncarnation() {
	w := p.world
	p.incarnation++
	p.up = true
	p.startedAt = w.Now
	p.frozenUntil = 0
	p.postponed = nil
	p.writing = nil
	p.nextWrite = 0
	p.ownedSince = map[int]time.Duration{}
	p.drift = float64(w.rng.IntN(2*maxClockDrift)-maxClockDrift) / 1e6
	p.machine = newTrackedMachine(w)
}

// whenRunning runs a function of the process: at once, or after the process thaws if it is frozen.
// The function is dropped if the process is down.
func (p *Process) whenRunning(f func()) {
	if !p.up {
		return
	}
	if p.frozenUntil > p.world.Now {
		p.postponed = append(p.postponed, f)
		return
	}
	f()
	p.startWrite()
	p.checkShardOwners()
}

// tick ticks the Core periodically until the incarnation ends.
func (p *Process) tick(incarnation int) {
	if p.incarnation != incarnation || !p.up || p.world.Violation != nil {
		return
	}
	p.whenRunning(func() {
		p.Core.SetHealthy(p.writeDelay < slowWriteThreshold && !p.disk.full)
		p.execute(p.Core.Tick(p.clock()))
	})
	p.world.After(tickInterval, func() { p.tick(incarnation) })
}

// startWrite starts the next write to the disk, unless one is in progress.
func (p *Process) startWrite() {
	if p.writing != nil || !p.up || p.world.Now < p.nextWrite {
		return
	}
	b, err := p.Core.NextBatch(p.store, p.needsFullWrite)
	if err != nil {
		p.world.Fail("%s: %v", p.Address, err)
	}
	if b == nil {
		return
	}
	w, incarnation := p.world, p.incarnation
	p.writing = b
	if w.Bug == EarlyWrite {
		p.execute(p.Core.RecordsWritten(b.RecordCount, p.clock()))
	}
	took := w.Sync/2 + time.Duration(w.rng.Int64N(int64(w.Sync))) + min(p.writeDelay, max(p.writeDelayEnd-w.Now, 0))
	w.After(took, func() {
		if p.incarnation == incarnation && p.up {
			p.finishWrite(incarnation)
		}
	})
}

// finishWrite writes the batch in progress to the disk and reports it to the Core. After a failed
// write, the next one writes the complete state.
func (p *Process) finishWrite(incarnation int) {
	w := p.world
	if w.InjectAt != nil && w.InjectAt(Point{From: p}) || p.incarnation != incarnation {
		return
	}
	b := p.writing
	if err := b.Write(p.store); err != nil {
		p.writing, p.needsFullWrite, p.nextWrite = nil, true, w.Now+writeRetryDelay
		return
	}
	p.writing, p.needsFullWrite = nil, false
	p.whenRunning(func() { p.execute(p.Core.RecordsWritten(b.RecordCount, p.clock())) })
}

// execute carries out the output of a step of the Core.
func (p *Process) execute(out register.Output) {
	w := p.world
	if out.View != nil {
		w.Trace("%v %s view %d %v chain %v", w.Now, p.Address, out.View.Epoch, addresses(out.View.Members), chainAddresses(out.View))
		w.History.checkView(w, p, out.View)
		p.updateShards(out.View)
	}
	for _, c := range out.Commits {
		w.History.checkCommit(w, p, c)
	}
	for _, s := range out.Sends {
		w.send(p.Address, s.To, s.Message)
	}
}

// addresses returns the addresses of members.
func addresses(members []*coordpb.Member) (all []string) {
	for _, m := range members {
		all = append(all, m.Address)
	}
	return all
}

// chainAddresses returns the addresses of the members of a view's chain, in the chain's order.
func chainAddresses(v *coordpb.View) (all []string) {
	for _, identity := range v.Chain {
		all = append(all, view.MemberOf(v, identity).GetAddress())
	}
	return all
}

// receive handles a message, and misbehaves as the world's Bug demands.
func (p *Process) receive(m *coordpb.Message) {
	w, before := p.world, p.machine.at
	if read := m.GetRead(); read != nil && w.Bug == UnconfirmedReads && p.Core.Readable() {
		p.reply(m.From.Address, &coordpb.Reply{Id: read.Id, Reply: p.machine.Snapshot()})
		return
	}
	if submit := m.GetSubmit(); submit != nil && w.Bug == StaleRejections {
		if change, reply := p.machine.Decide(submit.Order); change == nil {
			p.reply(m.From.Address, &coordpb.Reply{Id: submit.Id, Reply: reply})
			return
		}
	}
	p.execute(p.Core.Receive(p.clock(), m))
	if submit := m.GetSubmit(); submit != nil && w.Bug == EarlyReply && p.machine.at != before {
		_, reply := p.machine.Decide(submit.Order) // the Core has accepted the command already
		p.reply(m.From.Address, &coordpb.Reply{Id: submit.Id, Reply: reply})
	}
}

// reply replies to a client.
func (p *Process) reply(to string, r *coordpb.Reply) {
	p.world.send(p.Address, to, &coordpb.Message{From: p.self, Body: &coordpb.Message_Reply{Reply: r}})
}
