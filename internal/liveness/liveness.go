// Package liveness tracks who is alive among numbered members, by a view that may be late or wrong
// for a moment. A view that a member is dead counts in bounds at once and for decisions only after
// it has been stable for a while; a view that it is back counts after the same time. In between a
// member is neither dead nor confirmed alive.
//
// The package is pure: the caller passes a time that must not go back.
package liveness

import "time"

// Tracker is the members by their numbers. Until the first view all are confirmed alive.
type Tracker struct {
	stabilityDelay time.Duration
	version        uint64 // of the last view
	dead           []bool
	changedAt      []time.Duration // 0 for never
}

// New returns a tracker of n members whose views count once they have been stable for so long.
func New(n int, stabilityDelay time.Duration) *Tracker {
	return &Tracker{stabilityDelay: stabilityDelay, dead: make([]bool, n), changedAt: make([]time.Duration, n)}
}

// Update takes in the members that are alive by a view, and reports whether that changes anything.
// A view that is not newer than the last is ignored, and so are numbers that no member has.
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

// Dead reports whether a member has been dead for long enough.
func (t *Tracker) Dead(i int, now time.Duration) bool { return t.dead[i] && t.isStable(i, now) }

// ConfirmedAlive returns how many members have been alive for long enough, or always.
func (t *Tracker) ConfirmedAlive(now time.Duration) (n int) {
	for i, dead := range t.dead {
		if !dead && t.isStable(i, now) {
			n++
		}
	}
	return n
}

// NotDead returns for how many members Dead is false.
func (t *Tracker) NotDead(now time.Duration) (n int) {
	for i := range t.dead {
		if !t.Dead(i, now) {
			n++
		}
	}
	return n
}

// Next returns when Dead or ConfirmedAlive change by time alone, 0 for never.
func (t *Tracker) Next(now time.Duration) (at time.Duration) {
	for i := range t.dead {
		if stableAt := t.changedAt[i] + t.stabilityDelay; !t.isStable(i, now) && (at == 0 || stableAt < at) {
			at = stableAt
		}
	}
	return at
}

// isStable reports whether the last change of a member counts.
func (t *Tracker) isStable(i int, now time.Duration) bool {
	return t.changedAt[i] == 0 || now >= t.changedAt[i]+t.stabilityDelay
}
