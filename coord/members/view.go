package members

import (
	"cmp"
	"slices"
)

// View returns a snapshot. It costs as much as the fleet has members, so it is made for whoever asks, not for each change.
func (d *Decider) View() *View {
	v := &View{Version: d.views, Digest: d.who, Members: make([]Member, 0, d.living)}
	for _, e := range d.list {
		if e.lives() {
			v.Members = append(v.Members, *e.member())
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// Digest tells two views apart.
func (d *Decider) Digest() uint64 { return d.who }

// tell tells users what became of members since they were last told. A death waits as long as others of its zone are in doubt.
func (d *Decider) tell() {
	if len(d.touched) == 0 {
		d.heldAt = 0
		return
	}
	if d.self.State != Alive {
		return // a view has its own router in it: there is none before it has joined, nor once it has left
	}
	if d.heldAt > 0 && d.now < d.heldAt && d.doubts() {
		return
	}
	d.heldAt = 0
	if len(d.touched) > 64 { // a map keeps its room; this was a rare day
		defer func() { d.touched = map[ref]*entry{} }()
	}
	var changes []Change
	lost := map[string]int{}
	for r, e := range d.touched {
		delete(d.touched, r)
		why, changed := e.change()
		if !changed {
			continue
		}
		if why == Crashed {
			lost[e.Zone]++
		}
		e.told = told{lives: e.lives(), ever: true, boot: e.Boot}
		changes = append(changes, Change{*e.member(), why})
	}
	if len(changes) == 0 {
		return
	}
	d.zones(changes, lost)
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	d.views++
	d.out = append(d.out, Changed{Version: d.views, Digest: d.who, Changes: changes})
}

// change is what became of a member since users were last told.
func (e *entry) change() (Why, bool) {
	switch {
	case e.lives() && !e.told.ever:
		return Joined, true
	case e.lives() && e.told.boot != e.Boot:
		return Restarted, true
	case e.lives() && !e.told.lives:
		return Returned, true
	case !e.lives() && e.told.lives && e.State == Left:
		return Gone, true
	case !e.lives() && e.told.lives:
		return Crashed, true
	}
	return "", false
}

// doubts tells whether anybody of the zone of a death that waits is suspected, or that zone is being looked through: whoever is
// found is dead so long after.
func (d *Decider) doubts() bool {
	for _, e := range d.touched {
		if at, ok := d.doubtful[e.Zone]; ok && e.State == Dead && e.told.lives && d.now < at+judgeAfter+suspicion+4*again {
			return true
		}
	}
	for _, s := range d.suspects {
		for _, e := range d.touched {
			if e.State == Dead && e.told.lives && e.Zone == s.e.Zone {
				return true
			}
		}
	}
	return false
}

// zones gives deaths of half a zone and more their reason.
func (d *Decider) zones(changes []Change, lost map[string]int) {
	if len(lost) == 0 {
		return
	}
	left := map[string]int{}
	for _, e := range d.list {
		if e.lives() {
			left[e.Zone]++
		}
	}
	for i := range changes {
		if z := changes[i].Member.Zone; changes[i].Why == Crashed && lost[z] > 1 && lost[z] >= left[z] {
			changes[i].Why = ZoneLost
		}
	}
}
