package simulation

import (
	"time"
)

const (
	// catchUpTime is how long a machine still counts as lost after its fault has ended.
	catchUpTime = 4 * time.Second
	// stabilityTime is how long after the last disruption the register counts as stable.
	// acknowledgeTimeout is how long an acknowledgement may take from then on.
	stabilityTime      = 3 * time.Second
	acknowledgeTimeout = 4 * time.Second
	// minUnanswered is how many commands must have been sent since the last acknowledgement for a
	// violation of liveness. A smaller number of commands may all have been rejected.
	minUnanswered = 5
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 2500 * time.Millisecond
	// startupTime is how long a world runs before the first fault.
	startupTime = 5 * time.Second
)

// FaultInjector draws faults and injects them. It counts the machines and disks that are lost, so
// that no more of them are lost at once than the world tolerates.
type FaultInjector struct {
	world         *World
	kinds         []Kind
	overlap       bool          // more machines may be lost at once than the world tolerates, but not more disks
	until         time.Duration // when the injection of new faults stops
	lostUntil     map[*Process]time.Duration
	diskLostUntil map[*Process]time.Duration
	draining      map[*Process]bool // machines that a planned replacement shuts down permanently
	replacements  int               // how many machines were added, at most maxReplacements
	quotaUntil    time.Duration     // when the current processor quotas end
	counts        map[Kind]int      // how many faults of each kind were injected
	quietSince    time.Duration     // when a disruption last began or ended
	endsAt        time.Duration     // when the last fault in progress ends
}

// InjectFaults injects faults of some kinds until a time. Without overlap, no more machines are
// lost at once than the world tolerates. With overlap, any number of machines may be lost, but no
// more disks than the world tolerates.
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

// Counts returns how often each kind was injected.
func (d *FaultInjector) Counts() map[Kind]int { return d.counts }

// EndsAt returns when the last fault that has begun ends.
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

// endAfter schedules the function that ends a disruption.
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
		w.Fail("no command was acknowledged since %v; no fault has begun or ended since %v", w.History.LastAcknowledged, d.quietSince)
	}
	w.After(time.Second, d.checkLiveness)
}

// isStable reports whether the tolerance isn't exceeded and the last disruption was so long ago
// that commands have to be acknowledged.
func (d *FaultInjector) isStable() bool {
	w := d.world
	if d.overlap || d.countLost(nil) > w.Tolerance {
		return false
	}
	return w.Now >= max(d.quietSince, startupTime)+stabilityTime+acknowledgeTimeout
}

// pickProcess draws a machine among those that aren't being removed.
func (d *FaultInjector) pickProcess() *Process {
	for {
		p := d.world.Processes[d.world.rng.IntN(len(d.world.Processes))]
		if !d.draining[p] {
			return p
		}
	}
}

// oldestDisk returns the machine with the oldest disk: among the machines that aren't being
// removed, the first one added whose disk was never lost. If there is none, it draws a machine.
func (d *FaultInjector) oldestDisk() *Process {
	for _, p := range d.world.Processes {
		if !d.draining[p] && d.diskLostUntil[p] == 0 {
			return p
		}
	}
	return d.pickProcess()
}

// drawDuration draws how long a fault lasts: one time in twenty a minute, one time in four 5 to
// 25 s, otherwise some seconds.
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

// countAsLost counts a machine as lost for a duration and the time to catch up after it. It returns
// false, and counts nothing, if the machine may not be lost now.
func (d *FaultInjector) countAsLost(p *Process, span time.Duration) bool {
	if !d.overlap && d.countLost(p) >= d.world.Tolerance || d.lostUntil[p] > d.world.Now || d.draining[p] {
		return false
	}
	d.lostUntil[p] = d.world.Now + span + catchUpTime
	d.endsAt = max(d.endsAt, d.world.Now+span)
	return true
}

// countLost returns the number of machines that count as lost, without the given one.
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

// drainingForGood returns the machines that are being removed and still run.
func (d *FaultInjector) drainingForGood() (all []*Process) {
	for p := range d.draining {
		if p.up {
			all = append(all, p)
		}
	}
	return all
}

// countAllAsLost counts all machines as lost for a duration, so that no other fault is injected
// in that time.
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

// countDiskAsLost counts a disk as lost until all machines have had time to catch up.
func (d *FaultInjector) countDiskAsLost(p *Process) {
	d.diskLostUntil[p] = max(d.endsAt, d.lostUntil[p]) + catchUpTime
}

// onNextAcknowledgement calls a function at the next acknowledgement.
func (w *World) onNextAcknowledgement(do func()) { w.onAcknowledged = append(w.onAcknowledged, do) }

// trace writes a trace line about a fault of one process.
func (d *FaultInjector) trace(kind string, p *Process, span time.Duration) {
	d.world.Trace("%v %s %s for %v", d.world.Now, kind, p.Address, span)
}
