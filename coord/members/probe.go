package members

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// pingRingSize is how many of the last pings the prober remembers, to match acks with their pings.
const pingRingSize = 64

// untrackedSeq is the sequence number of all pings that are neither part of a probe nor relayed for
// another member. The sender of such a ping processes the updates and the digest in the ack, but
// the ack does not complete a probe. The sequence numbers of pings in probes are lower than
// untrackedSeq; those of relayed pings have relayFlag set.
const untrackedSeq = 0x7fff

// maxRTT limits the measured round-trip time. An ack that is minutes late does not predict the next
// round trip.
const maxRTT = 3 * time.Second

// proberState holds the probes in progress and the next targets.
type proberState struct {
	nextAt time.Duration // when the next probe starts
	queue  []memberID    // remaining targets of this pass over all members, shuffled; the last one is next
	active []probe       // probes in progress

	lastSeq uint16                      // sequence number of the last ping that belongs to a probe
	sentAt  [pingRingSize]time.Duration // time of a ping, by sequence number modulo pingRingSize
	sentTo  [pingRingSize]memberID      // target of a ping, by sequence number modulo pingRingSize

	boostUntil  time.Duration // until this time probes start every boostedProbeInterval
	urgentCount int           // number of targets at the end of queue that are probed at the boosted rate
	missBits    uint16        // results of the last missWindow probes: 1 is a failure, the lowest bit is the newest
}

// probe is a probe in progress.
type probe struct {
	target    memberID
	startedAt time.Duration
	pingsSent int              // direct pings
	indirect  bool             // whether other members were asked to ping the target
	relays    []netip.AddrPort // the members that were asked
}

// cancelAll ends all probes without a result.
func (p *proberState) cancelAll() { p.active = p.active[:0] }

// nextSeq returns the sequence number for a ping of a probe, and records the time and target of the
// ping.
func (p *proberState) nextSeq(now time.Duration, target memberID) uint16 {
	if p.lastSeq++; p.lastSeq >= untrackedSeq {
		p.lastSeq = 1
	}
	p.sentAt[p.lastSeq%pingRingSize], p.sentTo[p.lastSeq%pingRingSize] = now, target
	return p.lastSeq
}

// isProbing reports whether a probe of a member is in progress.
func (p *proberState) isProbing(id memberID) bool {
	return slices.ContainsFunc(p.active, func(x probe) bool { return x.target == id })
}

// probeTimeout returns how long a probe may take before it fails. Long recent round trips extend
// the timeout.
func (d *Decider) probeTimeout() time.Duration {
	return baseProbeTimeout + max(d.recentRTT-baseProbeTimeout/2, 0)
}

// probeInterval returns the time between the starts of two probes. A higher local health score
// makes the interval longer.
func (d *Decider) probeInterval() time.Duration {
	if d.now < d.prober.boostUntil || d.prober.urgentCount > 0 {
		return boostedProbeInterval
	}
	return protocolPeriod * time.Duration(2+d.stats.HealthScore) / 2
}

// nextProbeEvent returns the next time at which a probe starts, sends pings or fails, or at which
// isolationTimeout ends.
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

// runProbes advances the probes in progress and starts the next one when it is due. It suspects all
// members if no datagram arrived for isolationTimeout.
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

// startProbe starts a probe of the next target. At the end of the queue it fills the queue with all
// live members in random order, so that each pass probes each member once.
func (d *Decider) startProbe() {
	p := &d.prober
	for range 2 { // the rest of this pass, then a new pass
		for len(p.queue) > 0 {
			id := p.queue[len(p.queue)-1]
			p.queue = p.queue[:len(p.queue)-1]
			p.urgentCount = max(p.urgentCount-1, 0)
			if s := d.suspicions[id]; s != nil && s.watching || p.isProbing(id) {
				continue // a suspicion or another probe already pings this member
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

// probeSoon makes a member the next target. It is used when the local member must check a report
// about the member by a probe of its own.
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

// advanceProbe sends the pings of a probe that are due and reports whether the probe is still in
// progress.
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

// probeFailed records that a probe got no answer and accuses the target. It does not accuse the
// target if the local member has just stalled or has recently accused the same target wrongly.
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

// sendPing pings a member. The ping contains the Boot number of the process that should answer. If
// the local member does not consider the target alive, the ping also contains an update with the
// state of the target, so that the target can refute that state.
func (d *Decider) sendPing(e *entry, seq uint16) {
	b := binary.BigEndian.AppendUint16(newDatagram(pingMsg), seq)
	b = binary.BigEndian.AppendUint32(b, e.Boot)
	b = binary.BigEndian.AppendUint32(b, uint32(d.digest))
	if e.State != Alive {
		b = appendUpdate(b, update{id: e.id, state: e.State, incarnation: e.Incarnation, reporter: d.self.id})
	}
	d.send(e.Addr, b)
}

// onPing answers a ping with an ack. If the ping was meant for another process at this address,
// onPing answers with the record of the local process instead.
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
	if accused { // every ack contains the refutation, because an earlier ack may have been lost
		b = appendUpdate(b, aliveUpdate(d.self))
	}
	if sender != nil && !sender.isLive() { // lets the sender refute its death
		b = appendUpdate(b, update{id: sender.id, state: Dead, incarnation: sender.Incarnation})
	}
	d.send(from, b)
	if sender == nil {
		d.sendJoin(from)
		return
	}
	d.compareDigest(from, digest)
}

// onAck handles the answer to a ping that the local member sent for a probe, as a witness, or on
// behalf of another member.
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

// probeAnswered ends a probe as successful. The ack comes from the target or from a member that the
// local member asked for an indirect probe.
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

// onWrongProcess handles the answer of a process that received a ping meant for another process at
// its address. The answer contains the record of the process that answered.
func (d *Decider) onWrongProcess(from netip.AddrPort, r *reader) {
	m := r.record()
	if r.err != nil || m.Addr != from {
		return
	}
	if old := d.byAddr[addrKey(from)]; old != nil && old != d.self && old.Name != m.Name && old.State == Alive {
		d.accuse(old) // while old is alive, no member with another name can answer at its address
	}
	d.applyRecord(m, from)
}
