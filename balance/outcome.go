package balance

// What came of attempts: first tokens, outcomes and reports of load.

import "slices"

const slots = 6.0 // streams of others on a full replica, where only the share in use is reported: a guess

func (b *Balancer) takeFirst(a *attempt) {
	q, r := a.req, a.rep
	a.began = b.now
	r.stopWaiting(a)
	b.close(q)
	b.well(r)
	took := (b.now - a.sent).Seconds()
	b.observe(r, took, r.read.at(a.ahead))
	r.read.Add(a.ahead, took-slowFirst) // a start fitted as well takes the blame for tokens seen late
	if q.class.Streamed {
		b.judge(a)
	}
}

func (r *replica) stopWaiting(a *attempt) {
	r.waiting = slices.DeleteFunc(r.waiting, func(o *attempt) bool { return o == a })
}

func (b *Balancer) takeOutcome(a *attempt, ev Outcome) {
	q, r := a.req, a.rep
	a.over = true
	a.arrived = ev.Result != NoConnection && ev.Result != NotSent
	a.ran = a.arrived && ev.Result != Full
	q.out--
	r.streams--
	r.stopWaiting(a)
	b.report(r, ev.Load)
	switch ev.Result {
	case OK:
		b.well(r)
		b.takeServed(a)
	case Full:
		b.cutCap(a, 1)
	case NoConnection, Reset, TimedOut, Error:
		b.cutCap(a, 1)
		if took := (b.now - a.sent).Seconds(); ev.Result == TimedOut && a.began == 0 && !b.fleet.Alone() {
			b.observe(r, max(took, r.read.at(a.ahead)), r.read.at(a.ahead))
		}
		b.fail(r, ev.Result)
	}
	if !a.ran {
		r.kept.Drop(q.prefix, q.Session)
	}
	switch {
	case ev.Final || q.closed:
		b.close(q)
	case q.out > 0:
	case b.now < b.spent(q) && b.anyUse(q) && b.mayRepeat(q):
		b.hold(q)
	default:
		b.answer(q)
	}
}

func (b *Balancer) takeServed(a *attempt) {
	b.countWork(a.req, a.rep)
	if !a.req.class.Streamed {
		b.judge(a)
	}
	a.req.class.took(b.now - max(a.began, a.sent))
}

// report takes in what a replica says of its load; what is not this gateway's own is the others'.
func (b *Balancer) report(r *replica, l *Load) {
	if l == nil {
		return
	}
	r.heard = b.now
	if l.Streams >= 0 {
		r.others = max(l.Streams-float64(r.streams), 0)
	} else if l.Busy >= 0 {
		r.others = max(l.Busy*slots-float64(r.streams), 0)
	}
	b.sighted = b.sighted || l.Unread >= 0 // the number is old: by it all gateways would go to one replica
}

func (b *Balancer) takeProbed(r *replica, ev Probed) {
	r.probing, r.heard = false, b.now
	b.report(r, ev.Load)
	if ev.Result == NoConnection || ev.Result == TimedOut {
		b.fail(r, ev.Result)
	}
}
