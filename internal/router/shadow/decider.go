package shadow

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxGaps is the maximum number of conversations remembered to have a gap. A new conversation
	// replaces the oldest.
	maxGaps = 1024
	// maxPairingFactor limits the number of copies that have ended before their live answer, as a
	// multiple of Caps.InFlight.
	maxPairingFactor = 2
)

// copyState is the stage of a copy between its Offer and its Drop or Record.
type copyState int

const (
	waiting copyState = iota
	inFlight
	pairing // the copy has ended, but its live answer has not
)

// copyRecord is the state of one copy. The Decider deletes it with the copy's Drop or Record.
type copyRecord struct {
	id           uint64
	session      uint64
	bytes        int64
	state        copyState
	since        time.Duration // when the copy was offered or, once it is in flight, started
	cause        Cause         // why the answers can't be compared; empty if no reason is known yet
	canceled     bool          // Cancel was emitted
	denied       bool          // an attempt was denied by a cap
	waitCause    Cause         // the cap that last prevented the start
	live         bool          // the live answer has ended
	liveComplete bool          // the live answer has ended and is complete
}

// Decider decides which copies to one pool are started, dropped and canceled. It is not safe for
// concurrent use.
type Decider struct {
	config  Config
	rng     *rand.Rand
	now     time.Duration
	actions []Action // of the current Step
	count   Counts

	copies       map[uint64]*copyRecord // all copies, by ID
	queue        []*copyRecord          // waiting copies, in the order of their offers
	inFlight     []*copyRecord          // in the order of their starts
	pairing      []*copyRecord          // copies that ended before their live answer
	bytes        int64                  // total size of the request bodies of all copies
	hostAttempts map[string]int         // attempts in flight, by host
	rateSlots    []rateSlot             // attempts that count against Caps.PerSecond
	closed       bool
	hosts        int // hosts that are serving

	// gaps is the set of conversations with a dropped request. gapRing holds the same conversations
	// in a ring of maxGaps entries. Once the ring is full, gapNext is the index of the oldest.
	gaps    map[uint64]bool
	gapRing []uint64
	gapNext int

	level         PressureLevel
	sampledAt     time.Duration // time of the last sample; 0 if there was none
	rejections    float64       // decays with a time constant of one second
	pressureSince time.Duration // when level last left LevelCalm
	lastPressure  time.Duration // when a signal last exceeded half of its threshold
	calmSince     time.Duration // when level last returned to LevelCalm
	calmPeriod    time.Duration // Pressure.CalmPeriod, doubled if pressure returned early

	ejected  bool
	failures int           // consecutive failed copies
	backoff  time.Duration // delay before the next trial, without jitter
	retryAt  time.Duration // when the next trial may start
	upSince  time.Duration // when the pool last recovered
	trial    *copyRecord   // the trial copy in flight, or nil
}

// New returns a Decider for a pool without hosts. It starts no copy before its first Sample and
// HostsChanged. The seed determines the jitter of the trial times.
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

// Step applies events at the time now and returns the resulting actions. The caller may count now
// from any fixed instant. A call without events only advances the time.
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

// emit appends an action to those of the current Step.
func (d *Decider) emit(a Action) { d.actions = append(d.actions, a) }

// grantAttempt grants an attempt unless a cap denies it or the copy is not in flight any more. Under
// pressure, it cancels the copy and denies the attempt.
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

// copyEnded records the copy if its live answer has ended. Otherwise the copy waits for that end in
// the list pairing.
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

// liveEnded applies the end of a live answer. A copy that has ended is recorded. If the live answer
// is incomplete, there is nothing to compare with: a waiting copy is dropped, and a copy in flight
// is canceled.
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

// record closes a copy that was started. If the copy has no cause yet, the answers can be compared
// only if the live answer is complete.
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

// cancel cancels a copy in flight. Only the first call for a copy has an effect.
func (d *Decider) cancel(c *copyRecord, cause Cause) {
	if c.canceled {
		return
	}
	c.canceled, c.cause = true, cause
	d.count.Ended[cause]++
	d.emit(Cancel{c.id, cause})
}

// reconcile applies the current time and the pressure level to all copies: it drops waiting copies,
// then starts the remaining ones as far as the caps allow, then cancels copies in flight.
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

// recordPairing records all copies that have ended, without waiting for their live answers.
func (d *Decider) recordPairing() {
	for len(d.pairing) > 0 {
		c := d.pairing[0]
		d.pairing = d.pairing[1:]
		d.record(c)
	}
}

// remove returns l without c. It leaves the elements of l unchanged.
func remove(l []*copyRecord, c *copyRecord) []*copyRecord {
	for i := range l {
		if l[i] == c {
			return append(l[:i:i], l[i+1:]...)
		}
	}
	return l
}
