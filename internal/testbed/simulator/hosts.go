package simulator

import (
	"slices"
	"strconv"
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

// host is a simulated machine with the model of its process.
type host struct {
	number     int
	id         string
	zone       string
	kind       string
	group      int
	startedAt  time.Duration // last start on the routers' clock, 0 if before the simulation began
	model      *hostmodel.Host
	generation int           // identifies its process; a restart increases it
	nextStep   time.Duration // time of the next step of the model, -1 for none
	alive      bool
	removed    bool // permanently
	isolated   bool // from the network
	isolations int  // number of times that it was isolated
	state      balance.State

	activeFaults int // number of active faults that have killed it

	attempts map[string]*attempt // running or queued attempts, by id
	probes   map[string]*probe   // unanswered probes, by id

	undelivered []*attempt // attempts whose messages were lost while the host was isolated
}

// addHost adds a running host to a group.
func (w *World) addHost(group int) *host {
	g := &w.spec.Groups[group]
	n := len(w.hosts)
	h := &host{number: n, id: "h" + strconv.Itoa(n), zone: g.Zone, kind: g.Kind, group: group, nextStep: -1, alive: true,
		model: hostmodel.New(g.Host, w.stream(forHost, uint64(n)).Uint64()), attempts: map[string]*attempt{}, probes: map[string]*probe{}}
	w.hosts = append(w.hosts, h)
	return h
}

// stepHost passes an event to a host's model and applies the results. With a nil event only time
// passes. It reports whether the model refused a connection because its table is full.
func (w *World) stepHost(h *host, e hostmodel.Event) (tableFull bool) {
	if e == nil {
		e = hostmodel.TimePassed{}
	}
	for _, x := range h.model.Step(w.now, e) {
		switch x.Kind {
		case hostmodel.Token:
			w.hostMadeToken(h, x.ID)
		case hostmodel.LastToken:
			w.attemptDone(h, x.ID, func(a *attempt) *hostMessage {
				w.result.CachedTokens += uint64(x.CachedTokens)
				return &hostMessage{attempt: a, result: balance.OK, cachedTokens: x.CachedTokens, tokens: a.tokens, load: w.load(h)}
			})
		case hostmodel.Rejected:
			if w.probeDone(h, x.ID, balance.Full, nil) {
				continue
			}
			w.attemptDone(h, x.ID, func(a *attempt) *hostMessage {
				w.result.TurnedAway++
				return &hostMessage{attempt: a, result: balance.Full, load: w.load(h)}
			})
		case hostmodel.Interrupted:
			w.attemptDone(h, x.ID, func(a *attempt) *hostMessage {
				w.result.Wasted += uint64(a.tokens)
				return &hostMessage{attempt: a, result: balance.Reset, tokens: a.tokens}
			})
		case hostmodel.ProbeAnswered:
			w.probeDone(h, x.ID, balance.OK, loadOf(&x.Load))
		case hostmodel.TableFull:
			tableFull = true
		case hostmodel.Preempted:
			w.result.Preempted++
		case hostmodel.Overloaded:
			w.emit(history.Event{What: history.HostOverloaded, Who: h.id})
			w.violated(ruleSlowStart, h.id, h.number, "fell over")
		}
	}
	at, ok := h.model.Next()
	if ok && at != h.nextStep {
		h.nextStep = at
		w.schedule(at, event{kind: hostSteps, number: h.number, generation: h.generation})
	}
	return tableFull
}

// hostMadeToken counts a token of an attempt, and sends a message for the first one.
func (w *World) hostMadeToken(h *host, id string) {
	a := h.attempts[id]
	if a == nil {
		return
	}
	a.tokens++
	a.lastTokenAt = w.now
	w.result.Tokens++
	if !a.firstSent {
		a.firstSent = true
		w.sendHostMessage(h, a, &hostMessage{attempt: a, firstToken: true})
	}
}

// attemptDone ends an attempt at its host, if the host still has the attempt, and sends the outcome.
func (w *World) attemptDone(h *host, id string, outcome func(*attempt) *hostMessage) {
	a := h.attempts[id]
	if a == nil {
		return
	}
	delete(h.attempts, id)
	m := outcome(a)
	w.hostDone(h, a)
	w.sendHostMessage(h, a, m)
}

// probeDone sends the result of a probe, and reports whether id is an unanswered probe of the host.
func (w *World) probeDone(h *host, id string, result balance.Result, load *balance.Load) bool {
	p := h.probes[id]
	if p == nil {
		return false
	}
	delete(h.probes, id)
	w.sendProbeResult(h, p, result, load)
	return true
}

// loadOf converts a load report of the host model to the form that routers receive.
func loadOf(l *hostmodel.Load) *balance.Load {
	return &balance.Load{InFlight: float64(l.Running + l.Waiting), Utilization: l.Utilization, PrefillTokens: 1000 * l.PrefillThousands}
}

// load returns a host's current load report.
func (w *World) load(h *host) *balance.Load {
	l := h.model.Load(w.now)
	return loadOf(&l)
}

// stopHost ends a host's process. Its attempts are reset.
func (w *World) stopHost(h *host) {
	if !h.alive {
		return
	}
	w.trace("host dies", h.id, h.number)
	w.stepHost(h, hostmodel.Crash{})
	h.alive, h.nextStep = false, -1
	h.generation++
	clear(h.probes)
	if !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.alive }) {
		w.noHostsAt = w.now
	}
}

// startHost restarts a host's process, which begins its slow start. It does nothing if the host has
// been restarted or removed since the event was scheduled.
func (w *World) startHost(h *host, gen int) {
	if h.alive || h.removed || h.generation != gen {
		return
	}
	w.trace("host starts", h.id, h.number)
	h.alive, h.startedAt, h.state = true, w.clock(), balance.Serving
	h.generation++
	w.stepHost(h, hostmodel.Start{})
	w.publishHost(h)
}
