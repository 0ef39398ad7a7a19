package simulator

// pool is a router's idle connections to one host, the last used at the end.
type pool struct{ idle []*connection }

type connection struct {
	host             int
	hostGeneration   int // of the host's process
	uses             int // how often
	routerGeneration int // the router's process
}

// takeIdle takes the connection to a host that was used last, if there is one.
func (r *router) takeIdle(h int) *connection {
	if h >= len(r.pools) {
		return nil
	}
	p := &r.pools[h]
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if x := r.world.hosts[h]; c.hostGeneration == x.generation || x.isolated {
			return c
		} // its host's process has ended, and with it the connection
	}
	return nil
}

// putIdle puts a connection back.
func (r *router) putIdle(c *connection) {
	for len(r.pools) <= c.host {
		r.pools = append(r.pools, pool{})
	}
	r.pools[c.host].idle = append(r.pools[c.host].idle, c)
	r.world.schedule(r.world.now+r.world.spec.Net.Idle, event{kind: idleTimeout, number: r.number, generation: c.uses, payload: c})
}

// closeIdle closes a connection that was not used since it was put back.
func (r *router) closeIdle(c *connection, used int) {
	if c.uses != used || c.routerGeneration != r.generation || c.host >= len(r.pools) {
		return
	}
	p := &r.pools[c.host]
	for i, x := range p.idle {
		if x == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			r.world.disconnect(c)
			return
		}
	}
}
