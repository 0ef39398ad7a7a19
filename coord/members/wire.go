package members

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// wireVersion is the value of the high nibble of the first byte of a datagram. It distinguishes the
// datagrams of this package from those of other protocols on the same socket.
const wireVersion = 2

// messageType is the value of the low nibble of the first byte of a datagram.
type messageType uint8

// The message types. docs/design/members.md specifies the content of each.
const (
	pingMsg messageType = iota
	ackMsg
	indirectPingMsg
	updatesMsg
	joinMsg
	recordsMsg
	recordRequestMsg
	syncRequestMsg
	syncChunkMsg
	wrongProcessMsg
	nameTakenMsg
	messageTypes // number of message types
)

// memberID identifies a member in updates: the top six bytes of the hash of its name.
type memberID uint64

const idLen = 6 // bytes of a memberID in a datagram

// idOf returns the id of the member with the given name.
func idOf(name string) memberID { return memberID(xxhash.Sum64String(name) >> 16) }

// update is a statement about the state of a member, as exchanged between members.
type update struct {
	id          memberID
	state       State // Alive, Suspected, Dead or Left
	incarnation uint32
	confirms    bool     // if Suspected: reporter is a witness that got no answer within the suspicion timeout
	reporter    memberID // if Suspected: the member that suspects the member or confirms the suspicion
	bootLow     uint16   // if Alive: the low half of Boot, to detect another process
}

// aliveUpdate returns an update that says that a member is alive at its incarnation.
func aliveUpdate(e *entry) update {
	return update{id: e.id, state: Alive, incarnation: e.Incarnation, bootLow: uint16(e.Boot)}
}

// deadUpdate returns an update that says that a member is dead at its incarnation.
func deadUpdate(e *entry) update {
	return update{id: e.id, state: Dead, incarnation: e.Incarnation}
}

// Bits of the flags byte of an update.
const (
	stateMask    = 0x07
	confirmsFlag = 0x08
)

// Lengths of datagrams and their parts, in bytes.
const (
	headerLen            = 1
	checksumLen          = 4
	pingLen              = headerLen + 2 + 4 + 4 // without updates and checksum
	ackLen               = headerLen + 2 + 4     // without updates and checksum
	maxLenBeforeChecksum = MaxDatagramLen - checksumLen
	maxUpdateLen         = 1 + idLen + 5 + idLen
	maxRecordLen         = 5 + 4 + 1 + 6 + 3 + MaxNameLen + MaxZoneLen + MaxVersionLen
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Reasons to drop a datagram.
var (
	errTruncated  = errors.New("the datagram is truncated")
	errChecksum   = errors.New("the datagram's checksum is wrong")
	errVersion    = errors.New("the datagram has an unknown version or message type")
	errOutOfRange = errors.New("the datagram has a length or a field out of range")
)

// IsDatagram reports whether a datagram belongs to this package, judging by its first byte.
func IsDatagram(b []byte) bool { return len(b) > 0 && b[0]>>4 == wireVersion }

// newDatagram returns a datagram that consists of the header only.
func newDatagram(msg messageType) []byte {
	return append(make([]byte, 0, 64), byte(wireVersion<<4)|byte(msg))
}

// appendChecksum appends the checksum of b.
func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, crcTable))
}

// parseDatagram checks the length, version and checksum of a datagram and returns its type and
// body.
func parseDatagram(b []byte) (messageType, []byte, error) {
	switch {
	case len(b) < headerLen+checksumLen:
		return 0, nil, errTruncated
	case len(b) > MaxDatagramLen:
		return 0, nil, errOutOfRange
	case b[0]>>4 != wireVersion || messageType(b[0]&0x0f) >= messageTypes:
		return 0, nil, errVersion
	}
	body := b[:len(b)-checksumLen]
	if crc32.Checksum(body, crcTable) != binary.BigEndian.Uint32(b[len(body):]) {
		return 0, nil, errChecksum
	}
	return messageType(b[0] & 0x0f), body[headerLen:], nil
}

func appendID(b []byte, id memberID) []byte {
	return append(b, byte(id>>40), byte(id>>32), byte(id>>24), byte(id>>16), byte(id>>8), byte(id))
}

func appendUpdate(b []byte, u update) []byte {
	flags := byte(u.state)
	if u.confirms {
		flags |= confirmsFlag
	}
	b = append(b, flags)
	b = appendID(b, u.id)
	b = binary.AppendUvarint(b, uint64(u.incarnation))
	switch u.state {
	case Alive:
		b = binary.BigEndian.AppendUint16(b, u.bootLow)
	case Suspected:
		b = appendID(b, u.reporter)
	}
	return b
}

// appendRecord appends a record: the identity, incarnation and state of a member.
func appendRecord(b []byte, m *Member) []byte {
	b = binary.AppendUvarint(b, uint64(m.Incarnation))
	b = binary.BigEndian.AppendUint32(b, m.Boot)
	b = append(b, byte(m.State))
	b = appendAddr(b, m.Addr)
	b = appendText(b, m.Name)
	b = appendText(b, m.Zone)
	return appendText(b, m.Version)
}

func appendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(append(b, ip[:]...), a.Port())
}

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func appendPath(b, path []byte) []byte { return append(append(b, byte(len(path))), path...) }
