package chain

import (
	"reachspread/coord/coordpb"
)

// recentChange is a change and the epoch of the change before it.
type recentChange struct {
	entry    *coordpb.Entry
	previous uint64
}

// recentChanges holds the last changes that led to the current state, the oldest first.
type recentChanges struct {
	all   []recentChange
	bytes int
}

func (c *recentChanges) add(x recentChange) {
	c.all = append(c.all, x)
	c.bytes += len(x.entry.Change)
	for len(c.all) > maxRecentChanges || c.bytes > maxRecentBytes && len(c.all) > 1 {
		c.bytes -= len(c.all[0].entry.Change)
		c.all[0] = recentChange{}
		c.all = c.all[1:]
	}
}

// after returns the changes that follow position p. ok is false if the changes held here don't lead
// from p to the current position.
func (c *recentChanges) after(p, current *coordpb.Position) (all []recentChange, ok bool) {
	if sameState(p, current) {
		return nil, true
	}
	for i, x := range c.all {
		if x.entry.Sequence == p.GetSequence()+1 && x.previous == p.GetEntryEpoch() {
			return c.all[i:], true
		}
	}
	return nil, false
}

// sameState reports whether two positions belong to the same state. The sequence and epoch of the
// last change identify a state.
func sameState(a, b *coordpb.Position) bool {
	return a.GetSequence() == b.GetSequence() && a.GetEntryEpoch() == b.GetEntryEpoch()
}
