package assignment

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachspread/internal/rendezvous"
)

const stabilityDelay = 2 * time.Second

type host struct {
	name uint64
	zone uint8
}

func hostKey(h host) (uint64, uint8) { return h.name, h.zone }

// All members that know the same zones compute the same assignment. Each member gets perMember hosts
// of its zone, or of all hosts if its zone has none. Removing a host takes no other host away from a
// member, unless it was the only host of the member's zone.
func TestAssignmentIsTheSameForAllMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, perMember := rapid.IntRange(1, 20).Draw(t, "members"), rapid.IntRange(1, 9).Draw(t, "share")
		zones := rapid.SliceOfN(rapid.Uint8Range(0, 3), members, members).Draw(t, "zones")
		var hosts []host
		count := map[uint8]int{}
		for i, z := range rapid.SliceOfN(rapid.Uint8Range(0, 2), 1, 30).Draw(t, "hosts") {
			hosts = append(hosts, host{rendezvous.Mix(uint64(i) + 7), z})
			count[z]++
		}
		assignAs := func(self int, hosts []host) [][]int {
			g := New(members, self, zones[self], stabilityDelay)
			for i, z := range zones {
				g.SetZone(i, z)
			}
			return Assign(g, 0, hosts, perMember, hostKey)
		}
		first := assignAs(0, hosts)
		for self := range members {
			if other := assignAs(self, hosts); !slices.EqualFunc(first, other, slices.Equal) {
				t.Fatalf("member %d computes the assignment %v, member 0 computes %v", self, other, first)
			}
		}
		for m, zone := range zones {
			got, want := 0, min(perMember, count[zone])
			if count[zone] == 0 {
				want = min(perMember, len(hosts))
			}
			for i, assignees := range first {
				if slices.Contains(assignees, m) {
					if got++; count[zone] > 0 && hosts[i].zone != zone {
						t.Fatalf("member %d of zone %d has a host of zone %d", m, zone, hosts[i].zone)
					}
				}
			}
			if got != want {
				t.Fatalf("member %d has %d hosts, want %d", m, got, want)
			}
		}
		if len(hosts) == 1 {
			return
		}
		for i, assignees := range assignAs(0, hosts[1:]) {
			for _, m := range first[i+1] {
				if count[zones[m]] != 1 && !slices.Contains(assignees, m) {
					t.Fatalf("member %d has lost host %d, although host 0 was removed", m, i+1)
				}
			}
		}
	})
}

// A member that left the view is dead once the view has been stable for stabilityDelay. A member that
// returns to the view is not dead from then on. Numbers outside the group are ignored.
func TestAssignmentFollowsTheView(t *testing.T) {
	g := New(3, 1, 5, stabilityDelay)
	hosts := []host{{1, 5}, {2, 5}}
	if g.SetZone(3, 5) || g.SetZone(-1, 5) || !g.SetZone(2, 5) || g.Alone() {
		t.Error("SetZone must accept member 2 only, and the group must not be alone")
	}
	check := func(now time.Duration, want ...int) {
		t.Helper()
		for _, assignees := range Assign(g, now, hosts, 2, hostKey) {
			if assignees = slices.DeleteFunc(slices.Clone(assignees), func(m int) bool { return g.Dead(m, now) }); !slices.Equal(assignees, want) {
				t.Errorf("at %v a host is assigned to the members %v that are not dead, want %v", now, assignees, want)
			}
		}
	}
	check(0, 1, 2) // the zone of member 0 is unknown
	g.SetLive(1, []Peer{{0, 5}, {1, 5}, {9, 5}}, time.Second)
	if check(time.Second, 0, 1, 2); g.Due(time.Second) || !g.Due(time.Second+stabilityDelay) {
		t.Error("the assignment must be due when the view becomes stable, not before")
	}
	check(time.Second+stabilityDelay, 0, 1)
	g.SetLive(2, []Peer{{0, 5}, {1, 5}, {2, 5}}, 4*time.Second)
	check(4*time.Second, 0, 1, 2)
	if g.Due(5*time.Second) || g.Alone() || !slices.Equal(g.AllOtherMembers(), []int{0, 2}) {
		t.Error("the assignment is due without a change, or the other members are not 0 and 2")
	}
	if g.Invalidate(); !g.Due(5 * time.Second) {
		t.Error("the assignment is not due after Invalidate")
	}
	if alone := New(0, 0, 5, stabilityDelay); !alone.Alone() || len(alone.AllOtherMembers()) > 0 || alone.SetZone(0, 5) {
		t.Error("a group without members must be alone, and have no other members and no member 0")
	}
}
