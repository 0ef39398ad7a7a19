package simulator

import (
	"strconv"

	"reachspread/balance"
	"reachspread/internal/testbed/hostmodel"
)

// sendProbeResult sends the result of a probe to the router that sent the probe.
func (w *World) sendProbeResult(h *host, p *probe, how balance.Result, load *balance.Load) {
	p.result, p.load = how, load
	w.schedule(w.now+w.networkDelay(h.zone, w.routers[p.router].zone), event{kind: probeResultReaches, number: p.router, generation: p.routerGeneration, payload: p})
}

// probe is a router's request for a host's load report.
type probe struct {
	router, routerGeneration int
	host, number             int
	result                   balance.Result
	load                     *balance.Load
}

func (w *World) probeReaches(p *probe) {
	h := w.hosts[p.host]
	if !h.alive || h.isolated {
		p.result = balance.NoConnection
		w.schedule(w.now+w.spec.Net.Connect, event{kind: probeResultReaches, number: p.router, generation: p.routerGeneration, payload: p})
		return
	}
	id := "probe" + strconv.Itoa(p.router) + "." + strconv.Itoa(p.routerGeneration) + "." + strconv.Itoa(p.number)
	h.probes[id] = p
	w.stepHost(h, hostmodel.Probe{ID: id})
}
