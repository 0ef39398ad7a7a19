package members

import (
	"encoding/binary"
	"math"
	"net/netip"
)

// reader decodes the body of a datagram from front to back. After a read failed, err is set and all
// further reads return zero values.
type reader struct {
	rest []byte
	err  error
}

// hasMore reports whether unread bytes remain and no read has failed.
func (r *reader) hasMore() bool { return r.err == nil && len(r.rest) > 0 }

// take reads n bytes. It returns nil if fewer bytes remain.
func (r *reader) take(n int) []byte {
	if r.err != nil || len(r.rest) < n {
		r.err = errTruncated
		return nil
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *reader) u8() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) uvarint() uint32 {
	v, n := binary.Uvarint(r.rest)
	if r.err != nil || n <= 0 || v > math.MaxUint32 {
		r.err = errOutOfRange
		return 0
	}
	r.rest = r.rest[n:]
	return uint32(v)
}

func (r *reader) id() (id memberID) {
	for _, b := range r.take(idLen) {
		id = id<<8 | memberID(b)
	}
	return id
}

func (r *reader) addr() netip.AddrPort {
	b := r.take(6)
	if b == nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}

// text reads a byte with a length of at most maxLen and then a string of that length, which must be
// printable ASCII without spaces.
func (r *reader) text(maxLen int) string {
	n := int(r.u8())
	if n > maxLen {
		r.err = errOutOfRange
		return ""
	}
	b := r.take(n)
	if !isPrintable(string(b)) {
		r.err = errOutOfRange
		return ""
	}
	return string(b)
}

// path reads the path to a node of the anti-entropy tree: a length byte and then one byte for each
// nibble.
func (r *reader) path() []byte {
	n := int(r.u8())
	if n >= maxPathLen {
		r.err = errOutOfRange
		return nil
	}
	path := r.take(n)
	for _, x := range path {
		if x >= syncFanout {
			r.err = errOutOfRange
		}
	}
	return path
}

// update reads one update.
func (r *reader) update() (u update) {
	flags := r.u8()
	u.state, u.confirms = State(flags&stateMask), flags&confirmsFlag != 0
	if u.state < Alive || u.state > Left || flags&^(stateMask|confirmsFlag) != 0 {
		r.err = errOutOfRange
		return u
	}
	u.id, u.incarnation = r.id(), r.uvarint()
	switch u.state {
	case Alive:
		u.bootLow = r.u16()
	case Suspected:
		u.reporter = r.id()
	}
	return u
}

// updates reads updates until the end of the body.
func (r *reader) updates() (all []update) {
	for r.hasMore() {
		if u := r.update(); r.err == nil {
			all = append(all, u)
		}
	}
	return all
}

// record reads one record and validates it.
func (r *reader) record() (m Member) {
	m.Incarnation, m.Boot, m.State, m.Addr = r.uvarint(), r.u32(), State(r.u8()), r.addr()
	m.Name, m.Zone, m.Version = r.text(MaxNameLen), r.text(MaxZoneLen), r.text(MaxVersionLen)
	if r.err == nil && !isValidRecord(&m) {
		r.err = errOutOfRange
	}
	return m
}

func isValidRecord(m *Member) bool {
	return m.Name != "" && m.Incarnation != 0 && m.Boot != 0 && m.State <= Left && m.Addr.IsValid() && m.Addr.Port() != 0
}
