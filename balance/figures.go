package balance

// Avoided returns how many listed replicas get nothing new by now: they drain, or are ejected. It decides nothing.
func (b *Balancer) Avoided() (n int) {
	for _, r := range b.order {
		if r.State == Draining || r.State == Serving && r.ejected > 0 {
			n++
		}
	}
	return n
}

// Classes returns the classes that are in force.
func (b *Balancer) Classes() []Class { return b.cfg.Classes }

// find returns an attempt by the name of its request and its number, nil for none.
func (b *Balancer) find(id string, n int) *attempt {
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) {
		return nil
	}
	return q.attempts[n]
}
