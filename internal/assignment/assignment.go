// Package assignment deals things out among the members of a numbered group who live in the same zone, alike wherever it is worked out: each
// member has so many of its zone's things, by rendezvous of its number and the thing, so that all know who else has what. A member knows
// others' zones by what it hears of them, and who lives by its own view, which may be late or wrong (package standing).
// It is pure: its user says what time it is, and that must not go back.
package assignment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"reachspread/internal/liveness"
	"reachspread/internal/rendezvous"
)

// unknown is the zone of a member that was not heard of yet.
const unknown = -1

// Group is the members by their numbers, as one of them sees them. A group of none is of one who is alone: everything is in its share.
type Group struct {
	me    int
	zones []int
	*liveness.Tracker
	next time.Duration // when shares may have changed

	dealt [][]int // of the last Deal, with n; nil once things or zones are others
	n     int
}

// Peer is a member that lives.
type Peer struct {
	Number int
	Zone   uint8
}

// New returns a group of n of which one is me. A view counts after it has held for so long; until the first all members live.
func New(n, me int, zone uint8, hold time.Duration) *Group {
	g := &Group{me: me, zones: slices.Repeat([]int{unknown}, n), Tracker: liveness.New(n, hold)}
	if me >= 0 && me < n {
		g.zones[me] = int(zone)
	}
	return g
}

// Alone tells that nobody else is in the group.
func (g *Group) Alone() bool { return len(g.zones) == 0 }

// Others returns the numbers of all others, whether they live or not.
func (g *Group) Others() (all []int) {
	for i := range g.zones {
		if i != g.me {
			all = append(all, i)
		}
	}
	return all
}

// Heard takes in that a member has told its zone, and returns whether there is such a member.
func (g *Group) Heard(from int, zone uint8) bool {
	if from < 0 || from >= len(g.zones) {
		return false
	}
	if g.zones[from] != int(zone) {
		g.zones[from] = int(zone)
		g.Changed()
	}
	return true
}

// Viewed takes in who lives. What is not newer than the last is ignored, and so are numbers that the group does not have.
func (g *Group) Viewed(version uint64, living []Peer, now time.Duration) {
	var numbers []int
	for _, p := range living {
		numbers = append(numbers, p.Number)
		g.Heard(p.Number, p.Zone)
	}
	g.Update(version, numbers, now)
	g.next = 0
}

// Changed says that the things to be dealt are others.
func (g *Group) Changed() { g.next, g.dealt = 0, nil }

// Due tells that shares may have changed since the last Deal.
func (g *Group) Due(now time.Duration) bool { return now >= g.next }

// Deal returns who has each of the things, n of each zone's for a member, in rising order, whether those live or not. A member whose zone has
// none has a share of all, and one that was never heard of has none. Things of equal names are dealt by their order. The work of members times things is done
// anew only where things, zones or n have changed; what is returned must stay as it is.
func Deal[T any](g *Group, now time.Duration, things []T, n int, of func(T) (name uint64, zone uint8)) [][]int {
	if g.next = cmp.Or(g.Next(now), math.MaxInt64); g.dealt != nil && g.n == n {
		return g.dealt
	}
	type thing struct {
		i    int
		name uint64
	}
	var all []thing
	zones := map[int][]thing{}
	for i, t := range things {
		name, zone := of(t)
		all = append(all, thing{i, name})
		zones[int(zone)] = append(zones[int(zone)], thing{i, name})
	}
	shares := make([][]int, len(things))
	for m, zone := range g.zones {
		if zone == unknown {
			continue
		}
		pool := zones[zone]
		if len(pool) == 0 {
			pool = all // a zone that has lost its own
		}
		for _, t := range rendezvous.First(rendezvous.Mix(uint64(m)+1), pool, n, func(t thing) uint64 { return t.name }) {
			shares[t.i] = append(shares[t.i], m)
		}
	}
	g.dealt, g.n = shares, n
	return shares
}
