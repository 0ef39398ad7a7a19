package pintest

import (
	"fmt"
	"net/http"
	"time"
)

// period is a time in which a version may be the chosen one: from the order for it until the next one was acknowledged.
type period struct {
	version int64 // 0 for any
	from    time.Time
	until   time.Time // zero while it goes on
}

// Report is what came of a story.
type Report struct {
	Requests, Served, Changes int
	Wrong                     []string // what was not as promised
}

// judge looks at all answers: those that were served are whole, of a version that was the chosen one at some time between the request and its
// answer, and no unsafe request ran twice.
func (s *Story) judge() Report {
	r := Report{Requests: len(s.asked), Changes: len(s.pins) - 1}
	path := map[string]string{}
	for _, a := range s.asked {
		path[a.ID] = a.Path
		if a.Status != http.StatusOK {
			continue
		}
		r.Served++
		if !a.Whole || a.Text != answerText(a.Version, a.ID) {
			r.Wrong = append(r.Wrong, fmt.Sprintf("request %s got %q, whole %v", a.ID, a.Text, a.Whole))
		}
		if !s.allowed(a) {
			r.Wrong = append(r.Wrong, fmt.Sprintf("request %s, sent through router %d at %v, was answered by version %d", a.ID, a.Router, a.Sent, a.Version))
		}
	}
	for id, n := range s.runs() {
		if n > 1 && path[id] == UnsafePath {
			r.Wrong = append(r.Wrong, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	return r
}

// runs are how often each request ran, at all hosts together.
func (s *Story) runs() map[string]int {
	all := map[string]int{}
	for _, h := range s.Hosts {
		for id, n := range h.runs() {
			all[id] += n
		}
	}
	return all
}

// allowed tells whether the version that answered was the chosen one at some time between the request and its answer.
func (s *Story) allowed(a Asked) bool {
	for _, p := range s.pins {
		began := !p.from.After(a.Came)
		over := !p.until.IsZero() && p.until.Before(a.Sent)
		if began && !over && (p.version == 0 || p.version == a.Version) {
			return true
		}
	}
	return false
}
