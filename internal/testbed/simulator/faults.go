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

// schedule is the faults of a world.
type schedule struct {
	injections []*faults.Injection
	on         []*faults.Injection // by now, those of links
	waiting    []int               // for what happens
	counts     []int               // how often that has happened
	link       *faults.Link        // what becomes of routers' words; each pair has the condition of its moment
	copies     []faults.Copy
}

// Topology is the fleet as schedules see it.
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

// checkFaults returns what of a schedule virtual time can't play. A host is cut off from all
// routers or from none, and so is the list: a world has one list, and hosts whose answers all
// routers hear.
func (s *Spec) checkFaults() error {
	if err := faults.Check(s.Faults, s.Topology(), faults.Lab, s.Length); err != nil {
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

// schedules puts a world's faults in.
func (w *World) schedules() {
	w.faults.injections = faults.Resolve(w.s.Faults, w.s.Topology(), w.s.Seed)
	w.faults.counts = make([]int, len(w.faults.injections))
	w.faults.link = faults.NewLink(w.s.Seed, 0)
	for i, s := range w.faults.injections {
		if s.When != nil {
			w.faults.waiting = append(w.faults.waiting, i)
			continue
		}
		w.at(s.At, event{kind: faultBegins, n: i})
	}
}

// emit tells the history of an event, and faults that wait for one.
func (w *World) emit(e history.Event) {
	if w.s.History == nil && len(w.faults.waiting) == 0 {
		return
	}
	e.T = w.now.Nanoseconds()
	if w.s.History != nil {
		w.s.History(&e)
	}
	w.faults.waiting = slices.DeleteFunc(w.faults.waiting, func(i int) bool {
		s := w.faults.injections[i]
		if !Fits(s.When, &e) {
			return false
		}
		if w.faults.counts[i]++; w.faults.counts[i] < s.When.Nth {
			return false
		}
		w.at(w.now+s.At, event{kind: faultBegins, n: i})
		return true
	})
}

// Fits tells whether an event is what a fault waits for.
func Fits(when *faults.When, e *history.Event) bool {
	return string(e.What) == when.What && (when.Who == "" || when.Who == e.Who) && strings.Contains(e.Text, when.Text)
}

// observed tells whether somebody wants events, for those that cost something to make.
func (w *World) observed() bool { return w.s.History != nil || len(w.faults.waiting) > 0 }

func routerName(n int) string { return "r" + strconv.Itoa(n) }

// FaultEvent is what a history has of a strike.
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

func (w *World) faultBegins(n int) {
	s := w.faults.injections[n]
	w.trace("fault begins: "+string(s.Kind), "", n)
	w.emit(FaultEvent(history.Fault, n, s))
	w.at(w.now+s.Length, event{kind: faultEnds, n: n})
	if faults.Of(s.Kind).OfLinks() {
		w.faults.on = append(w.faults.on, s)
		w.isolate(s, true)
		return
	}
	for _, i := range s.Routers {
		if w.routers[i].down++; w.routers[i].down == 1 && w.routers[i].alive {
			w.crash(i)
			w.at(w.now+w.s.Front.Notice, event{kind: disruptionEnds, n: ^i}) // the front notices
		}
	}
	for _, i := range s.Hosts {
		h := w.hosts[i]
		if s.Kind == faults.Slow {
			w.hostDoes(h, hostmodel.Slow{Factor: s.Size})
		} else if h.down++; h.down == 1 {
			w.die(h)
		}
	}
}

func (w *World) faultEnds(n int) {
	s := w.faults.injections[n]
	w.trace("fault ends: "+string(s.Kind), "", n)
	w.emit(FaultEvent(history.Heal, n, s))
	if faults.Of(s.Kind).OfLinks() {
		w.faults.on = slices.DeleteFunc(w.faults.on, func(x *faults.Injection) bool { return x == s })
		w.isolate(s, false)
		return
	}
	for _, i := range s.Routers {
		if r := w.routers[i]; r.down > 0 {
			if s.Disk == faults.DiskEmpty {
				r.usual = recovery.Baseline{}
			}
			if r.down--; r.down == 0 && !r.alive {
				w.at(w.now, event{kind: routerStarts, n: i})
			}
		}
	}
	for _, i := range s.Hosts {
		h := w.hosts[i]
		if s.Kind == faults.Slow {
			w.hostDoes(h, hostmodel.Slow{Factor: 1})
		} else if h.down--; h.down == 0 {
			w.at(w.now, event{kind: hostStarts, n: i, gen: h.gen})
		}
	}
}

// isolate cuts hosts and the list off, or has them back. What hosts had under way is reset then;
// they run on.
func (w *World) isolate(s *faults.Injection, on bool) {
	if slices.Contains(s.Links, faults.LinkList) {
		if on {
			w.list.down++
		} else {
			w.listBack()
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

// carry sends a word to another router as the faults of the moment have it.
func (w *World) carry(from, to int, e event) {
	at := e.at
	if len(w.faults.on) == 0 {
		w.at(at, e)
		return
	}
	l := w.faults.link
	l.Condition = faults.ConditionOf(w.faults.on, faults.End{N: from}, faults.End{N: to})
	w.faults.copies = l.Pass(0, w.faults.copies[:0])
	for _, c := range w.faults.copies {
		w.at(at+c.After, e)
	}
}
