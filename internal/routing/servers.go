package routing

import "reachspread/balance"

// listedServer is a server and the state that discovery last reported for it. The balancer has its
// own copy of the state, which may be older.
type listedServer struct {
	Server
	state balance.State
}

// ApplyUpdate applies an update from discovery. It updates the list of servers that may receive
// requests at once, and queues an event for the balancer. It returns after both, so that both precede
// the next call to discovery. Updates must come in order.
//
// The balancer gets the sequence number of the update as its version. Each discovery has version
// numbers of its own, and the balancer would ignore all updates of a new discovery whose versions
// start lower.
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

// updateServers updates the list of servers. It returns the IDs of the servers that were removed or
// have a new address, whose idle connections are useless now. The caller must hold r.mu.
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

// Reconfigure applies a configuration to requests that are accepted from now on.
func (r *Router) Reconfigure(c balance.Config) {
	r.counters.addClasses(c.Classes)
	r.post(balance.ConfigChange{Config: c})
}

// servingServer returns a server, and whether it may receive requests now. It is called again before
// each attempt, because discovery may have changed the server's state after the decision, and a
// server that is draining or removed must get no new requests.
func (r *Router) servingServer(id string) (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server, ok := r.servers[id]
	return server.Server, ok && server.state == balance.Serving
}

// isServingAt reports whether a server may receive requests now and still has the same address.
func (r *Router) isServingAt(server Server) bool {
	listed, ok := r.servingServer(server.ID)
	return ok && listed == server
}

// ServingCount returns how many servers may receive requests.
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
