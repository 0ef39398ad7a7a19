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
	tickEvery   = 50 * time.Millisecond
	unhealthyAt = 300 * time.Millisecond // a disk that takes so long for a write makes its process unfit
	retryDisk   = 200 * time.Millisecond
	mostDrift   = 500 // parts of a million that a steady clock may run fast or slow
)

// Process is one machine, through all its lives.
type Process struct {
	Address string
	Core    *register.Core

	world   *World
	seeds   []string
	first   bool // its disk has never been written to
	life    int
	up      bool
	began   time.Duration // this life
	drift   float64       // of its steady clock
	frozen  time.Duration // until then it does nothing
	waiting []func()      // for the end of that
	armed   bool          // it loses its disk with its next promise
	slow    time.Duration // what a write takes in addition, if it takes no longer than until slowEnd
	slowEnd time.Duration

	machine *tracked
	disk    *disk
	store   *storage.Store
	whole   bool            // the next write has to be of all of the state
	writing *register.Batch // under way
	retryAt time.Duration   // a write has failed; the next one begins then
	self    *coordpb.Member
	holder  map[int]time.Duration // shards, since when it may act on them
}

// clock is the process's steady clock: it begins with each life.
func (p *Process) clock() time.Duration {
	return time.Duration(float64(p.world.Now-p.began) * (1 + p.drift))
}

// Up tells whether the process runs.
func (p *Process) Up() bool { return p.up }

// Version is that of the process's state.
func (p *Process) Version() int { return p.machine.version() }

// Start begins a life of the machine's process.
func (p *Process) Start() {
	w := p.world
	if p.up || w.byAddr[p.Address] != p {
		return
	}
	p.life++
	p.up, p.writing, p.retryAt, p.frozen, p.waiting, p.holder, p.began = true, nil, 0, 0, nil, map[int]time.Duration{}, w.Now
	p.drift = float64(w.rng.IntN(2*mostDrift)-mostDrift) / 1e6
	p.machine = newTracked(w)
	c := register.Config{Self: &coordpb.Member{Address: p.Address, Identity: w.rng.Uint64()}, Seeds: p.seeds, Eligible: true, Tolerance: w.Tolerance,
		Seed: w.rng.Uint64(), Founder: p.first}
	p.first = false
	store, kept, err := p.disk.load(p.machine)
	if err != nil {
		w.Fail("%s: %v", p.Address, err)
		return
	}
	p.store, p.whole = store, store.SaveRequired()
	if kept != nil {
		c.Persisted, c.Founder, c.Self.Identity, c.Unsynced = kept, kept.Founder, kept.Identity, true
	} else if w.Plant == KeepsIdentity && p.self != nil {
		c.Self.Identity, c.Founder = p.self.Identity, true
	}
	p.self = c.Self
	w.Trace("%v %s begins life %d, kept %v", w.Now, p.Address, p.life, kept != nil)
	p.Core = register.NewCore(c, p.machine, 0)
	p.Core.SetKnownAddresses(w.Addresses())
	p.flush()
	p.tick(p.life)
}

// do has a live process do something, once it does anything.
func (p *Process) do(f func()) {
	if !p.up {
		return
	}
	if p.frozen > p.world.Now {
		p.waiting = append(p.waiting, f)
		return
	}
	f()
	p.flush()
	p.check()
}

func (p *Process) tick(life int) {
	if p.life != life || !p.up || p.world.Fault != nil {
		return
	}
	p.do(func() {
		p.Core.SetHealthy(p.slow < unhealthyAt && !p.disk.full)
		p.carryOut(p.Core.Tick(p.clock()))
	})
	p.world.After(tickEvery, func() { p.tick(life) })
}

// flush hands what is to be written to the disk, one batch at a time.
func (p *Process) flush() {
	if p.writing != nil || !p.up || p.world.Now < p.retryAt {
		return
	}
	b, err := p.Core.NextBatch(p.store, p.whole)
	if err != nil {
		p.world.Fail("%s: %v", p.Address, err)
	}
	if b == nil {
		return
	}
	w, life := p.world, p.life
	p.writing = b
	if w.Plant == EarlyWrite {
		p.carryOut(p.Core.RecordsWritten(b.RecordCount, p.clock()))
	}
	took := w.Sync/2 + time.Duration(w.rng.Int64N(int64(w.Sync))) + min(p.slow, max(p.slowEnd-w.Now, 0))
	w.After(took, func() {
		if p.life == life && p.up {
			p.finishWrite(life)
		}
	})
}

// finishWrite has the batch under way be on the disk.
func (p *Process) finishWrite(life int) {
	w := p.world
	if w.Strike != nil && w.Strike(Point{From: p}) || p.life != life {
		return
	}
	b := p.writing
	if err := b.Write(p.store); err != nil {
		p.writing, p.whole, p.retryAt = nil, true, w.Now+retryDisk
		return
	}
	p.writing, p.whole = nil, false
	p.do(func() { p.carryOut(p.Core.RecordsWritten(b.RecordCount, p.clock())) })
}

func (p *Process) carryOut(out register.Output) {
	w := p.world
	if out.View != nil {
		w.Trace("%v %s view %d %v chain %v", w.Now, p.Address, out.View.Epoch, names(out.View.Members), chainNames(out.View))
		w.History.viewed(w, p, out.View)
		p.duties(out.View)
	}
	for _, c := range out.Commits {
		w.History.committed(w, p, c)
	}
	for _, s := range out.Sends {
		w.send(p.Address, s.To, s.Message)
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
func (p *Process) duties(v *coordpb.View) {
	for shard, duty := range v.Duties {
		if duty.Owner != p.self.Identity {
			delete(p.holder, shard)
			continue
		}
		if _, has := p.holder[shard]; !has || duty.Since == v.Epoch {
			p.holder[shard] = p.world.Now + time.Duration(duty.WaitMs)*time.Millisecond
		}
	}
}

// acts tells whether this process would act on a shard now.
func (p *Process) acts(shard int) bool {
	from, has := p.holder[shard]
	if !p.up || !has || p.frozen > p.world.Now || p.world.Now < from {
		return false
	}
	at, ok := p.Core.ConfirmedAt()
	return p.world.Plant == LeaseIgnored || ok && p.clock()-at < view.LeaseDuration
}

// check looks at what must hold at any moment: nobody else acts on the duties of this process.
func (p *Process) check() {
	for shard := range p.holder {
		if !p.acts(shard) {
			continue
		}
		for _, other := range p.world.Nodes {
			if other != p && other.acts(shard) {
				p.world.Fail("%s and %s both act on shard %d", p.Address, other.Address, shard)
			}
		}
	}
}

// receive has a process take in a message, with the faults that are planted.
func (p *Process) receive(m *coordpb.Message) {
	w, before := p.world, p.machine.at
	if read := m.GetRead(); read != nil && w.Plant == UnconfirmedReads && p.Core.Readable() {
		p.reply(m.From.Address, &coordpb.Reply{Id: read.Id, Reply: p.machine.Snapshot()})
		return
	}
	if submit := m.GetSubmit(); submit != nil && w.Plant == StaleRefusals {
		if change, reply := p.machine.Decide(submit.Order); change == nil {
			p.reply(m.From.Address, &coordpb.Reply{Id: submit.Id, Reply: reply})
			return
		}
	}
	p.carryOut(p.Core.Receive(p.clock(), m))
	if submit := m.GetSubmit(); submit != nil && w.Plant == EarlyReply && p.machine.at != before {
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
func (p *Process) Crash() { p.crash(p.world.rng.IntN(operations + 1)) }

// crash ends the process after so many steps of what it was writing.
func (p *Process) crash(steps int) {
	if p.writing != nil && p.up {
		p.disk.steps = steps
		if err := p.writing.Write(p.store); err != nil && !errors.Is(err, errStopped) && !errors.Is(err, errFull) && !errors.Is(err, storage.ErrSaveRequired) {
			p.world.Fail("%s: %v", p.Address, err)
		}
	}
	p.up, p.writing = false, nil
	p.life++
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
	p.slow, p.slowEnd = by, p.world.Now+span
	p.world.After(span, func() {
		if p.slowEnd <= p.world.Now {
			p.slow = 0
		}
	})
}

// Freeze has the process stand still for a while.
func (p *Process) Freeze(d time.Duration) {
	p.frozen = max(p.frozen, p.world.Now+d)
	life := p.life
	p.world.After(p.frozen-p.world.Now, func() {
		if p.life != life || !p.up || p.frozen > p.world.Now {
			return
		}
		waiting := p.waiting
		p.waiting = nil
		for _, f := range waiting {
			p.do(f)
		}
	})
}

// leastStay and mostStay bound for how long a process that was told to end goes on: clients see for the first that it is not ready, and
// it is killed after the second.
const (
	leastStay = 1200 * time.Millisecond
	mostStay  = 7700 * time.Millisecond
)

// Leave has the process end in order, as SIGTERM does: it serves on for so long at least, and until the others can do without it. Then
// comes what is given.
func (p *Process) Leave(serveFor time.Duration, then func()) {
	if !p.up {
		then()
		return
	}
	p.Core.Drain()
	p.end(p.life, p.world.Now+max(serveFor, leastStay), p.world.Now+mostStay, then)
}

// end ends a life that was told to, between two times.
func (p *Process) end(life int, from, until time.Duration, then func()) {
	w := p.world
	if p.life != life {
		then()
		return
	}
	if w.Now >= until || w.Now >= from && p.frozen <= w.Now && p.Core.CanShutDown() {
		p.Crash()
		then()
		return
	}
	w.After(tickEvery, func() { p.end(life, from, until, then) })
}
