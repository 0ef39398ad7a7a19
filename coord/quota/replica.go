package quota

import "time"

// Tracker keeps what other owners tell of their grants, so that this process can go on where one of them ends. Each owner numbers what it
// tells; where a number is missing, what is known of that owner is complete only from then on.
type Tracker struct {
	Window time.Duration

	owners map[uint64]*tracked
}

// tracked is what one owner has told.
type tracked struct {
	next     uint64        // the number that is due
	complete time.Duration // from then on all is known
	keys     map[string]*Usage
}

// mostOwners bounds the owners that are tracked.
const mostOwners = 64

// Told takes in what an owner tells: under a number, its grants by key since it last did, and how long it is still blind for what was
// granted before it took over.
func (t *Tracker) Told(now time.Duration, owner, number uint64, grants map[string]float64, blind time.Duration) {
	if t.owners == nil || len(t.owners) >= mostOwners && t.owners[owner] == nil {
		t.owners = map[uint64]*tracked{}
	}
	o := t.owners[owner]
	if o == nil || number != o.next {
		o = &tracked{complete: now, keys: map[string]*Usage{}}
		if number == 0 {
			o.complete = now - t.Window // it has granted nothing before
		}
		t.owners[owner] = o
	}
	o.next = number + 1
	o.complete = max(o.complete, now+blind-t.Window)
	for key, units := range grants {
		u := o.keys[key]
		if u == nil {
			u = &Usage{}
			o.keys[key] = u
		}
		u.Span = t.Window
		u.Add(now, units)
	}
}

// Known is what is known of an owner's grants, and from when on that is complete; a time in the future says that nothing is.
func (t *Tracker) Known(now time.Duration, owner uint64) (keys map[string]*Usage, complete time.Duration) {
	o := t.owners[owner]
	if o == nil {
		return nil, now
	}
	return o.keys, o.complete
}

// All is what is known of all owners' grants, by key.
func (t *Tracker) All(now time.Duration) map[string]*Usage {
	all := map[string]*Usage{}
	for _, o := range t.owners {
		for key, usage := range o.keys {
			all[key] = usage.Merged(now, all[key])
		}
	}
	return all
}
