package members

import (
	"encoding/binary"
	"net/netip"
)

const (
	children  = 16
	deepest   = 2 * refBytes // nibbles of a reference
	fewWords  = 12           // members under a path that are told one by one
	partWords = 24           // that fit a datagram
	hurry     = batch        // between two questions while whole parts are unknown
)

// compare asks for what differs if another member's digest is not the own one, and this is not because a change is on its
// way.
func (d *Decider) compare(from netip.AddrPort, digest uint32) {
	if digest == uint32(d.digest) || d.now < d.syncAt || d.now < d.changed+calmDigest || d.self.State != Alive {
		return
	}
	d.syncAt = d.now + syncEvery
	d.askSync(from, nil)
}

// under tells whether a reference has a path.
func under(r ref, path []byte) bool {
	for i, n := range path {
		if nibble(r, i) != n {
			return false
		}
	}
	return true
}

func nibble(r ref, i int) byte { return byte(r>>(4*(deepest-1-i))) & 0x0f }

// digests of the living below each child of a path, and how many they are. Members with one path stand together.
func (d *Decider) digests(path []byte) (sums [children]uint32, counts [children]int) {
	for _, e := range d.beneath(path) {
		if e.lives() {
			c := nibble(e.ref, len(path))
			sums[c] ^= uint32(mark(e))
			counts[c]++
		}
	}
	return sums, counts
}

// beneath returns all members with a path, living or not.
func (d *Decider) beneath(path []byte) []*entry {
	var low ref
	for i, n := range path {
		low |= ref(n) << (4 * (deepest - 1 - i))
	}
	from, _ := d.find(low)
	to := from
	for to < len(d.list) && under(d.list[to].ref, path) {
		to++
	}
	return d.list[from:to]
}

func appendPath(b, path []byte) []byte { return append(append(b, byte(len(path))), path...) }

func (r *reader) path() []byte {
	n := int(r.u8())
	if n >= deepest {
		r.err = errField
		return nil
	}
	path := r.take(n)
	for _, x := range path {
		if x >= children {
			r.err = errField
		}
	}
	return path
}

func (d *Decider) askSync(to netip.AddrPort, path []byte) {
	b := appendPath(begin(syncAsk), path)
	sums, _ := d.digests(path)
	for _, s := range sums {
		b = binary.BigEndian.AppendUint32(b, s)
	}
	d.send(to, b)
}

// onSync answers with the words of a few members where digests differ, or with a question one level down.
func (d *Decider) onSync(from netip.AddrPort, r *reader) {
	path := append([]byte(nil), r.path()...)
	var theirs [children]uint32
	for i := range theirs {
		theirs[i] = r.u32()
	}
	if r.err != nil || d.self.State != Alive || d.byAddr[key(from)] == nil {
		return
	}
	sums, counts := d.digests(path)
	first := d.rng.IntN(children)
	sent := 0
	for i := range children {
		c := byte((first + i) % children)
		if sums[c] == theirs[c] || sent >= mostBatch {
			continue
		}
		sent++
		below := append(path[:len(path):len(path)], c)
		if counts[c] > fewWords && len(below) < deepest-1 {
			d.askSync(from, below)
		} else {
			d.sendPart(from, below, true, nil)
		}
	}
}

// sendPart tells of the living under a path, but for those named.
func (d *Decider) sendPart(to netip.AddrPort, path []byte, answer bool, but map[ref]bool) {
	b := appendPath(begin(part), path)
	flag := byte(0)
	if answer {
		flag = 1
	}
	b = append(b, flag)
	n := 0
	for _, e := range d.beneath(path) {
		if e.lives() && !but[e.ref] && n < partWords && len(b) <= roomFor-mostWord {
			b = appendWord(b, aliveWord(e))
			n++
		}
	}
	if answer || n > 0 {
		d.send(to, b)
	}
}

func (d *Decider) onPart(from netip.AddrPort, r *reader) {
	path := append([]byte(nil), r.path()...)
	answer := r.u8() == 1
	words := r.words()
	if r.err != nil || d.self.State != Alive || d.byAddr[key(from)] == nil {
		return
	}
	told := map[ref]bool{}
	before := len(d.wants)
	for _, w := range words {
		told[w.ref] = true
		d.hear(w, from)
	}
	if len(d.wants) > before { // there is more where this came from
		d.syncAt = min(d.syncAt, d.now+hurry)
	}
	if answer {
		d.sendPart(from, path, false, told)
	}
}
