package soak

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// closeSlack is how long after its last byte a request's connection may still be closed without an answer, where it did not run: the request
// may have crossed the close.
const closeSlack = 200*time.Millisecond + slack

// judgeRequests looks at what became of all requests.
func (p *play) judgeRequests(all []asked) {
	runs := p.hosts.runs()
	for _, a := range all {
		p.report.Requests[a.outcome]++
		unplanned := p.struck(a.wrote-contact, a.ended, func(t fault) bool { return t.router == a.router && !t.planned })
		if rule, what := judgeRequest(&a, runs[a.id], unplanned); rule != "" {
			p.report.Findings = append(p.report.Findings, Finding{a.ended, rule, fmt.Sprintf("%s at %s, sent at %.3f s, work %d, kept %v, after its end %v: %s",
				a.id, p.fleet.Name(a.router), a.wrote.Seconds(), a.work, a.kept, a.afterEnd, what)})
		}
	}
}

// judgeRequest is the rule that a request's end breaks, empty for none. Runs are how often hosts ran it; unplanned says that its router was
// killed or stood still around it.
func judgeRequest(a *asked, runs int, unplanned bool) (rule, what string) {
	switch {
	case runs > 1:
		return "TWICE", fmt.Sprintf("it ran %d times", runs)
	case a.outcome == Wrong:
		return "MIXED", a.what
	case a.outcome == Refused && runs > 0:
		return "REFUSED", fmt.Sprintf("%d, and it has run", a.status)
	case a.outcome == Failed && (a.status == 400 || a.status == 401 || a.status == 403 || a.status == 404):
		return "DENIED", a.what
	case unplanned:
		return "", ""
	case a.outcome == Interrupted:
		return "LOST", "cut in the answer: " + a.what
	case a.outcome == TimedOut:
		return "LOST", fmt.Sprintf("no answer; it ran %d times", runs)
	case a.outcome == Closed && runs > 0:
		return "LOST", "closed without an answer, and it has run: " + a.what
	case a.outcome == Closed && !a.unsentWhole && a.ended-a.wrote > closeSlack:
		return "LOST", fmt.Sprintf("closed without an answer %v after it was sent", (a.ended - a.wrote).Round(time.Millisecond))
	}
	return "", ""
}

// readLogs looks for lines that may not be in the routers' logs.
func (p *play) readLogs() {
	for i := range p.fleet.Len() {
		text, err := os.ReadFile(p.fleet.Log(i))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			// A mixed fleet also runs landed programs: a line that is worded anew is looked for in both wordings.
			for _, bad := range []string{"loop stalls", "view broken", "membership invariant broken", "panic", "fatal error", "DATA RACE", "unwritable"} {
				if strings.Contains(line, bad) {
					p.find("LOG", p.fleet.Name(i)+": "+strings.TrimSpace(line))
				}
			}
		}
	}
}
