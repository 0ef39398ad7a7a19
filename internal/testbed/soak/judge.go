package soak

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// closeSlack is the time after the last byte of a request in which its connection may be closed
// without an answer, if the request was not executed. In that time the request may have crossed the
// close of the connection.
const closeSlack = 200*time.Millisecond + slack

// judgeRequests counts the outcomes of all requests and adds a finding for each that breaks a rule.
func (p *soakRun) judgeRequests(all []request) {
	runs := p.hosts.executionCounts()
	for _, a := range all {
		p.report.Requests[a.outcome]++
		unplanned := p.hadFault(a.written-contactTime, a.done, func(t fault) bool { return t.router == a.router && !t.planned })
		if rule, what := judgeRequest(&a, runs[a.id], unplanned); rule != "" {
			p.report.Findings = append(p.report.Findings, Finding{a.done, rule, fmt.Sprintf("%s at %s, sent at %.3f s, work %d, on a reused connection %v, after an announced close %v: %s",
				a.id, p.fleet.Name(a.router), a.written.Seconds(), a.work, a.reusedConn, a.afterClose, what)})
		}
	}
}

// judgeRequest returns the rule that a request's outcome breaks, and the detail; both are empty if it
// breaks none. runs is how often hosts executed the request. unplanned says that its router was
// killed or frozen shortly before or during the request.
func judgeRequest(a *request, runs int, unplanned bool) (rule, what string) {
	switch {
	case runs > 1:
		return "TWICE", fmt.Sprintf("hosts executed it %d times", runs)
	case a.outcome == Wrong:
		return "MIXED", a.detail
	case a.outcome == Refused && runs > 0:
		return "REFUSED", fmt.Sprintf("refused with %d although a host executed it", a.status)
	case a.outcome == Failed && (a.status == 400 || a.status == 401 || a.status == 403 || a.status == 404):
		return "DENIED", a.detail
	case unplanned:
		return "", ""
	case a.outcome == Interrupted:
		return "LOST", "the connection ended in the middle of the answer: " + a.detail
	case a.outcome == TimedOut:
		return "LOST", fmt.Sprintf("no answer by the deadline; hosts executed it %d times", runs)
	case a.outcome == Closed && runs > 0:
		return "LOST", "the connection was closed without an answer although a host executed the request: " + a.detail
	case a.outcome == Closed && !a.writeFailed && a.done-a.written > closeSlack:
		return "LOST", fmt.Sprintf("the connection was closed without an answer %v after the request was sent", (a.done - a.written).Round(time.Millisecond))
	}
	return "", ""
}

// judgeLogs adds a finding for each line in the routers' logs that reports a violated invariant.
func (p *soakRun) judgeLogs() {
	for i := range p.fleet.Len() {
		text, err := os.ReadFile(p.fleet.Log(i))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			// Mixed fleets also run earlier programs. If a log message has changed, both its old and
			// its new text are listed.
			for _, bad := range []string{"loop stalls", "view broken", "membership invariant broken", "panic", "fatal error", "DATA RACE", "unwritable"} {
				if strings.Contains(line, bad) {
					p.addFinding("LOG", p.fleet.Name(i)+": "+strings.TrimSpace(line))
				}
			}
		}
	}
}
