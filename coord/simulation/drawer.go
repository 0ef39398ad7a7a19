package simulation

import (
	"time"
)

const (
	// catchUp is how long a machine counts as lost after its return.
	catchUpTime = 4 * time.Second
	// contact is how long after the last disruption the core counts as stable, and acknowledge bounds an acknowledgement from then on.
	stabilityTime      = 3 * time.Second
	acknowledgeTimeout = 4 * time.Second
	// fewTries is how many orders may be refused or wait before that says anything.
	minUnanswered = 5
	// faultEvery is the mean time between two faults.
	meanFaultInterval = 2500 * time.Millisecond
	// startFor is how long a world is left alone at its beginning.
	startupTime = 5 * time.Second
)

// Drawer draws faults and has them strike.
type FaultInjector struct {
	world         *World
	kinds         []Kind
	overlap       bool // faults may be more than are tolerated, but for lost disks
	until         time.Duration
	lostUntil     map[*Process]time.Duration // counted as lost until then
	diskLostUntil map[*Process]time.Duration // lost disks that still count
	draining      map[*Process]bool          // told to end for good
	replacements  int
	quotaUntil    time.Duration // processors are quotas until then
	counts        map[Kind]int
	quietSince    time.Duration // since the last disruption began or ended
	endsAt        time.Duration // the last one that is under way
}

// Draw has faults of some kinds strike from the start of orders until a time: no more at once than the world tolerates, or with overlap
// any number, as long as no more disks are lost.
func (w *World) InjectFaults(kinds []Kind, until time.Duration, overlap bool) *FaultInjector {
	d := &FaultInjector{world: w, kinds: kinds, overlap: overlap, until: until, lostUntil: map[*Process]time.Duration{}, diskLostUntil: map[*Process]time.Duration{},
		draining: map[*Process]bool{}, counts: map[Kind]int{}}
	w.After(startupTime, d.injectNext)
	w.After(startupTime, d.checkLiveness)
	return d
}

// Struck is how often each kind struck.
func (d *FaultInjector) Counts() map[Kind]int { return d.counts }

// Ends is when the last fault that has begun is over.
func (d *FaultInjector) EndsAt() time.Duration { return d.endsAt }

// next draws one fault, and the time of the next one.
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

// disturbed notes that a disruption begins or ends now.
func (d *FaultInjector) recordDisruption() {
	d.quietSince = d.world.Now
	d.endsAt = max(d.endsAt, d.world.Now)
}

// later ends a disruption.
func (d *FaultInjector) endAfter(in time.Duration, do func()) {
	d.endsAt = max(d.endsAt, d.world.Now+in)
	d.world.After(in, func() {
		do()
		d.recordDisruption()
	})
}

// watch looks again and again whether orders are taken while the core is stable.
func (d *FaultInjector) checkLiveness() {
	w := d.world
	stable := !d.overlap && d.countLost(nil) <= w.Tolerance && w.Now >= d.quietSince+stabilityTime+acknowledgeTimeout && w.Now >= startupTime+stabilityTime+acknowledgeTimeout
	if stable && w.History.startedBetween(w.History.LastAcknowledged, w.Now-time.Second) >= minUnanswered && w.Now-w.History.LastAcknowledged > acknowledgeTimeout {
		w.Fail("no order was acknowledged since %v; nothing has changed since %v", w.History.LastAcknowledged, d.quietSince)
	}
	w.After(time.Second, d.checkLiveness)
}

// pick is a machine by lot, of those that stay.
func (d *FaultInjector) pickProcess() *Process {
	for {
		p := d.world.Processes[d.world.rng.IntN(len(d.world.Processes))]
		if !d.draining[p] {
			return p
		}
	}
}

// oldest is the machine whose disk has lasted longest: of those that stay, the first that was added and not wiped.
func (d *FaultInjector) oldestDisk() *Process {
	for _, p := range d.world.Processes {
		if !d.draining[p] && d.diskLostUntil[p] == 0 {
			return p
		}
	}
	return d.pickProcess()
}

// span is how long a fault lasts: some seconds, 5 to 25 in one of four, a minute in one of twenty.
func (d *FaultInjector) drawDuration() time.Duration {
	switch draw := d.world.rng.IntN(20); {
	case draw == 0:
		return time.Minute
	case draw < 6:
		return time.Duration(5000+d.world.rng.IntN(20000)) * time.Millisecond
	}
	return d.drawShortDuration()
}

func (d *FaultInjector) drawShortDuration() time.Duration {
	return time.Duration(200+d.world.rng.IntN(4000)) * time.Millisecond
}

// lose counts a machine as lost for a time, and until it had its time to catch up after that; it tells whether that may be.
func (d *FaultInjector) markLost(p *Process, span time.Duration) bool {
	if !d.overlap && d.countLost(p) >= d.world.Tolerance || d.lostUntil[p] > d.world.Now || d.draining[p] {
		return false
	}
	d.lostUntil[p] = d.world.Now + span + catchUpTime
	d.endsAt = max(d.endsAt, d.world.Now+span)
	return true
}

// countLost is how many machines count as lost, one left out.
func (d *FaultInjector) countLost(but *Process) (n int) {
	for p, until := range d.lostUntil {
		if p != but && until > d.world.Now {
			n++
		}
	}
	return n
}

func (d *FaultInjector) anyLost() bool { return d.countLost(nil) > 0 || len(d.drainingForGood()) > 0 }

// pending are the machines that are told to end for good, and have not yet.
func (d *FaultInjector) drainingForGood() (all []*Process) {
	for p := range d.draining {
		if p.up {
			all = append(all, p)
		}
	}
	return all
}

// loseAll counts all machines as lost for a time, so that nothing else is lost meanwhile.
func (d *FaultInjector) markAllLost(span time.Duration) {
	for _, p := range d.world.Processes {
		d.lostUntil[p] = max(d.lostUntil[p], d.world.Now+span+catchUpTime)
	}
	d.endsAt = max(d.endsAt, d.world.Now+span)
}

// mayLoseDisk tells whether one more disk may be lost now.
func (d *FaultInjector) diskLossAllowed() bool {
	n := 0
	for _, until := range d.diskLostUntil {
		if until > d.world.Now || d.overlap && d.endsAt+catchUpTime > d.world.Now {
			n++
		}
	}
	return n < d.world.Tolerance
}

// loseDisk counts a disk as lost until all had their time to catch up.
func (d *FaultInjector) markDiskLost(p *Process) {
	d.diskLostUntil[p] = max(d.endsAt, d.lostUntil[p]) + catchUpTime
}

// afterTaken has something happen at the next acknowledgement.
func (w *World) onNextAcknowledgement(do func()) { w.onAcknowledged = append(w.onAcknowledged, do) }
