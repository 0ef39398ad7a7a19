package shadow

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxGaps bounds the conversations known to have a gap; the oldest is forgotten first.
	maxGaps = 1024
	// maxPairingFactor bounds the copies that have ended before their live answer, as a multiple of
	// Caps.InFlight.
	maxPairingFactor = 2
)

// copyState is how far a copy has come.
type copyState int

const (
	waiting copyState = iota
	inFlight
	pairing // the copy has ended, its live answer has not
)

// copyRecord is the state of one copy. It is forgotten with the copy's Drop or Record.
type copyRecord struct {
	id           uint64
	session      uint64
	bytes        int64
	state        copyState
	since        time.Duration // offered, then started
	cause        Cause         // why it is not comparable, so far
	canceled     bool          // Cancel was emitted
	denied       bool          // an attempt was denied by a cap
	waitCause    Cause         // the cap that kept it waiting last
	live         bool          // the live answer has ended
	liveComplete bool          // and is complete
}

// Decider decides for one pool. It is not safe for concurrent use.
type Decider struct {
	config  Config
	rng     *rand.Rand
	now     time.Duration
	actions []Action // of the present Step
	count   Counts

	copies       map[uint64]*copyRecord // all of them, by id
	queue        []*copyRecord          // waiting, in the order of their offers
	inFlight     []*copyRecord          // in the order of their start
	pairing      []*copyRecord          // ended before their live answer
	bytes        int64                  // of the bodies of all copies
	hostAttempts map[string]int         // in flight, by host
	rateSlots    []rateSlot             // see rateSlot
	closed       bool
	hosts        int // that serve

	// Conversations of which a request was dropped, and the same in a ring of maxGaps.
	gaps    map[uint64]bool
	gapRing []uint64
	gapNext int

	level         PressureLevel
	sampledAt     time.Duration // the last sample, 0 for none
	rejections    float64       // decays over a second
	pressureSince time.Duration // level left LevelCalm
	lastPressure  time.Duration // a signal was last above half of its threshold
	calmSince     time.Duration // level returned to LevelCalm
	calmPeriod    time.Duration // in force, see Pressure.CalmPeriod

	ejected  bool
	failures int           // consecutive ones
	backoff  time.Duration // until the next trial
	retryAt  time.Duration // of the next trial
	upSince  time.Duration // the pool recovered
	trial    *copyRecord   // in flight
}

// New returns a Decider for a pool without hosts. It starts nothing before its first Sample and
// HostsChanged. The seed determines the jitter of its trials.
func New(c Config, seed uint64) *Decider {
	return &Decider{
		config:       c,
		rng:          rand.New(rand.NewPCG(seed, 0)),
		copies:       map[uint64]*copyRecord{},
		hostAttempts: map[string]int{},
		gaps:         map[uint64]bool{},
		calmPeriod:   c.Pressure.CalmPeriod,
		backoff:      c.Health.MinBackoff,
		count: Counts{
			Dropped:         map[Cause]uint64{},
			Ended:           map[Cause]uint64{},
			Incomparable:    map[Cause]uint64{},
			PressureSignals: map[string]uint64{},
		},
	}
}

// Step applies events at the time now, which counts from any fixed instant, and returns the actions
// that follow. Without events it lets time pass.
func (d *Decider) Step(now time.Duration, events []Event) []Action {
	d.now, d.actions = max(now, d.now), nil
	for _, event := range events {
		d.apply(event)
	}
	d.reconcile()
	return d.actions
}

func (d *Decider) apply(event Event) {
	switch e := event.(type) {
	case Offer:
		d.offer(e)
	case AttemptRequest:
		d.grantAttempt(e)
	case AttemptReached:
		d.attemptReached(e.Copy)
	case AttemptEnded:
		d.attemptEnded(e.Host)
	case CopyEnded:
		d.copyEnded(e)
	case LiveEnded:
		d.liveEnded(e)
	case Sample:
		d.sample(e)
	case HostsChanged:
		d.hosts = e.Serving
	case Reconfigure:
		d.config = e.Config
		d.calmPeriod = d.config.Pressure.CalmPeriod
		d.backoff = max(d.backoff, d.config.Health.MinBackoff)
	case Close:
		d.closed = true
	}
}

// emit adds an action to those of the present Step.
func (d *Decider) emit(a Action) { d.actions = append(d.actions, a) }

// grantAttempt grants an attempt unless a cap denies it, or the copy was canceled or is now.
func (d *Decider) grantAttempt(e AttemptRequest) {
	c := d.copies[e.Copy]
	ok := c != nil && c.state == inFlight && !c.canceled
	switch {
	case ok && d.level != LevelCalm:
		ok = false
		d.cancel(c, UnderPressure)
	case ok && d.hostAttempts[e.Host] >= d.config.Caps.InFlightPerHost:
		ok, c.denied = false, true
		d.count.HostFull++
	case ok && !d.takeRateSlot(c.id):
		ok, c.denied = false, true
	case ok:
		d.hostAttempts[e.Host]++
	}
	d.emit(AttemptGranted{e.Copy, e.Host, ok})
}

func (d *Decider) attemptEnded(host string) {
	d.hostAttempts[host]--
	if d.hostAttempts[host] <= 0 {
		delete(d.hostAttempts, host)
	}
}

// copyEnded records the copy if its live answer has ended, and otherwise lets it wait for that.
func (d *Decider) copyEnded(e CopyEnded) {
	c := d.copies[e.Copy]
	if c == nil || c.state != inFlight {
		return
	}
	d.inFlight = remove(d.inFlight, c)
	d.attemptReached(c.id)
	d.releaseRateSlot(c.id)
	c.state = pairing
	if c.cause == "" {
		c.cause = e.Cause
	}
	d.updateHealth(c, e.Cause)
	if c.live {
		d.record(c)
		return
	}
	d.pairing = append(d.pairing, c)
}

// liveEnded records a copy that has ended. Without a complete live answer there is nothing to
// compare with, so a copy that waits is dropped and one in flight is canceled.
func (d *Decider) liveEnded(e LiveEnded) {
	c := d.copies[e.Copy]
	if c == nil || c.live {
		return
	}
	c.live, c.liveComplete = true, e.Complete
	switch {
	case c.state == pairing:
		d.pairing = remove(d.pairing, c)
		d.record(c)
	case !e.Complete && c.state == waiting:
		d.dropWaiting(c, NoLiveAnswer)
	case !e.Complete:
		d.cancel(c, NoLiveAnswer)
	}
}

// record closes a copy that was started. Without a cause so far, it is comparable only where the
// live answer is complete.
func (d *Decider) record(c *copyRecord) {
	if c.cause == "" && !c.live {
		c.cause = Closing
	}
	if c.cause == "" && !c.liveComplete {
		c.cause = NoLiveAnswer
	}
	delete(d.copies, c.id)
	d.bytes -= c.bytes
	d.count.Recorded++
	if c.cause == "" {
		d.count.Compared++
	} else {
		d.count.Incomparable[c.cause]++
	}
	d.emit(Record{c.id, c.cause, c.live})
}

// cancel gives up a copy in flight. The first cause stays.
func (d *Decider) cancel(c *copyRecord, cause Cause) {
	if c.canceled {
		return
	}
	c.canceled, c.cause = true, cause
	d.count.Ended[cause]++
	d.emit(Cancel{c.id, cause})
}

// reconcile brings all copies in line with the time and the level: waiting ones are dropped first,
// then others started, then those in flight canceled.
func (d *Decider) reconcile() {
	d.updateLevel()
	for _, c := range slices.Clone(d.queue) {
		if cause := d.dropCause(c); cause != "" {
			d.dropWaiting(c, cause)
		}
	}
	d.startWaiting()
	for _, c := range d.inFlight {
		switch {
		case d.closed:
			d.cancel(c, Closing)
		case d.level == LevelHard:
			d.cancel(c, UnderPressure)
		case d.now-c.since >= d.config.Caps.MaxDuration:
			d.cancel(c, TimedOut)
		}
	}
	if d.closed {
		d.recordPairing()
	}
}

// recordPairing records the copies whose live answer nobody waits for any more.
func (d *Decider) recordPairing() {
	for len(d.pairing) > 0 {
		c := d.pairing[0]
		d.pairing = d.pairing[1:]
		d.record(c)
	}
}

// remove returns the list without c, in an array of its own where c was in it.
func remove(l []*copyRecord, c *copyRecord) []*copyRecord {
	for i := range l {
		if l[i] == c {
			return append(l[:i:i], l[i+1:]...)
		}
	}
	return l
}
