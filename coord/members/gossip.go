package members

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// freshWord waits to go out, twice.
type freshWord struct {
	word
	card bool // the member's whole card goes out
	at   time.Duration
	sent int
}

// tellAll has a word go out to members drawn, in a batch with others.
func (d *Decider) tellAll(w word) { d.tellLater(freshWord{word: w}) }

func (d *Decider) tellLater(f freshWord) {
	d.fresh = slices.DeleteFunc(d.fresh, func(x freshWord) bool { // what it outdates
		return x.ref == f.ref && (x.inc < f.inc || x.state != f.state && f.state != Suspected)
	})
	if len(d.fresh) >= mostFresh {
		return // digests will heal it
	}
	f.at = d.now + batch
	d.fresh = append(d.fresh, f)
	if d.flushAt == 0 || f.at < d.flushAt {
		d.flushAt = f.at
	}
}

// dueFlush sends what waits: to four members drawn, and 0.2 s later to three more.
func (d *Decider) dueFlush() {
	if d.flushAt == 0 || d.now < d.flushAt {
		return
	}
	if d.living < 2 && !d.leaving { // there is nobody to be told
		d.flushAt = d.now + again
		return
	}
	var first, second []freshWord
	d.flushAt = 0
	kept := d.fresh[:0]
	for _, f := range d.fresh {
		if d.now >= f.at {
			f.sent++
			f.at = d.now + again
			if f.sent == 1 {
				first = append(first, f)
			} else {
				second = append(second, f)
				continue
			}
		}
		kept = append(kept, f)
		if d.flushAt == 0 || f.at < d.flushAt {
			d.flushAt = f.at
		}
	}
	d.fresh = kept
	targets := func(n int) []*entry { return d.some(n, func(e *entry) bool { return e.lives() }) }
	if len(first) > 0 {
		for _, e := range targets(fanFirst) {
			d.sendWords(e.Addr, first)
		}
	}
	if len(second) > 0 {
		for _, e := range targets(fanAgain) {
			d.sendWords(e.Addr, second)
		}
	}
}

// sendWords sends words to one member, in as few datagrams as they fit, and not in more than a few.
func (d *Decider) sendWords(to netip.AddrPort, all []freshWord) {
	words, whole := begin(wordOnly), begin(cards)
	sent := 0
	for _, f := range all {
		if sent >= mostBatch {
			return
		}
		if f.card {
			if _, e := d.find(f.ref); e != nil {
				if whole = appendCard(whole, e.member()); len(whole) > roomFor-mostCard {
					d.send(to, whole)
					whole = begin(cards)
					sent++
				}
				continue
			}
		}
		if words = appendWord(words, f.word); len(words) > roomFor-mostWord {
			d.send(to, words)
			words = begin(wordOnly)
			sent++
		}
	}
	if len(words) > headBytes {
		d.send(to, words)
	}
	if len(whole) > headBytes {
		d.send(to, whole)
	}
}

// mostCard is the longest that a card can be.
const mostCard = 5 + 4 + 1 + 6 + 3 + MostName + MostZone + MostVersion

// words reads all words to a datagram's end.
func (r *reader) words() (all []word) {
	for r.more() {
		if w := r.word(); r.err == nil {
			all = append(all, w)
		}
	}
	return all
}

func (d *Decider) onWords(from netip.AddrPort, r *reader) {
	words := r.words()
	if r.err != nil {
		return
	}
	for _, w := range words {
		d.hear(w, from)
	}
}

// hear takes a word of a member, own or another.
func (d *Decider) hear(w word, from netip.AddrPort) {
	_, e := d.find(w.ref)
	switch {
	case e == nil:
		if w.state == Alive || w.state == Suspected {
			d.wantCard(w.ref, from)
		}
		return
	case e == d.self:
		d.hearOfSelf(w)
		return
	}
	switch w.state {
	case Alive:
		switch {
		case w.inc > e.Incarnation && w.boot != uint16(e.Boot):
			d.wantCard(w.ref, from) // another process: who it is comes with its card
		case w.inc > e.Incarnation:
			d.lives(e, w.inc)
			d.tellAll(w)
		case w.inc == e.Incarnation && e.lives() && w.boot != uint16(e.Boot):
			// Its new process has the number that the last one had: it goes past that once it knows.
			d.send(e.Addr, appendCard(begin(cards), e.member()))
		case w.inc == e.Incarnation && e.State == Dead:
			d.send(from, appendWord(begin(wordOnly), word{ref: e.ref, state: Dead, inc: e.Incarnation}))
			d.challenge(e)
		case w.inc == e.Incarnation && e.State == Left && w.boot == uint16(e.Boot):
			// Differences are settled by telling of the living, so who has not heard that it left would never be told.
			d.send(from, appendWord(begin(wordOnly), word{ref: e.ref, state: Left, inc: e.Incarnation}))
		}
	case Suspected:
		if !e.lives() && w.inc <= e.Incarnation {
			if e.State == Dead {
				d.send(from, appendWord(begin(wordOnly), word{ref: e.ref, state: Dead, inc: e.Incarnation}))
			}
			return
		}
		if w.inc > e.Incarnation {
			d.wantCard(w.ref, from) // it has lived since, perhaps as another process
			return
		}
		d.suspectOf(e, w)
	case Dead:
		switch {
		case w.inc < e.Incarnation || !e.lives():
		case e.State == Suspected && d.now >= d.mute:
			d.die(e)
		default:
			d.soon(e) // one's own probe, in place of belief
		}
	case Left:
		if w.inc >= e.Incarnation && e.lives() {
			delete(d.suspects, e.ref)
			d.set(e, Left, w.inc)
			d.tellAll(w)
		}
	}
}

// hearOfSelf goes past whatever is held against this decider, and past what an earlier life of it was.
func (d *Decider) hearOfSelf(w word) {
	if d.leaving || d.self.State == Joining && w.inc < d.self.Incarnation {
		return
	}
	if w.state == Alive && w.inc <= d.self.Incarnation || w.inc < d.self.Incarnation {
		return
	}
	if w.state == Suspected {
		d.worse()
	}
	d.goPast(w.inc)
}

// goPast raises the own incarnation beyond one, and says so.
func (d *Decider) goPast(inc uint32) {
	if inc == 1<<32-1 {
		return // nothing is beyond it; whoever says so is wrong
	}
	if d.self.State == Joining {
		d.self.Incarnation = max(d.self.Incarnation, inc+1)
		return
	}
	if d.past > 0 && d.now < d.past+pastEvery {
		return // two processes with one name would drive each other on; what is meant comes again
	}
	d.past = d.now
	d.set(d.self, d.self.State, inc+1)
	d.tellLater(freshWord{word: aliveWord(d.self)})
}

// wanted is a card that was asked for.
type wanted struct {
	from netip.AddrPort
	at   time.Duration // 0 for not yet
}

func (d *Decider) wantCard(r ref, from netip.AddrPort) {
	if _, ok := d.wants[r]; !ok && len(d.wants) < mostWants && len(d.list) < d.c.Members {
		d.wants[r] = wanted{from: from}
		if due := d.now + batch; d.wantAt == 0 || due < d.wantAt {
			d.wantAt = due
		}
	}
}

// dueWants asks for cards, each of whoever spoke of it. One that does not come is asked for again when its name is heard again.
func (d *Decider) dueWants() {
	if d.wantAt == 0 || d.now < d.wantAt {
		return
	}
	d.wantAt = 0
	all := make([]ref, 0, len(d.wants))
	for r, w := range d.wants {
		switch {
		case w.at == 0:
			all = append(all, r)
		case d.now-w.at >= wantAgain:
			delete(d.wants, r)
		}
	}
	if len(d.wants) > 0 {
		d.wantAt = d.now + wantAgain
	}
	slices.SortFunc(all, func(a, b ref) int {
		return cmp.Or(d.wants[a].from.Compare(d.wants[b].from), cmp.Compare(a, b))
	})
	var b []byte
	var to netip.AddrPort
	flush := func() {
		if len(b) > headBytes {
			d.send(to, b)
		}
		b = begin(want)
	}
	for _, r := range all {
		w := d.wants[r]
		if w.from != to || len(b) > roomFor-refBytes {
			flush()
			to = w.from
		}
		b = appendRef(b, r)
		d.wants[r] = wanted{w.from, d.now}
	}
	flush()
}

// onWant sends cards that are asked for.
func (d *Decider) onWant(from netip.AddrPort, r *reader) {
	b, sent := begin(cards), 0
	for r.more() && sent < mostBatch {
		_, e := d.find(r.ref())
		if r.err != nil || e == nil || !e.lives() {
			continue
		}
		if b = appendCard(b, e.member()); len(b) > roomFor-mostCard {
			d.send(from, b)
			b = begin(cards)
			sent++
		}
	}
	if len(b) > headBytes {
		d.send(from, b)
	}
}
