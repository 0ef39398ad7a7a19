package routing

import "reachspread/balance"

// entry is what is known of a server, apart from the decisions.
type entry struct {
	Entry
	state balance.State
}

// Told applies an update from discovery: at once to what may be sent to, and as an event to the decisions. It returns
// when both are done, so that the next call to discovery finds them applied. Updates come in their order, and each
// discovery counts versions of its own, so the decisions are told the number of the update as its version: by the
// count of a new discovery that begins lower they would pass all of it over.
func (r *Router) Told(ev balance.Members, addrs map[string]string) {
	var moved []string // whose idle connections lead nowhere any more
	r.mu.Lock()
	r.told++
	ev.Version = r.told
	if ev.Complete {
		for id, e := range r.entries {
			e.state = balance.Removed
			r.entries[id] = e
		}
	}
	for _, m := range ev.Members {
		if old, ok := r.entries[m.Replica]; ok && old.Addr != addrs[m.Replica] {
			moved = append(moved, m.Replica)
		}
		r.entries[m.Replica] = entry{Entry{m.Replica, addrs[m.Replica]}, m.State}
	}
	for id, e := range r.entries {
		if e.state == balance.Removed {
			moved = append(moved, id)
			delete(r.entries, id)
		}
	}
	r.figures.entries.Store(int64(len(r.entries)))
	r.mu.Unlock()
	for _, id := range moved {
		r.network.Forget(id)
	}
	r.post(ev)
}

// Retune puts other settings in force, for requests taken in from now on.
func (r *Router) Retune(c balance.Config) {
	r.figures.list(c.Classes)
	r.post(balance.ConfigChange{Config: c})
}

// ready returns a server that may be sent to. It is asked again right before a send: the module decides
// on events that are drained before, and what drains or is gone must get nothing new.
func (r *Router) ready(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id]
	return e.Entry, ok && e.state == balance.Serving
}

// Ready tells whether a server may be sent to by now.
func (r *Router) Ready(id string) bool {
	_, ok := r.ready(id)
	return ok
}

// Serving returns how many servers may be sent to.
func (r *Router) Serving() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries {
		if e.state == balance.Serving {
			n++
		}
	}
	return n
}
