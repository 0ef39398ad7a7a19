package simulation

import (
	"errors"
	"time"

	"reachspread/coord/storage"
)

// Crash ends the process at once, as SIGKILL does. The write in progress is carried out up to a
// drawn step. Data that wasn't synced remains, but a later loss of power may destroy it.
func (p *Process) Crash() { p.crash(p.world.rng.IntN(maxBatchSteps + 1)) }

// crash ends the process after a number of steps of the write in progress.
func (p *Process) crash(steps int) {
	if p.writing != nil && p.up {
		p.disk.stepsLeft = steps
		if err := p.writing.Write(p.store); err != nil && !errors.Is(err, errProcessEnded) && !errors.Is(err, errDiskFull) && !errors.Is(err, storage.ErrSaveRequired) {
			p.world.Fail("%s: %v", p.Address, err)
		}
	}
	p.up, p.writing = false, nil
	p.incarnation++
}

// LosePower ends the process, and loses or tears writes that weren't synced.
func (p *Process) LosePower() {
	p.Crash()
	p.disk.losePower(p.world.rng)
}

// LoseUnwritten is like LosePower, but no step of the write in progress is carried out.
func (p *Process) LoseUnwritten() {
	p.crash(0)
	p.disk.losePower(p.world.rng)
}

// Wipe replaces the machine's disk with an empty one.
func (p *Process) Wipe() { p.disk = newDisk() }

// SlowDisk delays each write by a duration, for a time span.
func (p *Process) SlowDisk(by, span time.Duration) {
	p.writeDelay, p.writeDelayEnd = by, p.world.Now+span
	p.world.After(span, func() {
		if p.writeDelayEnd <= p.world.Now {
			p.writeDelay = 0
		}
	})
}

// Freeze suspends the process for a duration.
func (p *Process) Freeze(d time.Duration) {
	p.frozenUntil = max(p.frozenUntil, p.world.Now+d)
	incarnation := p.incarnation
	p.world.After(p.frozenUntil-p.world.Now, func() {
		if p.incarnation != incarnation || !p.up || p.frozenUntil > p.world.Now {
			return
		}
		postponed := p.postponed
		p.postponed = nil
		for _, f := range postponed {
			p.whenRunning(f)
		}
	})
}

// minDrainTime is the least time from Drain to the end of a process, so that clients see that the
// process is no longer ready. A process that still runs after maxDrainTime is killed.
const (
	minDrainTime = 1200 * time.Millisecond
	maxDrainTime = 7700 * time.Millisecond
)

// Drain shuts the process down gracefully, as SIGTERM does. The process runs for serveFor at least,
// then until its Core can shut down, but no longer than maxDrainTime. Drain calls then after the
// process has ended.
func (p *Process) Drain(serveFor time.Duration, then func()) {
	if !p.up {
		then()
		return
	}
	p.Core.Drain()
	p.awaitShutdown(p.incarnation, p.world.Now+max(serveFor, minDrainTime), p.world.Now+maxDrainTime, then)
}

// awaitShutdown ends an incarnation between two times, as soon as its Core can shut down.
func (p *Process) awaitShutdown(incarnation int, from, until time.Duration, then func()) {
	w := p.world
	if p.incarnation != incarnation {
		then()
		return
	}
	if w.Now >= until || w.Now >= from && p.frozenUntil <= w.Now && p.Core.CanShutDown() {
		p.Crash()
		then()
		return
	}
	w.After(tickInterval, func() { p.awaitShutdown(incarnation, from, until, then) })
}
