package shadow

import (
	"math"
	"time"
)

const (
	// minSampleTTL is the minimum of sampleTTL, the age after which a sample is stale.
	minSampleTTL = 500 * time.Millisecond
	// maxCalmFactor limits the doubled calm period, as a multiple of Pressure.CalmPeriod.
	maxCalmFactor = 16
	// clearFraction is the fraction of its threshold that a signal must not exceed for pressure to
	// end. It is below 1 so that the level does not flap.
	clearFraction = 0.5
)

// sample applies a measurement of the live path.
func (d *Decider) sample(e Sample) {
	d.rejections = d.rejections*math.Exp(-(d.now-d.sampledAt).Seconds()) + float64(e.Rejections)
	d.sampledAt = d.now
	signal, ratio := d.worstSignal(e)
	if ratio > clearFraction && d.level != LevelCalm {
		d.lastPressure = d.now
	}
	if ratio < 1 {
		return
	}
	if d.level == LevelCalm {
		d.enterPressure(signal)
	}
	if ratio >= d.config.Pressure.HardFactor {
		d.level = LevelHard
	}
}

// worstSignal returns the name of the signal that is highest relative to its threshold, and the
// ratio of the signal to the threshold. The names are part of the status.
func (d *Decider) worstSignal(e Sample) (signal string, ratio float64) {
	p := &d.config.Pressure
	for _, s := range []struct {
		name             string
		value, threshold float64
	}{
		{"held", float64(e.Queued), p.Queued},
		{"bodies", e.BodyFraction, p.BodyFraction},
		{"sockets", e.SocketFraction, p.SocketFraction},
		{"late", float64(e.Delay), float64(p.Delay)},
		{"refusals", d.rejections, p.Rejections},
	} {
		if r := s.value / s.threshold; r > ratio {
			signal, ratio = s.name, r
		}
	}
	return signal, ratio
}

// sampleTTL returns the age after which a sample is stale. A stale sample counts as pressure on the
// live path, because the goroutine that samples appears not to run.
func (d *Decider) sampleTTL() time.Duration {
	return max(minSampleTTL, 2*d.config.Pressure.Delay)
}

// sampleStale reports whether the last sample is too old to be used.
func (d *Decider) sampleStale() bool { return d.now-d.sampledAt > d.sampleTTL() }

// enterPressure raises the level from LevelCalm to LevelTense. If the level was calm for less than
// the calm period, the period doubles; otherwise it returns to its configured value.
func (d *Decider) enterPressure(signal string) {
	d.count.PressureSignals[signal]++
	configured := d.config.Pressure.CalmPeriod
	if d.calmSince > 0 && d.now-d.calmSince < d.calmPeriod {
		d.calmPeriod = min(2*d.calmPeriod, maxCalmFactor*configured)
	} else {
		d.calmPeriod = configured
	}
	d.level, d.pressureSince, d.lastPressure = LevelTense, d.now, d.now
}

// updateLevel applies the current time to the level: a stale sample begins pressure, a calm period
// without pressure ends it, and pressure that outlasts the grace period raises the level to
// LevelHard.
func (d *Decider) updateLevel() {
	grace := d.config.Pressure.GracePeriod
	sincePressure := d.now - d.lastPressure
	used := d.sampledAt > 0 || len(d.copies) > 0
	switch {
	case d.level == LevelCalm && d.sampleStale() && used:
		d.enterPressure("no sample")
	case d.level != LevelCalm && !d.sampleStale() && sincePressure >= d.calmPeriod:
		d.level, d.calmSince = LevelCalm, d.now
	case d.level == LevelTense && d.now-d.pressureSince >= grace && sincePressure < grace:
		d.level = LevelHard
	}
}
