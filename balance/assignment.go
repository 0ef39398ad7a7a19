package balance

// The assignment of replicas to routers: which replicas this router sends to and reports on.

import (
	"slices"

	"reachspread/internal/assignment"
)

const (
	// minAssignedReplicas is the least number of replicas that are assigned to a router.
	minAssignedReplicas = 7
	// minAssignees is the least mean number of routers that each replica is assigned to.
	minAssignees = 3
)

// updateAssignment assigns to each router replicas of its zone, alike on all routers: so few that
// it hears of each often, keeps a connection to it and need not hear of the others.
func (b *Balancer) updateAssignment() {
	if !b.routers.Due(b.now) {
		return
	}
	b.liveRouters = float64(b.routers.ConfirmedAlive(b.now))
	serving := slices.DeleteFunc(slices.Clone(b.sorted), func(r *replica) bool { return r.State != Serving })
	count := max(minAssignedReplicas, minAssignees*len(serving)/max(b.routers.NotDead(b.now), 1))
	assignees := map[*replica][]int{}
	for i, who := range assignment.Assign(b.routers, b.now, serving, count, assignmentKey) {
		assignees[serving[i]] = who
	}
	b.assigned = nil
	for _, r := range b.sorted {
		b.assign(r, assignees[r])
		if r.assigned {
			b.assigned = append(b.assigned, r)
		}
	}
}

// assign sets the routers that a replica is assigned to. Prompts that were reported by routers
// which are gone now are taken off in proportion.
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
