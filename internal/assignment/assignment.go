// Package assignment assigns items, such as servers, to the members of a numbered group. Each member
// gets a fixed number of items of its own zone, chosen by rendezvous hashing of the member's number
// and the item. All members compute the same assignment, so each of them knows which other members
// an item is assigned to.
//
// A member learns the zones of other members from these members. It learns which members are alive
// from its own view, which may be late or wrong (see package liveness). The package reads no clock:
// the caller passes the time, which must not go back.
package assignment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"reachspread/internal/liveness"
	"reachspread/internal/rendezvous"
)

// unknownZone stands for the zone of a member that has not told its zone yet.
const unknownZone = -1

// Group holds what one member knows about all members of its group, indexed by member number. A
// group without members stands for a member that is alone, to which all items belong.
type Group struct {
	self  int   // number of the member that this group belongs to
	zones []int // by member, unknownZone if not known
	*liveness.Tracker
	dueAt time.Duration // when assignments may have changed

	assigned  [][]int // result of the last Assign, which used perMember; nil once items or zones have changed
	perMember int
}

// Peer is a live member and its zone.
type Peer struct {
	Number int
	Zone   uint8
}

// New returns a group of n members that include self. A change in the liveness view takes effect
// after it has been stable for stabilityDelay. Until the first view, all members count as alive.
func New(n, self int, zone uint8, stabilityDelay time.Duration) *Group {
	g := &Group{self: self, zones: slices.Repeat([]int{unknownZone}, n), Tracker: liveness.New(n, stabilityDelay)}
	if self >= 0 && self < n {
		g.zones[self] = int(zone)
	}
	return g
}

// Alone reports whether there are no other members.
func (g *Group) Alone() bool { return len(g.zones) == 0 }

// AllOtherMembers returns the numbers of all members except self, whether they are alive or not.
func (g *Group) AllOtherMembers() (all []int) {
	for i := range g.zones {
		if i != g.self {
			all = append(all, i)
		}
	}
	return all
}

// SetZone sets the zone of a member. It reports whether the group has that member.
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

// SetLive sets the zones of the live members, and updates the liveness of all members. It ignores the
// liveness in a view whose version is not newer than the last one, and any numbers that the group does
// not have.
func (g *Group) SetLive(version uint64, live []Peer, now time.Duration) {
	var numbers []int
	for _, p := range live {
		numbers = append(numbers, p.Number)
		g.SetZone(p.Number, p.Zone)
	}
	g.Update(version, numbers, now)
	g.dueAt = 0
}

// Invalidate makes the next Assign compute the assignment again. Callers call it when the items have
// changed.
func (g *Group) Invalidate() { g.dueAt, g.assigned = 0, nil }

// Due reports whether assignments may have changed since the last Assign.
func (g *Group) Due(now time.Duration) bool { return now >= g.dueAt }

// Assign returns, for each item, the numbers of the members that the item is assigned to, in
// increasing order, whether these members are alive or not. Function keyOf returns the name that an
// item is hashed by, and its zone.
//
// Each member gets perMember items of its zone, or all if the zone has fewer. A member whose zone
// has no items gets perMember of all items, and a member whose zone is unknown gets none. Items with
// equal names are ranked in their order in items.
//
// Assign takes time in proportion to members times items. It therefore returns the previous result
// unless perMember or zones have changed or Invalidate was called for new items. The caller must not
// modify the result.
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
			pool = allItems // the zone has no items
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
