package simulator

import (
	"maps"
	"slices"
	"strconv"

	"reachspread/balance"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

// hostMessage is a host's message about an attempt: the first token or the outcome.
type hostMessage struct {
	attempt      *attempt
	firstToken   bool
	result       balance.Result
	notConnected bool // the connection was not established
	cachedTokens int
	tokens       int
	load         *balance.Load
}

// sendHostMessage sends a message to the attempt's router. Messages about one attempt arrive in the
// order in which they were sent.
func (w *World) sendHostMessage(h *host, a *attempt, message *hostMessage) {
	if h.isolated { // the message is lost; the attempt is reset when the host is reconnected
		h.undelivered = append(h.undelivered, a)
		return
	}
	r := a.client.router
	a.deliveredAt = max(w.now+w.networkDelay(h.zone, r.zone), a.deliveredAt)
	w.schedule(a.deliveredAt, event{kind: hostMessageReaches, number: r.number, generation: a.client.routerGeneration, payload: message})
}

// attemptReaches handles the arrival of an attempt at its host.
func (w *World) attemptReaches(a *attempt) {
	h := w.hosts[a.host]
	if a.ended || a.client.inFlight != a || h.isolated {
		return // canceled on the way, or lost because the host is isolated
	}
	if !h.alive {
		result := balance.Reset // the host's crash has closed the reused connection
		if a.connecting {
			result = balance.NoConnection
		}
		w.sendHostMessage(h, a, &hostMessage{attempt: a, result: result, notConnected: true})
		return
	}
	if !a.connecting && a.conn.hostGeneration != h.generation {
		w.sendHostMessage(h, a, &hostMessage{attempt: a, result: balance.Reset, notConnected: true})
		return
	}
	if a.connecting {
		a.connecting, a.conn.hostGeneration = false, h.generation
		if w.stepHost(h, hostmodel.Connect{}) {
			w.sendHostMessage(h, a, &hostMessage{attempt: a, result: balance.NoConnection, notConnected: true})
			return
		}
	}
	a.hostGeneration = h.generation
	f := a.client.request
	h.attempts[a.client.id] = a
	if w.observed() {
		w.emit(history.Event{What: history.Attempt, ID: a.client.id, Who: h.id, From: routerName(a.client.router.number), Conn: a.name()})
	}
	session := f.session
	w.stepHost(h, hostmodel.Arrive{Request: hostmodel.Request{
		ID:              a.client.id,
		Session:         session.name,
		Prefix:          session.prefix,
		PromptTokens:    f.promptTokens,
		PrefixTokens:    session.prefixTokens,
		AnswerTokens:    f.answerTokens,
		MaxAnswerTokens: session.load.config.MaxOut,
		StartUnknown:    a.client.router.known[h.number].startedAt != h.startedAt,
	}})
}

// disconnect closes a connection at its host, unless the host has restarted since it was opened.
func (w *World) disconnect(c *connection) {
	if h := w.hosts[c.host]; h.alive && h.generation == c.hostGeneration {
		w.stepHost(h, hostmodel.Disconnect{})
	}
}

// connectTimedOut ends an attempt whose connection was not established in time.
func (w *World) connectTimedOut(a *attempt) {
	if a.connecting && !a.ended && a.client.inFlight == a {
		w.schedule(w.now, event{kind: hostMessageReaches, number: a.client.router.number, generation: a.client.routerGeneration, payload: &hostMessage{attempt: a, result: balance.NoConnection, notConnected: true}})
	}
}

// endIdleStreams ends the streams of a host at their routers if the host is still in the given
// isolation. The tokens that the host has made during the isolation are lost.
func (w *World) endIdleStreams(h *host, isolation int) {
	if !h.isolated || h.isolations != isolation {
		return
	}
	all := slices.Clone(h.undelivered) // the host may have finished these attempts, so they may be missing from h.attempts
	for _, id := range slices.Sorted(maps.Keys(h.attempts)) {
		all = append(all, h.attempts[id])
	}
	for _, a := range all {
		if r := a.client.router; a.firstTokenAt > 0 && !a.ended && a.client.inFlight == a && r.alive && r.generation == a.client.routerGeneration {
			r.receiveHostMessage(&hostMessage{attempt: a, result: balance.TimedOut, tokens: a.tokens})
		}
	}
}

// cancelAttempt cancels an attempt at its router, which closes the connection. The host learns of
// it after the network delay.
func (w *World) cancelAttempt(a *attempt) {
	a.ended = true
	if w.observed() {
		w.emit(history.Event{What: history.Closed, Who: routerName(a.client.router.number), Conn: a.name()})
	}
	w.schedule(w.now+w.networkDelay(a.client.router.zone, w.hosts[a.host].zone), event{kind: cancelReaches, payload: a})
}

// cancelReachesHost ends a canceled attempt and its connection at the host.
func (w *World) cancelReachesHost(a *attempt) {
	h := w.hosts[a.host]
	if !h.alive || h.isolated {
		return
	}
	if h.attempts[a.client.id] == a && a.hostGeneration == h.generation {
		delete(h.attempts, a.client.id)
		w.hostDone(h, a)
		w.result.Wasted += uint64(a.tokens)
		w.stepHost(h, hostmodel.Cancel{ID: a.client.id})
	}
	if a.conn != nil && a.conn.hostGeneration == h.generation {
		w.stepHost(h, hostmodel.Disconnect{})
	}
}

// name identifies an attempt in the history.
func (a *attempt) name() string { return a.client.id + "/" + strconv.Itoa(a.index) }

// hostDone records in the history that a host has finished an attempt.
func (w *World) hostDone(h *host, a *attempt) {
	w.emit(history.Event{What: history.Done, ID: a.client.id, Who: h.id})
}
