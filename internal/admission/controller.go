package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// vouchFor is how long an address from which a known client came counts as one of known clients.
	vouchFor = 10 * time.Minute
	// shortFor is how long a lack of descriptors keeps the level at Critical, and makes one episode of several.
	shortFor = time.Second
	// young is how long a connection has to say something before it may have to make room: what it asked may have
	// come already, and only the host is behind.
	young = 5 * time.Millisecond
)

// place is where a connection is.
type place int

const (
	free  place = iota
	lobby       // of an unknown client, no request read yet
	guest       // of an unknown client
	known       // of a known one
	step        // beyond the places: to be read and refused, unless its identity lets it in
)

// conn is one connection. The names of connections are their places in Controller.conns.
type conn struct {
	id        int32
	place     place
	busy      bool // its request is open
	sending   bool // its request has begun and was not read whole
	ready     bool // its request is there and was not asked yet: nobody shuts it
	refused   bool // its request was: it only waits to be closed
	shut      bool // Shut or Hurry was given
	sentAway  bool // Hurry was given as the router sends clients away
	since     time.Duration
	addr, net *holder
	owner     *holder // the address, or the identity of a known client
	code      int     // on the step: what it is to be told
	cause     Cause
	silence   links[conn] // in owner.silent, or in Controller.steps
	waiting   links[conn] // in one of Controller.waits
}

// Controller decides for one listener.
type Controller struct {
	c     Config
	rng   *rand.Rand
	now   time.Duration
	act   []Action
	conns []*conn
	spare []int32 // names that are free

	table      table
	identities map[string]*holder
	ranked     [2]ranks      // unknown and known holders with silent connections
	steps      list[conn]    // silent ones on the step
	waits      [2]list[conn] // those without an open request that are not known, by sending, the oldest first

	known, unknown, lobbies, step, open int
	lent                                int
	level                               Level
	short                               time.Duration
	count                               Counts
}

// New returns a Controller without connections.
func New(c Config, seed uint64) *Controller {
	d := &Controller{rng: rand.New(rand.NewPCG(seed, 1)), table: newTable(), identities: map[string]*holder{},
		steps: list[conn]{of: silence}, waits: [2]list[conn]{{of: waiting}, {of: waiting}}}
	d.tune(c)
	return d
}

func (d *Controller) tune(c Config) {
	d.c, d.table.most = c, max(c.Addresses, 1)
	d.c.Lengths = c.Lengths.orUsual()
	for name := range c.Identities {
		if d.identities[name] == nil {
			d.identities[name] = &holder{name: name, known: true, silent: list[conn]{of: silence}}
		}
	}
	for name, h := range d.identities {
		if !c.Identities[name] && h.conns == 0 {
			delete(d.identities, name)
		}
	}
}

// Step takes in one event and returns what is to be done.
func (d *Controller) Step(now time.Duration, e Event) []Action {
	d.now, d.act = max(now, d.now), d.act[:0]
	switch e.Kind {
	case Opened:
		d.opened(&e)
	case Began:
		if c := d.conn(e.Conn); c != nil && !c.busy && !c.refused && !c.shut && !c.ready {
			d.loud(c)
			c.since, c.sending, c.sentAway = d.now, true, false
			d.quiet(c)
		}
	case Asked:
		if c := d.conn(e.Conn); c != nil {
			d.asked(c, e.Identity)
		}
	case Done:
		if c := d.conn(e.Conn); c != nil {
			d.done(c)
		}
	case Closed:
		if c := d.conn(e.Conn); c != nil {
			d.closed(c)
		}
	case Lent:
		d.lent = max(e.N, 0)
	case Short:
		if d.now >= d.short {
			d.count.Shorts++
		}
		d.short = d.now + shortFor
	case Retune:
		d.tune(*e.Config)
		d.shrink()
	case Empty:
		d.empty(e.Silent)
	}
	d.judge()
	d.hurry()
	return d.act
}

func (d *Controller) conn(id int32) *conn {
	if id < 0 || int(id) >= len(d.conns) || d.conns[id].place == free {
		return nil
	}
	return d.conns[id]
}

func (d *Controller) do(a Action) { d.act = append(d.act, a) }

// admit gives a connection its name and place.
func (d *Controller) admit(e *Event, a, n *holder, at place, owner *holder) *conn {
	var c *conn
	if k := len(d.spare); k > 0 {
		c = d.conns[d.spare[k-1]]
		d.spare = d.spare[:k-1]
	} else {
		c = &conn{id: int32(len(d.conns))}
		d.conns = append(d.conns, c)
	}
	*c = conn{id: c.id, place: at, since: d.now, addr: a, net: n, owner: owner, sending: e.Said, ready: e.Whole}
	a.conns++
	n.conns++
	if owner != a {
		owner.conns++
	}
	if at == known {
		a.known = true
	}
	d.enter(c, 1)
	if !c.ready {
		d.quiet(c)
	}
	d.count.Admitted++
	d.do(Action{Kind: Admit, Conn: c.id})
	return c
}

// enter counts a connection in or out of its place.
func (d *Controller) enter(c *conn, by int) {
	switch c.place {
	case lobby:
		d.lobbies += by
		d.unknown += by
	case guest:
		d.unknown += by
	case known:
		d.known += by
	case step:
		d.step += by
	}
}

// quiet puts a connection among the silent ones, at the end; loud takes it out.
func (d *Controller) quiet(c *conn) {
	if c.place == step {
		d.steps.push(c)
	} else {
		h, r := c.owner, &d.ranked[rank(c)]
		r.remove(h, h.silent.n)
		h.silent.push(c)
		r.add(h, h.silent.n)
	}
	if c.place != known { // known clients keep their idle connections as long as the front lets them
		d.waits[index(c.sending)].push(c)
	}
}

func (d *Controller) loud(c *conn) {
	if c.place == step {
		d.steps.remove(c)
	} else {
		h, r := c.owner, &d.ranked[rank(c)]
		r.remove(h, h.silent.n)
		h.silent.remove(c)
		r.add(h, h.silent.n)
	}
	d.waits[index(c.sending)].remove(c)
}

func rank(c *conn) int {
	return index(c.place == known)
}

// oldEnough tells that whom makeRoom would shut has had the time to say something.
func (d *Controller) oldEnough(among int) bool {
	c := d.next(among)
	return c != nil && d.now-c.since >= young
}

// next returns who is to make room, nil if nobody is silent.
func (d *Controller) next(among int) *conn {
	if !d.c.Fair && among == 0 {
		var oldest *conn
		for _, l := range d.waits {
			c := l.head
			for c != nil && c.place == step { // there are few of those
				c = c.waiting.next
			}
			if oldest == nil || c != nil && c.since < oldest.since {
				oldest = c
			}
		}
		return oldest
	}
	if h := d.ranked[among].top(); h != nil {
		return h.silent.head
	}
	return nil
}

// makeRoom shuts a silent connection of the unknown (0) or the known (1): where it is to be fair, the oldest of whoever
// has the most.
func (d *Controller) makeRoom(among int) bool {
	c := d.next(among)
	if c == nil {
		return false
	}
	d.shut(c, MadeRoom)
	return true
}

// shut gives up a silent connection. Its place is free at once: the host closes it before anything else.
func (d *Controller) shut(c *conn, cause Cause) {
	d.count.Shut[cause]++
	d.do(Action{Kind: Shut, Conn: c.id, Cause: cause})
	d.leave(c)
	c.shut = true
}

// leave takes a connection out of all counts; its name stays in use until Closed.
func (d *Controller) leave(c *conn) {
	if c.place == free || c.shut {
		return
	}
	if c.busy {
		d.openBy(c, -1)
	} else if !c.refused {
		d.loud(c)
	}
	d.enter(c, -1)
	c.addr.conns--
	c.net.conns--
	if c.owner != c.addr {
		c.owner.conns--
	}
	d.table.put(c.addr)
	d.table.put(c.net)
}

func (d *Controller) closed(c *conn) {
	d.leave(c)
	c.place = free
	c.addr, c.net, c.owner = nil, nil, nil
	d.spare = append(d.spare, c.id)
}

func (d *Controller) openBy(c *conn, by int) {
	d.open += by
	c.addr.open += by
	c.net.open += by
	if c.owner != c.addr {
		c.owner.open += by
	}
}

// asked serves or refuses a request whose head was read. A known identity lets its connection in.
func (d *Controller) asked(c *conn, identity string) {
	if c.busy || c.refused || c.shut {
		return
	}
	d.loud(c)
	c.sending, c.ready = false, false
	if h := d.identity(identity); h != nil {
		if code, cause := d.promote(c, h); code != 0 {
			d.refuse(c, code, cause)
			return
		}
	}
	switch {
	case c.place == step:
		d.refuse(c, c.code, c.cause)
		return
	case c.place != known && (over(c.addr.open, d.c.Address.Open) || over(c.net.open, d.c.Net.Open)):
		d.refuse(c, 429, OverOpen)
		return
	case c.place == known && c.owner == c.addr && over(c.addr.open, d.c.Known.Open),
		c.place == known && c.owner != c.addr && over(c.owner.open, d.c.Identity.Open):
		d.refuse(c, 429, OverOpen)
		return
	case c.place == lobby:
		d.move(c, guest, c.addr)
	}
	c.busy = true
	d.openBy(c, 1)
	d.count.Served++
	d.do(Action{Kind: Serve, Conn: c.id, Last: d.c.Last && d.level == Critical && c.place != known})
}

// promote makes a connection one of a known client. It returns the code of a refusal, 0 for none.
func (d *Controller) promote(c *conn, h *holder) (code int, cause Cause) {
	if c.owner == h {
		return 0, NoCause
	}
	if code, cause = d.fits(h, c.place == step); code != 0 {
		return code, cause
	}
	if c.owner != c.addr {
		c.owner.conns--
	}
	h.conns++
	if c.place != known {
		d.count.Promoted++
	}
	d.move(c, known, h)
	d.vouch(c.addr)
	return 0, NoCause
}

// move changes the place and the owner of a connection that is in no list.
func (d *Controller) move(c *conn, to place, owner *holder) {
	d.enter(c, -1)
	c.place, c.owner = to, owner
	d.enter(c, 1)
}

// refuse answers a request. The time told is spread, so that the refused don't come back at once.
func (d *Controller) refuse(c *conn, code int, cause Cause) {
	c.refused = true
	d.refusal(c.id, code, cause)
}

func (d *Controller) refusal(conn int32, code int, cause Cause) {
	d.count.Refused[cause]++
	d.do(Action{Kind: Refuse, Conn: conn, Code: code, Cause: cause, Away: d.c.Away + time.Duration(d.rng.Float64()*float64(d.c.Away))})
}

// done makes a connection silent again.
func (d *Controller) done(c *conn) {
	if !c.busy || c.shut {
		return
	}
	c.busy, c.since = false, d.now
	d.openBy(c, -1)
	d.quiet(c)
}

// shrink makes the silent leave until the bounds hold again.
func (d *Controller) shrink() {
	for d.total() > d.c.Places+d.lent || d.unknown > d.c.Places-d.c.Reserve {
		if !d.makeRoom(0) && (d.unknown > d.c.Places-d.c.Reserve || !d.makeRoom(1)) {
			return
		}
	}
}

// empty hurries all who have been silent for so long, known or not. One whose request has begun has its own time.
func (d *Controller) empty(silent time.Duration) {
	for _, c := range d.conns {
		if c.place != free && !c.busy && !c.sending && !c.ready && !c.refused && !c.shut && d.now-c.since >= silent {
			if !c.sentAway {
				c.sentAway = true
				d.count.Shut[SentAway]++
			}
			d.do(Action{Kind: Hurry, Conn: c.id, Cause: SentAway})
		}
	}
}

// judge finds the level. Each ends lower than it begins, so that it does not flap.
func (d *Controller) judge() {
	use := float64(d.total()+d.step) / float64(max(d.c.Places, 1))
	if d.now < d.short {
		use = 1
	}
	for d.level < Critical && use >= levels[d.level+1].from {
		d.level++
	}
	for d.level > Calm && use < levels[d.level].to {
		d.level--
	}
}

// hurry finds the connections of unknown clients that were silent, or at sending a request, for too long.
func (d *Controller) hurry() {
	for i, most := range [2]time.Duration{d.c.Patience[d.level], d.c.Sending[d.level]} {
		l := &d.waits[i]
		for c := l.head; most > 0 && c != nil && d.now-c.since >= most; c = l.head {
			l.remove(c)
			d.count.Shut[TooSlow]++
			d.do(Action{Kind: Hurry, Conn: c.id, Cause: TooSlow})
		}
	}
}

// Counts returns the counters and the state.
func (d *Controller) Counts() Counts {
	c := d.count
	c.Level, c.Places, c.Reserve, c.Lent = d.level, d.c.Places, d.c.Reserve, d.lent
	c.Known, c.Unknown, c.Lobby, c.Step, c.Open, c.Addresses = d.known, d.unknown, d.lobbies, d.step, d.open, len(d.table.holders)
	return c
}

// Reading returns how long a client may take for what one write sent, 0 for no bound of admission's.
func (d *Controller) Reading() time.Duration { return d.c.Reading[d.level] }

// Level returns the level.
func (d *Controller) Level() Level { return d.level }

// Use returns the share of the places that is taken; lent ones count beyond 1.
func (d *Controller) Use() float64 { return float64(d.total()) / float64(max(d.c.Places, 1)) }

// Holdings returns the addresses and identities that hold the most connections. It looks at all of them.
func (d *Controller) Holdings(most int) []Holding {
	var all []Holding
	for key, h := range d.table.holders {
		if own, _ := d.c.Lengths.keys(key.Addr()); own == key && h.conns > 0 {
			all = append(all, Holding{Name: key.String(), Conns: h.conns, Open: h.open, Known: h.known})
		}
	}
	for name, h := range d.identities {
		if h.conns > 0 {
			all = append(all, Holding{Name: name, Conns: h.conns, Open: h.open, Known: true})
		}
	}
	slices.SortFunc(all, func(a, b Holding) int {
		return cmp.Or(cmp.Compare(b.Conns, a.Conns), cmp.Compare(a.Name, b.Name))
	})
	return all[:min(len(all), most)]
}
