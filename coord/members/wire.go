package members

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// wireVersion is the high half of a datagram's first byte, which distinguishes it from datagrams of
// other protocols on the same socket.
const wireVersion = 2

// messageType is the low half of a datagram's first byte.
type messageType uint8

// The types. docs/design/members.md has the content of each.
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
	messageTypes // how many there are
)

// memberID identifies a member in updates: the top six bytes of the hash of its name.
type memberID uint64

const idLen = 6

func idOf(name string) memberID { return memberID(xxhash.Sum64String(name) >> 16) }

// update is a statement about a member.
type update struct {
	id          memberID
	state       State // Alive, Suspected, Dead or Left
	incarnation uint32
	confirms    bool     // of Suspected: a witness heard nothing for the suspicion time-out
	reporter    memberID // of Suspected: who suspects or confirms
	bootLow     uint16   // of Alive: the low half of Boot, to detect another process
}

func aliveUpdate(e *entry) update {
	return update{id: e.id, state: Alive, incarnation: e.Incarnation, bootLow: uint16(e.Boot)}
}

func deadUpdate(e *entry) update {
	return update{id: e.id, state: Dead, incarnation: e.Incarnation}
}

// The flags byte of an update.
const (
	stateMask    = 0x07
	confirmsFlag = 0x08
)

// Lengths in bytes.
const (
	headerLen            = 1
	checksumLen          = 4
	pingLen              = headerLen + 2 + 4 + 4 // without updates
	ackLen               = headerLen + 2 + 4     // without updates
	maxLenBeforeChecksum = MaxDatagramLen - checksumLen
	maxUpdateLen         = 1 + idLen + 5 + idLen
	maxRecordLen         = 5 + 4 + 1 + 6 + 3 + MaxNameLen + MaxZoneLen + MaxVersionLen
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Why a datagram is dropped.
var (
	errTruncated  = errors.New("the datagram is truncated")
	errChecksum   = errors.New("the datagram's checksum is wrong")
	errVersion    = errors.New("the datagram is of another version")
	errOutOfRange = errors.New("the datagram has a field out of range")
)

// IsDatagram reports by its first byte whether a datagram is one of this package's.
func IsDatagram(b []byte) bool { return len(b) > 0 && b[0]>>4 == wireVersion }

// newDatagram begins a datagram with its header.
func newDatagram(msg messageType) []byte {
	return append(make([]byte, 0, 64), byte(wireVersion<<4)|byte(msg))
}

// seal appends the checksum.
func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, crcTable))
}

// unseal checks length, version and checksum of a datagram and returns its type and body.
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

// appendRecord appends who a member is, with its state.
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
