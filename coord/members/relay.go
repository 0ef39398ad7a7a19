package members

import (
	"encoding/binary"
	"net/netip"
	"slices"
)

// relayFlag is set in the sequence numbers of pings that the local member sends on behalf of other
// members.
const relayFlag = 0x8000

// relayedProbe is an indirect probe that the local member carries out on behalf of another member.
type relayedProbe struct {
	requester, target      netip.AddrPort
	requesterSeq, relaySeq uint16 // sequence numbers of the requester's own ping and of the relayed ping
}

// sendIndirectPings asks up to indirectProbers other members to ping the target of a probe. It
// prefers the member whose indirect ping reached the target last, then members of other zones than
// the local one, then any members.
func (d *Decider) sendIndirectPings(e *entry, x *probe) {
	eligible := func(x *entry) bool { return x != e && x.State == Alive }
	relays := d.randomMembers(indirectProbers, func(x *entry) bool { return eligible(x) && x.Zone != d.self.Zone })
	_, lastRelay := d.find(e.readHistory().lastRelay)
	if lastRelay != nil && lastRelay != d.self && eligible(lastRelay) && !slices.Contains(relays, lastRelay) {
		relays = append([]*entry{lastRelay}, relays[:min(len(relays), indirectProbers-1)]...)
	}
	for _, x := range d.randomMembers(indirectProbers, eligible) {
		if len(relays) < indirectProbers && !slices.Contains(relays, x) {
			relays = append(relays, x)
		}
	}
	for _, relay := range relays {
		b := binary.BigEndian.AppendUint16(newDatagram(indirectPingMsg), d.prober.lastSeq)
		b = appendAddr(b, e.Addr)
		d.send(relay.Addr, binary.BigEndian.AppendUint32(b, e.Boot))
		x.relays = append(x.relays, relay.Addr)
	}
}

// onIndirectPing pings a member on behalf of the member that requested the ping.
func (d *Decider) onIndirectPing(from netip.AddrPort, r *reader) {
	seq, target, boot := r.u16(), r.addr(), r.u32()
	if r.err != nil || d.byAddr[addrKey(target)] == nil || d.byAddr[addrKey(from)] == nil || d.shuttingDown {
		return
	}
	d.lastRelay++
	relaySeq := relayFlag | d.lastRelay
	d.relays[d.lastRelay%maxRelays] = relayedProbe{from, target, seq, relaySeq}
	b := binary.BigEndian.AppendUint16(newDatagram(pingMsg), relaySeq)
	b = binary.BigEndian.AppendUint32(b, boot)
	d.send(target, binary.BigEndian.AppendUint32(b, uint32(d.digest)))
}

// forwardAck reports whether an ack answers a relayed ping. If so, forwardAck sends an ack to the
// member that requested the ping.
func (d *Decider) forwardAck(from netip.AddrPort, seq uint16) bool {
	x := &d.relays[seq%maxRelays]
	if seq&relayFlag == 0 || x.relaySeq != seq || x.target != from {
		return false
	}
	b := binary.BigEndian.AppendUint16(newDatagram(ackMsg), x.requesterSeq)
	d.send(x.requester, binary.BigEndian.AppendUint32(b, uint32(d.digest)))
	*x = relayedProbe{}
	return true
}
