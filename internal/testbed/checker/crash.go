package checker

import (
	"fmt"
	"slices"
	"strings"

	"reachspread/internal/testbed/history"
)

// crash finds processes that exited by themselves or did not start, and panics in logs. A twin, which
// a fault starts under the name of a running router, may exit with status 1, but must not panic.
func crash(c *Case) (found []Violation) {
	asked := map[string]int64{} // by process, when it got SIGTERM, after which it may exit
	twin := map[string]bool{}
	for i := range c.Events {
		e := &c.Events[i]
		switch e.What {
		case history.Start:
			delete(asked, e.Who)
			twin[e.Who] = e.Text == "twin"
		case history.Term:
			asked[e.Who] = e.T
		case history.Exit:
			_, notified := asked[e.Who]
			killed := e.Text == "killed" && c.FaultDuring(processEnds, e.T, e.T, affectsRouter(e.Who))
			if notified || killed || e.Text == "ended by the rig" || twin[e.Who] && e.Status == 1 {
				continue
			}
			found = append(found, Violation{"crash", e.T, e.Who, "", fmt.Sprintf("ended by itself, status %d %s", e.Status, e.Text)})
		case history.Log:
			if strings.HasPrefix(e.Text, "panic: ") || strings.HasPrefix(e.Text, "fatal error: ") || strings.HasPrefix(e.Text, "SIG") {
				if !slices.ContainsFunc(c.Events, func(x history.Event) bool { return x.What == history.Unresponsive && x.Who == e.Who && x.T <= e.T }) {
					found = append(found, Violation{"crash", e.T, e.Who, "", e.Text})
				}
			}
		}
	}
	return found
}

// hang returns the unresponsive processes that the chaos test has recorded. The chaos test knows
// better than a checker what was done to a process.
func hang(c *Case) (found []Violation) {
	for i := range c.Events {
		if e := &c.Events[i]; e.What == history.Unresponsive {
			found = append(found, Violation{"hang", e.T, e.Who, "", e.Text})
		}
	}
	return found
}
