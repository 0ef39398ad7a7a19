package pintest

import (
	"fmt"
	"net/http"
	"time"
)

// period is the time in which a version may be the pinned one. It starts when the operator requests
// the version, and ends when the next pin change is acknowledged.
type period struct {
	version int64 // 0 if no version is pinned, so that each version is allowed
	from    time.Time
	until   time.Time // zero if the period has not ended
}

// Report is the result of a scenario.
type Report struct {
	Requests, Served, Changes int
	Violations                []string // one line for each violation
}

// findViolations checks all requests and reports the violations. An answer violates the rules if it is
// incomplete, belongs to another request, or comes from a version that was not pinned at any time
// between the request and the answer. An unsafe request that was executed more than once is also a
// violation.
func (s *Scenario) findViolations() Report {
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

// executionCounts returns how often each request was executed, summed over all hosts.
func (s *Scenario) executionCounts() map[string]int {
	all := map[string]int{}
	for _, h := range s.Hosts {
		for id, n := range h.executionCounts() {
			all[id] += n
		}
	}
	return all
}

// allowed reports whether the version that answered may have been the pinned one at some time
// between the request and its answer.
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
