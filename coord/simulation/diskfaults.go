package simulation

import (
	"time"
)

// wipe makes a machine lose power and its disk, and starts it again later.
func (d *FaultInjector) wipe(p *Process) bool {
	span := d.drawDuration()
	if !d.diskLossAllowed() || !d.countAsLost(p, span) {
		return false
	}
	d.trace("crash and wipe", p, span)
	d.countDiskAsLost(p)
	p.LosePower()
	p.Wipe()
	d.endAfter(span, p.Start)
	return true
}

// wipeDuringVote makes a machine lose its disk right after its next promise. If the world tolerates
// another lost machine, it also crashes one, which causes a vote.
func (d *FaultInjector) wipeDuringVote() bool {
	p, span := d.pickProcess(), d.drawShortDuration()
	if !d.diskLossAllowed() || !d.countAsLost(p, span) {
		return false
	}
	d.countDiskAsLost(p)
	p.wipeOnPromise = true
	d.endAfter(span, func() { p.wipeOnPromise = false })
	if q := d.pickProcess(); d.world.Tolerance > 1 && q != p && d.countAsLost(q, span) {
		q.Crash()
		d.endAfter(span, q.Start)
	}
	return true
}

// slowDisk delays each write of a machine by a duration. If by is 0, a write takes until the end of
// the fault.
func (d *FaultInjector) slowDisk(by time.Duration) bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.countAsLost(p, span) {
		return false
	}
	if by == 0 {
		by = span
	}
	d.trace("disk slower by "+by.String(), p, span)
	p.SlowDisk(by, span)
	d.endAfter(span, func() {})
	return true
}

// fullDisk makes all writes of a machine fail because its disk is full.
func (d *FaultInjector) fullDisk() bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.countAsLost(p, span) {
		return false
	}
	d.trace("disk full", p, span)
	affected := p.disk
	affected.full = true
	d.endAfter(span, func() { affected.full = false })
	return true
}
