package simulator

import (
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/history"
)

// list is the state of the discovery service, which sends the list of hosts to the routers.
type list struct {
	version      int64
	outages      int  // number of active disruptions and faults that stop updates
	updateMissed bool // an update was lost in the present outage
}

// listUpdate is a message to a router with the complete list of hosts or only the changed hosts.
type listUpdate struct {
	members balance.Members
	hosts   []int // numbers of the hosts in members, in the same order
}

// member returns the list entry of a host with the given state.
func (w *World) member(h *host, state balance.State) balance.Member {
	return balance.Member{Replica: h.id, Zone: h.zone, Kind: h.kind, State: state, StartedAt: h.startedAt}
}

// fullList returns the complete list.
func (w *World) fullList() *listUpdate {
	x := &listUpdate{members: balance.Members{Version: w.list.version, Complete: true}}
	for _, h := range w.hosts {
		if !h.removed {
			x.members.Members = append(x.members.Members, w.member(h, h.state))
			x.hosts = append(x.hosts, h.number)
		}
	}
	return x
}

// publishHost sends the present state of a host to all routers, unless the list has an outage.
func (w *World) publishHost(h *host) {
	w.list.version++
	if w.list.outages > 0 {
		w.list.updateMissed = true
		return
	}
	members := balance.Members{Version: w.list.version, Members: []balance.Member{w.member(h, h.state)}}
	x := &listUpdate{members: members, hosts: []int{h.number}}
	for _, r := range w.routers {
		w.sendList(r, x)
	}
}

// sendFullList sends the complete list to a router, unless the list has an outage.
func (w *World) sendFullList(r *router) {
	if w.list.outages == 0 {
		w.sendList(r, w.fullList())
	}
}

// sendList sends a list update to a router. Updates to one router arrive in the order in which they
// were sent.
func (w *World) sendList(r *router, x *listUpdate) {
	if !r.alive {
		return
	}
	r.lastListAt = max(w.now+w.spec.List.Delay+time.Duration(w.networkRand.Float64()*float64(w.spec.List.Spread)), r.lastListAt)
	w.schedule(r.lastListAt, event{kind: listReaches, number: r.number, generation: r.generation, payload: x})
}

// applyList passes a list update to the decider, and records for the rule checks which hosts the
// router knows to be serving or draining.
func (r *router) applyList(x *listUpdate) {
	w := r.world
	w.result.Lines += uint64(len(x.members.Members))
	for len(r.known) < len(w.hosts) {
		r.known = append(r.known, hostKnowledge{})
	}
	if x.members.Complete { // a host that the complete list lacks was removed
		in := map[int]bool{}
		for _, h := range x.hosts {
			in[h] = true
		}
		for h := range r.known {
			if !in[h] {
				r.recordDraining(h)
			}
		}
	}
	for i, m := range x.members.Members {
		h := x.hosts[i]
		r.byID[m.Replica] = h
		if m.State == balance.Serving {
			r.known[h] = hostKnowledge{startedAt: m.StartedAt}
			w.emit(history.Event{What: history.ListApplied, Who: routerName(r.number), From: m.Replica, Text: "Ready"})
		} else {
			r.recordDraining(h)
		}
	}
	r.enqueue(x.members)
}

// recordDraining records that the router knows from now on that a host is draining, if it did not
// know before.
func (r *router) recordDraining(h int) {
	if !r.known[h].draining {
		r.known[h] = hostKnowledge{draining: true, since: r.world.now}
		r.world.emit(history.Event{What: history.ListApplied, Who: routerName(r.number), From: r.world.hosts[h].id, Text: "Terminating"})
	}
}
