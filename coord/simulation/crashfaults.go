package simulation

import (
	"fmt"
	"slices"
	"time"
)

// minRestartDelay is the least time from the end of a process to its next start. restartDelay adds
// a random part.
const minRestartDelay = 300 * time.Millisecond

// restartDelay draws the time from the end of a process to its next start: minRestartDelay and some
// tenths of a second.
func (d *FaultInjector) restartDelay() time.Duration {
	return minRestartDelay + time.Duration(d.world.rng.IntN(400))*time.Millisecond
}

// kill kills a process, with or without a loss of power, and starts it again later.
func (d *FaultInjector) kill(power bool) bool {
	p, span := d.pickProcess(), d.drawDuration()
	if !d.countAsLost(p, span) {
		return false
	}
	d.trace("kill", p, span)
	if power {
		p.LosePower()
	} else {
		p.Crash()
	}
	d.endAfter(span, p.Start)
	return true
}

// killRepeatedly kills a process several times, at regular intervals, and starts it shortly after
// each kill.
func (d *FaultInjector) killRepeatedly() bool {
	const times = 4
	p, span := d.pickProcess(), 6*time.Second
	if !d.countAsLost(p, span) {
		return false
	}
	d.trace("kill repeatedly", p, span)
	for i := range times {
		d.world.After(time.Duration(i)*span/times, p.Crash)
		d.world.After(time.Duration(i)*span/times+d.restartDelay(), p.Start)
	}
	d.endAfter(span, p.Start)
	return true
}

// restart drains a process and starts it with the same disk.
func (d *FaultInjector) restart() bool {
	p := d.pickProcess()
	serve := time.Duration(d.world.rng.IntN(8000)) * time.Millisecond
	if !d.countAsLost(p, maxDrainTime+time.Second) {
		return false
	}
	d.trace("restart", p, serve)
	p.Drain(serve, func() { d.endAfter(d.restartDelay(), p.Start) })
	return true
}

// restartAll kills processes, and starts each of them again after a restart delay.
func (d *FaultInjector) restartAll(all []*Process) {
	for _, p := range all {
		p.Crash()
		d.endAfter(d.restartDelay(), p.Start)
	}
}

// drawShortDelay draws a delay of up to 4 ms after an acknowledgement.
func (d *FaultInjector) drawShortDelay() time.Duration {
	return time.Duration(d.world.rng.IntN(4000)) * time.Microsecond
}

// drawDelay draws a delay of up to 400 ms after an acknowledgement.
func (d *FaultInjector) drawDelay() time.Duration {
	return time.Duration(5+d.world.rng.IntN(395)) * time.Millisecond
}

// losePowerAfterAck makes a machine lose power after the next acknowledgement and a delay. With
// wipe, the machine loses its disk too.
func (d *FaultInjector) losePowerAfterAck(delay time.Duration, wipe bool) bool {
	p, span := d.chainEnd(), d.drawDuration()
	if wipe && !d.diskLossAllowed() || !d.countAsLost(p, span+delay) {
		return false
	}
	d.world.onNextAcknowledgement(func() {
		d.world.After(delay, func() {
			d.trace("power lost after an acknowledgement, wipe "+fmt.Sprint(wipe), p, span)
			p.LosePower()
			if wipe {
				d.countDiskAsLost(p)
				p.Wipe()
			}
			d.lostUntil[p] = d.world.Now + span + catchUpTime
			d.endAfter(span, p.Start)
		})
	})
	return true
}

// chainEnd draws a machine, mostly the head or the tail of the chain.
func (d *FaultInjector) chainEnd() *Process {
	p := d.pickProcess()
	if p.Core == nil {
		return p
	}
	v := p.Core.View()
	if len(v.GetChain()) == 0 || d.world.rng.IntN(3) == 0 {
		return p
	}
	identity := v.Chain[d.world.rng.IntN(2)*(len(v.Chain)-1)]
	for _, q := range d.world.Processes {
		if q.self != nil && q.self.Identity == identity {
			return q
		}
	}
	return p
}

// crashMode says what happens to writes of a crashed process that weren't synced.
type crashMode int

// The crash modes.
const (
	processKill crashMode = iota // the writes remain
	powerLoss                    // each write may be lost or torn
)

// crashAll crashes all processes at once.
func (d *FaultInjector) crashAll(mode crashMode, down time.Duration) bool {
	if !d.overlap && d.anyLost() {
		return false
	}
	d.crashEach(mode, down)
	return true
}

// crashEach crashes all processes, and starts them again after down and a restart delay.
func (d *FaultInjector) crashEach(mode crashMode, down time.Duration) {
	d.world.Trace("%v all crash", d.world.Now)
	d.countAllAsLost(down + time.Second)
	for _, p := range slices.Clone(d.world.Processes) {
		d.crashOne(p, mode)
		d.endAfter(down+d.restartDelay(), p.Start)
	}
}

// crashOne crashes a process in the given mode.
func (d *FaultInjector) crashOne(p *Process, mode crashMode) {
	if mode == powerLoss {
		p.LosePower()
	} else {
		p.Crash()
	}
}

// crashAllAfterAck crashes all processes after the next acknowledgement and a drawn delay, and
// wipes the disks of a number of machines.
func (d *FaultInjector) crashAllAfterAck(mode crashMode, wiped int) bool {
	if d.anyLost() || wiped > 0 && !d.diskLossAllowed() {
		return false
	}
	delay := []time.Duration{0, d.drawShortDelay(), d.drawDelay()}[d.world.rng.IntN(3)]
	d.countAllAsLost(5 * time.Second)
	d.world.onNextAcknowledgement(func() {
		d.world.After(delay, func() {
			d.crashEach(mode, 0)
			for _, p := range d.sample(min(wiped, len(d.world.Processes))) {
				d.world.Trace("%v %s loses its disk", d.world.Now, p.Address)
				d.countDiskAsLost(p)
				p.Wipe()
			}
			d.countAllAsLost(time.Second)
		})
	})
	return true
}
