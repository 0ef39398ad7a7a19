package simulation

import (
	"time"
)

const (
	// catchUpTime is how long a machine counts as lost after its return.
	catchUpTime = 4 * time.Second
	// stabilityTime is how long after the last disruption the register counts as stable, and
	// acknowledgeTimeout how long an acknowledgement may take from then on.
	stabilityTime      = 3 * time.Second
	acknowledgeTimeout = 4 * time.Second
	// minUnanswered is how many commands have to be unanswered for a violation of liveness: fewer
	// may all have been rejected.
	minUnanswered = 5
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 2500 * time.Millisecond
	// startupTime is how long a world runs before the first fault.
	startupTime = 5 * time.Second
)

// FaultInjector draws faults and injects them. It keeps count of the machines and disks that are
// lost, so that no more are at once than the world tolerates.
type FaultInjector struct {
	world         *World
	kinds         []Kind
	overlap       bool          // more machines may be lost than are tolerated, though not their disks
	until         time.Duration // no fault begins later
	lostUntil     map[*Process]time.Duration
	diskLostUntil map[*Process]time.Duration
	draining      map[*Process]bool // to be shut down for good
	replacements  int               // machines that were added, at most maxReplacements
	quotaUntil    time.Duration     // the end of processor quotas
	counts        map[Kind]int      // faults that were injected
	quietSince    time.Duration     // the last beginning or end of a disruption
	endsAt        time.Duration     // of the last fault in progress
}

// InjectFaults injects faults of some kinds until a time: no more at once than the world
// tolerates, or with overlap any number, as long as no more disks are lost.
func (w *World) InjectFaults(kinds []Kind, until time.Duration, overlap bool) *FaultInjector {
	d := &FaultInjector{
		world:         w,
		kinds:         kinds,
		overlap:       overlap,
		until:         until,
		lostUntil:     map[*Process]time.Duration{},
		diskLostUntil: map[*Process]time.Duration{},
		draining:      map[*Process]bool{},
		counts:        map[Kind]int{},
	}
	w.After(startupTime, d.injectNext)
	w.After(startupTime, d.checkLiveness)
	return d
}

// Counts is how often each kind was injected.
func (d *FaultInjector) Counts() map[Kind]int { return d.counts }

// EndsAt is when the last fault that has begun is over.
func (d *FaultInjector) EndsAt() time.Duration { return d.endsAt }

// injectNext injects a drawn fault, and schedules the next one.
func (d *FaultInjector) injectNext() {
	w := d.world
	if w.Now >= d.until || w.Violation != nil {
		return
	}
	w.After(time.Duration(w.rng.ExpFloat64()*float64(meanFaultInterval)), d.injectNext)
	if kind := d.kinds[w.rng.IntN(len(d.kinds))]; injectors[kind](d) {
		d.counts[kind]++
		d.recordDisruption()
	}
}

// recordDisruption records that a disruption begins or ends now.
func (d *FaultInjector) recordDisruption() {
	d.quietSince = d.world.Now
	d.endsAt = max(d.endsAt, d.world.Now)
}

// endAfter schedules the end of a disruption.
func (d *FaultInjector) endAfter(delay time.Duration, do func()) {
	d.endsAt = max(d.endsAt, d.world.Now+delay)
	d.world.After(delay, func() {
		do()
		d.recordDisruption()
	})
}

// checkLiveness checks each second that commands are acknowledged while the register is stable.
func (d *FaultInjector) checkLiveness() {
	w := d.world
	unanswered := w.History.startedBetween(w.History.LastAcknowledged, w.Now-time.Second)
	overdue := unanswered >= minUnanswered && w.Now-w.History.LastAcknowledged > acknowledgeTimeout
	if overdue && d.isStable() {
		w.Fail("no command was acknowledged since %v; nothing has changed since %v", w.History.LastAcknowledged, d.quietSince)
	}
	w.After(time.Second, d.checkLiveness)
}

// isStable reports whether the tolerance hasn't been exceeded, and nothing was disrupted for so
// long that commands have to be acknowledged.
func (d *FaultInjector) isStable() bool {
	w := d.world
	if d.overlap || d.countLost(nil) > w.Tolerance {
		return false
	}
	return w.Now >= max(d.quietSince, startupTime)+stabilityTime+acknowledgeTimeout
}

// pickProcess draws a machine, of those that stay.
func (d *FaultInjector) pickProcess() *Process {
	for {
		p := d.world.Processes[d.world.rng.IntN(len(d.world.Processes))]
		if !d.draining[p] {
			return p
		}
	}
}

// oldestDisk is the machine whose disk has lasted longest: of those that stay, the first that
// was added and not wiped.
func (d *FaultInjector) oldestDisk() *Process {
	for _, p := range d.world.Processes {
		if !d.draining[p] && d.diskLostUntil[p] == 0 {
			return p
		}
	}
	return d.pickProcess()
}

// drawDuration draws how long a fault lasts: some seconds, 5 to 25 s one time in four, a minute
// one time in twenty.
func (d *FaultInjector) drawDuration() time.Duration {
	switch draw := d.world.rng.IntN(20); {
	case draw == 0:
		return time.Minute
	case draw < 6:
		return time.Duration(5000+d.world.rng.IntN(20000)) * time.Millisecond
	}
	return d.drawShortDuration()
}

// drawShortDuration draws a duration of up to some seconds.
func (d *FaultInjector) drawShortDuration() time.Duration {
	return time.Duration(200+d.world.rng.IntN(4000)) * time.Millisecond
}

// countAsLost counts a machine as lost for a while, and until it had time to catch up after
// that. It reports whether that is allowed.
func (d *FaultInjector) countAsLost(p *Process, span time.Duration) bool {
	if !d.overlap && d.countLost(p) >= d.world.Tolerance || d.lostUntil[p] > d.world.Now || d.draining[p] {
		return false
	}
	d.lostUntil[p] = d.world.Now + span + catchUpTime
	d.endsAt = max(d.endsAt, d.world.Now+span)
	return true
}

// countLost is the number of machines that count as lost, without one.
func (d *FaultInjector) countLost(except *Process) (n int) {
	for p, until := range d.lostUntil {
		if p != except && until > d.world.Now {
			n++
		}
	}
	return n
}

// anyLost reports whether a machine counts as lost or is draining.
func (d *FaultInjector) anyLost() bool { return d.countLost(nil) > 0 || len(d.drainingForGood()) > 0 }

// drainingForGood are the machines that are to be removed and still run.
func (d *FaultInjector) drainingForGood() (all []*Process) {
	for p := range d.draining {
		if p.up {
			all = append(all, p)
		}
	}
	return all
}

// countAllAsLost counts all machines as lost for a while, so that no other fault is injected
// meanwhile.
func (d *FaultInjector) countAllAsLost(span time.Duration) {
	for _, p := range d.world.Processes {
		d.lostUntil[p] = max(d.lostUntil[p], d.world.Now+span+catchUpTime)
	}
	d.endsAt = max(d.endsAt, d.world.Now+span)
}

// diskLossAllowed reports whether one more disk may be lost now.
func (d *FaultInjector) diskLossAllowed() bool {
	n := 0
	for _, until := range d.diskLostUntil {
		if until > d.world.Now || d.overlap && d.endsAt+catchUpTime > d.world.Now {
			n++
		}
	}
	return n < d.world.Tolerance
}

// countDiskAsLost counts a disk as lost until all machines had time to catch up.
func (d *FaultInjector) countDiskAsLost(p *Process) {
	d.diskLostUntil[p] = max(d.endsAt, d.lostUntil[p]) + catchUpTime
}

// onNextAcknowledgement calls a function at the next acknowledgement.
func (w *World) onNextAcknowledgement(do func()) { w.onAcknowledged = append(w.onAcknowledged, do) }

// trace writes a line on a fault.
func (d *FaultInjector) trace(kind string, p *Process, span time.Duration) {
	d.world.Trace("%v %s %s for %v", d.world.Now, kind, p.Address, span)
}
