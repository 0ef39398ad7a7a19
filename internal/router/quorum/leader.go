package quorum

import (
	"encoding/json"
	"reflect"

	"reachspread/internal/router/lease"
)

// checkLeadership takes in that this voter has become the leader, or no longer is.
func (v *Voter) checkLeadership() {
	leads := v.isLeader()
	if leads == v.wasLeader {
		return
	}
	v.wasLeader = leads
	clear(v.pending) // their routers ask again
	clear(v.notifications)
	clear(v.reservedAt)
	if leads {
		v.becomeLeader()
	} else {
		v.resetElectionTimer()
	}
}

// becomeLeader begins every lease anew: nothing is known of what the last leader granted a moment
// ago.
func (v *Voter) becomeLeader() {
	v.nextTickAt = v.now + v.config.TickInterval
	v.nextReconfigureAt = v.now + reconfigureInterval
	v.nextQueueCheckAt = v.now + queueCheckInterval
	clear(v.renewedAt)
	for _, g := range v.table.Grants() {
		v.renewedAt[g.Token] = v.now
		if v.config.SkipLeaseWait {
			v.renewedAt[g.Token] = v.now - v.config.Timing.Duration
		}
	}
	v.defineRoles()
}

// defineRoles proposes the configured roles that the table lacks or has otherwise.
func (v *Voter) defineRoles() {
	known := map[string]lease.Role{}
	v.table.ForEach(func(r *lease.Role, _ []lease.Grant, _ []lease.Router, _ []lease.Reservation) { known[r.Name] = *r })
	for _, r := range v.config.Roles {
		r.MaxHolders = max(r.MaxHolders, 1)
		if existing, ok := known[r.Name]; !ok || !reflect.DeepEqual(existing, r) {
			v.propose(lease.Command{Kind: lease.DefineRole, Role: r.Name, Definition: &r})
		}
	}
}

// bootBits is how many bits of a proposal's number are the proposer's boot number.
const bootBits = 32

// propose brings a command into the log. It reports whether the engine has taken it; it may still
// be lost with the leadership.
func (v *Voter) propose(c lease.Command) (number uint64, ok bool) {
	v.proposals++
	number = v.proposals<<bootBits | uint64(v.config.Boot)
	data, _ := json.Marshal(proposal{number, c}) // of plain fields
	return number, v.raft.Propose(data) == nil
}

// handleRequest proposes what a router requests, or tells it who leads.
func (v *Voter) handleRequest(e RequestReceived) {
	request := e.Request
	if request.Command.Kind == lease.Acquire && v.meta.Group == 0 {
		v.observeToken(request.Command.Token) // a group that is founded here begins above it
	}
	reply := &lease.Reply{ID: request.ID, Boot: request.Command.Router.Boot, Leader: v.Leader(), NotLeader: true}
	if v.isLeader() && len(v.pending) < maxPendingRequests {
		if number, ok := v.propose(request.Command); ok {
			v.pending[number] = pendingRequest{e.From, request.ID, request.Command.Router.Boot}
			return
		}
	}
	v.counters.Rejected++
	v.actions = append(v.actions, SendReply{To: e.From, Reply: reply})
}
