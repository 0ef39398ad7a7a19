package members

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"
)

// probing is the probes under way, and the round that they belong to.
type probing struct {
	at    time.Duration // when the next one begins
	round []ref         // shuffled, of those that are still to be probed
	runs  []run

	seq    uint16                   // of the last ping of a probe
	times  [lastPings]time.Duration // at which they were sent, by their numbers
	whom   [lastPings]ref
	boost  time.Duration // probes go faster until then
	urgent int           // members at the round's end that are to be probed soon
	misses uint16        // of the last eight, the newest in the lowest bit
}

// run is one probe.
type run struct {
	who   ref
	begun time.Duration
	sent  int  // pings
	asked bool // others, too
	via   []netip.AddrPort
}

const (
	mostRuns  = 8 // probes at once, while they go faster
	lastPings = 64
	relaySeq  = 0x8000 // numbers of pings for others
	anySeq    = 0x7fff // of pings whose answer is told by its words
)

// void ends all probes under way without a verdict.
func (p *probing) void() { p.runs = p.runs[:0] }

// next numbers a ping.
func (p *probing) next(now time.Duration, who ref) uint16 {
	if p.seq++; p.seq >= anySeq {
		p.seq = 1
	}
	p.times[p.seq%lastPings], p.whom[p.seq%lastPings] = now, who
	return p.seq
}

// probes tells whether one of a member is under way.
func (p *probing) probes(r ref) bool {
	return slices.ContainsFunc(p.runs, func(x run) bool { return x.who == r })
}

// relayed is an indirect probe for somebody else.
type relayed struct {
	from, target netip.AddrPort
	seq, own     uint16
}

// judge is how long a probe has: longer where answers took long of late.
func (d *Decider) judge() time.Duration { return judgeAfter + max(d.rtt-judgeAfter/2, 0) }

// doubt is how long a suspicion lasts.
func (d *Decider) doubt() time.Duration { return suspicion + 2*max(d.rtt-pingEvery, 0) }

// gap is the time between two probes.
func (d *Decider) gap() time.Duration {
	if d.now < d.probe.boost || d.probe.urgent > 0 {
		return boosted
	}
	return period * time.Duration(2+d.figures.Health) / 2
}

// probeNext is when probes have something to do.
func (d *Decider) probeNext() time.Duration {
	p := &d.probe
	next := p.at
	if len(p.runs) >= mostRuns {
		next = d.now + judgeAfter
	}
	if t := d.heard + nobodyFor; d.living > 1 && t > d.now {
		next = min(next, t)
	}
	for i := range p.runs {
		x := &p.runs[i]
		next = min(next, x.begun+d.judge())
		if x.sent < pings {
			next = min(next, x.begun+time.Duration(x.sent)*pingEvery)
		}
		if !x.asked {
			next = min(next, x.begun+askAfter)
		}
	}
	return next
}

func (d *Decider) dueProbe() {
	p := &d.probe
	for i := 0; i < len(p.runs); {
		if d.goOn(&p.runs[i]) {
			i++
		} else {
			p.runs = slices.Delete(p.runs, i, i+1)
		}
	}
	if d.now >= p.at && len(p.runs) < mostRuns {
		d.sweep()
		d.beginProbe()
		p.at = d.now + d.gap()
	}
	if d.now-d.heard >= nobodyFor && d.now >= d.mute && d.living > 1 {
		d.cutOff()
	}
}

// beginProbe pings the next member of the round.
func (d *Decider) beginProbe() {
	p := &d.probe
	for range 2 { // a round that is over, and a new one
		for len(p.round) > 0 {
			r := p.round[len(p.round)-1]
			p.round = p.round[:len(p.round)-1]
			p.urgent = max(p.urgent-1, 0)
			if s := d.suspects[r]; s != nil && s.follow || p.probes(r) {
				continue // it is pinged anyway
			}
			if _, e := d.find(r); e != nil && e != d.self && e.lives() {
				p.runs = append(p.runs, run{who: r, begun: d.now})
				d.goOn(&p.runs[len(p.runs)-1])
				return
			}
		}
		for _, e := range d.list {
			if e != d.self && e.lives() {
				p.round = append(p.round, e.ref)
			}
		}
		d.rng.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
	}
}

// soon has a member be the next one that is probed.
func (d *Decider) soon(e *entry) {
	p := &d.probe
	if n := len(p.round); p.probes(e.ref) || n > 0 && p.round[n-1] == e.ref || n > 2*len(d.list)+mostWants {
		return
	}
	p.round = append(p.round, e.ref)
	p.urgent++
	p.at = min(p.at, d.now+boosted)
}

// goOn sends what is due of a probe, and tells whether it is still under way.
func (d *Decider) goOn(x *run) bool {
	_, e := d.find(x.who)
	if e == nil || !e.lives() {
		return false
	}
	for x.sent < pings && d.now >= x.begun+time.Duration(x.sent)*pingEvery {
		x.sent++
		d.ping(e, d.probe.next(d.now, e.ref))
	}
	if !x.asked && d.now >= x.begun+askAfter {
		x.asked = true
		d.askOthers(e, x)
	}
	if d.now >= x.begun+d.judge() {
		d.missed(e)
		return false
	}
	return true
}

// askOthers has members ping one, those of another zone than the own first.
func (d *Decider) askOthers(e *entry, x *run) {
	fits := func(x *entry) bool { return x != e && x.State == Alive }
	others := d.some(asked, func(x *entry) bool { return fits(x) && x.Zone != d.self.Zone })
	if _, x := d.find(e.has().through); x != nil && x != d.self && fits(x) && !slices.Contains(others, x) { // it knows a way
		others = append([]*entry{x}, others[:min(len(others), asked-1)]...)
	}
	for _, x := range d.some(asked, fits) {
		if len(others) < asked && !slices.Contains(others, x) {
			others = append(others, x)
		}
	}
	for _, o := range others {
		b := binary.BigEndian.AppendUint16(begin(ask), d.probe.seq)
		b = appendAddr(b, e.Addr)
		d.send(o.Addr, binary.BigEndian.AppendUint32(b, e.Boot))
		x.via = append(x.via, o.Addr)
	}
}

// onAsk pings a member for somebody else.
func (d *Decider) onAsk(from netip.AddrPort, r *reader) {
	seq, target, boot := r.u16(), r.addr(), r.u32()
	if r.err != nil || d.byAddr[key(target)] == nil || d.byAddr[key(from)] == nil || d.leaving {
		return
	}
	d.relay++
	own := relaySeq | d.relay
	d.relays[d.relay%mostRelays] = relayed{from, target, seq, own}
	b := binary.BigEndian.AppendUint16(begin(ping), own)
	b = binary.BigEndian.AppendUint32(b, boot)
	d.send(target, binary.BigEndian.AppendUint32(b, uint32(d.digest)))
}

// missed takes a probe without an answer.
func (d *Decider) missed(e *entry) {
	p := &d.probe
	p.misses = p.misses<<1 | 1
	missed := 0
	for m := p.misses & (1<<missesKept - 1); m != 0; m &= m - 1 {
		missed++
	}
	if missed >= boostFrom {
		p.boost = d.now + boostFor
		p.at = min(p.at, d.now+d.gap())
	}
	if missed*2 >= missesKept {
		d.worse()
	}
	if d.now >= d.mute && d.now >= e.has().spare {
		d.suspectOf(e, word{ref: e.ref, state: Suspected, inc: e.Incarnation, by: d.self.ref})
	}
}

// cutOff suspects all: nobody was heard of for so long.
func (d *Decider) cutOff() {
	d.heard = d.now
	for _, e := range slices.Clone(d.list) {
		if e != d.self && e.State == Alive {
			if e.past != nil {
				e.calm = 0
			}
			d.suspectOf(e, word{ref: e.ref, state: Suspected, inc: e.Incarnation, by: d.self.ref})
		}
	}
}

// ping sends one, and tells whom it is for what is held against it.
func (d *Decider) ping(e *entry, seq uint16) {
	b := binary.BigEndian.AppendUint16(begin(ping), seq)
	b = binary.BigEndian.AppendUint32(b, e.Boot)
	b = binary.BigEndian.AppendUint32(b, uint32(d.digest))
	if e.State != Alive {
		b = appendWord(b, word{ref: e.ref, state: e.State, inc: e.Incarnation, by: d.self.ref})
	}
	d.send(e.Addr, b)
}

func (d *Decider) onPing(from netip.AddrPort, sender *entry, r *reader) {
	seq, boot, digest := r.u16(), r.u32(), r.u32()
	words := r.words()
	if r.err != nil || d.leaving {
		return
	}
	if boot != d.c.Boot {
		d.send(from, appendCard(begin(other), d.self.member()))
		return
	}
	against := false
	for _, w := range words {
		d.hear(w, from)
		against = against || w.ref == d.self.ref && w.state != Alive
	}
	b := binary.BigEndian.AppendUint16(begin(ack), seq)
	b = binary.BigEndian.AppendUint32(b, uint32(d.digest))
	if against { // it refutes that, each time anew: the last answer may be lost
		b = appendWord(b, aliveWord(d.self))
	}
	if sender != nil && !sender.lives() { // who is held to be dead learns so
		b = appendWord(b, word{ref: sender.ref, state: Dead, inc: sender.Incarnation})
	}
	d.send(from, b)
	if sender == nil {
		d.introduce(from)
		return
	}
	d.compare(from, digest)
}

func (d *Decider) onAck(from netip.AddrPort, sender *entry, r *reader) {
	seq, digest := r.u16(), r.u32()
	words := r.words()
	if r.err != nil {
		return
	}
	for _, w := range words {
		d.hear(w, from)
	}
	if x := &d.relays[seq%mostRelays]; seq&relaySeq != 0 && x.own == seq && x.target == from {
		b := binary.BigEndian.AppendUint16(begin(ack), x.seq)
		d.send(x.from, binary.BigEndian.AppendUint32(b, uint32(d.digest)))
		*x = relayed{}
		return
	}
	if seq&relaySeq == 0 && seq != anySeq {
		d.answered(from, seq)
	}
	if sender != nil {
		d.compare(from, digest)
	}
}

// answered takes the answer to a probe's ping, from whom it was for or from one who was asked.
func (d *Decider) answered(from netip.AddrPort, seq uint16) {
	p := &d.probe
	at := seq % lastPings
	i := slices.IndexFunc(p.runs, func(x run) bool { return x.who == p.whom[at] })
	_, e := d.find(p.whom[at])
	if e == nil || p.seq-seq >= lastPings && p.seq >= seq {
		return
	}
	direct := e.Addr == from
	if direct {
		d.rtt = max(d.rtt, min(d.now-p.times[at], mostRTT))
	}
	if i >= 0 && (direct || slices.Contains(p.runs[i].via, from)) {
		p.runs = slices.Delete(p.runs, i, i+1)
		p.misses <<= 1
		d.rtt -= d.rtt / 32
		if via := d.byAddr[key(from)]; !direct && via != nil {
			e.had().through = via.ref
		}
		if direct {
			d.figures.Health = max(d.figures.Health-1, 0)
		}
	}
}

// mostRTT bounds what a round trip is believed to take: one that came minutes late says nothing of the next.
const mostRTT = 3 * time.Second

// onOther takes the word that a ping was for a process that is not there any more.
func (d *Decider) onOther(from netip.AddrPort, r *reader) {
	c := r.card()
	if r.err != nil || c.Addr != from {
		return
	}
	if old := d.byAddr[key(from)]; old != nil && old != d.self && old.Name != c.Name && old.State == Alive {
		// Nobody else can answer at its address while it lives.
		d.suspectOf(old, word{ref: old.ref, state: Suspected, inc: old.Incarnation, by: d.self.ref})
	}
	d.hearCard(c, from)
}

// sweep forgets members that have been dead or gone for long.
func (d *Decider) sweep() {
	for range min(sweep, len(d.list)) {
		if d.swept >= len(d.list) {
			d.swept = 0
		}
		e := d.list[d.swept]
		if !e.lives() && e != d.self && d.now-e.Since >= forget && !e.told.lives {
			d.drop(e)
			continue
		}
		d.swept++
	}
}
