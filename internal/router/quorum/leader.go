package quorum

import (
	"encoding/json"
	"reflect"

	"reachspread/internal/router/lease"
)

// checkLeadership updates the voter's state if it has become the leader or has lost leadership.
func (v *Voter) checkLeadership() {
	leads := v.isLeader()
	if leads == v.wasLeader {
		return
	}
	v.wasLeader = leads
	clear(v.pending) // routers without a reply send their requests again
	clear(v.notifications)
	clear(v.reservedAt)
	if leads {
		v.becomeLeader()
	} else {
		v.resetElectionTimer()
	}
}

// becomeLeader starts the leader's timers. It restarts the wait for every lease, because this voter
// does not know which renewals the last leader granted just before.
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

// defineRoles proposes the configured roles that the table lacks or defines differently.
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

// bootBits is the number of low bits of a proposal's number that contain the proposer's boot number.
const bootBits = 32

// propose proposes a command as a log entry. It returns the proposal's number and whether the engine
// has accepted the proposal. An accepted proposal may still be lost if this voter loses leadership.
func (v *Voter) propose(c lease.Command) (number uint64, ok bool) {
	v.proposals++
	number = v.proposals<<bootBits | uint64(v.config.Boot)
	data, _ := json.Marshal(proposal{number, c}) // cannot fail: all fields have types that JSON can encode
	return number, v.raft.Propose(data) == nil
}

// handleRequest proposes the command that a router requests. If this voter is not the leader or has
// too many pending requests, it rejects the request with a reply that names the leader.
func (v *Voter) handleRequest(e RequestReceived) {
	request := e.Request
	if request.Command.Kind == lease.Acquire && v.meta.Group == 0 {
		v.observeToken(request.Command.Token) // a group that this router founds grants only larger tokens
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
