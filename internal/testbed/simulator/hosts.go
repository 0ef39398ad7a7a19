package simulator

import (
	"slices"
	"strconv"
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

// host is one machine, and the model of its process.
type host struct {
	number     int
	id         string
	zone       string
	kind       string
	group      int
	startedAt  time.Duration // on the routers' clock, 0 for before the world's beginning
	model      *hostmodel.Host
	generation int           // of its process
	nextStep   time.Duration // -1 for none
	alive      bool
	removed    bool // for good
	isolated   bool // from the network
	isolations int  // how often it was isolated
	state      balance.State

	activeFaults int // that have killed it

	attempts map[string]*attempt // that it runs or queues, by id
	probes   map[string]*probe   // that it has not answered, by id

	undelivered []*attempt // whose messages were lost while it was isolated
}

// addHost adds a host of a group, running.
func (w *World) addHost(group int) *host {
	g := &w.spec.Groups[group]
	n := len(w.hosts)
	h := &host{number: n, id: "h" + strconv.Itoa(n), zone: g.Zone, kind: g.Kind, group: group, nextStep: -1, alive: true,
		model: hostmodel.New(g.Host, w.stream(forHost, uint64(n)).Uint64()), attempts: map[string]*attempt{}, probes: map[string]*probe{}}
	w.hosts = append(w.hosts, h)
	return h
}

// stepHost passes an event, or with nil only the time, to a host's model and applies the results.
// It reports tableFull where a connection was refused.
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

// hostMadeToken counts a token of an attempt, and sends the message of the first one.
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

// attemptDone ends an attempt at its host, if the host still has it, and sends the outcome.
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

// probeDone sends the result of a probe, and reports whether the host had it.
func (w *World) probeDone(h *host, id string, result balance.Result, load *balance.Load) bool {
	p := h.probes[id]
	if p == nil {
		return false
	}
	delete(h.probes, id)
	w.sendProbeResult(h, p, result, load)
	return true
}

// loadOf converts a report of load.
func loadOf(l *hostmodel.Load) *balance.Load {
	return &balance.Load{InFlight: float64(l.Running + l.Waiting), Utilization: l.Utilization, PrefillTokens: 1000 * l.PrefillThousands}
}

// load returns a host's report of load.
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

// startHost starts a host's process again, with its slow start. It does nothing if another process
// was started since the event was scheduled.
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
