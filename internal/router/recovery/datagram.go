package recovery

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"
)

// wireVersion is the high half of the first byte of a recovery datagram. Datagrams of peer reports
// have 1 there, those of the membership 2 and those of leases 3. The low half is the kind. The
// sender's name follows, after one byte for its length. A checksum (CRC-32C) of all bytes before it
// ends the datagram. The fields between name and checksum depend on the kind; numbers are varints
// unless a size is given, and fields of a fixed size are big-endian:
//
//	announcement, with or without a request for a reply: boot number, uptime in ms, version of the
//	       list, stage, and the two parts of the measure in us; eight bytes for the list's source
//	query: one byte for the number of tags, four bytes for each tag
//	reply: version of the list, number of hosts in the query; eight bytes for the list's source, four
//	       for the first tag of the query; one byte for the number of excluded hosts, four for the
//	       tag of each
const wireVersion = 4

// The kinds of datagrams.
const (
	kindAnnouncement = iota
	kindAnnouncementRequest
	kindQuery
	kindReply
)

const (
	checksumBytes = 4
	kindMask      = 15
	maxSpan       = 1 << 40 // maximum of an encoded duration, in ms or us; 34 years in ms
	maxVersion    = 1 << 62
	maxUint32     = 1<<32 - 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errDatagram = errors.New("malformed recovery datagram")

// IsDatagram reports whether the first byte of a datagram marks it as one of this package.
func IsDatagram(b []byte) bool { return len(b) > 0 && b[0]>>4 == wireVersion }

// Encode returns the datagram of an announcement.
func (a *Announcement) Encode() []byte {
	kind := byte(kindAnnouncement)
	if a.WantsReply {
		kind = kindAnnouncementRequest
	}
	b := newDatagram(kind, a.From)
	b = binary.AppendUvarint(b, uint64(a.Boot))
	b = binary.AppendUvarint(b, uint64(max(a.Uptime, 0)/time.Millisecond))
	b = binary.AppendUvarint(b, uint64(max(a.ListVersion, 0)))
	b = binary.AppendUvarint(b, uint64(a.Stage))
	b = binary.AppendUvarint(b, uint64(max(a.Measure.HostWork, 0)/time.Microsecond))
	b = binary.AppendUvarint(b, uint64(max(a.Measure.RequestWork, 0)/time.Microsecond))
	b = binary.BigEndian.AppendUint64(b, a.ListSource)
	return appendChecksum(b)
}

// Encode returns the datagram of a query, which has at most MaxTags tags.
func (q *HostQuery) Encode() []byte {
	return appendChecksum(appendTags(newDatagram(kindQuery, q.From), q.Tags))
}

// Encode returns the datagram of a reply.
func (r *HostReply) Encode() []byte {
	b := newDatagram(kindReply, r.From)
	b = binary.AppendUvarint(b, uint64(max(r.ListVersion, 0)))
	b = binary.AppendUvarint(b, uint64(r.TagCount))
	b = binary.BigEndian.AppendUint64(b, r.ListSource)
	b = binary.BigEndian.AppendUint32(b, r.FirstTag)
	return appendChecksum(appendTags(b, r.Excluded))
}

func newDatagram(kind byte, from string) []byte {
	return append([]byte{wireVersion<<4 | kind, byte(len(from))}, from...)
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

// Decode returns the content of a datagram as an event. It returns an error for a datagram that is
// malformed in any part.
func Decode(b []byte) (Event, error) {
	kind, from, d, err := openDatagram(b)
	if err != nil {
		return nil, err
	}
	var e Event
	switch kind {
	case kindAnnouncement, kindAnnouncementRequest:
		a := d.announcement()
		a.From, a.WantsReply = from, kind == kindAnnouncementRequest
		e = AnnouncementReceived{a}
	case kindQuery:
		e = QueryReceived{HostQuery{from, d.tags()}}
	case kindReply:
		r := d.reply()
		r.From = from
		e = ReplyReceived{r}
	default:
		return nil, errDatagram
	}
	if d.failed || len(d.rest) != 0 {
		return nil, errDatagram
	}
	return e, nil
}

// openDatagram checks the size, checksum and sender's name of a datagram. It returns the kind, the
// sender's name and a decoder for the remaining fields.
func openDatagram(b []byte) (kind byte, from string, d *decoder, err error) {
	if len(b) < 2+checksumBytes || len(b) > MaxDatagramBytes || !IsDatagram(b) {
		return 0, "", nil, errDatagram
	}
	body := b[:len(b)-checksumBytes]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(body):]) {
		return 0, "", nil, errDatagram
	}
	n := int(body[1])
	if n == 0 || n > MaxNameBytes || len(body) < 2+n {
		return 0, "", nil, errDatagram
	}
	return body[0] & kindMask, string(body[2 : 2+n]), &decoder{rest: body[2+n:]}, nil
}

// decoder reads the fields of a datagram in their order. After a field that is missing or out of
// range, failed is true and later fields are zero.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) announcement() (a Announcement) {
	a.Boot = uint32(d.uvarint(maxUint32))
	a.Uptime = time.Duration(d.uvarint(maxSpan)) * time.Millisecond
	a.ListVersion = int64(d.uvarint(maxVersion))
	a.Stage = Stage(d.uvarint(uint64(Recovered)))
	a.Measure.HostWork = time.Duration(d.uvarint(maxSpan)) * time.Microsecond
	a.Measure.RequestWork = time.Duration(d.uvarint(maxSpan)) * time.Microsecond
	a.ListSource = binary.BigEndian.Uint64(d.bytes(8))
	return a
}

func (d *decoder) reply() (r HostReply) {
	r.ListVersion = int64(d.uvarint(maxVersion))
	r.TagCount = int(d.uvarint(MaxTags))
	r.ListSource = binary.BigEndian.Uint64(d.bytes(8))
	r.FirstTag = d.tag()
	r.Excluded = d.tags()
	return r
}

func (d *decoder) uvarint(limit uint64) uint64 {
	x, size := binary.Uvarint(d.rest)
	if size <= 0 || x > limit {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[size:]
	return x
}

func (d *decoder) bytes(n int) []byte {
	if len(d.rest) < n {
		d.failed, d.rest = true, nil
		return make([]byte, n)
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) tag() uint32 { return binary.BigEndian.Uint32(d.bytes(4)) }

func (d *decoder) tags() (all []uint32) {
	n := int(d.bytes(1)[0])
	if n > MaxTags {
		d.failed = true
		return nil
	}
	for range n {
		all = append(all, d.tag())
	}
	return all
}
