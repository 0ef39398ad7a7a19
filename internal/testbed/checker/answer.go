package checker

import (
	"fmt"
	"time"

	"reachspread/internal/testbed/history"
)

// answer finds requests with no final answer, with two, with a late one, or with a stream that
// broke while nothing that was done explains it.
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

func (c *Case) oneAnswer(r *Request, wrong func(int64, string, ...any)) {
	a := r.Answers[0]
	if c.excused(r, a.T) {
		return
	}
	due, came := max(r.Ask.Until, r.Due), a.ArrivedAt()
	if r.First >= 0 { // the deadline stops running with the first event
		came = r.First
	}
	withheld := c.Withheld(r.Ask.Who, due, came) // before it was due nothing was late
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

// describeCause appends what the client saw, if it said so.
func describeCause(cause string) string {
	if cause == "" {
		return ""
	}
	return ": " + cause
}

// describeWithheld says for how long the machine withheld processors, if it did for long.
func describeWithheld(withheld time.Duration) string {
	if withheld <= noticeableStall {
		return ""
	}
	return fmt.Sprintf("; the machine withheld processors for %v", withheld.Round(time.Millisecond))
}

// excused reports whether a fault of the router that has a request excuses any end of it.
func (c *Case) excused(r *Request, to int64) bool {
	return c.FaultDuring(append(processEnds, processStalls...), r.Ask.T, to, affectsRouter(r.Ask.Who))
}

// brokenBy reports whether a fault affected a host that had the request, or the link to it.
func (c *Case) brokenBy(r *Request, to int64) bool {
	for _, a := range r.Attempts {
		if c.FaultDuring(hostFailures, r.Ask.T, to, affectsHost(a.Host)) || c.FaultDuring(linkFaults, r.Ask.T, to, affectsLink(a.Router, "hosts")) {
			return true
		}
	}
	return false
}

// killedInTurn reports whether a stream broke as its process was killed, its time after SIGTERM
// being over: what it took until shortly after SIGTERM it owes, and what it can't finish in that
// time it does not lose.
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

// attempt finds requests with two attempts out at the same time. An attempt ends when its host is
// done with it or when the router closes its connection, whichever the history has first.
func attempt(c *Case) (found []Violation) {
	for _, id := range c.ids {
		all := c.requests[id].Attempts
		for i := 1; i < len(all); i++ {
			if all[i].To-all[i].From < immediateDone.Nanoseconds() {
				continue // its connection was gone as the host came to look at it: it may be the older one
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

// atOnce is how soon a host is done with a request whose connection was reset before it looked.
const immediateDone = time.Millisecond

// attemptSlack is the platform's, for all limits of time on sockets.
const attemptSlack = 50 * time.Millisecond

// unseen reports whether the end of an attempt could not be seen: its router died or was frozen,
// and did not close the connection.
func (c *Case) unseen(a *Attempt) bool {
	return c.FaultDuring(append(processEnds, processStalls...), a.From, a.To, affectsRouter(a.Router))
}
