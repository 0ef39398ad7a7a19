package lease

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"
)

// wireVersion is the upper half of the first byte of a datagram. Peer reports have 1 there, and
// datagrams of the membership have 2. The lower half of the byte is the kind. The fields of the kind
// follow: the command kind and the flags are one byte each, other numbers are varints, and a byte
// with its length precedes each name. The last 4 bytes are the CRC-32C checksum of all bytes before
// them.
//
//	request:      ID, command kind, role, router (name, boot, zone), token, renewals, to
//	reply:        ID, boot, flags, leader, grant (role, token, renewals, transfer to, reason),
//	              refusal
//	notification: the fields of a reply, with ID 0
const wireVersion = 3

// MaxDatagramBytes is the platform's limit on the size of a datagram.
const MaxDatagramBytes = 256

const (
	checksumBytes          = 4
	kindMask               = 15
	typicalDatagram        = 96 // initial capacity, in bytes, of an encoded datagram
	maxUint32              = math.MaxUint32
	maxUint64       uint64 = math.MaxUint64
)

type datagramKind uint8

const (
	requestDatagram datagramKind = iota
	replyDatagram
	notificationDatagram
	datagramKinds // number of kinds
)

// The flags of a reply or notification.
const (
	flagOK = 1 << iota
	flagQueued
	flagNotLeader
	flagUnconfirmed
)

// Request is a router's request to the voters to agree on a command.
type Request struct {
	ID      uint32 // never 0
	Command Command
}

// Reply is a voter's reply to a request. A reply with ID 0 is a notification: a voter sends it
// without a request, to tell a router of its grant.
type Reply struct {
	ID        uint32 // of the request; 0 for a notification
	Boot      uint32 // boot number of the process that the reply is for
	NotLeader bool   // the voter is not the leader, or is overloaded, and did not serve the request
	Leader    string // the leader's name; empty if the voter does not know it
	Result    Result // its Grant has no Holder
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// The errors of Decode.
var (
	errTruncated = errors.New("datagram is truncated")
	errChecksum  = errors.New("datagram has a wrong checksum")
	errVersion   = errors.New("datagram has an unknown version or kind")
	errField     = errors.New("datagram is too long or has an invalid field")
)

// IsDatagram reports whether the first byte of a datagram has this package's wireVersion.
func IsDatagram(b []byte) bool { return len(b) > 0 && b[0]>>4 == wireVersion }

func newDatagram(kind datagramKind) []byte {
	return append(make([]byte, 0, typicalDatagram), wireVersion<<4|byte(kind))
}

func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func appendName(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// Encode returns the datagram of a request. The names in the request must have at most MaxNameBytes.
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

// Encode returns the datagram of a reply. It truncates a refusal to MaxNameBytes.
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

// Decode decodes a datagram and returns either its request or its reply. If it returns an error, the
// caller must not use the request or reply.
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

// openDatagram checks the length, version, kind and checksum of a datagram. It returns the kind and
// a decoder of the fields.
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
	if c.Kind > RequestTransfer || r.ID == 0 { // only voters propose the kinds above RequestTransfer
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

// decoder decodes the fields of a datagram in order. After a field that is out of bounds, err is set
// and further fields are zero.
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

// finish returns the error of the decoded fields, or an error if bytes follow the last field.
func (d *decoder) finish() error {
	if d.err == nil && len(d.rest) > 0 {
		d.err = errField
	}
	return d.err
}
