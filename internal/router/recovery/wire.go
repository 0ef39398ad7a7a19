package recovery

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"
)

// A datagram is: version in the high half of the first byte (peer reports have 1, the fleet view 2, duties 3) and what it is in the low one, the
// router's name with its length before it, what follows, and a sum.
//
//	word, 0, and one that asks, 1: varints of boot, time up in milliseconds, the list's version, the stage, and microseconds of the two
//	                               parts of the measure; eight bytes for the list's source
//	question, 2: how many tags, four bytes each
//	reply, 3: varints of the list's version and of how many it was asked about; eight bytes for the list's source, four for the first tag of the
//	          question; how many tags get nothing, four bytes each
const wireVersion = 4

const (
	kindAnnouncement = iota
	kindAnnouncementRequest
	kindQuery
	kindReply
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errDatagram = errors.New("the datagram is no word of a router that comes back")

// IsOurs tells whether a datagram is one of this package's, by its first byte.
func IsDatagram(b []byte) bool { return len(b) > 0 && b[0]>>4 == wireVersion }

// Append returns the datagram of a word.
func (w *Announcement) Encode() []byte {
	what := byte(kindAnnouncement)
	if w.WantsReply {
		what = kindAnnouncementRequest
	}
	b := newDatagram(what, w.From)
	for _, n := range []uint64{uint64(w.Boot), uint64(max(w.Uptime, 0) / time.Millisecond), uint64(max(w.ListVersion, 0)), uint64(w.Stage),
		uint64(max(w.Measure.HostWork, 0) / time.Microsecond), uint64(max(w.Measure.RequestWork, 0) / time.Microsecond)} {
		b = binary.AppendUvarint(b, n)
	}
	return appendChecksum(binary.BigEndian.AppendUint64(b, w.ListSource))
}

func newDatagram(what byte, from string) []byte {
	return append([]byte{wireVersion<<4 | what, byte(len(from))}, from...)
}

func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func appendTags(b []byte, tags []uint32) []byte {
	b = append(b, byte(len(tags)))
	for _, t := range tags {
		b = binary.BigEndian.AppendUint32(b, t)
	}
	return b
}

// Append returns the datagram of a question of MostTags at most.
func (q *HostQuery) Encode() []byte {
	return appendChecksum(appendTags(newDatagram(kindQuery, q.From), q.Tags))
}

// Append returns the datagram of a reply.
func (r *HostReply) Encode() []byte {
	b := binary.AppendUvarint(newDatagram(kindReply, r.From), uint64(max(r.ListVersion, 0)))
	b = binary.AppendUvarint(b, uint64(r.TagCount))
	b = binary.BigEndian.AppendUint64(b, r.ListSource)
	return appendChecksum(appendTags(binary.BigEndian.AppendUint32(b, r.FirstTag), r.Excluded))
}

// Read reads a datagram whole or not at all, as the event that it is.
func Decode(b []byte) (Event, error) {
	if len(b) < 2+4 || len(b) > MaxDatagramBytes || !IsDatagram(b) {
		return nil, errDatagram
	}
	body, sum := b[:len(b)-4], binary.BigEndian.Uint32(b[len(b)-4:])
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, errDatagram
	}
	n := int(body[1])
	if n == 0 || n > MaxNameBytes || len(body) < 2+n {
		return nil, errDatagram
	}
	from := string(body[2 : 2+n])
	r := decoder{rest: body[2+n:]}
	var e Event
	switch what := body[0] & 15; what {
	case kindAnnouncement, kindAnnouncementRequest:
		const most = 1 << 40 // milliseconds: 34 years
		w := Announcement{WantsReply: what == kindAnnouncementRequest, From: from, Boot: uint32(r.uvarint(1<<32 - 1)), Uptime: time.Duration(r.uvarint(most)) * time.Millisecond,
			ListVersion: int64(r.uvarint(1 << 62)), Stage: Stage(r.uvarint(uint64(Recovered)))}
		w.Measure = Measure{time.Duration(r.uvarint(most)) * time.Microsecond, time.Duration(r.uvarint(most)) * time.Microsecond}
		w.ListSource = r.long()
		e = AnnouncementReceived{w}
	case kindQuery:
		e = QueryReceived{HostQuery{from, r.tags()}}
	case kindReply:
		x := HostReply{From: from, ListVersion: int64(r.uvarint(1 << 62)), TagCount: int(r.uvarint(MaxTags)), ListSource: r.long(), FirstTag: r.short()}
		x.Excluded = r.tags()
		e = ReplyReceived{x}
	default:
		return nil, errDatagram
	}
	if r.failed || len(r.rest) != 0 {
		return nil, errDatagram
	}
	return e, nil
}

// reader takes what a datagram is made of from its front; bad tells that something was not there.
type decoder struct {
	rest   []byte
	failed bool
}

func (r *decoder) uvarint(most uint64) uint64 {
	x, size := binary.Uvarint(r.rest)
	if size <= 0 || x > most {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return x
}

func (r *decoder) bytes(n int) []byte {
	if len(r.rest) < n {
		r.failed, r.rest = true, nil
		return make([]byte, n)
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *decoder) long() uint64  { return binary.BigEndian.Uint64(r.bytes(8)) }
func (r *decoder) short() uint32 { return binary.BigEndian.Uint32(r.bytes(4)) }

func (r *decoder) tags() (all []uint32) {
	n := int(r.bytes(1)[0])
	if n > MaxTags {
		r.failed = true
		return nil
	}
	for range n {
		all = append(all, r.short())
	}
	return all
}
