package members

import (
	"encoding/binary"
	"net/netip"
)

// Anti-entropy: the members form a tree by the nibbles of their ids. Two members compare the
// digests of the sixteen children of a node, go down where they differ, and exchange the updates of
// a subtree that is small.
const (
	syncFanout      = 16        // children of a node
	maxPathLen      = 2 * idLen // nibbles of an id
	maxLeafMembers  = 12        // members of a subtree that is exchanged without going down further
	maxChunkUpdates = 24        // that fit a datagram
)

// compareDigest asks a member for differences if its digest is not the local one, unless the local
// list has just changed: the change is spreading by gossip.
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

func nibble(id memberID, i int) byte { return byte(id>>(4*(maxPathLen-1-i))) & 0x0f }

// childDigests returns the digests and counts of the live members under each child of a path.
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

// membersUnder returns all members under a path, live or not.
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

// sendSyncRequest sends the digests of the children of a path.
func (d *Decider) sendSyncRequest(to netip.AddrPort, path []byte) {
	b := appendPath(newDatagram(syncRequestMsg), path)
	sums, _ := d.childDigests(path)
	for _, sum := range sums {
		b = binary.BigEndian.AppendUint32(b, sum)
	}
	d.send(to, b)
}

// onSyncRequest answers for each child whose digest differs: with its members if they are few, else
// with a request one level down.
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
	first := d.rng.IntN(syncFanout) // so that all differences are settled in the end
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

// sendSyncChunk sends updates of the live members under a path except some. With wantsReply the
// other side sends its own in return.
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

// onSyncChunk applies the updates of a subtree.
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
	if len(d.recordRequests) > before { // the sender knows more members
		d.nextSyncAt = min(d.nextSyncAt, d.now+syncCatchUpDelay)
	}
	if wantsReply {
		d.sendSyncChunk(from, path, false, received)
	}
}
