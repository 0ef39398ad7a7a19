package balance

// Estimates: the time of a prompt on a replica, and its work.

import (
	"math"
)

const (
	streamShare = 0.006 // of a replica's time that a stream takes
	crowding    = 0.04  // of a stream's time: what one beside costs, half to itself and half to the other
	crossBeside = 1.5   // streams beside that a crossing is worth, lest small differences send prompts far
	crossScale  = 4.0   // a crossing counts as this many times its price in missed aims
	readAgain   = 3.0   // times its reading that a prefix which is read once more costs others
	learn       = 0.1   // weight of a sample in a moving average
	slowRead    = 1e-4  // seconds to read a token, before any was seen
	slowFirst   = 0.05  // seconds to a first token with nothing to read
	surprise    = 2.0   // times more or less than believed, and
	offBy       = 0.2   // seconds off: a first token worth telling
	streamLife  = 3.0   // seconds that a stream told of lasts
)

// estimate, in seconds, adds to the first token the streams that share the steps and the price of crossing.
func (b *Balancer) estimate(q *request, r *replica) float64 {
	t, beside := b.firstToken(q, r), float64(r.streams)+r.others
	if r.Zone != b.cfg.Zone {
		t, beside = t+b.crossTime(q), beside+crossBeside
	}
	share := crowding
	if b.cfg.OneHome { // to leave a home has the prefix read once more, and kept in two places
		share = streamShare * b.slowness(r)
		t += readAgain * max(b.unreadOn(q, r)-(q.Prompt-q.Shared), 0) * r.read.slope()
	}
	return t + q.class.decode*share*beside
}

// firstToken estimates the seconds to the first token of q on r, or of a prompt with nothing to read for nil.
func (b *Balancer) firstToken(q *request, r *replica) float64 {
	slow := b.slowness(r)
	if left := b.warmth(r); r.cold && !b.fleet.Alone() {
		slow = max(slow, 1/left)
	}
	t := r.read.at(b.backlog(r)+b.unreadOn(q, r)) * slow
	// A replica that accepts and never answers looks idle: what is overdue there counts in full.
	if len(r.waiting) > 0 {
		a := r.waiting[0]
		t += max((b.now-a.sent).Seconds()-a.expected, 0)
	}
	return t
}

// unreadOn returns the tokens of q that r would have to read.
func (b *Balancer) unreadOn(q *request, r *replica) float64 {
	if q == nil {
		return 0
	}
	kept := max(min(r.kept.Get(q.prefix, r.lost), q.Shared), r.kept.Get(q.Session, r.lost))
	if q.home == r {
		kept = max(kept, q.Shared)
	}
	return max(q.Prompt-kept, 1)
}

// backlog is the unread tokens in front of a new prompt. What others told of is taken to be read steadily.
func (b *Balancer) backlog(r *replica) float64 {
	if passed := (b.now - r.toldAt).Seconds(); passed > 0 && (b.cfg.Broadcast || !b.fleet.Alone()) {
		r.told = max(r.told-passed/(r.read.slope()*b.slowness(r)), 0)
		r.others *= math.Exp(-passed / streamLife)
		r.toldAt = b.now
	}
	sum := r.told
	for _, a := range r.waiting {
		sum += a.unread
	}
	return sum
}

// wait is what counts of the first token of q on r. An idle replica is worth a try, lest a wrong estimate
// stay; but to many gateways most are idle: it counts as far as those heard of are behind, bar rare tries.
func (b *Balancer) wait(q *request, r *replica) float64 {
	switch {
	case r.streams > 0:
		return b.firstToken(q, r)
	case b.behind == 0 || b.now >= b.tryAt:
		return 0
	}
	return b.behind * b.firstToken(q, r)
}

// soonest is at most the least wait on any replica with room. It finds how far the share is behind: the mean
// wait in front of a prompt, as a part of the shortest aim.
func (b *Balancer) soonest() float64 {
	sum, heard, least := 0.0, 0.0, math.Inf(1)
	for _, r := range b.share {
		if r.State == Serving && r.ejected == 0 && (!b.fleet.Alone() || b.now < r.heard+stale) {
			sum, heard = sum+b.firstToken(nil, r)-slowFirst, heard+1
		}
	}
	b.behind = min(max(sum/max(heard, 1)/b.brief, 0), 1)
	for i := 0; i < len(b.order) && least > 0; i++ {
		switch r := b.order[i]; {
		case !b.room(r):
		case r.mine || r.streams > 0:
			least = min(least, b.wait(nil, r))
		default: // a stranger, of whom nothing is known
			least = min(least, b.behind*slowFirst)
		}
	}
	return least
}

// crossTime is the price of crossing zones in seconds of q's aim.
func (b *Balancer) crossTime(q *request) float64 {
	return b.cfg.CrossZonePrice * crossScale * q.aim.Seconds()
}

// workOf is the cost of a request in seconds of a replica's time.
func (b *Balancer) workOf(q *request) float64 {
	if q.Hint > 0 {
		return q.Hint.Seconds()
	}
	return q.Prompt*slowRead + q.class.decode*streamShare
}

// workOn adds the reading of a prefix that r isn't known to keep, as one fresh from its start seldom does.
func (b *Balancer) workOn(q *request, r *replica) float64 {
	return b.workOf(q) + max(b.unreadOn(q, r)-(q.Prompt-q.Shared), 0)*r.read.slope()
}

// observe takes in that a first token took so long, of what was expected. What surprises is told.
func (b *Balancer) observe(r *replica, took, expected float64) {
	usual, ratio := b.slowness(r)*expected, took/expected
	off := offBy
	if b.cfg.Broadcast {
		off = inPart * b.brief
	}
	if math.Abs(took-usual) > off && (took > surprise*usual || took*surprise < usual) {
		b.tell(r.hearers, PeerReport{Tag: tag(r), Slow: ratio})
	}
	r.slow.See(b.now, min(max(ratio, 0.2), 20), 2*learn)
}

// slowness is what r took over what was expected, fading to 1. Hearsay counts more the older the own view is.
func (b *Balancer) slowness(r *replica) float64 { return r.slow.At(b.now) }
