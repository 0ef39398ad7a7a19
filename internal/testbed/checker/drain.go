package checker

import (
	"fmt"
	"time"

	"reachspread/internal/testbed/history"
)

// drainSlack is how long a router may still send new requests to a host after the list has reported the
// host as draining or gone. It includes the platform's slack on sockets.
const drainSlack = 550 * time.Millisecond

// drain finds attempts that a router sends to a host more than drainSlack after the list has reported
// the host as draining or gone. A fault of the router, or of its links to the list or the hosts,
// excuses such an attempt.
func drain(c *Case) (found []Violation) {
	since := map[string]int64{} // by router and host, when the list first reported that the host drains or is gone
	for i := range c.Events {
		e := &c.Events[i]
		switch e.What {
		case history.ListApplied:
			if key := e.Who + " " + e.From; e.Text == "Ready" {
				delete(since, key)
			} else if _, notified := since[key]; !notified {
				since[key] = e.T
			}
		case history.Attempt:
			notified, draining := since[e.From+" "+e.Who]
			sent := e.ArrivedAt()
			late := sent - notified - drainSlack.Nanoseconds()
			if !draining || late <= 0 || c.FaultDuring(append(processEnds, processStalls...), notified, e.T, affectsRouter(e.From)) ||
				c.FaultDuring(linkFaults, notified, e.T, affectsLink(e.From, "list")) || c.FaultDuring(linkFaults, notified, e.T, affectsLink(e.From, "hosts")) {
				continue
			}
			found = append(found, Violation{"drain", e.T, e.From, e.ID,
				fmt.Sprintf("sent to %s %v after the list had said that it leaves", e.Who, time.Duration(sent-notified).Round(time.Millisecond))})
		}
	}
	return found
}

// slowStart finds hosts that failed from overload while they were still cold.
func slowStart(c *Case) (found []Violation) {
	for i := range c.Events {
		if e := &c.Events[i]; e.What == history.HostOverloaded {
			found = append(found, Violation{"cold", e.T, e.Who, "", "fell over while cold"})
		}
	}
	return found
}
