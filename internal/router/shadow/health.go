package shadow

import "time"

const (
	// stableFactor is how long the pool must have been up, as a multiple of Health.MaxBackoff, for
	// its backoff to begin again at Health.MinBackoff.
	stableFactor = 1
	// jitterDivisor spreads trials over this part of the backoff, so that routers do not try a pool
	// at the same time.
	jitterDivisor = 5
)

// updateHealth applies the end of a copy to the pool's health. A canceled copy says nothing about
// the pool, except by its time-out; nor does an invalid request, or one that a cap kept from hosts.
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

// copyFailed ejects the pool after Health.Failures in a row. A trial that failed doubles the
// backoff.
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

// copySucceeded ends an ejection. The backoff increases in case the pool is ejected again before it
// was stable; copyFailed resets it otherwise.
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

// scheduleTrial sets the time of the next trial.
func (d *Decider) scheduleTrial() {
	jitter := d.rng.Float64() * float64(d.backoff) / jitterDivisor
	d.retryAt = d.now + d.backoff + time.Duration(jitter)
}

// awaitsTrial reports whether the pool is ejected and no trial may start by now.
func (d *Decider) awaitsTrial() bool {
	return d.ejected && (d.trial != nil || d.now < d.retryAt)
}
