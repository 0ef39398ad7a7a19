package checker

import (
	"fmt"
	"strings"
	"time"

	"reachspread/internal/testbed/history"
)

// limits finds processes that exceed their limits of memory or descriptors, and datagrams larger than
// the platform allows. It reports each process at most once for each limit.
func limits(c *Case) (found []Violation) {
	notified := map[string]bool{}
	report := func(e *history.Event, text string) {
		if !notified[e.Who+text[:5]] {
			notified[e.Who+text[:5]] = true
			found = append(found, Violation{"limits", e.T, e.Who, "", text})
		}
	}
	for i := range c.Events {
		e := &c.Events[i]
		switch {
		case e.What == history.OversizedDatagram:
			report(e, fmt.Sprintf("datagram of %d bytes; 256 are allowed", e.Bytes))
		case e.What != history.Usage:
		case c.Play.Memory > 0 && e.Memory > c.Play.Memory:
			report(e, fmt.Sprintf("memory of %d bytes; %d are allowed", e.Memory, c.Play.Memory))
		case c.Play.Sockets > 0 && e.Descriptors > c.Play.Sockets:
			report(e, fmt.Sprintf("descriptors: %d; %d are allowed", e.Descriptors, c.Play.Sockets))
		}
	}
	return found
}

// acceptAfterSIGTERM is how long after SIGTERM a router still accepts requests, which it must then
// answer completely.
const acceptAfterSIGTERM = 700 * time.Millisecond

// leave finds processes that exit late or with an error after SIGTERM. A process may be killed at the
// end of its time while it still has requests that it accepted in time.
func leave(c *Case) (found []Violation) {
	if c.Play.Leave == 0 {
		return nil
	}
	termed := map[string]int64{}
	late := func(who string, t, end int64) {
		if over := end - t; over > c.Play.Leave+c.Play.Slack && !c.FaultDuring(append(processEnds, processStalls...), t, end, affectsRouter(who)) {
			found = append(found, Violation{"leave", end, who, "", fmt.Sprintf("%v after SIGTERM; %v are allowed", time.Duration(over).Round(time.Millisecond),
				time.Duration(c.Play.Leave))})
		}
	}
	for i := range c.Events {
		e := &c.Events[i]
		switch e.What {
		case history.Start:
			delete(termed, e.Who)
		case history.Term:
			termed[e.Who] = e.T
		case history.Exit:
			t, ok := termed[e.Who]
			if !ok {
				continue
			}
			delete(termed, e.Who)
			if e.Text == "killed" && c.hasRequests(e.Who, t+acceptAfterSIGTERM.Nanoseconds(), e.T) {
				continue
			}
			late(e.Who, t, e.T)
			if e.Status != 0 && !c.FaultDuring(processEnds, t, e.T, affectsRouter(e.Who)) {
				found = append(found, Violation{"leave", e.T, e.Who, "", fmt.Sprintf("status %d after SIGTERM %s", e.Status, e.Text)})
			}
		}
	}
	for who, t := range termed { // processes that never exited
		late(who, t, c.End)
	}
	return found
}

// hasRequests reports whether a router still had, at a time, requests that clients had sent by the time
// asked.
func (c *Case) hasRequests(who string, asked, at int64) bool {
	who, _, _ = strings.Cut(who, "/")
	for _, r := range c.requests {
		if r.Ask != nil && r.Ask.Who == who && r.Ask.T <= asked && (len(r.Answers) == 0 || r.Answers[0].T >= at-killSlack.Nanoseconds()) {
			return true
		}
	}
	return false
}

// killSlack is how far apart the history may record the end of a process and the ends of its
// connections.
const killSlack = 100 * time.Millisecond
