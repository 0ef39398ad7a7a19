package shadow

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// staleAfter is how old a sample may be before the live path is taken to be in trouble that
	// nobody could report; it may be twice Pressure.Late where that is more.
	staleAfter = 500 * time.Millisecond
	// maxGaps bounds the conversations known to have a gap; the oldest is forgotten first.
	maxGaps = 1024
	// pairingFor bounds the copies that have ended and wait for their live answer, as a multiple of
	// those out.
	pairingFor = 2
	// maxCalm bounds the doubling of Pressure.Calm, as a multiple.
	maxCalm = 16
	// steady is how long the pool must have been up, as a multiple of Health.Most, for its trials
	// to begin anew.
	steady = 1
)

// state is how far a copy has come.
type state int

const (
	waiting state = iota
	out
	pairing // the copy has ended, its live answer has not
)

// copying is one copy. It is forgotten with its Drop or Record.
type copying struct {
	id           uint64
	session      uint64
	bytes        int64
	state        state
	since        time.Duration // offered, then started
	cause        Cause         // why it is not comparable, so far
	ending       bool          // End was given
	capped       bool          // a host was denied to it for PerHost
	waitCause    Cause         // what kept it waiting last
	live         bool          // the live answer has ended
	liveComplete bool          // and was whole
}

// Decider decides for one pool.
type Decider struct {
	c   Config
	rng *rand.Rand
	now time.Duration
	act []Action

	copies       map[uint64]*copying
	queue        []*copying // that wait, in their order
	outs         []*copying // that are out, in the order of their start
	pairs        []*copying // that have ended and wait for their live answer
	bytes        int64
	hostAttempts map[string]int
	turns        []turn // as many as may be in a window; one that was taken under a higher cap stays for its time
	gaps         map[uint64]bool
	gapRing      []uint64
	gapNext      int
	closed       bool
	hosts        int
	count        Counts

	level     Level
	sampled   time.Duration // the last one, 0 for none
	refused   float64       // decays over a second
	hotSince  time.Duration // level left Calm
	lastHot   time.Duration // a signal was last above its lower bound
	calmAgain time.Duration // level went back to Calm
	calmFor   time.Duration // in force

	down     bool
	failures int
	backoff  time.Duration
	retry    time.Duration
	upSince  time.Duration
	trial    *copying
}

// New returns a Decider for a pool without hosts. It starts nothing before its first Sample and
// Hosts.
func New(c Config, seed uint64) *Decider {
	return &Decider{c: c, rng: rand.New(rand.NewPCG(seed, 0)), copies: map[uint64]*copying{}, hostAttempts: map[string]int{},
		gaps: map[uint64]bool{}, calmFor: c.Pressure.Calm, backoff: c.Health.First,
		count: Counts{Dropped: map[Cause]uint64{}, Ended: map[Cause]uint64{}, Incomparable: map[Cause]uint64{},
			Pressed: map[string]uint64{}}}
}

// Step takes in what has happened by now and returns what is to be done. An empty one lets time
// pass.
func (d *Decider) Step(now time.Duration, events []Event) []Action {
	d.now, d.act = max(now, d.now), nil
	for _, event := range events {
		switch e := event.(type) {
		case Offer:
			d.offer(e)
		case AttemptRequest:
			d.grantAttempt(e)
		case AttemptReached:
			d.heard(e.Copy)
		case AttemptEnded:
			if d.hostAttempts[e.Host]--; d.hostAttempts[e.Host] <= 0 {
				delete(d.hostAttempts, e.Host)
			}
		case Ended:
			d.ended(e)
		case LiveEnded:
			d.liveEnded(e)
		case Sample:
			d.sample(e)
		case Hosts:
			d.hosts = e.Serving
		case Retune:
			d.c = e.Config
			d.calmFor, d.backoff = d.c.Pressure.Calm, max(d.backoff, d.c.Health.First)
		case Close:
			d.closed = true
		}
	}
	d.reconcile()
	return d.act
}

// Counts returns the counters and the state by now. The maps are copies.
func (d *Decider) Counts() Counts {
	c := d.count
	c.Dropped, c.Ended, c.Incomparable, c.Pressed = clone(c.Dropped), clone(c.Ended), clone(c.Incomparable), clone(c.Pressed)
	c.Waiting, c.Out, c.Pairing, c.Bytes = len(d.queue), len(d.outs), len(d.pairs), d.bytes
	c.Level, c.Sampled, c.Hosts, c.Down = d.level, d.sampled > 0, d.hosts, d.down
	if d.down {
		c.Retry = d.retry
	}
	return c
}

func clone[K comparable](m map[K]uint64) map[K]uint64 {
	c := make(map[K]uint64, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// Level returns the level.
func (d *Decider) Level() Level { return d.level }

func (d *Decider) do(a Action) { d.act = append(d.act, a) }

// offer takes a copy into the queue, or drops it at once. A name that is in use is the host's
// mistake and passed over.
func (d *Decider) offer(e Offer) {
	if d.copies[e.Copy] != nil {
		return
	}
	d.count.Offered++
	c := &copying{id: e.Copy, session: e.Session, bytes: int64(e.Bytes), since: d.now}
	switch {
	case d.closed:
		d.drop(c, Closing)
	case d.level != Calm:
		d.drop(c, Pressed)
	case d.hosts == 0:
		d.drop(c, NoHosts)
	case d.down && (d.trial != nil || d.now < d.retry):
		d.drop(c, PoolDown)
	case d.bytes+c.bytes > d.c.Caps.Bytes:
		d.drop(c, OverBytes)
	case len(d.queue) >= d.c.Caps.Waiting && !d.startable(c):
		d.drop(c, OverQueue)
	default:
		d.copies[c.id] = c
		d.bytes += c.bytes
		d.queue = append(d.queue, c)
		d.fill() // so that the queue has room for the next one
	}
}

// drop forgets a copy that is in no list, and remembers its conversation.
func (d *Decider) drop(c *copying, cause Cause) {
	d.count.Dropped[cause]++
	d.do(Drop{c.id, cause})
	if d.gaps[c.session] {
		return
	}
	if len(d.gapRing) < maxGaps {
		d.gapRing = append(d.gapRing, c.session)
	} else {
		delete(d.gaps, d.gapRing[d.gapNext])
		d.gapRing[d.gapNext] = c.session
		d.gapNext = (d.gapNext + 1) % maxGaps
	}
	d.gaps[c.session] = true
}

// grantAttempt grants an attempt unless the host has as many as it may, or the copy is to end.
func (d *Decider) grantAttempt(e AttemptRequest) {
	c := d.copies[e.Copy]
	ok := c != nil && c.state == out && !c.ending
	switch {
	case ok && d.level != Calm:
		ok = false
		d.end(c, Pressed)
	case ok && d.hostAttempts[e.Host] >= d.c.Caps.PerHost:
		ok, c.capped = false, true
		d.count.HostFull++
	case ok && !d.send(c.id):
		ok, c.capped = false, true
	case ok:
		d.hostAttempts[e.Host]++
	}
	d.do(AttemptGranted{e.Copy, e.Host, ok})
}

func (d *Decider) ended(e Ended) {
	c := d.copies[e.Copy]
	if c == nil || c.state != out {
		return
	}
	d.outs = without(d.outs, c)
	d.heard(c.id)
	d.turns = slices.DeleteFunc(d.turns, func(t turn) bool { return t.copy == c.id && !t.sent })
	c.state = pairing
	if c.cause == "" {
		c.cause = e.How
	}
	d.judge(c, e.How)
	if c.live {
		d.record(c)
		return
	}
	d.pairs = append(d.pairs, c)
}

// liveEnded pairs the answers up. Without a whole live answer there is nothing to compare with, so
// a copy that waits is dropped and one that is out ends.
func (d *Decider) liveEnded(e LiveEnded) {
	c := d.copies[e.Copy]
	if c == nil || c.live {
		return
	}
	c.live, c.liveComplete = true, e.Complete
	switch {
	case c.state == pairing:
		d.pairs = without(d.pairs, c)
		d.record(c)
	case !e.Complete && c.state == waiting:
		d.unqueue(c, NoLive)
	case !e.Complete:
		d.end(c, NoLive)
	}
}

func (d *Decider) record(c *copying) {
	if c.cause == "" && !c.live {
		c.cause = Closing
	}
	if c.cause == "" && !c.liveComplete {
		c.cause = NoLive
	}
	delete(d.copies, c.id)
	d.bytes -= c.bytes
	d.count.Recorded++
	if c.cause == "" {
		d.count.Compared++
	} else {
		d.count.Incomparable[c.cause]++
	}
	d.do(Record{c.id, c.cause, c.live})
}

// end gives up a copy that is out. The first cause stays.
func (d *Decider) end(c *copying, cause Cause) {
	if c.ending {
		return
	}
	c.ending, c.cause = true, cause
	d.count.Ended[cause]++
	d.do(End{c.id, cause})
}

// unqueue drops a copy that waits.
func (d *Decider) unqueue(c *copying, cause Cause) {
	d.queue = without(d.queue, c)
	d.bytes -= c.bytes
	delete(d.copies, c.id)
	d.drop(c, cause)
}

// judge takes the end of a copy as word on the pool's health. What we ended ourselves says nothing,
// but that an answer took too long does; nor does a request that is itself at fault.
func (d *Decider) judge(c *copying, how Cause) {
	trial := c == d.trial
	if trial {
		d.trial = nil
	}
	bad := how != "" && how != Unfit
	if c.ending {
		bad = c.cause == TooLong
	}
	switch {
	case c.ending && !bad, how == Unfit, how == Refused && c.capped:
		return
	case bad:
		d.failures++
		if d.down && trial {
			d.backoff = min(2*d.backoff, d.c.Health.Most)
			d.postpone()
		}
		if !d.down && d.failures >= d.c.Health.Failures {
			if d.now-d.upSince > steady*d.c.Health.Most {
				d.backoff = d.c.Health.First
			}
			d.down = true
			d.postpone()
			d.do(Down{d.failures, d.retry - d.now})
		}
	default:
		d.failures = 0
		if d.down {
			d.down, d.upSince = false, d.now
			d.backoff = min(2*d.backoff, d.c.Health.Most) // unless it stays up: see above
			d.do(Back{})
		}
	}
}

// postpone sets the time of the next trial, up to a fifth later so that routers do not try
// together.
func (d *Decider) postpone() {
	d.retry = d.now + d.backoff + time.Duration(d.rng.Float64()*float64(d.backoff)/5)
}

// sample judges the live path. The lower of two bounds ends a signal, so that it does not flap.
func (d *Decider) sample(e Sample) {
	p := &d.c.Pressure
	d.refused = d.refused*math.Exp(-(d.now-d.sampled).Seconds()) + float64(e.Refusals)
	d.sampled = d.now
	worst, signal := 0.0, ""
	for _, s := range []struct {
		name      string
		value, at float64
	}{
		{"held", float64(e.Queued), p.Queued},
		{"bodies", e.Bodies, p.Bodies},
		{"sockets", e.Sockets, p.Sockets},
		{"late", float64(e.Late), float64(p.Late)},
		{"refusals", d.refused, p.Refusals},
	} {
		if by := s.value / s.at; by > worst {
			worst, signal = by, s.name
		}
	}
	if worst > 0.5 && d.level != Calm {
		d.lastHot = d.now
	}
	if worst < 1 {
		return
	}
	if d.level == Calm {
		d.press(signal)
	}
	if worst >= p.Hard {
		d.level = Hard
	}
}

// stale is how old a sample may be.
func (d *Decider) stale() time.Duration { return max(staleAfter, 2*d.c.Pressure.Late) }

// press leaves Calm. Pressure that returns soon makes the next calm a longer one.
func (d *Decider) press(signal string) {
	d.count.Pressed[signal]++
	if d.calmAgain > 0 && d.now-d.calmAgain < d.calmFor {
		d.calmFor = min(2*d.calmFor, maxCalm*d.c.Pressure.Calm)
	} else {
		d.calmFor = d.c.Pressure.Calm
	}
	d.level, d.hotSince, d.lastHot = Tense, d.now, d.now
}

// reconcile brings all copies in line with the time and the level: waiting ones go first, then none
// starts, then running ones end.
func (d *Decider) reconcile() {
	switch {
	case d.now-d.sampled > d.stale() && d.level == Calm && (d.sampled > 0 || len(d.copies) > 0):
		d.press("no sample")
	case d.level != Calm && d.now-d.sampled <= d.stale() && d.now-d.lastHot >= d.calmFor:
		d.level, d.calmAgain = Calm, d.now
	case d.level == Tense && d.now-d.hotSince >= d.c.Pressure.Grace && d.now-d.lastHot < d.c.Pressure.Grace:
		d.level = Hard
	}
	for _, c := range append([]*copying(nil), d.queue...) {
		if cause := d.unwanted(c); cause != "" {
			d.unqueue(c, cause)
		}
	}
	d.fill()
	for _, c := range d.outs {
		switch {
		case d.closed:
			d.end(c, Closing)
		case d.level == Hard:
			d.end(c, Pressed)
		case d.now-c.since >= d.c.Caps.Longest:
			d.end(c, TooLong)
		}
	}
	for d.closed && len(d.pairs) > 0 { // nobody waits for their live answers any more
		c := d.pairs[0]
		d.pairs = d.pairs[1:]
		d.record(c)
	}
}

// unwanted tells why a copy must not wait any longer.
func (d *Decider) unwanted(c *copying) Cause {
	switch {
	case d.closed:
		return Closing
	case d.level != Calm:
		return Pressed
	case d.hosts == 0:
		return NoHosts
	case d.down && (d.trial != nil || d.now < d.retry):
		return PoolDown
	case d.now-c.since > d.c.Caps.Wait:
		if c.waitCause == "" {
			return Pressed // nothing but the lack of a sample kept it
		}
		return c.waitCause
	}
	return ""
}

// fill starts what waits, in its order, as far as the caps allow.
func (d *Decider) fill() {
	for len(d.queue) > 0 && d.startable(d.queue[0]) {
		c := d.queue[0]
		d.queue = d.queue[1:]
		d.start(c)
	}
}

// startable tells whether a copy may start now, and notes on it what keeps it.
func (d *Decider) startable(c *copying) bool {
	switch {
	case d.closed || d.level != Calm || d.hosts == 0 || d.sampled == 0 || d.now-d.sampled > d.stale():
		return false
	case d.down && (d.trial != nil || d.now < d.retry):
		return false
	case len(d.outs) >= d.c.Caps.Out || len(d.pairs) >= pairingFor*d.c.Caps.Out:
		c.waitCause = OverOut
		return false
	}
	if !d.hasTurn() {
		c.waitCause = OverRate
		return false
	}
	return true
}

// turn is a copy's right to one attempt. It may reach its host at any time from when it is sent to
// when the host is heard, so the window begins with the latter: a host sees no more in any second
// of its own, however long copies are on their way.
type turn struct {
	copy uint64
	sent bool
	over bool
	at   time.Duration // of over
}

// hasTurn tells whether one more turn may be taken.
func (d *Decider) hasTurn() bool {
	n, window := d.rate()
	d.turns = slices.DeleteFunc(d.turns, func(t turn) bool { return t.over && d.now-t.at >= window })
	return len(d.turns) < n
}

// send uses the turn that a copy has had since its start, or takes one for a further try.
func (d *Decider) send(id uint64) bool {
	for i := range d.turns {
		if t := &d.turns[i]; t.copy == id && !t.sent {
			t.sent = d.mayReach()
			return t.sent
		}
	}
	if !d.hasTurn() {
		return false
	}
	d.turns = append(d.turns, turn{copy: id, sent: true})
	return true
}

// mayReach tells whether one more attempt may reach a host now. A turn that was taken under a
// higher cap may have to wait.
func (d *Decider) mayReach() bool {
	n, window := d.rate()
	reached := 0
	for _, t := range d.turns {
		if t.sent && !(t.over && d.now-t.at >= window) {
			reached++
		}
	}
	return reached < n
}

// heard ends the turns that a copy has used.
func (d *Decider) heard(id uint64) {
	for i := range d.turns {
		if t := &d.turns[i]; t.copy == id && !t.over && t.sent {
			t.over, t.at = true, d.now
		}
	}
}

// rate returns how many attempts may reach hosts in any window, and its length.
func (d *Decider) rate() (n int, window time.Duration) {
	if r := d.c.Caps.PerSecond; r < 1 {
		return 1, time.Duration(float64(time.Second) / r)
	}
	return int(d.c.Caps.PerSecond), time.Second
}

func (d *Decider) start(c *copying) {
	d.turns = append(d.turns, turn{copy: c.id})
	c.state, c.since = out, d.now
	d.outs = append(d.outs, c)
	if d.down {
		d.trial = c
	}
	d.count.Started++
	d.do(Start{c.id, d.gaps[c.session]})
}

func without(l []*copying, c *copying) []*copying {
	for i := range l {
		if l[i] == c {
			return append(l[:i:i], l[i+1:]...)
		}
	}
	return l
}
