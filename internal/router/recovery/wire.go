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
const version = 4

const (
	isWord = iota
	isAsking
	isQuestion
	isReply
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errWord = errors.New("the datagram is no word of a router that comes back")

// IsOurs tells whether a datagram is one of this package's, by its first byte.
func IsOurs(b []byte) bool { return len(b) > 0 && b[0]>>4 == version }

// Append returns the datagram of a word.
func (w *Word) Append() []byte {
	what := byte(isWord)
	if w.Asks {
		what = isAsking
	}
	b := head(what, w.From)
	for _, n := range []uint64{uint64(w.Boot), uint64(max(w.Up, 0) / time.Millisecond), uint64(max(w.Version, 0)), uint64(w.Stage),
		uint64(max(w.Measure.Work, 0) / time.Microsecond), uint64(max(w.Measure.MeanWork, 0) / time.Microsecond)} {
		b = binary.AppendUvarint(b, n)
	}
	return sealed(binary.BigEndian.AppendUint64(b, w.Source))
}

func head(what byte, from string) []byte {
	return append([]byte{version<<4 | what, byte(len(from))}, from...)
}

func sealed(b []byte) []byte {
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
func (q *Question) Append() []byte { return sealed(appendTags(head(isQuestion, q.From), q.Tags)) }

// Append returns the datagram of a reply.
func (r *Reply) Append() []byte {
	b := binary.AppendUvarint(head(isReply, r.From), uint64(max(r.Version, 0)))
	b = binary.AppendUvarint(b, uint64(r.Of))
	b = binary.BigEndian.AppendUint64(b, r.Source)
	return sealed(appendTags(binary.BigEndian.AppendUint32(b, r.First), r.Not))
}

// Read reads a datagram whole or not at all, as the event that it is.
func Read(b []byte) (Event, error) {
	if len(b) < 2+4 || len(b) > MostDatagram || !IsOurs(b) {
		return nil, errWord
	}
	body, sum := b[:len(b)-4], binary.BigEndian.Uint32(b[len(b)-4:])
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, errWord
	}
	n := int(body[1])
	if n == 0 || n > MostName || len(body) < 2+n {
		return nil, errWord
	}
	from := string(body[2 : 2+n])
	r := reader{rest: body[2+n:]}
	var e Event
	switch what := body[0] & 15; what {
	case isWord, isAsking:
		const most = 1 << 40 // milliseconds: 34 years
		w := Word{Asks: what == isAsking, From: from, Boot: uint32(r.number(1<<32 - 1)), Up: time.Duration(r.number(most)) * time.Millisecond,
			Version: int64(r.number(1 << 62)), Stage: Stage(r.number(uint64(Back)))}
		w.Measure = Measure{time.Duration(r.number(most)) * time.Microsecond, time.Duration(r.number(most)) * time.Microsecond}
		w.Source = r.long()
		e = Heard{w}
	case isQuestion:
		e = Asked{Question{from, r.tags()}}
	case isReply:
		x := Reply{From: from, Version: int64(r.number(1 << 62)), Of: int(r.number(MostTags)), Source: r.long(), First: r.short()}
		x.Not = r.tags()
		e = Replied{x}
	default:
		return nil, errWord
	}
	if r.bad || len(r.rest) != 0 {
		return nil, errWord
	}
	return e, nil
}

// reader takes what a datagram is made of from its front; bad tells that something was not there.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) number(most uint64) uint64 {
	x, size := binary.Uvarint(r.rest)
	if size <= 0 || x > most {
		r.bad, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return x
}

func (r *reader) bytes(n int) []byte {
	if len(r.rest) < n {
		r.bad, r.rest = true, nil
		return make([]byte, n)
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) long() uint64  { return binary.BigEndian.Uint64(r.bytes(8)) }
func (r *reader) short() uint32 { return binary.BigEndian.Uint32(r.bytes(4)) }

func (r *reader) tags() (all []uint32) {
	n := int(r.bytes(1)[0])
	if n > MostTags {
		r.bad = true
		return nil
	}
	for range n {
		all = append(all, r.short())
	}
	return all
}
