package balance

// The assignment of replicas to routers: which replicas this router sends to and reports on.

import (
	"slices"

	"reachspread/internal/assignment"
)

const (
	// minAssignedReplicas is the smallest number of replicas that are assigned to a router.
	minAssignedReplicas = 7
	// minAssignees is the smallest mean number of routers that a replica is assigned to.
	minAssignees = 3
)

// updateAssignment assigns to each router some replicas of its zone. All routers compute the same
// assignments. A router has so few replicas that it observes each of them often, can keep a
// connection to each, and needs no reports on the others.
func (b *Balancer) updateAssignment() {
	if !b.routers.Due(b.now) {
		return
	}
	b.liveRouters = float64(b.routers.ConfirmedAlive(b.now))
	serving := slices.DeleteFunc(slices.Clone(b.sorted), func(r *replica) bool { return r.State != Serving })
	count := max(minAssignedReplicas, minAssignees*len(serving)/max(b.routers.NotDead(b.now), 1))
	assignees := map[*replica][]int{}
	for i, routers := range assignment.Assign(b.routers, b.now, serving, count, assignmentKey) {
		assignees[serving[i]] = routers
	}
	b.assigned = nil
	for _, r := range b.sorted {
		b.assign(r, assignees[r])
		if r.assigned {
			b.assigned = append(b.assigned, r)
		}
	}
}

// assign sets the routers that a replica is assigned to. If some of the former routers are dead
// now, it reduces the reported tokens in proportion.
func (b *Balancer) assign(r *replica, assignees []int) {
	before := len(r.liveAssignees)
	removed := func(router int) bool { return b.routers.Dead(router, b.now) }
	r.assignees = assignees
	r.liveAssignees = slices.DeleteFunc(slices.Clone(assignees), removed)
	r.assigned = b.routers.Alone() || slices.Contains(r.liveAssignees, b.cfg.Self)
	if live := len(r.liveAssignees); r.assigned && live < before {
		r.peerTokens *= float64(live) / float64(before)
	}
}
