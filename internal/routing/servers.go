package routing

import "reachspread/balance"

// listedServer is what is known of a server, apart from the decisions.
type listedServer struct {
	Server
	state balance.State
}

// ApplyUpdate applies an update from discovery: at once to the servers that may be sent to, and as
// an event for the decisions. It returns after both, so that the next call to discovery finds them
// applied. Updates come in order. The decisions get the number of the update as its version, as
// each discovery counts versions of its own: by those of a new discovery that begins lower they
// would ignore all of its updates.
func (r *Router) ApplyUpdate(ev balance.Members, addrs map[string]string) {
	r.mu.Lock()
	r.discoveryUpdates++
	ev.Version = r.discoveryUpdates
	moved := r.updateServers(ev, addrs)
	r.counters.serversListed.Store(int64(len(r.servers)))
	r.mu.Unlock()
	for _, id := range moved {
		r.network.CloseIdle(id)
	}
	r.post(ev)
}

// updateServers updates the list and returns the servers that moved or were removed, to which idle
// connections are of no use any more. The caller has the lock.
func (r *Router) updateServers(ev balance.Members, addrs map[string]string) []string {
	var moved []string
	if ev.Complete {
		for id, server := range r.servers {
			server.state = balance.Removed
			r.servers[id] = server
		}
	}
	for _, m := range ev.Members {
		addr := addrs[m.Replica]
		if old, ok := r.servers[m.Replica]; ok && old.Addr != addr {
			moved = append(moved, m.Replica)
		}
		r.servers[m.Replica] = listedServer{Server{m.Replica, addr}, m.State}
	}
	for id, server := range r.servers {
		if server.state == balance.Removed {
			moved = append(moved, id)
			delete(r.servers, id)
		}
	}
	return moved
}

// Reconfigure puts a configuration in force for requests that are accepted from now on.
func (r *Router) Reconfigure(c balance.Config) {
	r.counters.addClasses(c.Classes)
	r.post(balance.ConfigChange{Config: c})
}

// servingServer returns a server that may be sent to. It is asked again before a connection is
// taken: the decisions are on events that were taken before, and a server that is draining or
// removed must get nothing new.
func (r *Router) servingServer(id string) (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server, ok := r.servers[id]
	return server.Server, ok && server.state == balance.Serving
}

// isServingAt reports whether a server may be sent to now, and is still at the same address.
func (r *Router) isServingAt(server Server) bool {
	listed, ok := r.servingServer(server.ID)
	return ok && listed == server
}

// ServingCount returns how many servers may be sent to.
func (r *Router) ServingCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, server := range r.servers {
		if server.state == balance.Serving {
			count++
		}
	}
	return count
}
