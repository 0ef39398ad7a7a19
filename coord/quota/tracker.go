package quota

import "time"

// maxOwners bounds the owners that a Tracker tracks. If an update from one more owner arrives, the
// Tracker drops the data of all owners.
const maxOwners = 64

// Tracker counts the grants that other owners publish to a standby, so that the standby can take
// over from them. Each owner numbers its updates. If the numbers have a gap, the known grants of
// that owner are complete only from the update after the gap.
type Tracker struct {
	Window time.Duration

	owners map[uint64]*ownerUsage
}

// ownerUsage counts the grants that one owner has published.
type ownerUsage struct {
	nextSequence uint64        // sequence number expected in the next update
	completeFrom time.Duration // keys has all grants since this time
	keys         map[string]*Usage
}

// Update applies an update from an owner. Grants are the units granted since the owner's previous
// update, by key. Learning is how long the owner remains in learning mode.
func (t *Tracker) Update(now time.Duration, owner, sequence uint64, grants map[string]float64, learning time.Duration) {
	if t.owners == nil || len(t.owners) >= maxOwners && t.owners[owner] == nil {
		t.owners = map[uint64]*ownerUsage{}
	}
	o := t.owners[owner]
	if o == nil || sequence != o.nextSequence {
		o = &ownerUsage{completeFrom: now, keys: map[string]*Usage{}}
		if sequence == 0 {
			o.completeFrom = now - t.Window // the owner has granted nothing before its first update
		}
		t.owners[owner] = o
	}
	o.nextSequence = sequence + 1
	o.completeFrom = max(o.completeFrom, now+learning-t.Window)
	for key, units := range grants {
		u := o.keys[key]
		if u == nil {
			u = &Usage{}
			o.keys[key] = u
		}
		u.Window = t.Window
		u.Add(now, units)
	}
}

// Usage returns the known grants of an owner by key, and the time since which they are complete. For
// an unknown owner this time is now. For an owner in learning mode it is later than for another
// owner.
func (t *Tracker) Usage(now time.Duration, owner uint64) (keys map[string]*Usage, completeFrom time.Duration) {
	o := t.owners[owner]
	if o == nil {
		return nil, now
	}
	return o.keys, o.completeFrom
}

// TotalUsage returns the sum of the known grants of all owners, by key.
func (t *Tracker) TotalUsage(now time.Duration) map[string]*Usage {
	all := map[string]*Usage{}
	for _, o := range t.owners {
		for key, usage := range o.keys {
			all[key] = usage.Merge(now, all[key])
		}
	}
	return all
}
