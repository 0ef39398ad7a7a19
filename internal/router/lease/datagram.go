package lease

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"
)

// A datagram begins with a byte whose high half is wireVersion (peer reports have 1 there, the
// membership 2) and whose low half is the kind. All numbers are varints, names have their length
// before them as a byte, and a checksum (CRC-32C) of all before it stands at the end.
//
//	request:      number, command kind, role, router (name, boot, zone), token, renewals, to
//	reply:        number, boot, flags, leader, grant (role, token, renewals, transfer to, reason),
//	              refusal
//	notification: as a reply, with number 0
const wireVersion = 3

// MaxDatagramBytes is the platform's bound.
const MaxDatagramBytes = 256

const (
	checksumBytes          = 4
	kindMask               = 15
	typicalDatagram        = 96 // bytes, for which there is capacity at once
	maxUint32              = math.MaxUint32
	maxUint64       uint64 = math.MaxUint64
)

type datagramKind uint8

const (
	requestDatagram datagramKind = iota
	replyDatagram
	notificationDatagram
	datagramKinds // how many
)

// The flags of a reply.
const (
	flagOK = 1 << iota
	flagQueued
	flagNotLeader
	flagUnconfirmed
)

// Request is what a router asks the voters.
type Request struct {
	ID      uint32 // never 0
	Command Command
}

// Reply is what a voter replies to a request, or tells a router of a grant without having been
// asked: then ID is 0.
type Reply struct {
	ID        uint32
	Boot      uint32 // of the process that asked
	NotLeader bool   // the voter decides nothing; Leader does
	Leader    string // as far as known
	Result    Result // Grant without its holder
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// The errors of Decode.
var (
	errTruncated = errors.New("the datagram is cut")
	errChecksum  = errors.New("the datagram's sum is wrong")
	errVersion   = errors.New("the datagram is of another version")
	errField     = errors.New("the datagram has a field out of bounds")
)

// IsDatagram reports whether a datagram is one of this package's, by its first byte.
func IsDatagram(b []byte) bool { return len(b) > 0 && b[0]>>4 == wireVersion }

func newDatagram(kind datagramKind) []byte {
	return append(make([]byte, 0, typicalDatagram), wireVersion<<4|byte(kind))
}

func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func appendName(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// Encode returns the datagram of a request whose names have MaxNameBytes at most.
func (r *Request) Encode() []byte {
	c := &r.Command
	b := binary.AppendUvarint(newDatagram(requestDatagram), uint64(r.ID))
	b = append(b, byte(c.Kind))
	b = appendName(b, c.Role)
	b = appendName(b, c.Router.Name)
	b = binary.AppendUvarint(b, uint64(c.Router.Boot))
	b = appendName(b, c.Router.Zone)
	b = binary.AppendUvarint(b, c.Token)
	b = binary.AppendUvarint(b, c.Renewals)
	b = appendName(b, c.To)
	return appendChecksum(b)
}

// Encode returns the datagram of a reply. A refusal is cut to MaxNameBytes.
func (r *Reply) Encode() []byte {
	kind := replyDatagram
	if r.ID == 0 {
		kind = notificationDatagram
	}
	g := &r.Result.Grant
	b := binary.AppendUvarint(newDatagram(kind), uint64(r.ID))
	b = binary.AppendUvarint(b, uint64(r.Boot))
	b = append(b, r.flags())
	b = appendName(b, r.Leader)
	b = appendName(b, g.Role)
	b = binary.AppendUvarint(b, g.Token)
	b = binary.AppendUvarint(b, g.Renewals)
	b = appendName(b, g.TransferTo)
	b = appendName(b, string(g.Reason))
	refusal := string(r.Result.Refusal)
	b = appendName(b, refusal[:min(len(refusal), MaxNameBytes)])
	return appendChecksum(b)
}

func (r *Reply) flags() (flags byte) {
	if r.Result.OK {
		flags |= flagOK
	}
	if r.Result.Queued {
		flags |= flagQueued
	}
	if r.NotLeader {
		flags |= flagNotLeader
	}
	if r.Result.Grant.Unconfirmed {
		flags |= flagUnconfirmed
	}
	return flags
}

// Decode reads a datagram completely or not at all: a request or a reply.
func Decode(b []byte) (*Request, *Reply, error) {
	kind, d, err := openDatagram(b)
	if err != nil {
		return nil, nil, err
	}
	if kind == requestDatagram {
		request := decodeRequest(d)
		return request, nil, d.finish()
	}
	reply := decodeReply(d)
	if (reply.ID == 0) != (kind == notificationDatagram) {
		d.err = errField
	}
	return nil, reply, d.finish()
}

// openDatagram checks a datagram's frame, and returns its kind and a decoder of what it has.
func openDatagram(b []byte) (datagramKind, *decoder, error) {
	switch {
	case len(b) < 2+checksumBytes:
		return 0, nil, errTruncated
	case len(b) > MaxDatagramBytes:
		return 0, nil, errField
	case !IsDatagram(b) || datagramKind(b[0]&kindMask) >= datagramKinds:
		return 0, nil, errVersion
	}
	body := b[:len(b)-checksumBytes]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(body):]) {
		return 0, nil, errChecksum
	}
	return datagramKind(b[0] & kindMask), &decoder{rest: body[1:]}, nil
}

func decodeRequest(d *decoder) *Request {
	r := &Request{ID: uint32(d.uvarint(maxUint32))}
	c := &r.Command
	c.Kind = CommandKind(d.byte())
	c.Role = d.name()
	c.Router.Name = d.name()
	c.Router.Boot = uint32(d.uvarint(maxUint32))
	c.Router.Zone = d.name()
	c.Token = d.uvarint(maxUint64)
	c.Renewals = d.uvarint(maxUint64)
	c.To = d.name()
	if c.Kind > RequestTransfer || r.ID == 0 { // kinds above are the voters' own
		d.err = errField
	}
	return r
}

func decodeReply(d *decoder) *Reply {
	r := &Reply{ID: uint32(d.uvarint(maxUint32)), Boot: uint32(d.uvarint(maxUint32))}
	flags := d.byte()
	r.NotLeader = flags&flagNotLeader != 0
	r.Leader = d.name()
	r.Result.OK = flags&flagOK != 0
	r.Result.Queued = flags&flagQueued != 0
	g := &r.Result.Grant
	g.Unconfirmed = flags&flagUnconfirmed != 0
	g.Role = d.name()
	g.Token = d.uvarint(maxUint64)
	g.Renewals = d.uvarint(maxUint64)
	g.TransferTo = d.name()
	g.Reason = Reason(d.name())
	r.Result.Refusal = Refusal(d.name())
	return r
}

// decoder takes fields off a datagram. The first error stays, and later fields are zero.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) uvarint(limit uint64) uint64 {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 || n > limit {
		d.err, d.rest = errField, nil
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

func (d *decoder) byte() byte {
	if len(d.rest) == 0 {
		d.err = errField
		return 0
	}
	x := d.rest[0]
	d.rest = d.rest[1:]
	return x
}

func (d *decoder) name() string {
	n := int(d.byte())
	if n > MaxNameBytes || n > len(d.rest) {
		d.err, d.rest = errField, nil
		return ""
	}
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	return s
}

// finish returns what was wrong; a datagram that goes on after its last field is.
func (d *decoder) finish() error {
	if d.err == nil && len(d.rest) > 0 {
		d.err = errField
	}
	return d.err
}
