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
