package shadow

import (
	"math"
	"time"
)

const (
	// minSampleTTL is how old a sample may get before the live path counts as under pressure: the
	// goroutine that samples does not run. It is twice Pressure.Delay where that is more.
	minSampleTTL = 500 * time.Millisecond
	// maxCalmFactor bounds the doubling of Pressure.CalmPeriod, as a multiple.
	maxCalmFactor = 16
	// clearFraction of its threshold is where a signal ends, so that it does not flap.
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

// worstSignal returns the signal that is highest relative to its threshold, and that ratio. The
// names are part of the status.
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

// sampleTTL is how old a sample may get.
func (d *Decider) sampleTTL() time.Duration {
	return max(minSampleTTL, 2*d.config.Pressure.Delay)
}

// sampleStale reports whether the last sample is too old to go by.
func (d *Decider) sampleStale() bool { return d.now-d.sampledAt > d.sampleTTL() }

// enterPressure leaves LevelCalm. Pressure that returns within the calm period doubles the next
// one.
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

// updateLevel applies the passing of time: a stale sample begins pressure, the calm period ends it,
// and the grace period raises it.
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
