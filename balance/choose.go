package balance

// The choice of a replica: the better of two sampled ones with room.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"reachspread/internal/outlier"
)

const (
	spread   = 1.5                   // times the homes a prefix would need if all were alike and evenly in use
	unseen   = 10.0                  // prompts of other prefixes are taken as seen at the start
	stale    = time.Second           // a report older than this tells nothing
	askWait  = 25 * time.Millisecond // for probes, before a prompt leaves
	inPart   = 0.25                  // of the shortest aim: prompts that are read sooner are not all told
	tryAgain = time.Second           // at the soonest, against its estimate, an idle replica
)

// choose returns the better of two sampled replicas with room, or nil if none has any.
func (b *Balancer) choose(q *request) *replica {
	local := !(b.cfg.OneHome && q.Prefix != "") && !b.sighted || b.crossTime(q) > q.Shared*slowRead
	pool, near := b.pool[:0], b.near[:0]
	for _, r := range b.share {
		if b.room(r) && b.mayUse(q, r) {
			pool = append(pool, r)
			if local && r.Zone == b.cfg.Zone {
				near = append(near, r)
			}
		}
	}
	pool, near = outlier.Trusted(pool, doubts, b.now), outlier.Trusted(near, doubts, b.now)
	sharing := cmp.Or(len(near), len(pool))
	shut := func(r *replica) bool { return !b.coldRoom(q, r, sharing) }
	pool, near = slices.DeleteFunc(pool, shut), slices.DeleteFunc(near, shut)
	sample := append(b.homes(q, near), b.homes(q, pool)...)
	b.pool, b.near = pool, near
	if len(sample) == 0 {
		sample = b.strangers(q)
	}
	return b.better(q, b.ask(q, sample))
}

// homes returns samples of pool, alike for all gateways. The homes of a prefix are the first in its
// rendezvous order, as many as its share of the prompts asks for, so it is kept in few places yet overruns
// none. A session has two of these, or two of all. Where a prefix has one home all are sampled: mostly two.
func (b *Balancer) homes(q *request, pool []*replica) []*replica {
	if q.Prefix == "" {
		return ranked(q.keys[1], pool, 2)
	}
	part := b.prompts.Share(q.prefix, unseen)
	homes := ranked(q.keys[0], pool, max(int(math.Ceil(spread*part*float64(len(pool)))), 2))
	if b.cfg.OneHome && len(homes) > 0 {
		q.home = homes[0]
		return homes
	}
	return ranked(q.keys[1], homes, 2)
}

// strangers returns two replicas with room beyond the own share.
func (b *Balancer) strangers(q *request) (sample []*replica) {
	for _, r := range b.order {
		if !r.mine && b.room(r) && b.mayUse(q, r) && b.coldRoom(q, r, 0) {
			sample = append(sample, r)
		}
	}
	return ranked(q.keys[1], sample, 2)
}

// better returns the one of a sample with the lowest estimate, or nil.
func (b *Balancer) better(q *request, sample []*replica) *replica {
	if len(sample) == 0 {
		return nil
	}
	return slices.MinFunc(sample, func(r, o *replica) int {
		return cmp.Compare(b.estimate(q, r), b.estimate(q, o))
	})
}

// ask probes the replicas of a sample whose last report is old: of many gateways each hears of a replica too
// seldom to compare two. The prompt waits for the answers, but not for long.
func (b *Balancer) ask(q *request, sample []*replica) []*replica {
	for _, r := range sample {
		if b.cfg.MayProbe && b.fleet.Alone() && !r.probing && b.now >= r.heard+stale {
			r.probing = true
			b.do(Probe{r.Replica})
		}
		if r.probing && q.askedTo == 0 {
			q.askedTo = b.now + askWait
		}
	}
	q.asked = sample
	return sample
}

// asking tells that q waits for the answers of its samples.
func (b *Balancer) asking(q *request) bool {
	return b.now < q.askedTo && slices.ContainsFunc(q.asked, func(r *replica) bool { return r.probing })
}

func (b *Balancer) send(q *request, r *replica) {
	a := &attempt{req: q, rep: r, sent: b.now, ran: true}
	a.unread = b.unreadOn(q, r)
	a.ahead = b.backlog(r) + a.unread
	a.expected = b.firstToken(q, r)
	q.attempts = append(q.attempts, a)
	if r.streams == 0 { // the next try against an estimate comes the later the more gateways may make one
		b.tryAt = b.now + max(tryAgain, longEject*time.Duration(b.living)/time.Duration(max(b.warm, 1)))
	}
	q.out++
	r.streams++
	r.waiting = append(r.waiting, a)
	r.credit -= b.workOn(q, r)
	r.kept.Put(q.prefix, b.now, q.Shared)
	r.kept.Put(q.Session, b.now, q.Prompt)
	b.do(Send{ID: q.ID, Replica: r.Replica})
	told := a.unread
	if least := inPart * b.brief / r.read.slope(); told < least && !r.cold && !b.cfg.Broadcast {
		if told < least*b.rng.Float64() {
			return
		}
		told = least // now and then, for all the small ones: the sum stays right
	}
	to := r.hearers
	if r.cold {
		to = r.sharers // a view may be wrong, and a budget that is spent unheard is spent twice
	}
	b.tell(to, PeerReport{Tag: tag(r), Tokens: told, Prefix: q.prefixTag()})
}
