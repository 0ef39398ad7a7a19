package members

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// The periods. The design note derives them from its goals, and TestGoals does so again.
const (
	period     = time.Second            // between two probes
	pingEvery  = 200 * time.Millisecond // within a probe, and of a witness
	pings      = 3                      // direct ones in a probe
	askAfter   = 400 * time.Millisecond // others are asked to ping
	asked      = 3
	judgeAfter = 900 * time.Millisecond // a probe without an answer is a miss
	suspicion  = 1500 * time.Millisecond
	witnesses  = 5
	enough     = 2                      // words of witnesses that make a death
	alone      = 2 * suspicion          // where no second witness is to be had
	given      = 8 * time.Second        // after which a suspicion that nobody decided is looked into by oneself
	rankEvery  = 500 * time.Millisecond // who is a witness is worked out anew
	calmDigest = 400 * time.Millisecond // own changes spread by then: another digest is a difference
	batch      = 20 * time.Millisecond
	again      = 200 * time.Millisecond // a fresh word goes out a second time
	fanFirst   = 4
	fanAgain   = 3
	boosted    = 100 * time.Millisecond // between two probes after a miss
	boostFor   = 5 * time.Second
	boostFrom  = 3                       // misses of the last eight: with 20% loss and standstills one probe in 40 fails, three of eight in 1 of 1,000
	nobodyFor  = 3 * time.Second         // heard of nobody at all: cut off
	stoodAfter = 200 * time.Millisecond  // too late for its time: the owner stood still
	holdMost   = 2500 * time.Millisecond // a death waits for others in doubt
	joinEvery  = 500 * time.Millisecond
	joinFor    = 1500 * time.Millisecond // until nobody who knows better can be expected
	greetEvery = time.Second             // one of the dead, or of the addresses that nobody living has
	pastEvery  = 300 * time.Millisecond
	wantAgain  = 300 * time.Millisecond
	syncEvery  = 250 * time.Millisecond
	forget     = 10 * time.Minute
	calmFirst  = 5 * time.Second // not suspected on one word after a return
	calmMost   = time.Minute
	spareFirst = 2 * time.Second // not accused again by who was wrong, doubled each time
	doubtAgain = 5 * time.Second // a zone is looked through so often at most
	lookers    = 12              // members that look at each one of a zone in doubt: a third may be lost with it, and 8 leave out one in 3,000
	mostHealth = 8
	missesKept = 8
	mostFollow = 1024 // suspicions at once
	mostBatch  = 4    // datagrams to one target
	mostTold   = 64   // refused names that are remembered
	mostFresh  = 4096 // words that wait to go out
	mostWants  = 512  // cards that are asked for at once
	mostRelays = 256  // indirect probes under way
	sweep      = 32   // members a period that are looked at for being forgotten
)

// entry is a member as this decider has it.
type entry struct {
	*card
	*past       // nil for most
	Since       time.Duration
	ref         ref
	Incarnation uint32
	State       State
	told        told // what users of the view know of it
}

// past is what few members have: returns from a death, a way that is cut.
type past struct {
	calm    time.Duration // until then it is not suspected: it returned from a death
	calms   uint8         // such returns so far
	spare   time.Duration // until then this decider does not accuse it: others reach it
	spares  uint8
	through ref // who reached it last where this decider did not
}

// had returns the past of a member, made if there was none.
func (e *entry) had() *past {
	if e.past == nil {
		e.past = &past{}
	}
	return e.past
}

// has is had for reading.
func (e *entry) has() past {
	if e.past == nil {
		return past{}
	}
	return *e.past
}

// card is who a member is, apart from how it fares. It is never changed, only replaced.
type card struct {
	Name, Zone, Version string
	Addr                netip.AddrPort
	Boot                uint32
}

func cardOf(m *Member) *card { return &card{m.Name, m.Zone, m.Version, m.Addr, m.Boot} }

// member is the entry as users and others are told of it.
func (e *entry) member() *Member {
	return &Member{Name: e.Name, Zone: e.Zone, Version: e.Version, Addr: e.Addr, Incarnation: e.Incarnation, Boot: e.Boot, State: e.State, Since: e.Since}
}

// key is an IPv4 address with its port as a number.
func key(a netip.AddrPort) uint64 {
	if !a.Addr().Is4() {
		return 0
	}
	ip := a.Addr().As4()
	return uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | uint64(a.Port())
}

// told is what users of the view know of a member.
type told struct {
	boot        uint32
	lives, ever bool
}

func (e *entry) lives() bool { return e.State == Alive || e.State == Suspected }

// Decider is one router's.
type Decider struct {
	c    Config
	src  *rand.PCG
	rng  *rand.Rand
	now  time.Duration
	out  []Action
	self *entry

	list   []*entry          // by ref
	byAddr map[uint64]*entry // by key
	living int
	dead   int
	digest uint64 // of the living and their incarnations: what is to be the same everywhere
	who    uint64 // of the living and their processes: what users see

	joinAt, joinUntil, greetAt time.Duration
	leaving                    bool
	heard                      time.Duration // of anybody
	changed                    time.Duration // the digest, last
	swept                      int
	met                        []netip.AddrPort // who joins at the same time
	past                       time.Duration    // when the own incarnation was raised, last

	probe       probing
	rtt         time.Duration // the longest round trip of late, fading
	suspects    map[ref]*suspect
	fresh       []freshWord
	flushAt     time.Duration // 0 for no words that wait
	wants       map[ref]wanted
	wantAt      time.Duration
	doubted     []ref // held to be dead here, and alive by others: they are told
	challengeAt time.Duration
	relays      [mostRelays]relayed
	relay       uint16
	syncAt      time.Duration

	doubtful map[string]time.Duration // zones, when they were last looked through
	touched  map[ref]*entry           // what users may have to be told
	heldAt   time.Duration            // until then a death waits for others in doubt, 0 for none that waits
	views    uint64
	refusal  map[string]bool
	taken    bool
	figures  Figures
	expect   time.Duration // when the owner is due to call
	mute     time.Duration // until then nobody is accused: this decider stood still
}

// New returns the Decider of a router that starts now.
func New(c Config, now time.Duration) (*Decider, error) {
	switch {
	case c.Name == "" || len(c.Name) > MostName:
		return nil, fmt.Errorf("member: Name is %q; it must have 1 to %d bytes", c.Name, MostName)
	case len(c.Zone) > MostZone:
		return nil, fmt.Errorf("member: Zone is %q; it must have %d bytes at most", c.Zone, MostZone)
	case len(c.Version) > MostVersion:
		return nil, fmt.Errorf("member: Version is %q; it must have %d bytes at most", c.Version, MostVersion)
	case !c.Addr.IsValid() || !c.Addr.Addr().Is4() || c.Addr.Port() == 0:
		return nil, fmt.Errorf("member: Addr is %v; it must be an IPv4 address with a port", c.Addr)
	case c.Boot == 0:
		return nil, errors.New("member: Boot must not be 0")
	}
	for _, s := range c.Name + c.Zone + c.Version {
		if s <= ' ' || s > '~' {
			return nil, fmt.Errorf("member: Name, Zone and Version must be printable ASCII without spaces; they are %q, %q and %q", c.Name, c.Zone, c.Version)
		}
	}
	if c.Members == 0 {
		c.Members = MostMembers
	}
	src := rand.NewPCG(c.Seed, uint64(c.Boot))
	d := &Decider{c: c, src: src, rng: rand.New(src), now: now, byAddr: map[uint64]*entry{},
		suspects: map[ref]*suspect{}, wants: map[ref]wanted{}, touched: map[ref]*entry{}, doubtful: map[string]time.Duration{}, refusal: map[string]bool{}}
	d.self = &entry{ref: refOf(c.Name), card: &card{c.Name, c.Zone, c.Version, c.Addr, c.Boot}, Incarnation: max(c.Incarnation, 1), State: Joining, Since: now}
	d.list = []*entry{d.self}
	d.byAddr[key(c.Addr)] = d.self
	d.heard, d.joinAt, d.joinUntil = now, now, now+joinFor
	d.probe.at, d.greetAt = now+d.jitter(period), now+d.jitter(greetEvery)
	d.expect = now
	return d, nil
}

func (d *Decider) jitter(most time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(most)) + 1)
}

// Step takes one event and returns what is to be done. The slice is used again by the next call.
func (d *Decider) Step(now time.Duration, e Event) []Action {
	clear(d.out) // what it holds may be large, as the first view of a fleet is
	d.out = d.out[:0]
	if now > d.now {
		late := now-d.expect >= stoodAfter
		d.now = now
		if late {
			d.stood()
		}
	}
	switch e := e.(type) {
	case Received:
		d.receive(e.From, e.Data)
	case Leave:
		d.leave(e.Replaced)
	case Seeds:
		d.c.Seeds = e.All
	}
	d.due()
	d.tell()
	d.expect = d.Next()
	return d.out
}

// stood is called where the owner called so much too late: what was under way is void, and nobody is accused for a while.
func (d *Decider) stood() {
	d.figures.Stood++
	d.worse()
	d.probe.void()
	d.mute = d.now + period
	for _, s := range d.suspects {
		s.restart(d.now, d.self.ref)
	}
	d.heard = d.now
}

func (d *Decider) worse() { d.figures.Health = min(d.figures.Health+1, mostHealth) }

// find returns the place of a member in the list, and the member if it is there.
func (d *Decider) find(r ref) (int, *entry) {
	i, ok := slices.BinarySearchFunc(d.list, r, func(e *entry, r ref) int {
		switch {
		case e.ref < r:
			return -1
		case e.ref > r:
			return 1
		}
		return 0
	})
	if ok {
		return i, d.list[i]
	}
	return i, nil
}

// mark is a living member's part of the digest, and markWho its part of that of the view.
func mark(e *entry) uint64    { return mix(e.ref, e.Incarnation) ^ markWho(e)>>1 }
func markWho(e *entry) uint64 { return mix(e.ref, e.Boot) }

func mix(r ref, n uint32) uint64 {
	x := uint64(r)*0x9e3779b97f4a7c15 ^ uint64(n)*0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// set has a member be in a state at an incarnation, and keeps the books.
func (d *Decider) set(e *entry, s State, inc uint32) {
	if e.lives() {
		d.digest ^= mark(e)
		d.who ^= markWho(e)
		d.living--
	} else if e.State == Dead {
		d.dead--
	}
	if e.State != s {
		e.Since = d.now
	}
	e.State, e.Incarnation = s, inc
	d.changed = d.now
	if e != d.self {
		d.touched[e.ref] = e
	}
	if e.lives() {
		d.digest ^= mark(e)
		d.who ^= markWho(e)
		d.living++
	} else if s == Dead {
		d.dead++
	}
}

// drop forgets a member.
func (d *Decider) drop(e *entry) {
	d.set(e, Left, e.Incarnation)
	if i, at := d.find(e.ref); at == e {
		d.list = slices.Delete(d.list, i, i+1)
	}
	if d.byAddr[key(e.Addr)] == e {
		delete(d.byAddr, key(e.Addr))
	}
	delete(d.suspects, e.ref)
}

func (d *Decider) receive(from netip.AddrPort, data []byte) {
	k, body, err := open(data)
	sender := d.byAddr[key(from)]
	if err == nil && sender == d.self {
		err = errField // an echo
	}
	if err == nil && sender == nil && d.c.Closed && !slices.Contains(d.c.Seeds, from) {
		err = errField
	}
	if err != nil {
		d.figures.Dropped++
		return
	}
	d.figures.Received++
	r := &reader{b: body}
	switch k {
	case ping:
		d.onPing(from, sender, r)
	case ack:
		d.onAck(from, sender, r)
	case ask:
		d.onAsk(from, r)
	case wordOnly:
		d.onWords(from, r)
	case join:
		d.onJoin(from, r)
	case cards:
		d.onCards(from, r)
	case want:
		d.onWant(from, r)
	case syncAsk:
		d.onSync(from, r)
	case part:
		d.onPart(from, r)
	case other:
		d.onOther(from, r)
	case refused:
		d.onRefused(from, r)
	}
	if r.err != nil {
		d.figures.Dropped++
		return
	}
	d.heard = max(d.heard, d.now)
}

// send seals a datagram.
func (d *Decider) send(to netip.AddrPort, b []byte) {
	b = seal(b)
	d.figures.Sent++
	d.figures.SentBytes += uint64(len(b))
	d.out = append(d.out, Send{to, b})
}

// Figures returns the counters.
func (d *Decider) Figures() Figures {
	f := d.figures
	f.Alive, f.Suspected, f.Dead = d.living, len(d.suspects), d.dead
	return f
}

// Incarnation is the own one by now.
func (d *Decider) Incarnation() uint32 { return d.self.Incarnation }

// State is the own one by now: Joining, Alive or Left.
func (d *Decider) State() State { return d.self.State }

// some draws members that fit, n at most, without looking at all of a large fleet.
func (d *Decider) some(n int, fits func(*entry) bool) (drawn []*entry) {
	tries := 8 * n
	if len(d.list) <= tries {
		for _, i := range d.rng.Perm(len(d.list)) {
			if e := d.list[i]; len(drawn) < n && e != d.self && fits(e) {
				drawn = append(drawn, e)
			}
		}
		return drawn
	}
	for ; tries > 0 && len(drawn) < n; tries-- {
		if e := d.list[d.rng.IntN(len(d.list))]; e != d.self && fits(e) && !slices.Contains(drawn, e) {
			drawn = append(drawn, e)
		}
	}
	return drawn
}

func living(e *entry) bool { return e.State == Alive }
