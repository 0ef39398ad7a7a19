package simulator

import (
	"fmt"
	"strings"
	"time"
)

const (
	// answerSlack is how long after a client's deadline an answer may still arrive.
	answerSlack = 20 * time.Millisecond
	// drainSlack is how long after a router's list has marked a host as draining the router may still
	// send new requests to that host.
	drainSlack = 500 * time.Millisecond
)

// Violation is the error of a simulation in which a rule was broken.
type Violation struct {
	Seed uint64
	At   time.Duration
	Rule string // name of the broken rule
	Text string
	Last []string // the events before the violation, the most recent one last
}

// Error returns the violation in one line, without Last.
func (v *Violation) Error() string {
	return fmt.Sprintf("rule broken at %v with seed %d: %s: %s", v.At, v.Seed, v.Rule, v.Text)
}

// Report returns the error and, on the lines after it, the events before the violation.
func (v *Violation) Report() string { return v.Error() + "\n" + strings.Join(v.Last, "\n") + "\n" }

// violated stops the simulation with a violation. Only the first violation is kept.
func (w *World) violated(rule, id string, n int, text string) {
	if w.violation != nil {
		return
	}
	v := &Violation{Seed: w.spec.Seed, At: w.now, Rule: rule, Text: strings.TrimSpace(fmt.Sprintf("%s %d %s", id, n, text))}
	for i := max(w.traced-maxTrace, 0); i < w.traced; i++ {
		x := w.traceRing[i%maxTrace]
		v.Last = append(v.Last, fmt.Sprintf("%12v %s %s %d", x.at, x.what, x.id, x.n))
	}
	w.violation = v
}

// The names of the rules, which are stored with the results of a run.
const (
	ruleOneAnswer  = "one final answer for each request"
	ruleInTime     = "the final answer comes before its client gives up"
	ruleOneAttempt = "never two attempts of one request out"
	ruleAnswered   = "nothing is sent for a request that was answered"
	ruleDrain      = "nothing new to a draining or gone host after 500 ms"
	ruleListed     = "only hosts that the list has named"
	ruleSlowStart  = "no cold host is pushed over"
)

// checkSend checks the rules for an attempt that a router is about to send, and reports whether the
// attempt follows them.
func (w *World) checkSend(r *router, t *clientAttempt, id, to string) bool {
	h, listed := r.byID[to]
	switch {
	case t == nil || t.answered:
		w.violated(ruleAnswered, id, r.number, "to "+to)
	case t.inFlight != nil:
		w.violated(ruleOneAttempt, id, r.number, "to "+to)
	case !listed:
		w.violated(ruleListed, id, r.number, "to "+to)
	case r.known[h].draining && w.now > r.known[h].since+drainSlack:
		w.violated(ruleDrain, id, r.number, fmt.Sprintf("to %s, %v after the news", to, w.now-r.known[h].since))
	default:
		return true
	}
	return false
}
