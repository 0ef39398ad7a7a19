package hostmodel

import (
	"math"
	"time"
)

// slowStartState is the progress of a host's slow start, and the work and calls that count against
// its budget until then.
type slowStartState struct {
	config        SlowStart
	startedAt     time.Duration
	alwaysWarm    bool            // it was not started since New
	workDone      time.Duration   // as a warm host counts it
	recentWork    []sentWork      // within the window, the oldest first
	recentTotal   time.Duration   // of sent
	recentCalls   []time.Duration // within the window, of senders that knew of the start, the oldest first
	maxBudgetUsed float64         // the largest fraction of the budget that recentCalls ever used
}

// sentWork is work that was sent to a cold host.
type sentWork struct {
	at   time.Duration
	work time.Duration
}

// capacity returns the part of the capacity that the host has by now.
func (w *slowStartState) capacity(now time.Duration) float64 {
	if w.alwaysWarm || w.config.Duration <= 0 || w.config.InitialCapacity >= 1 {
		return 1
	}
	fraction := float64(now-w.startedAt) / float64(w.config.Duration)
	if w.config.Work > 0 {
		fraction = min(fraction, float64(w.workDone)/float64(w.config.Work)) // never faster than evenly over the time
	}
	return w.config.InitialCapacity + (1-w.config.InitialCapacity)*min(max(fraction, 0), 1)
}

// addWork counts work sent and reports whether it overloads the host: more within the window than
// MaxLoadFactor times what the host can do in it at its present capacity.
func (w *slowStartState) addWork(now time.Duration, work time.Duration) bool {
	capacity := w.capacity(now)
	if capacity >= 1 || w.config.Window <= 0 || w.config.MaxLoadFactor <= 0 {
		w.recentWork, w.recentTotal = w.recentWork[:0], 0
		return false
	}
	expired := 0
	for expired < len(w.recentWork) && w.recentWork[expired].at <= now-w.config.Window {
		w.recentTotal -= w.recentWork[expired].work
		expired++
	}
	w.recentWork = append(w.recentWork[:0], w.recentWork[expired:]...)
	w.recentWork = append(w.recentWork, sentWork{now, work})
	w.recentTotal += work
	// One request alone does not overload a host, however long it is.
	return len(w.recentWork) > 1 && float64(w.recentTotal) > w.config.MaxLoadFactor*capacity*float64(w.config.Window)
}

// work is what a request counts for when it is sent.
func (w *slowStartState) work(r *Request) time.Duration {
	return time.Duration(r.PromptTokens)*w.config.PerPromptToken + time.Duration(r.AnswerTokens-r.TokensMade)*w.config.PerAnswerToken
}

// smallBudget is the number of calls in a window below which the platform allows more for chance.
const smallBudget = 30

// countCall counts a call of a sender that knew of the start. The budget is the platform's: N
// calls in a window, N being what the settings allow by then, and for chance 2 x root of N + 2
// more, or 3 x root of N + 3 where N is small.
func (w *slowStartState) countCall(now time.Duration) {
	capacity := w.capacity(now)
	if capacity >= 1 || w.config.MeanRequestWork <= 0 {
		return
	}
	w.recentCalls = append(w.recentCalls, now)
	for w.recentCalls[0] <= now-w.config.Window {
		w.recentCalls = w.recentCalls[1:]
	}
	budget := w.config.MaxLoadFactor * capacity * float64(w.config.Window) / float64(w.config.MeanRequestWork)
	slack := 2*math.Sqrt(budget) + 2
	if budget < smallBudget {
		slack = 3*math.Sqrt(budget) + 3
	}
	w.maxBudgetUsed = max(w.maxBudgetUsed, float64(len(w.recentCalls))/(budget+slack))
}
