package simulator

import (
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

// drawSome draws a part of so many, at least one unless the part is 0, in the order of their numbers.
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
	for i, at := range may { // each one left has an even chance of the places left
		if w.disruptionRand.IntN(len(may)-i) < want-len(drawn) {
			drawn = append(drawn, at)
		}
	}
	return drawn
}

// activeDisruption is what a disruption has hit.
type activeDisruption struct {
	disruption int
	targets    []int
}

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
			old := w.hosts[i]
			old.state = balance.Removed
			w.publishHost(old)
			old.removed = true
			w.stopHost(old)
			h := w.addHost(old.group)
			h.model.Step(w.now, hostmodel.Die{})
			h.alive = false
			w.schedule(w.now+t.Length, event{kind: hostStarts, number: h.number, generation: h.generation})
		}
	case Release:
		var all []int
		for i := range w.hosts {
			if alive(i) {
				all = append(all, i)
			}
		}
		each := max(int(t.Fraction*float64(len(all))+0.5), 1)
		rounds := (len(all) + each - 1) / each
		w.rollingRestart(&rollingRestart{remaining: all, batch: each, interval: t.Length / time.Duration(max(rounds, 1))})
	case LostZone:
		for i, h := range w.hosts {
			if h.zone == t.Zone && !h.removed {
				w.isolateHost(h)
				hit.targets = append(hit.targets, i)
			}
		}
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

// restartHost ends a host's process and has it start again after a while. The list hears of the start
// alone.
func (w *World) restartHost(h *host, after time.Duration) {
	w.stopHost(h)
	w.schedule(w.now+after, event{kind: hostStarts, number: h.number, generation: h.generation})
}

func (w *World) endDisruption(n int) {
	if n < 0 { // the front has noticed that a router died
		for i, r := range w.front {
			if r == ^n && !w.routers[r].alive {
				w.front = append(w.front[:i], w.front[i+1:]...)
				break
			}
		}
		return
	}
	t := &w.spec.Disruptions[n]
	w.trace("trouble ends: "+string(t.Kind), "", n)
	var hit activeDisruption
	for i, x := range w.activeDisruptions {
		if x.disruption == n {
			hit = x
			w.activeDisruptions = append(w.activeDisruptions[:i], w.activeDisruptions[i+1:]...)
			break
		}
	}
	switch t.Kind {
	case SlowHosts:
		for _, i := range hit.targets {
			w.stepHost(w.hosts[i], hostmodel.Slow{Factor: 1})
		}
	case Burst:
		w.burstFactor /= t.Size
	case HeavyTail:
		for i, x := range w.heavyTails {
			if x.disruption == n {
				w.heavyTails = append(w.heavyTails[:i], w.heavyTails[i+1:]...)
				break
			}
		}
	case LostZone: // what was under way is reset now
		for _, i := range hit.targets {
			h := w.hosts[i]
			w.reconnectHost(h)
			if h.alive {
				w.stopHost(h)
				h.alive = true
				w.stepHost(h, hostmodel.Start{})
				h.startedAt = w.clock()
				w.publishHost(h)
			}
		}
	case ListLost:
		w.endListOutage()
	}
	w.emit(history.Event{What: history.Heal, N: firstDisruptionNumber + n, Text: disruptionFault[t.Kind]})
}

// isolateHost cuts a host off from the network.
func (w *World) isolateHost(h *host) {
	h.isolated = true
	if h.isolations++; w.spec.Net.StreamIdleTimeout > 0 {
		w.schedule(w.now+w.spec.Net.StreamIdleTimeout, event{kind: streamsIdle, number: h.number, generation: h.isolations})
	}
}

// reconnectHost has it back: what was under way is reset.
func (w *World) reconnectHost(h *host) {
	h.isolated = false
	for _, a := range h.undelivered {
		w.sendHostMessage(h, a, &hostMessage{attempt: a, result: balance.Reset, tokens: a.tokens})
	}
	h.undelivered = nil
}

// endListOutage ends one of the faults that hold the list up.
func (w *World) endListOutage() {
	if w.list.outages--; w.list.outages == 0 && w.list.updateMissed {
		w.list.updateMissed = false
		for _, r := range w.routers {
			w.sendFullList(r)
		}
	}
}

// firstDisruptionNumber is where the numbers of disruptions begin among those of a history's
// faults.
const firstDisruptionNumber = faults.Most

// disruptionFault is the fault that excuses what a disruption does.
var disruptionFault = map[DisruptionKind]string{SlowHosts: "slow", RouterCrash: "kill", HostsDie: "kill", Replace: "kill", Release: "drain", LostZone: "power", ListLost: "cut",
	Burst: "burst", HeavyTail: "heavy_tail"}

// emitDisruption tells the history of a disruption that begins, as the fault that it is like.
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

// rollingRestart is a release of all hosts, some at a time: each is drained, has two thirds of its round
// to finish what it has, and starts anew.
type rollingRestart struct {
	remaining []int
	batch     int
	interval  time.Duration
	drained   []int
}

func (w *World) rollingRestart(x *rollingRestart) {
	if x.drained != nil {
		for _, i := range x.drained {
			if h := w.hosts[i]; h.alive && !h.removed {
				w.restartHost(h, x.interval/6)
			}
		}
		x.drained = nil
		w.schedule(w.now+x.interval/3, event{kind: rollingRestartContinues, payload: x})
		return
	}
	n := min(x.batch, len(x.remaining))
	if n == 0 {
		return
	}
	x.drained, x.remaining = x.remaining[:n:n], x.remaining[n:]
	for _, i := range x.drained {
		if h := w.hosts[i]; h.alive && !h.removed {
			h.state = balance.Draining
			w.stepHost(h, hostmodel.Drain{})
			w.publishHost(h)
		}
	}
	w.schedule(w.now+2*x.interval/3, event{kind: rollingRestartContinues, payload: x})
}
