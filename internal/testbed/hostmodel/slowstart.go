package hostmodel

import (
	"math"
	"time"
)

// slowStartState is the progress of a host's slow start, with the work and the calls that count
// against its budget while the host is cold.
type slowStartState struct {
	config        SlowStart
	startedAt     time.Duration
	alwaysWarm    bool            // the host has not restarted since New
	workDone      time.Duration   // work of the steps, as the time that a warm host takes for it
	recentWork    []sentWork      // work sent within the window, the oldest first
	recentTotal   time.Duration   // sum of recentWork
	recentCalls   []time.Duration // times of calls within the window by senders that knew of the start, the oldest first
	maxBudgetUsed float64         // the largest fraction of the budget that recentCalls has used
}

// sentWork is work that was sent to a cold host.
type sentWork struct {
	at   time.Duration
	work time.Duration
}

// capacity returns the host's present capacity as a fraction of its capacity when warm.
func (w *slowStartState) capacity(now time.Duration) float64 {
	if w.alwaysWarm || w.config.Duration <= 0 || w.config.InitialCapacity >= 1 {
		return 1
	}
	fraction := float64(now-w.startedAt) / float64(w.config.Duration)
	if w.config.Work > 0 {
		fraction = min(fraction, float64(w.workDone)/float64(w.config.Work)) // at most a linear rise over Duration
	}
	return w.config.InitialCapacity + (1-w.config.InitialCapacity)*min(max(fraction, 0), 1)
}

// addWork counts work sent to the host and reports whether the work overloads the host. It does if
// the work sent within the window is more than MaxLoadFactor times the work that the host can do in
// a window at its present capacity.
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

// work returns the work that a request counts for when it is sent.
func (w *slowStartState) work(r *Request) time.Duration {
	return time.Duration(r.PromptTokens)*w.config.PerPromptToken + time.Duration(r.AnswerTokens-r.TokensMade)*w.config.PerAnswerToken
}

// smallBudget is the number of calls in a window below which the platform allows a larger excess for
// random variation.
const smallBudget = 30

// countCall counts a call of a sender that knew of the start. The platform's budget is N calls in a
// window, where N follows from the settings and the present capacity. Random variation may add
// 2*sqrt(N)+2 calls, or 3*sqrt(N)+3 if N is below smallBudget.
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
