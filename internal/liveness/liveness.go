// Package liveness tracks which members of a numbered group are alive, from views that may be late or
// briefly wrong. A member that a view reports as lost stops counting as confirmed alive at once, but
// counts as dead only after the report has been stable for a while. A member that a view reports as
// alive again is not dead from then on, and counts as confirmed alive after the same time. In between
// a member is neither dead nor confirmed alive. So bounds that use ConfirmedAlive react to a loss at
// once, and decisions that use Dead react to it only after the delay.
//
// The package reads no clock: the caller passes the time, which must not go back.
package liveness

import "time"

// Tracker holds the liveness of the members of a group, indexed by member number. Until the first view
// all members are confirmed alive.
type Tracker struct {
	stabilityDelay time.Duration
	version        uint64          // version of the last view
	dead           []bool          // by member, according to the last view
	changedAt      []time.Duration // when dead last changed, by member; 0 for never
}

// New returns a tracker of n members. A change of a member takes effect once it has been stable for
// stabilityDelay.
func New(n int, stabilityDelay time.Duration) *Tracker {
	return &Tracker{stabilityDelay: stabilityDelay, dead: make([]bool, n), changedAt: make([]time.Duration, n)}
}

// Update applies a view, which lists the members that are alive. It reports whether any member
// changed. A view whose version is not newer than the last one is ignored, and so are numbers that no
// member has.
func (t *Tracker) Update(version uint64, alive []int, now time.Duration) (changed bool) {
	if version <= t.version {
		return false
	}
	t.version = version
	isAlive := make([]bool, len(t.dead))
	for _, i := range alive {
		if i >= 0 && i < len(isAlive) {
			isAlive[i] = true
		}
	}
	for i := range isAlive {
		if isAlive[i] == t.dead[i] {
			t.dead[i], t.changedAt[i], changed = !isAlive[i], max(now, 1), true
		}
	}
	return changed
}

// Dead reports whether a member has been dead, according to the views, for at least the stability
// delay.
func (t *Tracker) Dead(i int, now time.Duration) bool { return t.dead[i] && t.isStable(i, now) }

// ConfirmedAlive returns how many members have been alive for at least the stability delay, or
// always.
func (t *Tracker) ConfirmedAlive(now time.Duration) (n int) {
	for i, dead := range t.dead {
		if !dead && t.isStable(i, now) {
			n++
		}
	}
	return n
}

// NotDead returns the number of members for which Dead is false.
func (t *Tracker) NotDead(now time.Duration) (n int) {
	for i := range t.dead {
		if !t.Dead(i, now) {
			n++
		}
	}
	return n
}

// Next returns the next time at which Dead or ConfirmedAlive will change without a new view, 0 for
// never.
func (t *Tracker) Next(now time.Duration) (at time.Duration) {
	for i := range t.dead {
		if stableAt := t.changedAt[i] + t.stabilityDelay; !t.isStable(i, now) && (at == 0 || stableAt < at) {
			at = stableAt
		}
	}
	return at
}

// isStable reports whether the last change of a member is at least the stability delay old, or there
// was none.
func (t *Tracker) isStable(i int, now time.Duration) bool {
	return t.changedAt[i] == 0 || now >= t.changedAt[i]+t.stabilityDelay
}
