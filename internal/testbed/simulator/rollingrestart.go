package simulator

import (
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/hostmodel"
)

// rollingRestart is a restart of all hosts, a batch at a time: each is drained, has two thirds of
// the interval to finish its requests, and is started anew.
type rollingRestart struct {
	remaining []int // not drained yet
	batch     int   // hosts at a time
	interval  time.Duration
	drained   []int // the present batch, until it is restarted
}

// beginRollingRestart restarts all hosts that are alive within the length of a disruption.
func (w *World) beginRollingRestart(t *Disruption, alive func(int) bool) {
	var all []int
	for i := range w.hosts {
		if alive(i) {
			all = append(all, i)
		}
	}
	batch := max(int(t.Fraction*float64(len(all))+0.5), 1)
	batches := (len(all) + batch - 1) / batch
	w.rollingRestart(&rollingRestart{remaining: all, batch: batch, interval: t.Length / time.Duration(max(batches, 1))})
}

// rollingRestart restarts the batch that was drained, or drains the next one.
func (w *World) rollingRestart(x *rollingRestart) {
	if x.drained != nil {
		for _, i := range x.drained {
			if h := w.hosts[i]; h.alive && !h.removed {
				w.restartHost(h, x.interval/6)
			}
		}
		x.drained = nil
		w.schedule(w.now+x.interval/3, event{kind: rollingRestartContinues, payload: x})
		return
	}
	n := min(x.batch, len(x.remaining))
	if n == 0 {
		return
	}
	x.drained, x.remaining = x.remaining[:n:n], x.remaining[n:]
	for _, i := range x.drained {
		if h := w.hosts[i]; h.alive && !h.removed {
			h.state = balance.Draining
			w.stepHost(h, hostmodel.Drain{})
			w.publishHost(h)
		}
	}
	w.schedule(w.now+2*x.interval/3, event{kind: rollingRestartContinues, payload: x})
}
