package balance

// What a caller may ask of a Balancer between two Steps.

// OutOfRotation returns how many listed replicas get nothing new now, as they are draining or
// ejected.
func (b *Balancer) OutOfRotation() int {
	count := 0
	for _, r := range b.sorted {
		if r.State == Draining || r.State == Serving && r.ejectedUntil > 0 {
			count++
		}
	}
	return count
}

// Classes returns the classes that are in force. The caller must not change them.
func (b *Balancer) Classes() []Class { return b.cfg.Classes }

// findAttempt returns an attempt by the ID of its request and its number, or nil.
func (b *Balancer) findAttempt(id string, number int) *attempt {
	q := b.requests[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return nil
	}
	return q.attempts[number]
}
