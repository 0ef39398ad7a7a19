package simulator

// pool holds a router's idle connections to one host, the most recently used one last.
type pool struct{ idle []*connection }

type connection struct {
	host             int
	hostGeneration   int // generation of the host's process
	uses             int // number of attempts sent on it
	routerGeneration int // generation of the router's process
}

// takeIdle removes the most recently used idle connection to a host from the pool and returns it,
// or nil if there is none.
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
		} // the host's process has ended, which closed the connection
	}
	return nil
}

// putIdle puts a connection back into the pool and schedules its idle timeout.
func (r *router) putIdle(c *connection) {
	for len(r.pools) <= c.host {
		r.pools = append(r.pools, pool{})
	}
	r.pools[c.host].idle = append(r.pools[c.host].idle, c)
	r.world.schedule(r.world.now+r.world.spec.Net.Idle, event{kind: idleTimeout, number: r.number, generation: c.uses, payload: c})
}

// closeIdle closes an idle connection unless an attempt has used it since it was put back.
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
