package lease

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// Datagrams between routers and voters. The high half of the first byte is version; peer reports have 1, the fleet view 2. All numbers
// are varints, names have their length before them, and a sum stands behind.
//
//	request:  kind, number, command kind, duty, who (name, boot, zone), token, renewals, to
//	reply:    kind, number, boot, flags, leader, grant, why
//	push:     kind, 0, boot, flags, leader, grant
const wireVersion = 3

// MostDatagram is the platform's bound, in bytes.
const MostDatagram = 256

type datagramKind uint8

const (
	request datagramKind = iota
	reply
	notification
	datagramKinds
)

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

// Reply is what it is told, or what it is told unasked: then ID is 0.
type Reply struct {
	ID        uint32
	Boot      uint32 // of the process that asked
	NotLeader bool   // who answers decides nothing; Leader does
	Leader    string // as far as known
	Result    Result // Grant without its holder
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errTruncated = errors.New("the datagram is cut")
	errChecksum  = errors.New("the datagram's sum is wrong")
	errVersion   = errors.New("the datagram is of another version")
	errField     = errors.New("the datagram has a field out of bounds")
)

// IsOurs tells whether a datagram is one of this package's, by its first byte.
func IsDatagram(b []byte) bool { return len(b) > 0 && b[0]>>4 == wireVersion }

func newDatagram(d datagramKind) []byte { return append(make([]byte, 0, 96), wireVersion<<4|byte(d)) }

func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func appendName(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// Append returns the datagram of a request. Names longer than MostName are no request.
func (r *Request) Encode() []byte {
	c := &r.Command
	b := binary.AppendUvarint(newDatagram(request), uint64(r.ID))
	b = appendName(append(b, byte(c.Kind)), c.Role)
	b = binary.AppendUvarint(appendName(b, c.Router.Name), uint64(c.Router.Boot))
	b = binary.AppendUvarint(appendName(b, c.Router.Zone), c.Token)
	return appendChecksum(appendName(binary.AppendUvarint(b, c.Renewals), c.To))
}

// Append returns the datagram of a reply.
func (r *Reply) Encode() []byte {
	d, flags := reply, byte(0)
	if r.ID == 0 {
		d = notification
	}
	for _, x := range []struct {
		on   bool
		flag byte
	}{{r.Result.OK, flagOK}, {r.Result.Queued, flagQueued}, {r.NotLeader, flagNotLeader}, {r.Result.Grant.Unconfirmed, flagUnconfirmed}} {
		if x.on {
			flags |= x.flag
		}
	}
	g := &r.Result.Grant
	b := binary.AppendUvarint(binary.AppendUvarint(newDatagram(d), uint64(r.ID)), uint64(r.Boot))
	b = appendName(appendName(append(b, flags), r.Leader), g.Role)
	b = binary.AppendUvarint(binary.AppendUvarint(b, g.Token), g.Renewals)
	b = appendName(appendName(b, g.TransferTo), string(g.Reason))
	return appendChecksum(appendName(b, r.Result.Refusal[:min(len(r.Result.Refusal), MaxNameBytes)]))
}

// reader takes fields off a datagram; the first that is wrong sticks.
type decoder struct {
	rest []byte
	err  error
}

func (r *decoder) uvarint(most uint64) uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > most {
		r.err, r.rest = errField, nil
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *decoder) byte() byte {
	if len(r.rest) == 0 {
		r.err = errField
		return 0
	}
	x := r.rest[0]
	r.rest = r.rest[1:]
	return x
}

func (r *decoder) name() string {
	n := int(r.byte())
	if n > MaxNameBytes || n > len(r.rest) {
		r.err, r.rest = errField, nil
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

func openDatagram(b []byte) (datagramKind, *decoder, error) {
	switch {
	case len(b) < 2+4:
		return 0, nil, errTruncated
	case len(b) > MostDatagram:
		return 0, nil, errField
	case !IsDatagram(b) || datagramKind(b[0]&15) >= datagramKinds:
		return 0, nil, errVersion
	}
	body := b[:len(b)-4]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(body):]) {
		return 0, nil, errChecksum
	}
	return datagramKind(b[0] & 15), &decoder{rest: body[1:]}, nil
}

const (
	maxUint32 = 1<<32 - 1
	maxUint64 = 1<<64 - 1
)

// Read reads a datagram whole or not at all: a request or a reply.
func Decode(b []byte) (*Request, *Reply, error) {
	d, r, err := openDatagram(b)
	if err != nil {
		return nil, nil, err
	}
	if d == request {
		q := &Request{ID: uint32(r.uvarint(maxUint32))}
		c := &q.Command
		c.Kind, c.Role = CommandKind(r.byte()), r.name()
		c.Router = Router{Name: r.name(), Boot: uint32(r.uvarint(maxUint32))}
		c.Router.Zone = r.name()
		c.Token, c.Renewals, c.To = r.uvarint(maxUint64), r.uvarint(maxUint64), r.name()
		if c.Kind > RequestTransfer || q.ID == 0 { // what follows is the voters' own
			r.err = errField
		}
		return q, nil, r.end()
	}
	p := &Reply{ID: uint32(r.uvarint(maxUint32)), Boot: uint32(r.uvarint(maxUint32))}
	flags := r.byte()
	p.Leader, p.NotLeader = r.name(), flags&flagNotLeader != 0
	p.Result = Result{OK: flags&flagOK != 0, Queued: flags&flagQueued != 0, Grant: Grant{Unconfirmed: flags&flagUnconfirmed != 0}}
	g := &p.Result.Grant
	g.Role, g.Token, g.Renewals, g.TransferTo, g.Reason = r.name(), r.uvarint(maxUint64), r.uvarint(maxUint64), r.name(), Reason(r.name())
	p.Result.Refusal = r.name()
	if (p.ID == 0) != (d == notification) {
		r.err = errField
	}
	return nil, p, r.end()
}

func (r *decoder) end() error {
	if r.err == nil && len(r.rest) > 0 {
		r.err = errField
	}
	return r.err
}
