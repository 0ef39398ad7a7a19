package checker

import (
	"fmt"
	"time"

	"reachspread/internal/testbed/history"
)

const (
	// minServedFraction is the share of requests that must be served whole once the fleet has
	// settled, of those that were before the first fault.
	minServedFraction = 0.9
	// minRequests is the least number of requests that a share is taken of.
	minRequests = 20
)

// returned finds fleets that do not come back: routers that are not ready, or requests that are
// refused or fail, once so much time has passed since the last fault.
func returned(c *Case) (found []Violation) {
	if c.Play.Settle == 0 || c.LastHeal() == 0 {
		return nil
	}
	from := c.LastHeal() + c.Play.Settle
	if from >= c.End {
		return nil // it had no time for it
	}
	first := c.Faults[0].From
	ready := map[int]bool{}
	for i := range c.Events {
		e := &c.Events[i]
		if e.T > from {
			break
		}
		switch e.What {
		case history.Ready:
			ready[NumberOf(e.Who)] = true
		case history.Unready:
			ready[NumberOf(e.Who)] = false
		}
	}
	for n := range c.Play.Routers {
		if !ready[n] && c.Play.World == "rig" {
			found = append(found, Violation{"return", from, fmt.Sprint("r", n), "", fmt.Sprintf("not ready %v after the last fault", time.Duration(c.Play.Settle))})
		}
	}
	var before, beforeComplete, then, afterComplete int
	for _, id := range c.ids {
		r := c.requests[id]
		if r.Ask == nil || len(r.Answers) != 1 || r.Answers[0].How == history.Left {
			continue
		}
		complete := 0
		if r.Answers[0].How == history.Complete {
			complete = 1
		}
		switch {
		case r.Ask.T < first && r.Answers[0].T < first:
			before, beforeComplete = before+1, beforeComplete+complete
		case r.Ask.T >= from:
			then, afterComplete = then+1, afterComplete+complete
		}
	}
	if before >= minRequests && then >= minRequests {
		b, t := float64(beforeComplete)/float64(before), float64(afterComplete)/float64(then)
		if t < minServedFraction*b {
			found = append(found, Violation{"return", from, "", "", fmt.Sprintf("%.0f%% of %d requests are served whole from %v after the last fault on; before the first one it were %.0f%% of %d",
				100*t, then, time.Duration(c.Play.Settle), 100*b, before)})
		}
	}
	return found
}
