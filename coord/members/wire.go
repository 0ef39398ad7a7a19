package members

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// version is the high half of a datagram's first byte. Peer reports have 1.
const version = 2

type kind uint8

const (
	ping kind = iota
	ack
	ask
	wordOnly
	join
	cards
	want
	syncAsk
	part
	other
	refused
	kinds
)

// ref names a member in words: six bytes of its name's hash.
type ref uint64

const refBytes = 6

func refOf(name string) ref { return ref(xxhash.Sum64String(name) >> 16) }

// word is what is said of a member.
type word struct {
	ref     ref
	state   State // Alive, Suspected, Dead or Left
	inc     uint32
	witness bool   // of a suspicion: its time has passed, and the witness heard nothing
	by      ref    // of a suspicion: who says so
	boot    uint16 // of who is alive: the low half, to see that the card at hand is of that process
}

const (
	stateBits   = 0x07
	witnessFlag = 0x08
	crcBytes    = 4
	headBytes   = 1
	pingBytes   = headBytes + 2 + 4 + 4
	ackBytes    = headBytes + 2 + 4
	roomFor     = MostDatagram - crcBytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errShort   = errors.New("the datagram is cut")
	errSum     = errors.New("the datagram's sum is wrong")
	errVersion = errors.New("the datagram is of another version")
	errField   = errors.New("the datagram has a field out of bounds")
)

// IsOurs tells whether a datagram is one of this package's, by its first byte.
func IsOurs(b []byte) bool { return len(b) > 0 && b[0]>>4 == version }

// seal puts the sum behind a datagram.
func seal(b []byte) []byte { return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli)) }

// open checks a datagram and returns what stands between kind and sum.
func open(b []byte) (kind, []byte, error) {
	switch {
	case len(b) < headBytes+crcBytes:
		return 0, nil, errShort
	case len(b) > MostDatagram:
		return 0, nil, errField
	case b[0]>>4 != version || kind(b[0]&0x0f) >= kinds:
		return 0, nil, errVersion
	}
	body := b[:len(b)-crcBytes]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(body):]) {
		return 0, nil, errSum
	}
	return kind(b[0] & 0x0f), body[headBytes:], nil
}

func begin(k kind) []byte { return append(make([]byte, 0, 64), byte(version<<4)|byte(k)) }

func appendRef(b []byte, r ref) []byte {
	return append(b, byte(r>>40), byte(r>>32), byte(r>>24), byte(r>>16), byte(r>>8), byte(r))
}

func appendWord(b []byte, w word) []byte {
	flags := byte(w.state)
	if w.witness {
		flags |= witnessFlag
	}
	b = append(b, flags)
	b = appendRef(b, w.ref)
	b = binary.AppendUvarint(b, uint64(w.inc))
	switch w.state {
	case Alive:
		b = binary.BigEndian.AppendUint16(b, w.boot)
	case Suspected:
		b = appendRef(b, w.by)
	}
	return b
}

// mostWord is the longest that a word can be.
const mostWord = 1 + refBytes + 5 + refBytes

// reader takes a datagram apart. The first fault sticks.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if r.err != nil || len(r.b) < n {
		r.err = errShort
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
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

func (r *reader) ref() (x ref) {
	for _, b := range r.take(refBytes) {
		x = x<<8 | ref(b)
	}
	return x
}

func (r *reader) uvarint() uint32 {
	v, n := binary.Uvarint(r.b)
	if r.err != nil || n <= 0 || v > 1<<32-1 {
		r.err = errField
		return 0
	}
	r.b = r.b[n:]
	return uint32(v)
}

func (r *reader) addr() netip.AddrPort {
	b := r.take(6)
	if b == nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}

func (r *reader) text(most int) string {
	n := int(r.u8())
	if n > most {
		r.err = errField
		return ""
	}
	b := r.take(n)
	for _, c := range b {
		if c <= ' ' || c > '~' {
			r.err = errField
			return ""
		}
	}
	return string(b)
}

func (r *reader) more() bool { return r.err == nil && len(r.b) > 0 }

func (r *reader) word() (w word) {
	flags := r.u8()
	w.state, w.witness = State(flags&stateBits), flags&witnessFlag != 0
	if w.state < Alive || w.state > Left || flags&^(stateBits|witnessFlag) != 0 {
		r.err = errField
		return w
	}
	w.ref, w.inc = r.ref(), r.uvarint()
	switch w.state {
	case Alive:
		w.boot = r.u16()
	case Suspected:
		w.by = r.ref()
	}
	return w
}

func appendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(append(b, ip[:]...), a.Port())
}

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// aliveWord says of a member that it lives.
func aliveWord(e *entry) word {
	return word{ref: e.ref, state: Alive, inc: e.Incarnation, boot: uint16(e.Boot)}
}

// appendCard writes who a member is.
func appendCard(b []byte, m *Member) []byte {
	b = binary.AppendUvarint(b, uint64(m.Incarnation))
	b = binary.BigEndian.AppendUint32(b, m.Boot)
	b = append(b, byte(m.State))
	b = appendAddr(b, m.Addr)
	b = appendText(b, m.Name)
	b = appendText(b, m.Zone)
	return appendText(b, m.Version)
}

func (r *reader) card() (m Member) {
	m.Incarnation, m.Boot, m.State, m.Addr = r.uvarint(), r.u32(), State(r.u8()), r.addr()
	m.Name, m.Zone, m.Version = r.text(MostName), r.text(MostZone), r.text(MostVersion)
	if r.err == nil && (m.Name == "" || m.Incarnation == 0 || m.Boot == 0 || m.State > Left || !m.Addr.IsValid() || m.Addr.Port() == 0) {
		r.err = errField
	}
	return m
}
