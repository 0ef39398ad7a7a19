package shadow

import "time"

const (
	// stableFactor is how long the pool must stay up after a recovery, as a multiple of
	// Health.MaxBackoff, before the next ejection restarts the backoff at Health.MinBackoff.
	stableFactor = 1
	// jitterDivisor sets the jitter of trials: up to backoff/jitterDivisor is added to the backoff,
	// so that routers do not try a pool at the same time.
	jitterDivisor = 5
)

// updateHealth applies the end of a copy to the pool's health. It ignores copies that say nothing
// about the pool: canceled copies other than those that timed out, invalid requests, and copies that
// were refused after a cap had denied an attempt.
func (d *Decider) updateHealth(c *copyRecord, cause Cause) {
	trial := c == d.trial
	if trial {
		d.trial = nil
	}
	failed := cause != "" && cause != InvalidRequest
	if c.canceled {
		failed = c.cause == TimedOut
	}
	switch {
	case c.canceled && !failed, cause == InvalidRequest, cause == Refused && c.denied:
		return
	case failed:
		d.copyFailed(trial)
	default:
		d.copySucceeded()
	}
}

// copyFailed counts a failure and ejects the pool after Health.Failures consecutive failures. A
// failed trial doubles the backoff.
func (d *Decider) copyFailed(trial bool) {
	d.failures++
	if d.ejected && trial {
		d.increaseBackoff()
		d.scheduleTrial()
	}
	if !d.ejected && d.failures >= d.config.Health.Failures {
		if d.now-d.upSince > stableFactor*d.config.Health.MaxBackoff {
			d.backoff = d.config.Health.MinBackoff
		}
		d.ejected = true
		d.scheduleTrial()
		d.emit(PoolEjected{d.failures, d.retryAt - d.now})
	}
}

// copySucceeded ends an ejection. It also doubles the backoff in case the pool is soon ejected
// again. If the pool stays up for long enough, copyFailed resets the backoff.
func (d *Decider) copySucceeded() {
	d.failures = 0
	if !d.ejected {
		return
	}
	d.ejected, d.upSince = false, d.now
	d.increaseBackoff()
	d.emit(PoolRecovered{})
}

func (d *Decider) increaseBackoff() {
	d.backoff = min(2*d.backoff, d.config.Health.MaxBackoff)
}

// scheduleTrial sets the time from which the next trial may start.
func (d *Decider) scheduleTrial() {
	jitter := d.rng.Float64() * float64(d.backoff) / jitterDivisor
	d.retryAt = d.now + d.backoff + time.Duration(jitter)
}

// awaitsTrial reports whether the pool is ejected and no trial may start now: a trial is in flight,
// or the backoff has not passed.
func (d *Decider) awaitsTrial() bool {
	return d.ejected && (d.trial != nil || d.now < d.retryAt)
}
