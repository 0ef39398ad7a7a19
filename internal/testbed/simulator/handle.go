package simulator

import "reachspread/balance"

// handle dispatches one event by its kind.
func (w *World) handle(e *event) {
	switch e.kind {
	case sessionBegins, turnBegins, capturedArrives, retryBegins, clientAttemptReaches, clientAttemptOverdue:
		w.handleClientEvent(e)
	case routerSteps, peerReportReaches, routerWakes, listReaches, hostMessageReaches, probeResultReaches:
		w.handleRouterEvent(e)
	case attemptReaches, cancelReaches, probeReaches, hostSteps, hostStarts:
		w.handleHostEvent(e)
	case routerStarts:
		if err := w.startRouter(e.number); err != nil {
			w.violated("a router did not start", "", e.number, err.Error())
		}
	case connectTimeout:
		w.connectTimedOut(e.payload.(*attempt))
	case idleTimeout:
		w.routers[e.number].closeIdle(e.payload.(*connection), e.generation)
	case streamsIdle:
		w.endIdleStreams(w.hosts[e.number], e.generation)
	case disruptionBegins:
		w.beginDisruption(e.number)
	case disruptionEnds:
		w.endDisruption(e.number)
	case faultBegins:
		w.faultBegins(e.number)
	case faultEnds:
		w.faultEnds(e.number)
	case rollingRestartContinues:
		w.rollingRestart(e.payload.(*rollingRestart))
	case viewsChange:
		w.updateViews()
	case sampleDue:
		w.sample()
	}
}

func (w *World) handleClientEvent(e *event) {
	switch e.kind {
	case sessionBegins:
		w.classes[e.number].begin()
	case turnBegins:
		w.nextTurn(e.payload.(*session))
	case capturedArrives:
		w.replayCaptured(e.number)
	case retryBegins:
		w.sendToRouter(e.payload.(*request))
	case clientAttemptReaches:
		w.clientAttemptReachesRouter(e.payload.(*clientAttempt))
	case clientAttemptOverdue:
		w.clientTimedOut(e.payload.(*clientAttempt), e.number == 1)
	}
}

// handleRouterEvent handles an event of a router, and drops it if the router is not alive. Except
// for peer reports, it also drops events that were scheduled before the router's last restart.
func (w *World) handleRouterEvent(e *event) {
	r := w.routers[e.number]
	if !r.alive || e.kind != peerReportReaches && r.generation != e.generation {
		return
	}
	switch e.kind {
	case routerSteps:
		r.step()
	case peerReportReaches:
		w.result.Heard++
		r.enqueue(e.payload.(balance.ReportsReceived))
	case routerWakes:
		r.enqueue(balance.TimerExpired{Token: e.payload.(int64)})
	case listReaches:
		r.applyList(e.payload.(*listUpdate))
	case hostMessageReaches:
		r.receiveHostMessage(e.payload.(*hostMessage))
	case probeResultReaches:
		p := e.payload.(*probe)
		r.enqueue(balance.ProbeResult{Replica: w.hosts[p.host].id, Result: p.result, Load: p.load})
	}
}

func (w *World) handleHostEvent(e *event) {
	switch e.kind {
	case attemptReaches:
		w.attemptReaches(e.payload.(*attempt))
	case cancelReaches:
		w.cancelReachesHost(e.payload.(*attempt))
	case probeReaches:
		w.probeReaches(e.payload.(*probe))
	case hostSteps:
		if h := w.hosts[e.number]; h.generation == e.generation && h.nextStep == e.at {
			h.nextStep = -1
			w.stepHost(h, nil)
		}
	case hostStarts:
		w.startHost(w.hosts[e.number], e.generation)
	}
}
