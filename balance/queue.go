package balance

// The queue of held prompts: who comes in, who leaves next, who is refused.

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"reachspread/internal/rendezvous"
)

const (
	prudent    = 0.6  // of the time left may be expected to pass before a first token: pace must hold after
	yielding   = 0.4  // of a better class's aim: a wait from which on room is left to that class
	impatience = 0.25 // more of it once a prompt was held as long as its own aim
	awayShare  = 0.2  // of the time left to its aim a refused client stays away, as longer costs it the aim
	leastAway  = 50 * time.Millisecond
	fewHeld    = 5                    // prompts are weighed at each step
	weighAgain = 3 * time.Millisecond // for each one beyond, until a prompt weighed in vain is weighed again
)

func (b *Balancer) takeArrival(ev Arrival) {
	c := b.classes[ev.Class]
	if b.requests[ev.ID] != nil {
		return
	}
	if c == nil {
		b.do(Refuse{ID: ev.ID, Away: b.cfg.MaxAway}) // nothing is known of its effect, but nothing has run either
		return
	}
	aim := c.aimOf(ev.Prompt)
	q := &request{Arrival: ev, class: c, since: b.now, deadline: b.now + ev.Left, dice: b.rng.Float64(),
		aim:  aim + time.Duration(c.AimStretch*float64(ev.Hint)),
		keys: [2]uint64{rendezvous.Hash(ev.Prefix), rendezvous.Hash(cmp.Or(ev.Session, ev.ID))}}
	q.prefix = prefixKey(q.prefixTag())
	b.requests[ev.ID] = q
	b.cfg.Retries.First(ev.Again)
	b.prompts.Add(q.prefix)
	b.hold(q)
}

func (b *Balancer) hold(q *request) {
	b.fade()
	b.held, b.asked = append(b.held, q), b.asked+b.workOf(q)
}

// dispatch lets held prompts leave, the highest response ratio first.
func (b *Balancer) dispatch() {
	ratio := make(map[*request]float64, len(b.held))
	for _, q := range b.held {
		ratio[q] = 1 + (b.now-q.since).Seconds()/((q.Prompt-q.Shared)*slowRead+q.class.decode)
	}
	sort.SliceStable(b.held, func(i, j int) bool { return ratio[b.held[i]] > ratio[b.held[j]] })
	keep, soonest := b.held[:0], b.soonest()
	for _, q := range b.held {
		switch r, late := b.weigh(q, soonest); {
		case q.closed:
		case b.now >= b.spent(q) || late && (q.class.Worth < b.most || b.most == b.least):
			b.answer(q) // but those to whom others yield are held, lest places left to them be free
		case r != nil:
			b.send(q, r)
		default:
			keep = append(keep, q)
		}
	}
	clear(b.held[len(keep):]) // lest answered requests stay reachable
	b.held = keep
}

// weigh finds a replica on which q keeps all aims; late tells that it would miss its own. Where even
// the soonest is too late, none need be chosen; the more prompts are held, the rarer is each weighed again.
func (b *Balancer) weigh(q *request, soonest float64) (r *replica, late bool) {
	if q.closed || b.now < q.again || math.IsInf(soonest, 1) {
		return nil, false
	}
	if late = b.hopeless(q, soonest); late || b.yields(q, soonest) {
		return nil, late
	}
	if r = b.choose(q); r == nil || b.asking(q) {
		return nil, false
	}
	for range 2 { // the sample's best, then the best of all with room
		wait := b.wait(q, r)
		if late = b.hopeless(q, wait); !late && !b.yields(q, wait) {
			return r, false
		}
		r = b.better(q, append(b.pool, b.strangers(q)...))
	}
	q.again = b.now + time.Duration(max(len(b.held)-fewHeld, 0))*weighAgain
	return nil, late
}

// spent returns when holding a request any longer is of no use.
func (b *Balancer) spent(q *request) time.Duration {
	end := q.deadline - 2*b.cfg.Tick
	if q.class.LateWorth == 0 {
		end = min(end, q.since+q.aim)
	}
	return end
}

// hopeless tells that q would miss its aim if it waited so long for its first token: its work would be lost.
func (b *Balancer) hopeless(q *request, wait float64) bool {
	left := (q.since + q.aim - b.now).Seconds()
	return q.class.LateWorth == 0 && q.mayRefuse() && q.out == 0 && wait > prudent*left
}

// yields tells that q, waiting so long, would take much of the time that a class of more worth has: there is
// no room, as the patient and cheap would fill the queues and slip in again whenever a place gets free.
func (b *Balancer) yields(q *request, wait float64) bool {
	part := yielding + impatience*float64(b.now-q.since)/float64(max(q.aim, 1))
	return slices.ContainsFunc(b.cfg.Classes, func(c Class) bool {
		return c.Worth > q.class.Worth && wait > part*c.aimOf(q.Prompt).Seconds()
	})
}

// answer gives the final answer of a request that nobody has served.
func (b *Balancer) answer(q *request) {
	if q.mayRefuse() {
		b.do(Refuse{ID: q.ID, Away: b.away(q)})
	} else {
		b.do(Fail{ID: q.ID})
	}
	b.close(q)
}

// away is how long a refused client should stay away: queues are shorter then, and its aim is still in reach.
func (b *Balancer) away(q *request) time.Duration {
	return min(max(time.Duration(awayShare*float64(q.since+q.aim-b.now)), leastAway), b.cfg.MaxAway)
}

// close ends what is owed for q, which is forgotten once its last attempt is over.
func (b *Balancer) close(q *request) {
	q.closed = true
	if q.out == 0 {
		delete(b.requests, q.ID)
	}
}
