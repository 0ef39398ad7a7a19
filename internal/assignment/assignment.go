// Package assignment assigns items, such as servers, to the members of a numbered group that live
// in the same zone. It is the same wherever it is worked out: each member has so many of its zone's
// items, by rendezvous hashing of its number and the item, so that each knows which others have an
// item. A member learns others' zones from them, and which members live from its own view, which
// may be late or wrong (package liveness). The package is pure: its user says what time it is,
// which must not go back.
package assignment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"reachspread/internal/liveness"
	"reachspread/internal/rendezvous"
)

// unknownZone is the zone of a member that was not heard of yet.
const unknownZone = -1

// Group is the members by their numbers, as one of them sees them. In a group of none the one is
// alone, and has all items.
type Group struct {
	self  int
	zones []int
	*liveness.Tracker
	dueAt time.Duration // when assignments may have changed

	assigned  [][]int // by the last Assign, with perMember; nil after items or zones have changed
	perMember int
}

// Peer is a member that lives.
type Peer struct {
	Number int
	Zone   uint8
}

// New returns a group of n members, self among them. A view counts after it has held for so long;
// until the first one all members live.
func New(n, self int, zone uint8, stabilityDelay time.Duration) *Group {
	g := &Group{self: self, zones: slices.Repeat([]int{unknownZone}, n), Tracker: liveness.New(n, stabilityDelay)}
	if self >= 0 && self < n {
		g.zones[self] = int(zone)
	}
	return g
}

// Alone reports whether there are no other members.
func (g *Group) Alone() bool { return len(g.zones) == 0 }

// AllOtherMembers returns the numbers of all others, whether they live or not.
func (g *Group) AllOtherMembers() (all []int) {
	for i := range g.zones {
		if i != g.self {
			all = append(all, i)
		}
	}
	return all
}

// SetZone sets the zone of a member, and reports whether there is such a member.
func (g *Group) SetZone(member int, zone uint8) bool {
	if member < 0 || member >= len(g.zones) {
		return false
	}
	if g.zones[member] != int(zone) {
		g.zones[member] = int(zone)
		g.Invalidate()
	}
	return true
}

// SetLive sets which members live. A version that is not newer than the last is ignored, and so are
// numbers that the group does not have.
func (g *Group) SetLive(version uint64, live []Peer, now time.Duration) {
	var numbers []int
	for _, p := range live {
		numbers = append(numbers, p.Number)
		g.SetZone(p.Number, p.Zone)
	}
	g.Update(version, numbers, now)
	g.dueAt = 0
}

// Invalidate says that the items have changed.
func (g *Group) Invalidate() { g.dueAt, g.assigned = 0, nil }

// Due reports whether assignments may have changed since the last Assign.
func (g *Group) Due(now time.Duration) bool { return now >= g.dueAt }

// Assign returns the members that have each of the items, in rising order, whether they live or
// not. Each member has perMember items of its zone. A member whose zone has none has a part of all,
// and one that was never heard of has none. Items of equal names are taken in their order. The work
// of members times items is done again only after items, zones or perMember have changed; the
// caller must not change the result.
func Assign[T any](g *Group, now time.Duration, items []T, perMember int, keyOf func(T) (name uint64, zone uint8)) [][]int {
	g.dueAt = cmp.Or(g.Next(now), math.MaxInt64)
	if g.assigned != nil && g.perMember == perMember {
		return g.assigned
	}
	type item struct {
		index int
		name  uint64
	}
	var allItems []item
	itemsByZone := map[int][]item{}
	for i, t := range items {
		name, zone := keyOf(t)
		allItems = append(allItems, item{i, name})
		itemsByZone[int(zone)] = append(itemsByZone[int(zone)], item{i, name})
	}
	assigned := make([][]int, len(items))
	for member, zone := range g.zones {
		if zone == unknownZone {
			continue
		}
		pool := itemsByZone[zone]
		if len(pool) == 0 {
			pool = allItems // a zone that has lost its own
		}
		key := rendezvous.Mix(uint64(member) + 1)
		for _, t := range rendezvous.First(key, pool, perMember, func(t item) uint64 { return t.name }) {
			assigned[t.index] = append(assigned[t.index], member)
		}
	}
	g.assigned = assigned
	g.perMember = perMember
	return assigned
}
