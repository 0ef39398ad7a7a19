package admission

import (
	"net/netip"
	"slices"
	"time"
)

// due returns when the next connection of a holder would be due after this one, and whether this one may come: a leaky
// bucket kept as one time (the generic cell rate algorithm of ATM Forum TM 4.0), where a limiter of a library would be an
// allocation with a lock for each holder.
func (d *Controller) due(h *holder, perSecond float64) (time.Duration, bool) {
	if perSecond <= 0 {
		return h.tat, true
	}
	every := time.Duration(float64(time.Second) / perSecond)
	due := max(h.tat, d.now) + every
	return due, due-d.now <= max(time.Second, every)
}

// full tells that an unknown client finds no free place.
func (d *Controller) full() bool {
	return d.total() >= d.c.Places || d.unknown >= d.c.Places-d.c.Reserve
}

// crowded tells that no place is free and that nobody, here or on the step, was silent for long enough to make room.
// That passes in moments: the silent grow older, and who stands on the step is answered at once.
func (d *Controller) crowded() bool {
	switch {
	case !d.full() || d.oldEnough(0):
		return false
	case d.next(0) != nil:
		return true
	}
	return d.step >= d.c.Step && !d.stepGivesWay()
}

// stepGivesWay tells that somebody on the step has been silent for long enough to leave it to another.
func (d *Controller) stepGivesWay() bool {
	return d.steps.head != nil && d.now-d.steps.head.since >= young
}

// identity returns the known client of that name, nil if there is none.
func (d *Controller) identity(name string) *holder {
	if name == "" || !d.c.Identities[name] {
		return nil
	}
	return d.identities[name]
}

// opened finds a place for a new connection.
func (d *Controller) opened(e *Event) {
	address, net := d.c.Lengths.keys(e.Addr)
	a, n := d.table.get(address), d.table.get(net)
	a.pinned, n.pinned = true, true // whoever makes room may be their last connection
	if h := d.identity(e.Identity); h != nil && e.Said {
		d.welcome(e, a, n, h)
	} else {
		d.find(e, a, n)
	}
	a.pinned, n.pinned = false, false
	d.table.put(a)
	d.table.put(n)
}

// welcome lets in a known client whose request is there already. Bounds on addresses are not for it: others may be gone
// mad behind its own.
func (d *Controller) welcome(e *Event, a, n, h *holder) {
	if code, cause := d.fits(h, true); code != 0 {
		d.refusal(Nobody, code, cause)
		return
	}
	d.vouch(a)
	d.admit(e, a, n, known, h)
	d.count.Promoted++
}

func (d *Controller) vouch(a *holder) { a.vouch, a.known = d.now+vouchFor, true }

// fits tells whether a known client may have one more connection, and makes a place free if it needs one. It returns
// the code of a refusal, 0 for none.
func (d *Controller) fits(h *holder, needs bool) (code int, cause Cause) {
	due, ok := d.due(h, d.c.Identity.PerSecond)
	switch {
	case !ok:
		return 429, OverRate
	case over(h.conns, d.c.Identity.Conns):
		return 429, OverConns
	case needs && d.total() >= d.c.Places+d.lent && !d.makeRoom(0):
		return 503, FullHouse
	}
	h.tat = due
	return 0, NoCause
}

// find lets in a client that is not known by its word, if its address may and there is a place.
func (d *Controller) find(e *Event, a, n *holder) {
	in := slices.ContainsFunc(d.c.Ranges, func(p netip.Prefix) bool { return p.Contains(e.Addr.Unmap()) })
	vouched := in || d.now < a.vouch
	bound, around := d.c.Address, d.c.Net
	if vouched {
		bound, around = d.c.Known, Cap{}
	}
	// The address comes first: what is refused by it takes nothing from its neighbours.
	due, ok := d.due(a, bound.PerSecond)
	if !ok {
		d.deny(e, a, n, 429, OverRate)
		return
	}
	if !in && !d.c.Fair && d.crowded() {
		d.do(Action{Kind: Hold})
		return
	}
	a.tat = due
	if due, ok = d.due(n, around.PerSecond); !ok {
		d.deny(e, a, n, 429, OverRate)
		return
	}
	n.tat = due
	switch {
	case e.Left:
		d.turn(Left)
	case over(a.conns, bound.Conns) || over(n.conns, around.Conns):
		d.deny(e, a, n, 429, OverConns)
	case e.Said && (over(a.open, bound.Open) || over(n.open, around.Open)):
		d.deny(e, a, n, 429, OverOpen)
	case in && d.total() >= d.c.Places+d.lent && !d.makeRoom(0) && !(d.oldEnough(1) && d.makeRoom(1)),
		// Who comes from where known clients do is not kept out by those who only just came.
		!in && d.full() && !((vouched || d.oldEnough(0)) && d.makeRoom(0)):
		d.deny(e, a, n, 503, FullHouse)
	case in:
		d.admit(e, a, n, known, a)
	default:
		d.admit(e, a, n, lobby, a)
	}
}

func over(n, most int) bool { return most > 0 && n >= most }

func (d *Controller) total() int { return d.known + d.unknown }

func (d *Controller) turn(cause Cause) {
	d.count.Turned[cause]++
	d.do(Action{Kind: Turn, Cause: cause})
}

// deny keeps a connection out. What it has said is answered; if it said nothing, it may stand on the step until it does,
// unless it came too often. If the step is full, whoever has stood there silent for longest makes room.
func (d *Controller) deny(e *Event, a, n *holder, code int, cause Cause) {
	switch {
	case e.Left:
		d.turn(Left)
	case e.Said:
		d.refusal(Nobody, code, cause)
	case cause == OverRate, d.step >= d.c.Step && !d.stepGivesWay():
		d.turn(cause)
	default:
		if d.step >= d.c.Step {
			d.shut(d.steps.head, MadeRoom)
		}
		c := d.admit(e, a, n, step, a)
		c.code, c.cause = code, cause
	}
}
