package members

import (
	"encoding/binary"
	"net/netip"
)

// Anti-entropy arranges the members in a tree by the nibbles of their ids. Two members compare the
// digests of the sixteen children of a node, descend into the children whose digests differ, and
// exchange the updates of a subtree that has few members.
const (
	syncFanout      = 16        // children of a node
	maxPathLen      = 2 * idLen // nibbles of an id
	maxLeafMembers  = 12        // a subtree with at most this many members is exchanged as a whole
	maxChunkUpdates = 24        // updates in one datagram
)

// compareDigest starts anti-entropy with a member whose digest differs from the local one. It does
// nothing if the local list changed less than digestSpreadDelay ago, because that change may still
// be spreading by gossip.
func (d *Decider) compareDigest(from netip.AddrPort, digest uint32) {
	settling := d.now < d.digestChangedAt+digestSpreadDelay
	if digest == uint32(d.digest) || d.now < d.nextSyncAt || settling || d.self.State != Alive {
		return
	}
	d.nextSyncAt = d.now + syncInterval
	d.sendSyncRequest(from, nil)
}

// hasPath reports whether an id begins with the nibbles of a path.
func hasPath(id memberID, path []byte) bool {
	for i, n := range path {
		if nibble(id, i) != n {
			return false
		}
	}
	return true
}

// nibble returns the i-th nibble of an id; the most significant nibble is number 0.
func nibble(id memberID, i int) byte { return byte(id>>(4*(maxPathLen-1-i))) & 0x0f }

// childDigests returns, for each child of the node at path, the digest and the number of the live
// members below it.
func (d *Decider) childDigests(path []byte) (sums [syncFanout]uint32, counts [syncFanout]int) {
	for _, e := range d.membersUnder(path) {
		if e.isLive() {
			child := nibble(e.id, len(path))
			sums[child] ^= uint32(digestOf(e))
			counts[child]++
		}
	}
	return sums, counts
}

// membersUnder returns all members whose ids begin with path, whether they are live or not.
func (d *Decider) membersUnder(path []byte) []*entry {
	var lowest memberID
	for i, n := range path {
		lowest |= memberID(n) << (4 * (maxPathLen - 1 - i))
	}
	from, _ := d.find(lowest)
	to := from
	for to < len(d.entries) && hasPath(d.entries[to].id, path) {
		to++
	}
	return d.entries[from:to]
}

// sendSyncRequest sends the digests of the children of the node at path.
func (d *Decider) sendSyncRequest(to netip.AddrPort, path []byte) {
	b := appendPath(newDatagram(syncRequestMsg), path)
	sums, _ := d.childDigests(path)
	for _, sum := range sums {
		b = binary.BigEndian.AppendUint32(b, sum)
	}
	d.send(to, b)
}

// onSyncRequest answers for each child whose digest differs from the local one. If the child has at
// most maxLeafMembers local members, onSyncRequest sends their updates. Otherwise it sends a sync
// request for the child, one level down. It sends at most maxDatagramsPerTarget datagrams.
func (d *Decider) onSyncRequest(from netip.AddrPort, r *reader) {
	path := append([]byte(nil), r.path()...)
	var remoteSums [syncFanout]uint32
	for i := range remoteSums {
		remoteSums[i] = r.u32()
	}
	if r.err != nil || d.self.State != Alive || d.byAddr[addrKey(from)] == nil {
		return
	}
	sums, counts := d.childDigests(path)
	first := d.rng.IntN(syncFanout) // a random first child, so that repeated requests reach all children
	sent := 0
	for i := range syncFanout {
		child := byte((first + i) % syncFanout)
		if sums[child] == remoteSums[child] || sent >= maxDatagramsPerTarget {
			continue
		}
		sent++
		childPath := append(path[:len(path):len(path)], child)
		if counts[child] > maxLeafMembers && len(childPath) < maxPathLen-1 {
			d.sendSyncRequest(from, childPath)
		} else {
			d.sendSyncChunk(from, childPath, true, nil)
		}
	}
}

// sendSyncChunk sends updates of the live members whose ids begin with path, without the members in
// except. If wantsReply is set, the receiver answers with its own updates for path.
func (d *Decider) sendSyncChunk(to netip.AddrPort, path []byte, wantsReply bool, except map[memberID]bool) {
	b := appendPath(newDatagram(syncChunkMsg), path)
	flag := byte(0)
	if wantsReply {
		flag = 1
	}
	b = append(b, flag)
	n := 0
	for _, e := range d.membersUnder(path) {
		if e.isLive() && !except[e.id] && n < maxChunkUpdates && len(b) <= maxLenBeforeChecksum-maxUpdateLen {
			b = appendUpdate(b, aliveUpdate(e))
			n++
		}
	}
	if wantsReply || n > 0 {
		d.send(to, b)
	}
}

// onSyncChunk applies the updates of a subtree. If the sender asks for a reply, onSyncChunk answers
// with the local updates of the members that the datagram does not mention.
func (d *Decider) onSyncChunk(from netip.AddrPort, r *reader) {
	path := append([]byte(nil), r.path()...)
	wantsReply := r.u8() == 1
	updates := r.updates()
	if r.err != nil || d.self.State != Alive || d.byAddr[addrKey(from)] == nil {
		return
	}
	received := map[memberID]bool{}
	before := len(d.recordRequests)
	for _, u := range updates {
		received[u.id] = true
		d.applyUpdate(u, from)
	}
	if len(d.recordRequests) > before { // the sender knows members that the local list lacks
		d.nextSyncAt = min(d.nextSyncAt, d.now+syncCatchUpDelay)
	}
	if wantsReply {
		d.sendSyncChunk(from, path, false, received)
	}
}
