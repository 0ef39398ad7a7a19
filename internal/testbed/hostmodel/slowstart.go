package hostmodel

import (
	"math"
	"time"
)

// warmth is a host's way from its start to its full capacity, and the budget that it has until
// then.
type warmth struct {
	c     SlowStart
	born  time.Duration
	never bool            // it was never started anew: warm from the beginning
	done  time.Duration   // work, as a warm host counts it
	sent  []sending       // within the window, the oldest first
	sum   time.Duration   // of sent
	calls []time.Duration // within the window, of those who had been told of the start, the oldest first
	worst float64         // the most of a budget that these ever used, 1 for all of it
}

// sending is work that was sent to a cold host.
type sending struct {
	at   time.Duration
	work time.Duration
}

// share returns the part of the capacity that the host has by now.
func (w *warmth) share(now time.Duration) float64 {
	if w.never || w.c.Time <= 0 || w.c.Share >= 1 {
		return 1
	}
	fraction := float64(now-w.born) / float64(w.c.Time)
	if w.c.Work > 0 {
		fraction = min(fraction, float64(w.done)/float64(w.c.Work)) // never faster than evenly over the time
	}
	return w.c.Share + (1-w.c.Share)*min(max(fraction, 0), 1)
}

// topples counts work sent and tells whether it was too much: more within the window than Factor
// times what the host can do in it at its present capacity.
func (w *warmth) topples(now time.Duration, work time.Duration) bool {
	capacity := w.share(now)
	if capacity >= 1 || w.c.Window <= 0 || w.c.Factor <= 0 {
		w.sent, w.sum = w.sent[:0], 0
		return false
	}
	expired := 0
	for expired < len(w.sent) && w.sent[expired].at <= now-w.c.Window {
		w.sum -= w.sent[expired].work
		expired++
	}
	w.sent = append(w.sent[:0], w.sent[expired:]...)
	w.sent = append(w.sent, sending{now, work})
	w.sum += work
	// One request alone topples nobody, however long it is.
	return len(w.sent) > 1 && float64(w.sum) > w.c.Factor*capacity*float64(w.c.Window)
}

// work is what a request counts for when it is sent.
func (w *warmth) work(r *Request) time.Duration {
	return time.Duration(r.Prompt)*w.c.PerToken + time.Duration(r.Out-r.Made)*w.c.PerMade
}

// few is the number of calls in a window below which the platform allows more for chance.
const few = 30

// count counts a call of somebody who had been told of the start. The budget is the platform's: N
// calls in a window, N being what the settings allow by then, and for chance 2 x root of N + 2
// more, or 3 x root of N + 3 where N is small.
func (w *warmth) count(now time.Duration) {
	capacity := w.share(now)
	if capacity >= 1 || w.c.Mean <= 0 {
		return
	}
	w.calls = append(w.calls, now)
	for w.calls[0] <= now-w.c.Window {
		w.calls = w.calls[1:]
	}
	most := w.c.Factor * capacity * float64(w.c.Window) / float64(w.c.Mean)
	slack := 2*math.Sqrt(most) + 2
	if most < few {
		slack = 3*math.Sqrt(most) + 3
	}
	w.worst = max(w.worst, float64(len(w.calls))/(most+slack))
}
