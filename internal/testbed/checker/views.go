package checker

import (
	"fmt"
	"slices"
	"time"

	"reachspread/internal/testbed/history"
)

const (
	// minHealthyTime is how long a router must have run without any fault before every view must
	// contain it. It is the longest time that a view may take to converge after an earlier fault.
	minHealthyTime = 10 * time.Second
	// viewInterval is the longest time between two observations of a router's view.
	viewInterval = time.Second
)

// incarnation is a period in which a router had at least one process.
type incarnation struct {
	from, to int64
}

// views finds wrong views of the fleet: an incarnation that decreases, a router that is missing from
// its own view, and a router that is missing from another's view although both have long been healthy.
// Once the time to converge after the last fault is over, it also finds views that differ from each
// other or do not contain exactly the running routers.
func views(c *Case) (found []Violation) {
	inc, at := map[int]uint32{}, map[int]int64{}
	incarnations := c.incarnations()
	last := map[int]*history.Event{}
	converged := c.LastHeal() + c.Play.Views
	over := c.End
	for i := range c.Events {
		e := &c.Events[i]
		if e.What == history.Term && over == c.End && e.T >= c.LastHeal() && c.Play.Views > 0 {
			over = e.T // the play ends, and routers that leave disappear from views
		}
		if e.What != history.View {
			continue
		}
		n := NumberOf(e.Who)
		if e.Incarnation < inc[n] && c.remembered(n, at[n], e.T) {
			found = append(found, Violation{"view", e.T, e.Who, "", fmt.Sprintf("its incarnation went from %d to %d", inc[n], e.Incarnation)})
		}
		inc[n], at[n] = max(inc[n], e.Incarnation), e.T
		if e.Incarnation < inc[n] {
			inc[n] = e.Incarnation // no running router knew the earlier incarnation
		}
		if !slices.Contains(e.Routers, n) {
			found = append(found, Violation{"view", e.T, e.Who, "", "is missing from its own view"})
		}
		if e.T <= over {
			last[n] = e
			found = append(found, c.missing(e, incarnations)...)
		}
	}
	if c.Play.Views == 0 || converged >= over {
		return found
	}
	var first *history.Event
	for n := range c.Play.Routers {
		e, alive := last[n], c.runsThroughout(incarnations[n], converged, over)
		switch {
		case !alive:
			continue
		case e == nil:
			found = append(found, Violation{"view", converged, fmt.Sprint("r", n), "", "tells no view"})
			continue
		}
		for m := range c.Play.Routers {
			if in := slices.Contains(e.Routers, m); in != c.runsThroughout(incarnations[m], converged, over) {
				found = append(found, Violation{"view", over, e.Who, "", fmt.Sprintf("r%d is in its view: %v; it lives: %v", m, in, !in)})
			}
		}
		if first == nil {
			first = e
		} else if e.Text != first.Text {
			found = append(found, Violation{"view", over, e.Who, "", fmt.Sprintf("its view is %s, that of %s is %s", e.Text, first.Who, first.Text)})
		}
	}
	return found
}

// remembered reports whether some other router must have known the last incarnation of router n. That
// is so if one of its processes started at least 2 s before from and runs beyond to, no fault
// disturbed a link in that time, and none froze a process in the second before to.
func (c *Case) remembered(n int, from, to int64) bool {
	if c.FaultDuring(linkFaults, from, to, func(*Fault) bool { return true }) || c.FaultDuring(append(processEnds, processStalls...), to-int64(time.Second), to, func(s *Fault) bool {
		return s.Kind == machineStall || s.Kind != "kill" && s.Kind != "power"
	}) {
		return false
	}
	started := map[string]int64{}
	for i := range c.Events {
		e := &c.Events[i]
		switch e.What {
		case history.Start:
			if NumberOf(e.Who) != n {
				started[e.Who] = e.T
			}
		case history.Exit, history.Term:
			if e.T <= to {
				delete(started, e.Who)
			}
		}
	}
	for _, t := range started {
		if t+int64(2*time.Second) <= from {
			return true
		}
	}
	return false
}

// incarnations returns, by router, the periods in which it had at least one process. Twins don't count.
func (c *Case) incarnations() map[int][]incarnation {
	all := map[int][]incarnation{}
	running := map[string]bool{}
	count := map[int]int{}
	for i := range c.Events {
		e := &c.Events[i]
		n := NumberOf(e.Who)
		switch e.What {
		case history.Start:
			if e.Text == "twin" {
				continue
			}
			running[e.Who] = true
			if count[n]++; count[n] == 1 {
				all[n] = append(all[n], incarnation{e.T, c.End})
			}
		case history.Exit:
			if !running[e.Who] {
				continue
			}
			delete(running, e.Who)
			if count[n]--; count[n] == 0 {
				all[n][len(all[n])-1].to = e.T
			}
		}
	}
	return all
}

// runsThroughout reports whether one of a router's incarnations lasted from one time to another.
func (c *Case) runsThroughout(all []incarnation, from, to int64) bool {
	return slices.ContainsFunc(all, func(l incarnation) bool { return l.from <= from && l.to >= to })
}

// missing finds routers that have been healthy for minHealthyTime and are not in a view.
func (c *Case) missing(e *history.Event, incarnations map[int][]incarnation) (found []Violation) {
	since := e.T - minHealthyTime.Nanoseconds()
	for i := range c.Faults {
		if s := &c.Faults[i]; s.From <= e.T && s.To >= since {
			return nil
		}
	}
	viewer := NumberOf(e.Who)
	if !c.runsThroughout(incarnations[viewer], since, e.T) {
		return nil
	}
	for n := range c.Play.Routers {
		if c.runsThroughout(incarnations[n], since, e.T+viewInterval.Nanoseconds()) && !slices.Contains(e.Routers, n) && n != viewer {
			found = append(found, Violation{"view", e.T, e.Who, "", fmt.Sprintf("r%d is missing; it has been well for %v", n, minHealthyTime)})
		}
	}
	return found
}
