package quota

import "time"

// maxOwners bounds the owners that are tracked; beyond it all are forgotten.
const maxOwners = 64

// Tracker is what a standby knows of the grants of other owners, so that it can take over from
// them. Each owner numbers its updates; after a gap in them what is known of it is complete only
// from then on.
type Tracker struct {
	Window time.Duration

	owners map[uint64]*ownerUsage
}

// ownerUsage is what one owner has published.
type ownerUsage struct {
	nextSequence uint64
	completeFrom time.Duration
	keys         map[string]*Usage
}

// Update applies an update of an owner: its grants by key since the update before, and for how long
// it still is in learning mode.
func (t *Tracker) Update(now time.Duration, owner, sequence uint64, grants map[string]float64, learning time.Duration) {
	if t.owners == nil || len(t.owners) >= maxOwners && t.owners[owner] == nil {
		t.owners = map[uint64]*ownerUsage{}
	}
	o := t.owners[owner]
	if o == nil || sequence != o.nextSequence {
		o = &ownerUsage{completeFrom: now, keys: map[string]*Usage{}}
		if sequence == 0 {
			o.completeFrom = now - t.Window // it has granted nothing before
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

// Usage returns the known grants of an owner by key, and from when on they are complete: now for an
// owner that is not known, later for one in learning mode.
func (t *Tracker) Usage(now time.Duration, owner uint64) (keys map[string]*Usage, completeFrom time.Duration) {
	o := t.owners[owner]
	if o == nil {
		return nil, now
	}
	return o.keys, o.completeFrom
}

// TotalUsage returns the known grants of all owners by key.
func (t *Tracker) TotalUsage(now time.Duration) map[string]*Usage {
	all := map[string]*Usage{}
	for _, o := range t.owners {
		for key, usage := range o.keys {
			all[key] = usage.Merge(now, all[key])
		}
	}
	return all
}
