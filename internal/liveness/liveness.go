// Package liveness keeps who of a numbered group lives by a view that may be late or wrong for a moment. What a view opens
// counts after it has held for a while, what it closes in bounds counts at once; in between a member is neither gone nor sure.
// It is pure: its user says what time it is, and that must not go back.
package liveness

import "time"

// Group is the members by their numbers. Until the first view all are sure.
type Tracker struct {
	stabilityDelay time.Duration
	version        uint64
	dead           []bool
	changedAt      []time.Duration // of the last change, 0 for never
}

// New returns a group of n whose views count after they have held for so long.
func New(n int, hold time.Duration) *Tracker {
	return &Tracker{stabilityDelay: hold, dead: make([]bool, n), changedAt: make([]time.Duration, n)}
}

// Take takes in a view and returns whether it changes anything. One that is not newer than the last is ignored, and so are
// numbers that the group does not have.
func (g *Tracker) Update(version uint64, living []int, now time.Duration) (changed bool) {
	if version <= g.version {
		return false
	}
	g.version = version
	lives := make([]bool, len(g.dead))
	for _, i := range living {
		if i >= 0 && i < len(lives) {
			lives[i] = true
		}
	}
	for i := range lives {
		if lives[i] == g.dead[i] {
			g.dead[i], g.changedAt[i], changed = !lives[i], max(now, 1), true
		}
	}
	return changed
}

// Gone tells that a member has been gone for as long as a view has to hold.
func (g *Tracker) Dead(i int, now time.Duration) bool { return g.dead[i] && g.stable(i, now) }

// Sure is how many live and have for as long, or always.
func (g *Tracker) ConfirmedAlive(now time.Duration) (n int) {
	for i, gone := range g.dead {
		if !gone && g.stable(i, now) {
			n++
		}
	}
	return n
}

// Left is how many are not gone.
func (g *Tracker) NotDead(now time.Duration) (n int) {
	for i := range g.dead {
		if !g.Dead(i, now) {
			n++
		}
	}
	return n
}

// Next is when Gone or Sure change by time alone, 0 for never.
func (g *Tracker) Next(now time.Duration) (at time.Duration) {
	for i := range g.dead {
		if t := g.changedAt[i] + g.stabilityDelay; !g.stable(i, now) && (at == 0 || t < at) {
			at = t
		}
	}
	return at
}

func (g *Tracker) stable(i int, now time.Duration) bool {
	return g.changedAt[i] == 0 || now >= g.changedAt[i]+g.stabilityDelay
}
