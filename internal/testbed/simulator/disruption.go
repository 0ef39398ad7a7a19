package simulator

import (
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

// some draws a part of so many, at least one unless the part is 0, in the order of their numbers.
func (w *World) some(n int, fraction float64, ok func(int) bool) (drawn []int) {
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
		if w.chance.IntN(len(may)-i) < want-len(drawn) {
			drawn = append(drawn, at)
		}
	}
	return drawn
}

// struck is what a disruption has hit.
type struck struct {
	disruption int
	at         []int
}

func (w *World) begins(n int) {
	t := &w.s.Disruptions[n]
	w.trace("trouble begins: "+string(t.Kind), "", n)
	hit := struck{disruption: n}
	alive := func(i int) bool { return w.hosts[i].alive && !w.hosts[i].removed }
	switch t.Kind {
	case SlowHosts:
		hit.at = w.some(len(w.hosts), t.Fraction, alive)
		for _, i := range hit.at {
			w.hostDoes(w.hosts[i], hostmodel.Slow{Factor: t.Size})
		}
	case Burst:
		w.burst *= t.Size
	case HeavyTail:
		w.tail = append(w.tail, tail{n, t.Fraction, t.Size})
	case RouterCrash:
		hit.at = w.some(len(w.routers), t.Fraction, func(i int) bool { return w.routers[i].alive })
		for _, i := range hit.at {
			w.crash(i)
			w.at(w.now+w.s.Front.Notice, event{kind: disruptionEnds, n: ^i}) // the front notices
			w.at(w.now+t.Length, event{kind: routerStarts, n: i})
		}
	case HostsDie:
		hit.at = w.some(len(w.hosts), t.Fraction, alive)
		for _, i := range hit.at {
			w.stop(w.hosts[i], t.Length)
		}
	case Replace:
		hit.at = w.some(len(w.hosts), t.Fraction, alive)
		for _, i := range hit.at {
			old := w.hosts[i]
			old.state = balance.Removed
			w.changed(old)
			old.removed = true
			w.die(old)
			h := w.addHost(old.group)
			h.model.Step(w.now, hostmodel.Die{})
			h.alive = false
			w.at(w.now+t.Length, event{kind: hostStarts, n: h.n, gen: h.gen})
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
		w.release(&releasing{left: all, each: each, every: t.Length / time.Duration(max(rounds, 1))})
	case LostZone:
		for i, h := range w.hosts {
			if h.zone == t.Zone && !h.removed {
				w.isolateHost(h)
				hit.at = append(hit.at, i)
			}
		}
	case ListLost:
		w.list.down++
	}
	w.emitDisruption(n, t, hit.at)
	w.res.Disruptions = append(w.res.Disruptions, DisruptionResult{Kind: t.Kind, At: w.now, Hit: len(hit.at)})
	if t.Kind != Release && t.Kind != Replace {
		w.struck = append(w.struck, hit)
		w.at(w.now+t.Length, event{kind: disruptionEnds, n: n})
	}
}

// stop ends a host's process and has it start again after a while. The list hears of the start
// alone.
func (w *World) stop(h *host, after time.Duration) {
	w.die(h)
	w.at(w.now+after, event{kind: hostStarts, n: h.n, gen: h.gen})
}

func (w *World) ends(n int) {
	if n < 0 { // the front has noticed that a router died
		for i, r := range w.front {
			if r == ^n && !w.routers[r].alive {
				w.front = append(w.front[:i], w.front[i+1:]...)
				break
			}
		}
		return
	}
	t := &w.s.Disruptions[n]
	w.trace("trouble ends: "+string(t.Kind), "", n)
	var hit struck
	for i, x := range w.struck {
		if x.disruption == n {
			hit = x
			w.struck = append(w.struck[:i], w.struck[i+1:]...)
			break
		}
	}
	switch t.Kind {
	case SlowHosts:
		for _, i := range hit.at {
			w.hostDoes(w.hosts[i], hostmodel.Slow{Factor: 1})
		}
	case Burst:
		w.burst /= t.Size
	case HeavyTail:
		for i, x := range w.tail {
			if x.disruption == n {
				w.tail = append(w.tail[:i], w.tail[i+1:]...)
				break
			}
		}
	case LostZone: // what was under way is reset now
		for _, i := range hit.at {
			h := w.hosts[i]
			w.reconnectHost(h)
			if h.alive {
				w.die(h)
				h.alive = true
				w.hostDoes(h, hostmodel.Start{})
				h.born = w.clock()
				w.changed(h)
			}
		}
	case ListLost:
		w.listBack()
	}
	w.emit(history.Event{What: history.Heal, N: firstDisruptionNumber + n, Text: disruptionFault[t.Kind]})
}

// isolateHost cuts a host off from the network.
func (w *World) isolateHost(h *host) {
	h.isolated = true
	if h.isolations++; w.s.Net.StreamIdleTimeout > 0 {
		w.at(w.now+w.s.Net.StreamIdleTimeout, event{kind: streamsIdle, n: h.n, gen: h.isolations})
	}
}

// reconnectHost has it back: what was under way is reset.
func (w *World) reconnectHost(h *host) {
	h.isolated = false
	for _, a := range h.undelivered {
		w.sendHostMessage(h, a, &hostMessage{a: a, result: balance.Reset, made: a.made})
	}
	h.undelivered = nil
}

// listBack ends one of the faults that hold the list up.
func (w *World) listBack() {
	if w.list.down--; w.list.down == 0 && w.list.missed {
		w.list.missed = false
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

// releasing is a release of all hosts, some at a time: each is drained, has two thirds of its round
// to finish what it has, and starts anew.
type releasing struct {
	left    []int
	each    int
	every   time.Duration
	drained []int
}

func (w *World) release(x *releasing) {
	if x.drained != nil {
		for _, i := range x.drained {
			if h := w.hosts[i]; h.alive && !h.removed {
				w.stop(h, x.every/6)
			}
		}
		x.drained = nil
		w.at(w.now+x.every/3, event{kind: releaseGoesOn, p: x})
		return
	}
	n := min(x.each, len(x.left))
	if n == 0 {
		return
	}
	x.drained, x.left = x.left[:n:n], x.left[n:]
	for _, i := range x.drained {
		if h := w.hosts[i]; h.alive && !h.removed {
			h.state = balance.Draining
			w.hostDoes(h, hostmodel.Drain{})
			w.changed(h)
		}
	}
	w.at(w.now+2*x.every/3, event{kind: releaseGoesOn, p: x})
}
