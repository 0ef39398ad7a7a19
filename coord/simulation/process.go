package simulation

import (
	"errors"
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/register"
	"reachspread/coord/storage"
	"reachspread/coord/view"
)

const (
	tickInterval       = 50 * time.Millisecond
	slowWriteThreshold = 300 * time.Millisecond // a disk that takes so long for a write makes its process unfit
	writeRetryDelay    = 200 * time.Millisecond
	maxClockDrift      = 500 // parts of a million that a steady clock may run fast or slow
)

// Process is one machine, through all its lives.
type Process struct {
	Address string
	Core    *register.Core

	world         *World
	seeds         []string
	founder       bool // its disk has never been written to
	incarnation   int
	up            bool
	startedAt     time.Duration // this life
	drift         float64       // of its steady clock
	frozenUntil   time.Duration // until then it does nothing
	postponed     []func()      // for the end of that
	wipeOnPromise bool          // it loses its disk with its next promise
	writeDelay    time.Duration // what a write takes in addition, if it takes no longer than until slowEnd
	writeDelayEnd time.Duration

	machine        *trackedMachine
	disk           *disk
	store          *storage.Store
	needsFullWrite bool            // the next write has to be of all of the state
	writing        *register.Batch // under way
	nextWrite      time.Duration   // a write has failed; the next one begins then
	self           *coordpb.Member
	ownedSince     map[int]time.Duration // shards, since when it may act on them
}

// clock is the process's steady clock: it begins with each life.
func (p *Process) clock() time.Duration {
	return time.Duration(float64(p.world.Now-p.startedAt) * (1 + p.drift))
}

// Up tells whether the process runs.
func (p *Process) Up() bool { return p.up }

// Version is that of the process's state.
func (p *Process) Version() int { return p.machine.version() }

// Start begins a life of the machine's process.
func (p *Process) Start() {
	w := p.world
	if p.up || w.byAddress[p.Address] != p {
		return
	}
	p.incarnation++
	p.up, p.writing, p.nextWrite, p.frozenUntil, p.postponed, p.ownedSince, p.startedAt = true, nil, 0, 0, nil, map[int]time.Duration{}, w.Now
	p.drift = float64(w.rng.IntN(2*maxClockDrift)-maxClockDrift) / 1e6
	p.machine = newTrackedMachine(w)
	c := register.Config{Self: &coordpb.Member{Address: p.Address, Identity: w.rng.Uint64()}, Seeds: p.seeds, Eligible: true, Tolerance: w.Tolerance,
		Seed: w.rng.Uint64(), Founder: p.founder}
	p.founder = false
	store, kept, err := p.disk.load(p.machine)
	if err != nil {
		w.Fail("%s: %v", p.Address, err)
		return
	}
	p.store, p.needsFullWrite = store, store.SaveRequired()
	if kept != nil {
		c.Persisted, c.Founder, c.Self.Identity, c.Unsynced = kept, kept.Founder, kept.Identity, true
	} else if w.Bug == KeptIdentity && p.self != nil {
		c.Self.Identity, c.Founder = p.self.Identity, true
	}
	p.self = c.Self
	w.Trace("%v %s begins life %d, kept %v", w.Now, p.Address, p.incarnation, kept != nil)
	p.Core = register.NewCore(c, p.machine, 0)
	p.Core.SetKnownAddresses(w.Addresses())
	p.startWrite()
	p.tick(p.incarnation)
}

// do has a live process do something, once it does anything.
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

func (p *Process) tick(life int) {
	if p.incarnation != life || !p.up || p.world.Violation != nil {
		return
	}
	p.whenRunning(func() {
		p.Core.SetHealthy(p.writeDelay < slowWriteThreshold && !p.disk.full)
		p.execute(p.Core.Tick(p.clock()))
	})
	p.world.After(tickInterval, func() { p.tick(life) })
}

// flush hands what is to be written to the disk, one batch at a time.
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
	w, life := p.world, p.incarnation
	p.writing = b
	if w.Bug == EarlyWrite {
		p.execute(p.Core.RecordsWritten(b.RecordCount, p.clock()))
	}
	took := w.Sync/2 + time.Duration(w.rng.Int64N(int64(w.Sync))) + min(p.writeDelay, max(p.writeDelayEnd-w.Now, 0))
	w.After(took, func() {
		if p.incarnation == life && p.up {
			p.finishWrite(life)
		}
	})
}

// finishWrite has the batch under way be on the disk.
func (p *Process) finishWrite(life int) {
	w := p.world
	if w.InjectAt != nil && w.InjectAt(Point{From: p}) || p.incarnation != life {
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

func addresses(members []*coordpb.Member) (all []string) {
	for _, m := range members {
		all = append(all, m.Address)
	}
	return all
}

func chainAddresses(v *coordpb.View) (all []string) {
	for _, identity := range v.Chain {
		all = append(all, view.MemberOf(v, identity).GetAddress())
	}
	return all
}

// duties notes from when on this process may act on shards.
func (p *Process) updateShards(v *coordpb.View) {
	for shard, duty := range v.Duties {
		if duty.Owner != p.self.Identity {
			delete(p.ownedSince, shard)
			continue
		}
		if _, has := p.ownedSince[shard]; !has || duty.Since == v.Epoch {
			p.ownedSince[shard] = p.world.Now + time.Duration(duty.WaitMs)*time.Millisecond
		}
	}
}

// acts tells whether this process would act on a shard now.
func (p *Process) mayActOn(shard int) bool {
	from, has := p.ownedSince[shard]
	if !p.up || !has || p.frozenUntil > p.world.Now || p.world.Now < from {
		return false
	}
	at, ok := p.Core.ConfirmedAt()
	return p.world.Bug == IgnoredLease || ok && p.clock()-at < view.LeaseDuration
}

// check looks at what must hold at any moment: nobody else acts on the duties of this process.
func (p *Process) checkShardOwners() {
	for shard := range p.ownedSince {
		if !p.mayActOn(shard) {
			continue
		}
		for _, other := range p.world.Processes {
			if other != p && other.mayActOn(shard) {
				p.world.Fail("%s and %s both act on shard %d", p.Address, other.Address, shard)
			}
		}
	}
}

// receive has a process take in a message, with the faults that are planted.
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
		_, reply := p.machine.Decide(submit.Order) // taken before
		p.reply(m.From.Address, &coordpb.Reply{Id: submit.Id, Reply: reply})
	}
}

// reply answers a client.
func (p *Process) reply(to string, r *coordpb.Reply) {
	p.world.send(p.Address, to, &coordpb.Message{From: p.self, Body: &coordpb.Message_Reply{Reply: r}})
}

// Crash ends the process at once, as SIGKILL does. What it was writing is there up to some step, and what it has not synced stays
// uncertain.
func (p *Process) Crash() { p.crash(p.world.rng.IntN(maxBatchSteps + 1)) }

// crash ends the process after so many steps of what it was writing.
func (p *Process) crash(steps int) {
	if p.writing != nil && p.up {
		p.disk.steps = steps
		if err := p.writing.Write(p.store); err != nil && !errors.Is(err, errProcessEnded) && !errors.Is(err, errDiskFull) && !errors.Is(err, storage.ErrSaveRequired) {
			p.world.Fail("%s: %v", p.Address, err)
		}
	}
	p.up, p.writing = false, nil
	p.incarnation++
}

// LosePower ends the process, and with it what was not synced.
func (p *Process) LosePower() {
	p.Crash()
	p.disk.losePower(p.world.rng)
}

// LoseUnwritten ends the process, and nothing that it was writing is there.
func (p *Process) LoseUnwritten() {
	p.crash(0)
	p.disk.losePower(p.world.rng)
}

// Wipe takes the machine's disk.
func (p *Process) Wipe() { p.disk = newDisk() }

// SlowDisk has each write take so much longer for a while.
func (p *Process) SlowDisk(by, span time.Duration) {
	p.writeDelay, p.writeDelayEnd = by, p.world.Now+span
	p.world.After(span, func() {
		if p.writeDelayEnd <= p.world.Now {
			p.writeDelay = 0
		}
	})
}

// Freeze has the process stand still for a while.
func (p *Process) Freeze(d time.Duration) {
	p.frozenUntil = max(p.frozenUntil, p.world.Now+d)
	life := p.incarnation
	p.world.After(p.frozenUntil-p.world.Now, func() {
		if p.incarnation != life || !p.up || p.frozenUntil > p.world.Now {
			return
		}
		waiting := p.postponed
		p.postponed = nil
		for _, f := range waiting {
			p.whenRunning(f)
		}
	})
}

// leastStay and mostStay bound for how long a process that was told to end goes on: clients see for the first that it is not ready, and
// it is killed after the second.
const (
	minDrainTime = 1200 * time.Millisecond
	maxDrainTime = 7700 * time.Millisecond
)

// Leave has the process end in order, as SIGTERM does: it serves on for so long at least, and until the others can do without it. Then
// comes what is given.
func (p *Process) Drain(serveFor time.Duration, then func()) {
	if !p.up {
		then()
		return
	}
	p.Core.Drain()
	p.awaitShutdown(p.incarnation, p.world.Now+max(serveFor, minDrainTime), p.world.Now+maxDrainTime, then)
}

// end ends a life that was told to, between two times.
func (p *Process) awaitShutdown(life int, from, until time.Duration, then func()) {
	w := p.world
	if p.incarnation != life {
		then()
		return
	}
	if w.Now >= until || w.Now >= from && p.frozenUntil <= w.Now && p.Core.CanShutDown() {
		p.Crash()
		then()
		return
	}
	w.After(tickInterval, func() { p.awaitShutdown(life, from, until, then) })
}
