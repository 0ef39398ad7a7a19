package checker

import (
	"fmt"
	"strings"
	"time"

	"reachspread/internal/testbed/history"
)

// limits finds processes over their memory or their descriptors, and datagrams over the platform's
// bound. Each process is told of once.
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

// takesFor is how long after SIGTERM a router still takes requests that it owes a whole answer.
const acceptAfterSIGTERM = 700 * time.Millisecond

// leave finds processes that do not end as they should after SIGTERM. One that is killed when its
// time is over while it still has streams that it took in time has done nothing wrong.
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
	for who, t := range termed { // that never ended
		late(who, t, c.End)
	}
	return found
}

// has reports whether a router had requests at a time that were asked before another.
func (c *Case) hasRequests(who string, asked, at int64) bool {
	who, _, _ = strings.Cut(who, "/")
	for _, r := range c.requests {
		if r.Ask != nil && r.Ask.Who == who && r.Ask.T <= asked && (len(r.Answers) == 0 || r.Answers[0].T >= at-killSlack.Nanoseconds()) {
			return true
		}
	}
	return false
}

// killSlack is how far the end of a process and those of its connections may lie apart in the
// history.
const killSlack = 100 * time.Millisecond
