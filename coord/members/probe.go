package members

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// pingRingSize is how many of the last pings are remembered, to tell whose ack has come.
const pingRingSize = 64

// untrackedSeq is the sequence number of pings outside of probes: what their acks carry counts, not
// that they come. Numbers of probes are below it, those of relayed pings have relayFlag.
const untrackedSeq = 0x7fff

// maxRTT bounds what a round trip is taken for: an ack that is minutes late says nothing of the
// next.
const maxRTT = 3 * time.Second

// proberState has the probes under way and the targets that come next.
type proberState struct {
	nextAt time.Duration // when the next probe begins
	queue  []memberID    // targets of this pass over all members, shuffled; the last is next
	active []probe

	lastSeq uint16                      // of the last ping of a probe
	sentAt  [pingRingSize]time.Duration // by sequence number
	sentTo  [pingRingSize]memberID

	boostUntil  time.Duration // probes go faster until then
	urgentCount int           // targets at the end of queue that are to be probed soon
	missBits    uint16        // of the last missWindow probes, the newest in the lowest bit
}

// probe is one probe under way.
type probe struct {
	target    memberID
	startedAt time.Duration
	pingsSent int
	indirect  bool             // other members were asked
	relays    []netip.AddrPort // who was asked
}

// cancelAll ends all probes without a result.
func (p *proberState) cancelAll() { p.active = p.active[:0] }

// nextSeq numbers a ping of a probe.
func (p *proberState) nextSeq(now time.Duration, target memberID) uint16 {
	if p.lastSeq++; p.lastSeq >= untrackedSeq {
		p.lastSeq = 1
	}
	p.sentAt[p.lastSeq%pingRingSize], p.sentTo[p.lastSeq%pingRingSize] = now, target
	return p.lastSeq
}

// isProbing reports whether a probe of a member is under way.
func (p *proberState) isProbing(id memberID) bool {
	return slices.ContainsFunc(p.active, func(x probe) bool { return x.target == id })
}

// probeTimeout is how long a probe has: longer where acks took long of late.
func (d *Decider) probeTimeout() time.Duration {
	return baseProbeTimeout + max(d.recentRTT-baseProbeTimeout/2, 0)
}

// probeInterval is the time between two probes.
func (d *Decider) probeInterval() time.Duration {
	if d.now < d.prober.boostUntil || d.prober.urgentCount > 0 {
		return boostedProbeInterval
	}
	return protocolPeriod * time.Duration(2+d.stats.HealthScore) / 2
}

// nextProbeEvent is when a probe begins, goes on or ends.
func (d *Decider) nextProbeEvent() time.Duration {
	p := &d.prober
	next := p.nextAt
	if len(p.active) >= maxProbes {
		next = d.now + baseProbeTimeout
	}
	if t := d.lastReceivedAt + isolationTimeout; d.liveCount > 1 && t > d.now {
		next = min(next, t)
	}
	for i := range p.active {
		x := &p.active[i]
		next = min(next, x.startedAt+d.probeTimeout())
		if x.pingsSent < pingsPerProbe {
			next = min(next, x.startedAt+time.Duration(x.pingsSent)*pingInterval)
		}
		if !x.indirect {
			next = min(next, x.startedAt+indirectPingDelay)
		}
	}
	return next
}

// runProbes advances the probes under way and begins the next one when it is due.
func (d *Decider) runProbes() {
	p := &d.prober
	for i := 0; i < len(p.active); {
		if d.advanceProbe(&p.active[i]) {
			i++
		} else {
			p.active = slices.Delete(p.active, i, i+1)
		}
	}
	if d.now >= p.nextAt && len(p.active) < maxProbes {
		d.sweepDead()
		d.startProbe()
		p.nextAt = d.now + d.probeInterval()
	}
	if d.now-d.lastReceivedAt >= isolationTimeout && d.now >= d.noAccusationUntil && d.liveCount > 1 {
		d.suspectAll()
	}
}

// startProbe probes the next target. At the end of the queue it shuffles all live members anew, so
// that each is probed once in a pass.
func (d *Decider) startProbe() {
	p := &d.prober
	for range 2 { // what is left of this pass, and a new one
		for len(p.queue) > 0 {
			id := p.queue[len(p.queue)-1]
			p.queue = p.queue[:len(p.queue)-1]
			p.urgentCount = max(p.urgentCount-1, 0)
			if s := d.suspicions[id]; s != nil && s.watching || p.isProbing(id) {
				continue // it is pinged anyway
			}
			if _, e := d.find(id); e != nil && e != d.self && e.isLive() {
				p.active = append(p.active, probe{target: id, startedAt: d.now})
				d.advanceProbe(&p.active[len(p.active)-1])
				return
			}
		}
		for _, e := range d.entries {
			if e != d.self && e.isLive() {
				p.queue = append(p.queue, e.id)
			}
		}
		d.rng.Shuffle(len(p.queue), func(i, j int) { p.queue[i], p.queue[j] = p.queue[j], p.queue[i] })
	}
}

// probeSoon makes a member the next target, where an update about it is to be checked first-hand.
func (d *Decider) probeSoon(e *entry) {
	p := &d.prober
	n := len(p.queue)
	if p.isProbing(e.id) || n > 0 && p.queue[n-1] == e.id || n > 2*len(d.entries)+maxRecordRequests {
		return
	}
	p.queue = append(p.queue, e.id)
	p.urgentCount++
	p.nextAt = min(p.nextAt, d.now+boostedProbeInterval)
}

// advanceProbe sends the pings of a probe that are due and reports whether it is still under way.
func (d *Decider) advanceProbe(x *probe) bool {
	_, e := d.find(x.target)
	if e == nil || !e.isLive() {
		return false
	}
	for x.pingsSent < pingsPerProbe && d.now >= x.startedAt+time.Duration(x.pingsSent)*pingInterval {
		x.pingsSent++
		d.sendPing(e, d.prober.nextSeq(d.now, e.id))
	}
	if !x.indirect && d.now >= x.startedAt+indirectPingDelay {
		x.indirect = true
		d.sendIndirectPings(e, x)
	}
	if d.now >= x.startedAt+d.probeTimeout() {
		d.probeFailed(e)
		return false
	}
	return true
}

// probeFailed takes note of a probe without an answer and accuses its target, unless the local
// member was wrong about it before or has just stalled.
func (d *Decider) probeFailed(e *entry) {
	p := &d.prober
	p.missBits = p.missBits<<1 | 1
	misses := bits.OnesCount16(p.missBits & (1<<missWindow - 1))
	if misses >= boostMissThreshold {
		p.boostUntil = d.now + boostDuration
		p.nextAt = min(p.nextAt, d.now+d.probeInterval())
	}
	if misses*2 >= missWindow {
		d.raiseHealthScore()
	}
	if d.now >= d.noAccusationUntil && d.now >= e.readHistory().noAccusationUntil {
		d.accuse(e)
	}
}

// sendPing pings a member. The ping names the process that it is for and carries what is held
// against the member, so that it can refute that.
func (d *Decider) sendPing(e *entry, seq uint16) {
	b := binary.BigEndian.AppendUint16(newDatagram(pingMsg), seq)
	b = binary.BigEndian.AppendUint32(b, e.Boot)
	b = binary.BigEndian.AppendUint32(b, uint32(d.digest))
	if e.State != Alive {
		b = appendUpdate(b, update{id: e.id, state: e.State, incarnation: e.Incarnation, reporter: d.self.id})
	}
	d.send(e.Addr, b)
}

// onPing answers a ping with an ack, or, if it was for an earlier process at this address, with the
// record of this one.
func (d *Decider) onPing(from netip.AddrPort, sender *entry, r *reader) {
	seq, boot, digest := r.u16(), r.u32(), r.u32()
	updates := r.updates()
	if r.err != nil || d.shuttingDown {
		return
	}
	if boot != d.config.Boot {
		d.send(from, appendRecord(newDatagram(wrongProcessMsg), d.self.toMember()))
		return
	}
	accused := false
	for _, u := range updates {
		d.applyUpdate(u, from)
		accused = accused || u.id == d.self.id && u.state != Alive
	}
	b := binary.BigEndian.AppendUint16(newDatagram(ackMsg), seq)
	b = binary.BigEndian.AppendUint32(b, uint32(d.digest))
	if accused { // refuted in each ack: an earlier one may be lost
		b = appendUpdate(b, aliveUpdate(d.self))
	}
	if sender != nil && !sender.isLive() { // so that it can refute its death
		b = appendUpdate(b, update{id: sender.id, state: Dead, incarnation: sender.Incarnation})
	}
	d.send(from, b)
	if sender == nil {
		d.sendJoin(from)
		return
	}
	d.compareDigest(from, digest)
}

// onAck takes the answer to a ping of a probe, of a witness, or on behalf of another member.
func (d *Decider) onAck(from netip.AddrPort, sender *entry, r *reader) {
	seq, digest := r.u16(), r.u32()
	updates := r.updates()
	if r.err != nil {
		return
	}
	for _, u := range updates {
		d.applyUpdate(u, from)
	}
	if d.forwardAck(from, seq) {
		return
	}
	if seq&relayFlag == 0 && seq != untrackedSeq {
		d.probeAnswered(from, seq)
	}
	if sender != nil {
		d.compareDigest(from, digest)
	}
}

// probeAnswered ends a probe with success. The ack comes from the target or from a member that was
// asked for an indirect probe.
func (d *Decider) probeAnswered(from netip.AddrPort, seq uint16) {
	p := &d.prober
	slot := seq % pingRingSize
	_, e := d.find(p.sentTo[slot])
	if e == nil || p.lastSeq-seq >= pingRingSize && p.lastSeq >= seq {
		return
	}
	direct := e.Addr == from
	if direct {
		d.recentRTT = max(d.recentRTT, min(d.now-p.sentAt[slot], maxRTT))
	}
	i := slices.IndexFunc(p.active, func(x probe) bool { return x.target == p.sentTo[slot] })
	if i < 0 || !direct && !slices.Contains(p.active[i].relays, from) {
		return
	}
	p.active = slices.Delete(p.active, i, i+1)
	p.missBits <<= 1
	d.recentRTT -= d.recentRTT / 32
	if relay := d.byAddr[addrKey(from)]; !direct && relay != nil {
		e.ensureHistory().lastRelay = relay.id
	}
	if direct {
		d.stats.HealthScore = max(d.stats.HealthScore-1, 0)
	}
}

// onWrongProcess takes note that a ping reached another process than the one that it was for.
func (d *Decider) onWrongProcess(from netip.AddrPort, r *reader) {
	m := r.record()
	if r.err != nil || m.Addr != from {
		return
	}
	if old := d.byAddr[addrKey(from)]; old != nil && old != d.self && old.Name != m.Name && old.State == Alive {
		d.accuse(old) // while it is alive, no other member can answer at its address
	}
	d.applyRecord(m, from)
}
