package simulator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"reachspread/internal/router/recovery"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

// faultSchedule holds the faults of a world and their progress.
type faultSchedule struct {
	injections    []*faults.Injection
	linkFaults    []*faults.Injection // active faults of links
	awaitingEvent []int               // indexes of the injections that wait for an event
	eventCounts   []int               // how often the awaited event has occurred, by index
	link          *faults.Link        // applies link faults to peer messages; its condition is set for each message
	copies        []faults.Copy
}

// Topology returns the fleet in the form that schedules need.
func (s *Spec) Topology() *faults.Topology {
	topology := &faults.Topology{}
	var zones []string
	for _, g := range s.Groups {
		if !slices.Contains(zones, g.Zone) {
			zones = append(zones, g.Zone)
		}
		for range g.Count {
			topology.Hosts = append(topology.Hosts, g.Zone)
		}
	}
	for i := range s.Routers {
		zone := ""
		if len(zones) > 0 {
			zone = zones[i%len(zones)]
		}
		topology.Routers = append(topology.Routers, zone)
	}
	return topology
}

// checkFaults returns an error for the first fault that a simulation can't inject. In a simulation,
// a host or the list can be isolated only from all routers at once.
func (s *Spec) checkFaults() error {
	if err := faults.Check(s.Faults, s.Topology(), faults.Simulation, s.Length); err != nil {
		return err
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		far := slices.Contains(f.Links, faults.LinkHosts) || slices.Contains(f.Links, faults.LinkList)
		if faults.Of(f.Kind).OfLinks() && far && (f.Kind != faults.Blackhole || !f.Routers.All || f.Direction != "" && f.Direction != faults.Both) {
			return fmt.Errorf("%s: links to hosts or to the list do not exist for single routers in virtual time, only on sockets; a cut of routers = \"all\" does", f.Source)
		}
		if f.Disk != "" && f.Disk != faults.DiskUnchanged && f.Disk != faults.DiskEmpty {
			return fmt.Errorf("%s: disk %q does not exist in virtual time, only on sockets", f.Source, f.Disk)
		}
	}
	return nil
}

// scheduleFaults schedules a world's faults. Those that wait for an event are scheduled by emit.
func (w *World) scheduleFaults() {
	w.faults.injections = faults.Resolve(w.spec.Faults, w.spec.Topology(), w.spec.Seed)
	w.faults.eventCounts = make([]int, len(w.faults.injections))
	w.faults.link = faults.NewLink(w.spec.Seed, 0)
	for i, s := range w.faults.injections {
		if s.When != nil {
			w.faults.awaitingEvent = append(w.faults.awaitingEvent, i)
			continue
		}
		w.schedule(s.At, event{kind: faultBegins, number: i})
	}
}

// emit records an event in the history and schedules the faults that wait for it.
func (w *World) emit(e history.Event) {
	if w.spec.History == nil && len(w.faults.awaitingEvent) == 0 {
		return
	}
	e.T = w.now.Nanoseconds()
	if w.spec.History != nil {
		w.spec.History(&e)
	}
	w.faults.awaitingEvent = slices.DeleteFunc(w.faults.awaitingEvent, func(i int) bool {
		s := w.faults.injections[i]
		if !Fits(s.When, &e) {
			return false
		}
		if w.faults.eventCounts[i]++; w.faults.eventCounts[i] < s.When.Nth {
			return false
		}
		w.schedule(w.now+s.At, event{kind: faultBegins, number: i})
		return true
	})
}

// Fits reports whether an event matches the condition on which a fault waits.
func Fits(when *faults.When, e *history.Event) bool {
	return string(e.What) == when.What && (when.Who == "" || when.Who == e.Who) && strings.Contains(e.Text, when.Text)
}

// observed reports whether anything reads history events: the history or a fault that waits for an
// event. Callers skip events that are costly to make otherwise.
func (w *World) observed() bool { return w.spec.History != nil || len(w.faults.awaitingEvent) > 0 }

func routerName(n int) string { return "r" + strconv.Itoa(n) }

// FaultEvent returns the history event for the start or the end of an injection.
func FaultEvent(what history.What, n int, s *faults.Injection) history.Event {
	e := history.Event{What: what, N: n, Text: string(s.Kind), ID: s.Whom(), Routers: s.Routers, Hosts: s.Hosts}
	if faults.Of(s.Kind).OfLinks() {
		if e.Links = s.Links; len(e.Links) == 0 {
			e.Links = []string{faults.LinkPeers}
		}
		e.All = s.Kind == faults.Partition
	}
	return e
}

// faultBegins injects a fault.
func (w *World) faultBegins(n int) {
	s := w.faults.injections[n]
	w.trace("fault begins: "+string(s.Kind), "", n)
	w.emit(FaultEvent(history.Fault, n, s))
	w.schedule(w.now+s.Length, event{kind: faultEnds, number: n})
	if faults.Of(s.Kind).OfLinks() {
		w.faults.linkFaults = append(w.faults.linkFaults, s)
		w.isolate(s, true)
		return
	}
	for _, i := range s.Routers {
		if w.routers[i].activeFaults++; w.routers[i].activeFaults == 1 && w.routers[i].alive {
			w.crashRouter(i)
			w.schedule(w.now+w.spec.Front.Notice, event{kind: disruptionEnds, number: ^i}) // the front notices
		}
	}
	for _, i := range s.Hosts {
		h := w.hosts[i]
		if s.Kind == faults.Slow {
			w.stepHost(h, hostmodel.Slow{Factor: s.Size})
		} else if h.activeFaults++; h.activeFaults == 1 {
			w.stopHost(h)
		}
	}
}

// faultEnds ends a fault: it restarts the killed processes, or removes the effect on links and hosts.
func (w *World) faultEnds(n int) {
	s := w.faults.injections[n]
	w.trace("fault ends: "+string(s.Kind), "", n)
	w.emit(FaultEvent(history.Heal, n, s))
	if faults.Of(s.Kind).OfLinks() {
		w.faults.linkFaults = slices.DeleteFunc(w.faults.linkFaults, func(x *faults.Injection) bool { return x == s })
		w.isolate(s, false)
		return
	}
	for _, i := range s.Routers {
		if r := w.routers[i]; r.activeFaults > 0 {
			if s.Disk == faults.DiskEmpty {
				r.baseline = recovery.Baseline{}
			}
			if r.activeFaults--; r.activeFaults == 0 && !r.alive {
				w.schedule(w.now, event{kind: routerStarts, number: i})
			}
		}
	}
	for _, i := range s.Hosts {
		h := w.hosts[i]
		if s.Kind == faults.Slow {
			w.stepHost(h, hostmodel.Slow{Factor: 1})
		} else if h.activeFaults--; h.activeFaults == 0 {
			w.schedule(w.now, event{kind: hostStarts, number: i, generation: h.generation})
		}
	}
}

// isolate isolates the hosts and the list that a link fault names, or reconnects them. The hosts
// keep running. On reconnection, attempts whose messages were lost are reset.
func (w *World) isolate(s *faults.Injection, on bool) {
	if slices.Contains(s.Links, faults.LinkList) {
		if on {
			w.list.outages++
		} else {
			w.endListOutage()
		}
	}
	if !slices.Contains(s.Links, faults.LinkHosts) {
		return
	}
	for i, h := range w.hosts {
		if h.removed || len(s.Hosts) > 0 && !slices.Contains(s.Hosts, i) {
			continue
		}
		if on {
			w.isolateHost(h)
		} else {
			w.reconnectHost(h)
		}
	}
}

// sendToPeer delivers a message to another router, subject to the link faults that are active now:
// it may be delayed, duplicated or lost.
func (w *World) sendToPeer(from, to int, e event) {
	at := e.at
	if len(w.faults.linkFaults) == 0 {
		w.schedule(at, e)
		return
	}
	l := w.faults.link
	l.Condition = faults.ConditionOf(w.faults.linkFaults, faults.End{N: from}, faults.End{N: to})
	w.faults.copies = l.Pass(0, w.faults.copies[:0])
	for _, c := range w.faults.copies {
		w.schedule(at+c.After, e)
	}
}
