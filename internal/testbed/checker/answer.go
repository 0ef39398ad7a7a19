package checker

import (
	"fmt"
	"time"

	"reachspread/internal/testbed/history"
)

// answer finds requests with no final answer, with more than one, with a late one, or with a
// connection or stream that broke although no fault explains it.
func answer(c *Case) (found []Violation) {
	for _, id := range c.ids {
		r := c.requests[id]
		wrong := func(t int64, format string, v ...any) {
			who := ""
			if r.Ask != nil {
				who = r.Ask.Who
			}
			found = append(found, Violation{"answer", t, who, id, fmt.Sprintf(format, v...)})
		}
		switch {
		case r.Ask == nil && len(r.Answers) > 0:
			wrong(r.Answers[0].T, "answered, and nobody asked")
		case r.Ask == nil:
			wrong(c.End, "sent to a host, and nobody asked")
		case len(r.Answers) > 1:
			wrong(r.Answers[1].T, "%d final answers", len(r.Answers))
		case len(r.Answers) == 1:
			c.oneAnswer(r, wrong)
		case r.Ask.Until+c.Play.Slack < c.End && !c.excused(r, c.End):
			wrong(r.Ask.Until, "no final answer by the end of the play")
		}
	}
	return found
}

// oneAnswer judges a request with exactly one final answer, and calls wrong for each violation.
func (c *Case) oneAnswer(r *Request, wrong func(int64, string, ...any)) {
	a := r.Answers[0]
	if c.excused(r, a.T) {
		return
	}
	due, came := max(r.Ask.Until, r.Due), a.ArrivedAt()
	if r.First >= 0 { // the deadline applies to the first event of a stream
		came = r.First
	}
	withheld := c.Withheld(r.Ask.Who, due, came) // only time after the answer was due can explain lateness
	late := came - due
	tooLate := late > c.Play.Slack+withheld.Nanoseconds()
	switch a.How {
	case history.None:
		if tooLate {
			wrong(r.Ask.Until, "no final answer in time%s", describeWithheld(withheld))
		}
	case history.Interrupted:
		wrong(a.T, "the connection ended without an answer%s", describeCause(a.Text))
	case history.Broken:
		if !c.brokenBy(r, a.T) && !c.killedInTurn(r, a.T) {
			wrong(a.T, "the stream broke, and nothing was done to its host or the way to it")
		}
	case history.Complete, history.Refused, history.Failed:
		if tooLate {
			wrong(a.T, "answered %v after its client gave up%s", time.Duration(late).Round(time.Millisecond), describeWithheld(withheld))
		}
	}
}

// describeCause returns the cause that the client reported, as the end of a violation's text.
func describeCause(cause string) string {
	if cause == "" {
		return ""
	}
	return ": " + cause
}

// describeWithheld returns how long the machine withheld processors, as the end of a violation's text.
// It returns "" for times up to noticeableStall.
func describeWithheld(withheld time.Duration) string {
	if withheld <= noticeableStall {
		return ""
	}
	return fmt.Sprintf("; the machine withheld processors for %v", withheld.Round(time.Millisecond))
}

// excused reports whether a fault of the router that got a request excuses every outcome of the
// request.
func (c *Case) excused(r *Request, to int64) bool {
	return c.FaultDuring(append(processEnds, processStalls...), r.Ask.T, to, affectsRouter(r.Ask.Who))
}

// brokenBy reports whether a fault affected a host to which the request was sent, or the link to that
// host.
func (c *Case) brokenBy(r *Request, to int64) bool {
	for _, a := range r.Attempts {
		if c.FaultDuring(hostFailures, r.Ask.T, to, affectsHost(a.Host)) || c.FaultDuring(linkFaults, r.Ask.T, to, affectsLink(a.Router, "hosts")) {
			return true
		}
	}
	return false
}

// killedInTurn reports whether a stream broke because its process was killed at the end of the time
// that it has after SIGTERM. A router still answers the requests that it accepted until shortly after
// SIGTERM. A request that it can't finish in its time does not count as lost.
func (c *Case) killedInTurn(r *Request, at int64) bool {
	termed := map[string]int64{}
	for i := range c.Events {
		e := &c.Events[i]
		if NumberOf(e.Who) != NumberOf(r.Ask.Who) || e.T > at+killSlack.Nanoseconds() {
			continue
		}
		switch e.What {
		case history.Term:
			termed[e.Who] = e.T
		case history.Exit:
			t, ok := termed[e.Who]
			if ok && e.Text == "killed" && e.T >= at-killSlack.Nanoseconds() && e.T-t >= c.Play.Leave && r.Ask.T <= t+acceptAfterSIGTERM.Nanoseconds() {
				return true
			}
		}
	}
	return false
}

// attempt finds requests with two attempts in progress at the same time. An attempt ends when its host
// has finished it or when the router closes its connection, whichever the history has first.
func attempt(c *Case) (found []Violation) {
	for _, id := range c.ids {
		all := c.requests[id].Attempts
		for i := 1; i < len(all); i++ {
			if all[i].To-all[i].From < immediateDone.Nanoseconds() {
				continue // the connection was already closed when the host read the request, so this may be the older attempt
			}
			for _, before := range all[:i] {
				if over := before.To - all[i].From; over > attemptSlack.Nanoseconds() && !c.unseen(before) {
					found = append(found, Violation{"attempt", all[i].From, all[i].Router, id,
						fmt.Sprintf("at %s while the one at %s is out for %v more", all[i].Host, before.Host, time.Duration(over).Round(time.Millisecond))})
				}
			}
		}
	}
	return found
}

// immediateDone is the time within which a host finishes a request whose connection was reset before
// the host read the request.
const immediateDone = time.Millisecond

// attemptSlack is the tolerance that the platform grants for all time limits on sockets.
const attemptSlack = 50 * time.Millisecond

// unseen reports whether the history may lack the end of an attempt because the router died or was
// frozen and did not close the connection.
func (c *Case) unseen(a *Attempt) bool {
	return c.FaultDuring(append(processEnds, processStalls...), a.From, a.To, affectsRouter(a.Router))
}
