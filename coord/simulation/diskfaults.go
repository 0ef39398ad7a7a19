package simulation

import (
	"time"
)

// wipe has a machine lose its disk and start again.
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

// wipeDuringVote has a machine lose its disk right after its next promise, and another one
// crash, so that there is a vote.
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

// slowDisk delays the writes of a machine, for the whole duration of the fault if by is 0.
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

// fullDisk has the writes of a machine fail.
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
