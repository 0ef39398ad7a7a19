package register

import (
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
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
