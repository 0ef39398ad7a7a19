package simulation

import (
	"time"
)

// freeze suspends a process.
func (d *FaultInjector) freeze() bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.countAsLost(p, span) {
		return false
	}
	d.trace("freeze", p, span)
	p.Freeze(span)
	d.endAfter(span, func() {})
	return true
}

// freezeOnePeriodically suspends a process for a part of each period.
func (d *FaultInjector) freezeOnePeriodically(period, pause time.Duration) bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.countAsLost(p, span) {
		return false
	}
	d.trace("freeze periodically", p, span)
	d.freezePeriodically(p, d.world.Now+span, period, pause)
	d.endAfter(span, func() {})
	return true
}

// freezeAllPeriodically suspends all processes for a part of each period, as a processor quota
// does. No process counts as lost.
func (d *FaultInjector) freezeAllPeriodically(period, pause time.Duration) bool {
	if d.quotaUntil > d.world.Now {
		return false
	}
	span := d.drawDuration()
	d.quotaUntil = d.world.Now + span
	d.world.Trace("%v all processors have quotas for %v", d.world.Now, span)
	for _, p := range d.world.Processes {
		d.world.After(time.Duration(d.world.rng.Int64N(int64(period))), func() { d.freezePeriodically(p, d.world.Now+span, period, pause) })
	}
	return true
}

// freezePeriodically suspends a process for the pause in each period, until a time.
func (d *FaultInjector) freezePeriodically(p *Process, until, period, pause time.Duration) {
	if d.world.Now >= until {
		return
	}
	if p.up {
		p.Freeze(pause)
	}
	d.world.After(period, func() { d.freezePeriodically(p, until, period, pause) })
}
