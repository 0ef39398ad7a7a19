package judge

import (
	"fmt"
	"time"

	"reachspread/internal/history"
)

// limits finds processes over their memory or their descriptors, and datagrams over the platform's bound. Each process is
// told of once.
func limits(c *Case) (found []Verdict) {
	told := map[string]bool{}
	tell := func(e *history.Event, text string) {
		if !told[e.Who+text[:5]] {
			told[e.Who+text[:5]] = true
			found = append(found, Verdict{"limits", e.T, e.Who, "", text})
		}
	}
	for i := range c.Events {
		e := &c.Events[i]
		switch {
		case e.What == history.Wide:
			tell(e, fmt.Sprintf("datagram of %d bytes; 256 are allowed", e.Bytes))
		case e.What != history.Usage:
		case c.Play.Memory > 0 && e.Memory > c.Play.Memory:
			tell(e, fmt.Sprintf("memory of %d bytes; %d are allowed", e.Memory, c.Play.Memory))
		case c.Play.Sockets > 0 && e.Descriptors > c.Play.Sockets:
			tell(e, fmt.Sprintf("descriptors: %d; %d are allowed", e.Descriptors, c.Play.Sockets))
		}
	}
	return found
}

// leave finds processes that do not end as they should after SIGTERM.
func leave(c *Case) (found []Verdict) {
	if c.Play.Leave == 0 {
		return nil
	}
	termed := map[string]int64{}
	late := func(who string, t, end int64) {
		if over := end - t; over > c.Play.Leave+c.Play.Slack && !c.During(append(ends, slows...), t, end, router(who)) {
			found = append(found, Verdict{"leave", end, who, "", fmt.Sprintf("%v after SIGTERM; %v are allowed", time.Duration(over).Round(time.Millisecond),
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
			late(e.Who, t, e.T)
			if e.Status != 0 && !c.During(ends, t, e.T, router(e.Who)) {
				found = append(found, Verdict{"leave", e.T, e.Who, "", fmt.Sprintf("status %d after SIGTERM %s", e.Status, e.Text)})
			}
		}
	}
	for who, t := range termed {
		late(who, t, c.End)
	}
	return found
}
