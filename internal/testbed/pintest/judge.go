package pintest

import (
	"fmt"
	"net/http"
	"time"
)

// period is the time in which a version may be the pinned one: from the request for it until the
// next one was acknowledged.
type period struct {
	version int64 // 0 for any
	from    time.Time
	until   time.Time // zero while it goes on
}

// Report is the result of a scenario.
type Report struct {
	Requests, Served, Changes int
	Violations                []string // a line each
}

// judge finds violations: answers that are incomplete, another request's, or of a version that was
// not the pinned one at any time between the request and its answer, and unsafe requests that were
// executed twice.
func (s *Scenario) judge() Report {
	r := Report{Requests: len(s.requests), Changes: len(s.pins) - 1}
	path := map[string]string{}
	for _, a := range s.requests {
		path[a.ID] = a.Path
		if a.Status != http.StatusOK {
			continue
		}
		r.Served++
		if !a.Complete || a.Text != answerText(a.Version, a.ID) {
			r.Violations = append(r.Violations, fmt.Sprintf("request %s got %q, whole %v", a.ID, a.Text, a.Complete))
		}
		if !s.allowed(a) {
			r.Violations = append(r.Violations, fmt.Sprintf("request %s, sent through router %d at %v, was answered by version %d", a.ID, a.Router, a.Sent, a.Version))
		}
	}
	for id, n := range s.executionCounts() {
		if n > 1 && path[id] == UnsafePath {
			r.Violations = append(r.Violations, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	return r
}

// executionCounts are how often each request was executed, at all hosts together.
func (s *Scenario) executionCounts() map[string]int {
	all := map[string]int{}
	for _, h := range s.Hosts {
		for id, n := range h.executionCounts() {
			all[id] += n
		}
	}
	return all
}

// allowed reports whether the version that answered was the pinned one at some time between the
// request and its answer.
func (s *Scenario) allowed(a Request) bool {
	for _, p := range s.pins {
		began := !p.from.After(a.Answered)
		over := !p.until.IsZero() && p.until.Before(a.Sent)
		if began && !over && (p.version == 0 || p.version == a.Version) {
			return true
		}
	}
	return false
}
