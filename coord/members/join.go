package members

import (
	"cmp"
	"net/netip"
	"slices"
)

// dueJoin asks who this decider was, and is alive once somebody has answered or nobody will.
func (d *Decider) dueJoin() {
	if d.now >= d.joinUntil && !d.taken {
		d.alive()
		return
	}
	if d.now < d.joinAt {
		return
	}
	d.joinAt = d.now + joinEvery
	if d.taken {
		d.joinAt = d.now + greetEvery
	}
	for range min(asked, len(d.c.Seeds)) {
		if a := d.c.Seeds[d.rng.IntN(len(d.c.Seeds))]; a != d.self.Addr {
			d.introduce(a)
		}
	}
}

// introduce sends the own card.
func (d *Decider) introduce(to netip.AddrPort) { d.send(to, appendCard(begin(join), d.self.member())) }

// alive ends the joining.
func (d *Decider) alive() {
	d.set(d.self, Alive, d.self.Incarnation)
	d.touched[d.self.ref] = d.self
	d.tellLater(freshWord{word: aliveWord(d.self), card: true})
	for _, a := range d.met { // they did not know this one either, and are alive by now
		d.introduce(a)
	}
	d.met = nil
}

// meet keeps the address of one that joins at the same time.
func (d *Decider) meet(a netip.AddrPort) {
	if d.self.State == Joining && len(d.met) < mostMet && !slices.Contains(d.met, a) {
		d.met = append(d.met, a)
	}
}

const mostMet = 8

// someCards is how many an answer to a join has, beside those that matter.
const someCards = 3

// onJoin answers who introduces itself.
func (d *Decider) onJoin(from netip.AddrPort, r *reader) {
	c := r.card()
	if r.err != nil || c.Addr != from || d.leaving {
		return
	}
	_, e := d.find(refOf(c.Name))
	if e != nil && (e.Name != c.Name || d.claims(e, &c)) {
		d.refuse(&c)
		return
	}
	own := *d.self.member()
	if own.State == Alive && d.now < own.Since+joinFor {
		own.State = Joining // who has only just joined may not know who the other one was
	}
	b := appendCard(begin(cards), &own)
	if e != nil && e != d.self {
		b = appendCard(b, e.member())
	}
	for _, x := range d.some(someCards, living) {
		if x != e && len(b) <= roomFor-mostCard {
			b = appendCard(b, x.member())
		}
	}
	d.send(from, b)
	if c.State == Alive {
		d.hearCard(c, from)
	} else {
		d.meet(from)
	}
}

// claims tells whether a card claims the name of a living member from another address.
func (d *Decider) claims(e *entry, c *Member) bool {
	return c.Addr != e.Addr && (e == d.self || e.State == Alive)
}

// refuse tells a claimant, and once whoever reads the log.
func (d *Decider) refuse(c *Member) {
	d.send(c.Addr, appendText(begin(refused), c.Name))
	key := c.Name + " " + c.Addr.String()
	if !d.refusal[key] && len(d.refusal) < mostTold {
		d.refusal[key] = true
		d.out = append(d.out, Refused{c.Name, c.Addr})
	}
}

func (d *Decider) onRefused(from netip.AddrPort, r *reader) {
	if name := r.text(MostName); r.err != nil || name != d.c.Name || d.self.State != Joining {
		return // who is alive already is no claimant: others will find out who the other one is
	}
	if !d.taken {
		d.taken = true
		d.out = append(d.out, Taken{from})
	}
}

func (d *Decider) onCards(from netip.AddrPort, r *reader) {
	var all []Member
	for r.more() {
		if c := r.card(); r.err == nil {
			all = append(all, c)
		}
	}
	if r.err != nil {
		return
	}
	for _, c := range all {
		d.hearCard(c, from)
		if c.State == Joining {
			d.meet(c.Addr)
		}
	}
	if d.self.State == Joining && len(all) > 0 && all[0].Addr == from && all[0].State == Alive {
		d.taken = false
		d.alive()
	}
}

// hearCard takes who a member is.
func (d *Decider) hearCard(c Member, from netip.AddrPort) {
	r := refOf(c.Name)
	delete(d.wants, r)
	i, e := d.find(r)
	switch {
	case e == d.self:
		if c.Name == d.c.Name && c.Boot != d.c.Boot && c.Incarnation >= d.self.Incarnation && !d.leaving {
			d.goPast(c.Incarnation)
		}
		return
	case e != nil && e.Name != c.Name:
		return // another name with the same reference: one in 10^14
	case c.State != Alive && c.State != Suspected:
		if e != nil && c.State == Left {
			d.hear(word{ref: r, state: Left, inc: c.Incarnation}, from)
		}
		return
	}
	if at := d.byAddr[key(c.Addr)]; at != nil && at != e && at.State == Alive {
		if at != d.self {
			d.soon(at) // one of the two is wrong
		}
		return
	}
	if e == nil {
		if len(d.list) >= d.c.Members {
			return
		}
		e = d.insert(i, r, cardOf(&c), c.Incarnation)
		d.figures.Joins++
		d.tellLater(freshWord{word: aliveWord(e), card: true})
		return
	}
	switch {
	case c.Incarnation > e.Incarnation:
		if d.claims(e, &c) {
			d.refuse(&c)
			return
		}
		d.takeCard(e, &c)
		d.lives(e, c.Incarnation)
		d.tellLater(freshWord{word: aliveWord(e), card: true})
	case c.Incarnation == e.Incarnation && c.Boot != e.Boot && c.Addr == from && from == e.Addr:
		// Its new process has not learnt who it was.
		d.send(from, appendCard(begin(cards), e.member()))
	case c.Incarnation == e.Incarnation && c.Boot == e.Boot && e.State == Left, c.Incarnation == e.Incarnation && e.State == Dead:
		d.hear(aliveWord(e), from)
	}
}

// takeCard takes up who a member is by now.
func (d *Decider) takeCard(e *entry, c *Member) {
	if e.Addr != c.Addr {
		if d.byAddr[key(e.Addr)] == e {
			delete(d.byAddr, key(e.Addr))
		}
		d.byAddr[key(c.Addr)] = e
	}
	if e.lives() {
		d.who ^= markWho(e)
		d.digest ^= mark(e)
	}
	e.card = cardOf(c)
	if e.lives() {
		d.who ^= markWho(e)
		d.digest ^= mark(e)
	}
	d.touched[e.ref] = e
}

// dueGreet greets one of those that are dead, or asks an address that nobody living has: it may be the way to the other half
// of a fleet.
func (d *Decider) dueGreet() {
	if d.self.State != Alive || d.now < d.greetAt {
		return
	}
	d.greetAt = d.now + greetEvery
	if d.dead > 0 && d.rng.IntN(2) == 0 {
		if all := d.deadOnes(); len(all) > 0 {
			d.ping(all[d.rng.IntN(len(all))], anySeq)
			return
		}
	}
	for range 8 {
		if len(d.c.Seeds) == 0 {
			return
		}
		a := d.c.Seeds[d.rng.IntN(len(d.c.Seeds))]
		if e := d.byAddr[key(a)]; a != d.self.Addr && (e == nil || !e.lives()) {
			d.introduce(a)
			return
		}
	}
}

// challenge has a member that is held to be dead, and that somebody says is alive, be told soon: it goes past that if it
// lives.
func (d *Decider) challenge(e *entry) {
	if len(d.doubted) < mostWants && !slices.Contains(d.doubted, e.ref) {
		d.doubted = append(d.doubted, e.ref)
		if d.challengeAt == 0 {
			d.challengeAt = d.now + batch
		}
	}
}

// challenges is how many are told in a batch.
const challenges = 4

func (d *Decider) dueChallenges() {
	if d.challengeAt == 0 || d.now < d.challengeAt {
		return
	}
	d.challengeAt = 0
	n := min(challenges, len(d.doubted))
	for _, r := range d.doubted[:n] {
		if _, e := d.find(r); e != nil && e.State == Dead {
			d.ping(e, anySeq)
		}
	}
	if d.doubted = slices.Delete(d.doubted, 0, n); len(d.doubted) > 0 {
		d.challengeAt = d.now + batch
	}
}

func (d *Decider) deadOnes() (all []*entry) {
	for _, e := range d.list {
		if e.State == Dead {
			all = append(all, e)
		}
	}
	return all
}

// leave tells that this router ends, unless another process of it takes over.
func (d *Decider) leave(replaced bool) {
	if d.leaving {
		return
	}
	d.leaving = true
	if replaced || d.self.State != Alive {
		return
	}
	d.set(d.self, Left, d.self.Incarnation)
	w := freshWord{word: word{ref: d.self.ref, state: Left, inc: d.self.Incarnation}}
	for _, e := range d.some(fanFirst, func(e *entry) bool { return e.lives() }) {
		d.sendWords(e.Addr, []freshWord{w})
	}
	d.tellLater(w)
}

// insert puts a new member in, alive.
func (d *Decider) insert(at int, r ref, c *card, inc uint32) *entry {
	e := &entry{card: c, ref: r, State: Left, Since: d.now}
	d.list = slices.Insert(d.list, at, e)
	d.byAddr[key(c.Addr)] = e
	d.set(e, Alive, inc)
	return e
}

// Kept are members to begin with: what was kept on disk, or what a test begins with. One may be handed to many deciders, which
// then share the memory of who the members are.
type Kept struct {
	cards []*card
	incs  []uint32
}

// Keep makes a Kept of members.
func Keep(all []Member) *Kept {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(refOf(a.Name), refOf(b.Name)) })
	k := &Kept{}
	for i := range all {
		c := &all[i]
		k.cards, k.incs = append(k.cards, cardOf(c)), append(k.incs, c.Incarnation)
	}
	return k
}

// Know takes up members before the first step. They are in the first view that is told, as no change of it, and are probed like
// any others.
func (d *Decider) Know(k *Kept) {
	d.list = slices.Grow(d.list, len(k.cards))
	for i, c := range k.cards {
		r := refOf(c.Name)
		at, e := d.find(r)
		if e != nil || len(d.list) >= d.c.Members {
			continue
		}
		e = d.insert(at, r, c, k.incs[i])
		e.told = told{boot: c.Boot, lives: true, ever: true}
	}
	d.touched = map[ref]*entry{}
}
