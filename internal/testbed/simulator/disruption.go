package simulator

import (
	"slices"
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

// drawSome draws a fraction of the numbers below n for which ok holds, and returns them in
// ascending order. It draws at least one number unless the fraction is 0 or ok holds for none.
func (w *World) drawSome(n int, fraction float64, ok func(int) bool) (drawn []int) {
	var may []int
	for i := range n {
		if ok(i) {
			may = append(may, i)
		}
	}
	if fraction <= 0 || len(may) == 0 {
		return nil
	}
	want := min(max(int(fraction*float64(len(may))+0.5), 1), len(may))
	for i, at := range may { // selection sampling: each subset is equally likely
		if w.disruptionRand.IntN(len(may)-i) < want-len(drawn) {
			drawn = append(drawn, at)
		}
	}
	return drawn
}

// activeDisruption is a disruption that has not ended, and its targets.
type activeDisruption struct {
	disruption int
	targets    []int
}

// beginDisruption draws the targets of a disruption and applies it to them.
func (w *World) beginDisruption(n int) {
	t := &w.spec.Disruptions[n]
	w.trace("trouble begins: "+string(t.Kind), "", n)
	hit := activeDisruption{disruption: n}
	alive := func(i int) bool { return w.hosts[i].alive && !w.hosts[i].removed }
	switch t.Kind {
	case SlowHosts:
		hit.targets = w.drawSome(len(w.hosts), t.Fraction, alive)
		for _, i := range hit.targets {
			w.stepHost(w.hosts[i], hostmodel.Slow{Factor: t.Size})
		}
	case Burst:
		w.burstFactor *= t.Size
	case HeavyTail:
		w.heavyTails = append(w.heavyTails, heavyTail{n, t.Fraction, t.Size})
	case RouterCrash:
		hit.targets = w.drawSome(len(w.routers), t.Fraction, func(i int) bool { return w.routers[i].alive })
		for _, i := range hit.targets {
			w.crashRouter(i)
			w.schedule(w.now+w.spec.Front.Notice, event{kind: disruptionEnds, number: ^i}) // the front notices
			w.schedule(w.now+t.Length, event{kind: routerStarts, number: i})
		}
	case HostsDie:
		hit.targets = w.drawSome(len(w.hosts), t.Fraction, alive)
		for _, i := range hit.targets {
			w.restartHost(w.hosts[i], t.Length)
		}
	case Replace:
		hit.targets = w.drawSome(len(w.hosts), t.Fraction, alive)
		for _, i := range hit.targets {
			w.replaceHost(w.hosts[i], t.Length)
		}
	case Release:
		w.beginRollingRestart(t, alive)
	case LostZone:
		hit.targets = w.isolateZone(t.Zone)
	case ListLost:
		w.list.outages++
	}
	w.emitDisruption(n, t, hit.targets)
	w.result.Disruptions = append(w.result.Disruptions, DisruptionResult{Kind: t.Kind, At: w.now, Hit: len(hit.targets)})
	if t.Kind != Release && t.Kind != Replace {
		w.activeDisruptions = append(w.activeDisruptions, hit)
		w.schedule(w.now+t.Length, event{kind: disruptionEnds, number: n})
	}
}

// replaceHost removes a host permanently and starts a new host of the same group after a delay.
func (w *World) replaceHost(old *host, delay time.Duration) {
	old.state = balance.Removed
	w.publishHost(old)
	old.removed = true
	w.stopHost(old)
	h := w.addHost(old.group)
	h.model.Step(w.now, hostmodel.Crash{})
	h.alive = false
	w.schedule(w.now+delay, event{kind: hostStarts, number: h.number, generation: h.generation})
}

// isolateZone isolates the hosts of a zone, and returns them.
func (w *World) isolateZone(zone string) (isolated []int) {
	for i, h := range w.hosts {
		if h.zone == zone && !h.removed {
			w.isolateHost(h)
			isolated = append(isolated, i)
		}
	}
	return isolated
}

// restartHost ends a host's process and starts a new one after a delay. The list publishes only the
// start.
func (w *World) restartHost(h *host, after time.Duration) {
	w.stopHost(h)
	w.schedule(w.now+after, event{kind: hostStarts, number: h.number, generation: h.generation})
}

// endDisruption undoes disruption n. A negative n is not the number of a disruption: it means that
// the front has noticed the death of router ^n.
func (w *World) endDisruption(n int) {
	if n < 0 {
		w.frontNotices(^n)
		return
	}
	t := &w.spec.Disruptions[n]
	w.trace("trouble ends: "+string(t.Kind), "", n)
	hit := w.removeActive(n)
	switch t.Kind {
	case SlowHosts:
		for _, i := range hit.targets {
			w.stepHost(w.hosts[i], hostmodel.Slow{Factor: 1})
		}
	case Burst:
		w.burstFactor /= t.Size
	case HeavyTail:
		i := slices.IndexFunc(w.heavyTails, func(x heavyTail) bool { return x.disruption == n })
		if i >= 0 {
			w.heavyTails = slices.Delete(w.heavyTails, i, i+1)
		}
	case LostZone:
		for _, i := range hit.targets {
			w.reconnectZoneHost(w.hosts[i])
		}
	case ListLost:
		w.endListOutage()
	}
	w.emit(history.Event{What: history.Heal, N: firstDisruptionNumber + n, Text: disruptionFault[t.Kind]})
}

// frontNotices removes a router from those that the front sends to, unless it is alive again.
func (w *World) frontNotices(router int) {
	if w.routers[router].alive {
		return
	}
	if i := slices.Index(w.front, router); i >= 0 {
		w.front = slices.Delete(w.front, i, i+1)
	}
}

// removeActive removes a disruption from the active ones and returns it with its targets.
func (w *World) removeActive(disruption int) (hit activeDisruption) {
	i := slices.IndexFunc(w.activeDisruptions, func(x activeDisruption) bool { return x.disruption == disruption })
	if i < 0 {
		return hit
	}
	hit = w.activeDisruptions[i]
	w.activeDisruptions = slices.Delete(w.activeDisruptions, i, i+1)
	return hit
}

// reconnectZoneHost reconnects a host of a lost zone and restarts its process, which resets its
// attempts.
func (w *World) reconnectZoneHost(h *host) {
	w.reconnectHost(h)
	if !h.alive {
		return
	}
	w.stopHost(h)
	h.alive = true
	w.stepHost(h, hostmodel.Start{})
	h.startedAt = w.clock()
	w.publishHost(h)
}

// isolateHost isolates a host from the network.
func (w *World) isolateHost(h *host) {
	h.isolated = true
	if h.isolations++; w.spec.Net.StreamIdleTimeout > 0 {
		w.schedule(w.now+w.spec.Net.StreamIdleTimeout, event{kind: streamsIdle, number: h.number, generation: h.isolations})
	}
}

// reconnectHost reconnects an isolated host. The attempts whose messages were lost are reset.
func (w *World) reconnectHost(h *host) {
	h.isolated = false
	for _, a := range h.undelivered {
		w.sendHostMessage(h, a, &hostMessage{attempt: a, result: balance.Reset, tokens: a.tokens})
	}
	h.undelivered = nil
}

// endListOutage ends one outage of the list. After the last one, routers get the complete list if
// an update was lost.
func (w *World) endListOutage() {
	if w.list.outages--; w.list.outages == 0 && w.list.updateMissed {
		w.list.updateMissed = false
		for _, r := range w.routers {
			w.sendFullList(r)
		}
	}
}

// firstDisruptionNumber is the number of the first disruption in a history, which numbers faults and
// disruptions together.
const firstDisruptionNumber = faults.MaxFaults

// disruptionFault maps a disruption to the kind of fault as which the history records it.
var disruptionFault = map[DisruptionKind]string{SlowHosts: "slow", RouterCrash: "kill", HostsDie: "kill", Replace: "kill", Release: "drain", LostZone: "power", ListLost: "cut",
	Burst: "burst", HeavyTail: "heavy_tail"}

// emitDisruption records the start of a disruption in the history, as the corresponding fault.
func (w *World) emitDisruption(n int, t *Disruption, hit []int) {
	e := history.Event{What: history.Fault, N: firstDisruptionNumber + n, Text: disruptionFault[t.Kind], Hosts: hit}
	switch t.Kind {
	case RouterCrash:
		e.Routers, e.Hosts = hit, nil
	case Release:
		for i := range w.hosts {
			e.Hosts = append(e.Hosts, i)
		}
	case ListLost:
		e.Links, e.All = []string{faults.LinkList}, true
	}
	w.emit(e)
}
