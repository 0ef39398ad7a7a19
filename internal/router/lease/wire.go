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
const version = 3

// MostDatagram is the platform's bound, in bytes.
const MostDatagram = 256

type datagram uint8

const (
	request datagram = iota
	reply
	push
	datagrams
)

const (
	saysOK = 1 << iota
	saysWaits
	saysNotLeader
	saysPushed
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
	Answer    Answer // Grant without its holder
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errShort   = errors.New("the datagram is cut")
	errSum     = errors.New("the datagram's sum is wrong")
	errVersion = errors.New("the datagram is of another version")
	errField   = errors.New("the datagram has a field out of bounds")
)

// IsOurs tells whether a datagram is one of this package's, by its first byte.
func IsOurs(b []byte) bool { return len(b) > 0 && b[0]>>4 == version }

func begin(d datagram) []byte { return append(make([]byte, 0, 96), version<<4|byte(d)) }

func seal(b []byte) []byte { return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli)) }

func appendName(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// Append returns the datagram of a request. Names longer than MostName are no request.
func (r *Request) Append() []byte {
	c := &r.Command
	b := binary.AppendUvarint(begin(request), uint64(r.ID))
	b = appendName(append(b, byte(c.Kind)), c.Duty)
	b = binary.AppendUvarint(appendName(b, c.Who.Name), uint64(c.Who.Boot))
	b = binary.AppendUvarint(appendName(b, c.Who.Zone), c.Token)
	return seal(appendName(binary.AppendUvarint(b, c.Renewals), c.To))
}

// Append returns the datagram of a reply.
func (r *Reply) Append() []byte {
	d, flags := reply, byte(0)
	if r.ID == 0 {
		d = push
	}
	for _, x := range []struct {
		on   bool
		flag byte
	}{{r.Answer.OK, saysOK}, {r.Answer.Waits, saysWaits}, {r.NotLeader, saysNotLeader}, {r.Answer.Grant.Pushed, saysPushed}} {
		if x.on {
			flags |= x.flag
		}
	}
	g := &r.Answer.Grant
	b := binary.AppendUvarint(binary.AppendUvarint(begin(d), uint64(r.ID)), uint64(r.Boot))
	b = appendName(appendName(append(b, flags), r.Leader), g.Duty)
	b = binary.AppendUvarint(binary.AppendUvarint(b, g.Token), g.Renewals)
	b = appendName(appendName(b, g.Wish), string(g.Why))
	return seal(appendName(b, r.Answer.Why[:min(len(r.Answer.Why), MostName)]))
}

// reader takes fields off a datagram; the first that is wrong sticks.
type reader struct {
	b   []byte
	err error
}

func (r *reader) number(most uint64) uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 || n > most {
		r.err, r.b = errField, nil
		return 0
	}
	r.b = r.b[size:]
	return n
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.err = errField
		return 0
	}
	x := r.b[0]
	r.b = r.b[1:]
	return x
}

func (r *reader) name() string {
	n := int(r.byte())
	if n > MostName || n > len(r.b) {
		r.err, r.b = errField, nil
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

func open(b []byte) (datagram, *reader, error) {
	switch {
	case len(b) < 2+4:
		return 0, nil, errShort
	case len(b) > MostDatagram:
		return 0, nil, errField
	case !IsOurs(b) || datagram(b[0]&15) >= datagrams:
		return 0, nil, errVersion
	}
	body := b[:len(b)-4]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(body):]) {
		return 0, nil, errSum
	}
	return datagram(b[0] & 15), &reader{b: body[1:]}, nil
}

const (
	most32 = 1<<32 - 1
	most64 = 1<<64 - 1
)

// Read reads a datagram whole or not at all: a request or a reply.
func Read(b []byte) (*Request, *Reply, error) {
	d, r, err := open(b)
	if err != nil {
		return nil, nil, err
	}
	if d == request {
		q := &Request{ID: uint32(r.number(most32))}
		c := &q.Command
		c.Kind, c.Duty = Kind(r.byte()), r.name()
		c.Who = Router{Name: r.name(), Boot: uint32(r.number(most32))}
		c.Who.Zone = r.name()
		c.Token, c.Renewals, c.To = r.number(most64), r.number(most64), r.name()
		if c.Kind > Wish || q.ID == 0 { // what follows is the voters' own
			r.err = errField
		}
		return q, nil, r.end()
	}
	p := &Reply{ID: uint32(r.number(most32)), Boot: uint32(r.number(most32))}
	flags := r.byte()
	p.Leader, p.NotLeader = r.name(), flags&saysNotLeader != 0
	p.Answer = Answer{OK: flags&saysOK != 0, Waits: flags&saysWaits != 0, Grant: Grant{Pushed: flags&saysPushed != 0}}
	g := &p.Answer.Grant
	g.Duty, g.Token, g.Renewals, g.Wish, g.Why = r.name(), r.number(most64), r.number(most64), r.name(), Why(r.name())
	p.Answer.Why = r.name()
	if (p.ID == 0) != (d == push) {
		r.err = errField
	}
	return nil, p, r.end()
}

func (r *reader) end() error {
	if r.err == nil && len(r.b) > 0 {
		r.err = errField
	}
	return r.err
}
