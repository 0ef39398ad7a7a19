package faults

import (
	"math/rand/v2"
	"time"
)

// Condition is the combined effect of the active faults on one direction of a link. Loss, Duplicate,
// Reorder, Clip and Flip are probabilities. The zero value is a link without faults.
type Condition struct {
	Loss, Duplicate, Reorder, Clip, Flip float64
	Delay, Jitter                        time.Duration
	DuplicateBy, ReorderBy               time.Duration
	Blackholed                           bool
}

// minDuplicateBy is the smallest value of Condition.DuplicateBy while datagrams are duplicated. It
// applies if the schedule states no longer delay for a second copy.
const minDuplicateBy = 10 * time.Millisecond

// ConditionOf combines the active faults that affect messages from one end to another.
func ConditionOf(on []*Injection, from, to End) (c Condition) {
	join := func(a *float64, b float64) { *a = 1 - (1-*a)*(1-b) }
	for _, s := range on {
		if !s.Affects(from, to) {
			continue
		}
		switch s.Kind {
		case Loss:
			join(&c.Loss, s.Share)
		case Delay:
			c.Delay += s.Fault.Delay
			c.Jitter += s.Jitter
		case Duplicate:
			join(&c.Duplicate, s.Share)
			c.DuplicateBy = max(c.DuplicateBy, s.Fault.Delay, minDuplicateBy)
		case Reorder:
			join(&c.Reorder, s.Share)
			c.ReorderBy = max(c.ReorderBy, s.Fault.Delay)
		case Truncate:
			join(&c.Clip, s.Share)
		case Flip:
			join(&c.Flip, s.Share)
		case Blackhole, Partition:
			c.Blackholed = true
		}
	}
	return c
}

// Link draws what happens to the datagrams and chunks of one direction of a link.
type Link struct {
	Condition
	rng *rand.Rand
}

// NewLink returns a link without faults. Each direction of each link needs a different number, so that
// each draws different random numbers from the seed.
func NewLink(seed, number uint64) *Link {
	return &Link{rng: rand.New(rand.NewPCG(seed, 0x117c<<32|number))}
}

// Copy is one copy of a datagram that arrives.
type Copy struct {
	After time.Duration // delay until it arrives
	Bytes int           // number of the datagram's leading bytes that arrive
	Flip  int           // index of the flipped bit, -1 for none
}

// Pass draws which copies of a datagram with the given number of bytes arrive (none, one or two) and
// appends them to the slice to.
func (l *Link) Pass(bytes int, to []Copy) []Copy {
	if l.Blackholed || l.Loss > 0 && l.rng.Float64() < l.Loss {
		return to
	}
	to = append(to, l.copy(bytes))
	if l.Duplicate > 0 && l.rng.Float64() < l.Duplicate {
		again := l.copy(bytes)
		again.After += l.upTo(l.DuplicateBy)
		to = append(to, again)
	}
	return to
}

func (l *Link) copy(bytes int) Copy {
	c := Copy{After: l.Delay + l.upTo(l.Jitter), Bytes: bytes, Flip: -1}
	if l.Reorder > 0 && l.rng.Float64() < l.Reorder {
		c.After += l.upTo(l.ReorderBy)
	}
	if bytes > 0 && l.Clip > 0 && l.rng.Float64() < l.Clip {
		c.Bytes = l.rng.IntN(bytes)
	}
	if c.Bytes > 0 && l.Flip > 0 && l.rng.Float64() < l.Flip {
		c.Flip = l.rng.IntN(8 * c.Bytes)
	}
	return c
}

// retransmission is TCP's minimum retransmission timeout. RFC 6298 says 1 s, but Linux uses 200 ms.
const retransmission = 200 * time.Millisecond

// ChunkDelay draws the delay of a chunk of a connection. It does not account for a blackhole: the
// caller holds chunks back until the blackhole ends.
func (l *Link) ChunkDelay() time.Duration {
	d := l.Delay + l.upTo(l.Jitter)
	for n := 0; n < 5 && l.Loss > 0 && l.rng.Float64() < l.Loss; n++ {
		d += retransmission << n
	}
	return d
}

func (l *Link) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(l.rng.Int64N(int64(d) + 1))
}
