package checker

import (
	"fmt"
	"time"

	"reachspread/internal/testbed/history"
)

const (
	// minServedFraction is the smallest allowed ratio of the fraction of completely served requests
	// after the fleet has settled to the same fraction before the first fault.
	minServedFraction = 0.9
	// minRequests is the smallest number of requests from which a fraction is computed.
	minRequests = 20
)

// returned finds fleets that do not recover: routers that are not ready, or too many requests that are
// not served completely, after the time that the fleet has to settle after the last fault.
func returned(c *Case) (found []Violation) {
	if c.Play.Settle == 0 || c.LastHeal() == 0 {
		return nil
	}
	from := c.LastHeal() + c.Play.Settle
	if from >= c.End {
		return nil // the history ends before the fleet must have settled
	}
	found = c.unready(from)
	before, then := c.servedShares(from)
	if before.requests >= minRequests && then.requests >= minRequests && then.fraction() < minServedFraction*before.fraction() {
		found = append(found, Violation{"return", from, "", "", fmt.Sprintf("%.0f%% of %d requests are served whole from %v after the last fault on; before the first one it were %.0f%% of %d",
			100*then.fraction(), then.requests, time.Duration(c.Play.Settle), 100*before.fraction(), before.requests)})
	}
	return found
}

// unready finds routers that are not ready at a time. It checks only histories of real processes.
func (c *Case) unready(from int64) (found []Violation) {
	if c.Play.World != "rig" {
		return nil
	}
	for n := range c.Play.Routers {
		router := fmt.Sprint("r", n)
		if !c.readyAt(n, from) {
			found = append(found, Violation{"return", from, router, "", fmt.Sprintf("not ready %v after the last fault", time.Duration(c.Play.Settle))})
		}
	}
	return found
}

// readyAt reports whether a router was ready at a time.
func (c *Case) readyAt(router int, at int64) (ready bool) {
	for i := range c.Events {
		e := &c.Events[i]
		if e.T > at {
			break
		}
		if (e.What == history.Ready || e.What == history.Unready) && NumberOf(e.Who) == router {
			ready = e.What == history.Ready
		}
	}
	return ready
}

// servedShare counts requests, and how many of them were served completely.
type servedShare struct {
	requests, complete int
}

func (s servedShare) fraction() float64 { return float64(s.complete) / float64(s.requests) }

// servedShares counts the requests that ended before the first fault, and the requests that were sent
// from a time on.
func (c *Case) servedShares(from int64) (before, then servedShare) {
	first := c.firstFault()
	for _, id := range c.ids {
		r := c.requests[id]
		if r.Ask == nil || len(r.Answers) != 1 || r.Answers[0].How == history.Left {
			continue
		}
		share := &servedShare{}
		switch {
		case r.Ask.T < first && r.Answers[0].T < first:
			share = &before
		case r.Ask.T >= from:
			share = &then
		}
		share.requests++
		if r.Answers[0].How == history.Complete {
			share.complete++
		}
	}
	return before, then
}

// firstFault returns when the first fault of the schedule began, or the end of the history if there was
// none.
func (c *Case) firstFault() int64 {
	for i := range c.Faults {
		if c.Faults[i].Kind != machineStall {
			return c.Faults[i].From
		}
	}
	return c.End
}
