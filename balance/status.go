package balance

// Queries that a caller may make between two Steps.

// OutOfRotation returns the number of listed replicas that get no regular requests now, because
// they are draining or ejected.
func (b *Balancer) OutOfRotation() int {
	count := 0
	for _, r := range b.sorted {
		if r.State == Draining || r.State == Serving && r.ejectedUntil > 0 {
			count++
		}
	}
	return count
}

// Classes returns the classes of the current configuration. The caller must not change them.
func (b *Balancer) Classes() []Class { return b.cfg.Classes }

// findAttempt returns the attempt with a number of the request with an ID, or nil.
func (b *Balancer) findAttempt(id string, number int) *attempt {
	q := b.requests[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return nil
	}
	return q.attempts[number]
}
