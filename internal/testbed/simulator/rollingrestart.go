package simulator

import (
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/hostmodel"
)

// rollingRestart is the state of a restart of all hosts, a batch at a time. The hosts of a batch are
// drained, have two thirds of the interval to finish their requests, and are then restarted.
type rollingRestart struct {
	remaining []int         // hosts that are not drained yet
	batch     int           // number of hosts that are restarted at a time
	interval  time.Duration // time from the drain of one batch to that of the next
	drained   []int         // hosts of the present batch, nil once they are restarted
}

// beginRollingRestart begins a restart of all live hosts that takes the length of the disruption.
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

// rollingRestart restarts the drained batch, or drains the next batch if there is none.
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
