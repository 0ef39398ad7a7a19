package peering

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/router/quorum"
)

// VoterStatus is a snapshot of the local voter's state, taken at TakenAt.
type VoterStatus struct {
	quorum.Status
	Roles   []RoleStatus
	TakenAt time.Time
}

// RoleStatus is the state of one role in a voter's table.
type RoleStatus struct {
	Role       string
	MaxHolders int
	Grants     []lease.Grant
	Queued     int    // number of routers in the role's queue
	LastChange string // the last grant or loss and its reason; empty if there was none since the voter started
}

// VoterStatus returns the last published status of the local voter, nil if no voter runs here.
func (r *Roles) VoterStatus() *VoterStatus { return r.voterStatus.Load() }

// LocalRole is the state of a role that this router holds, has requested or is releasing.
type LocalRole struct {
	Role          string
	Token         uint64 // fencing token of the lease; 0 while the router does not hold the role
	Remaining     time.Duration
	Queued        bool   // the voters have put this router in the role's queue
	LastEndReason string // why the router's last lease of the role ended
}

// LocalRoles returns the roles that this router holds, has requested or is releasing, sorted by
// name.
func (r *Roles) LocalRoles() (all []LocalRole) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.agent.Roles() {
		role := LocalRole{Role: name, Queued: r.agent.Queued(name)}
		role.Token, role.Remaining = r.agent.Remaining(r.now(), name)
		if w := r.works[name]; w != nil {
			role.LastEndReason = w.lastEndReason
		}
		all = append(all, role)
	}
	return all
}

// Candidates returns the names of the routers that may vote.
func (r *Roles) Candidates() []string { return r.config.Candidates }

// Leader returns the candidate that the agent asks first.
func (r *Roles) Leader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agent.Leader()
}

// HighestToken returns the largest token that any reply to this router's agent has carried.
func (r *Roles) HighestToken() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agent.HighestToken()
}

// RoleCounters counts events since the start of the process. Leased, Requested, Leaderless and the
// values that come from the voter's store (Term, Index, LogEntries, Token) are current values.
type RoleCounters struct {
	// Leased counts the roles that this router holds. Requested counts the roles that it holds or
	// waits for.
	Leased, Requested      int
	Begun, Ended, Rejected uint64
	Sent, Received         uint64 // the agent's requests and the replies to them

	// The values of the local voter. They are zero where no voter runs, except Token, which is then
	// the highest token that the agent knows.
	Leaderless                     bool
	Commands, Elections            uint64
	Term, Index, LogEntries, Token uint64
}

// Counters returns the present counters of the agent and, if there is one, of the local voter.
func (r *Roles) Counters() RoleCounters {
	c := RoleCounters{Begun: r.begun.Load(), Ended: r.ended.Load(), Rejected: r.rejected.Load()}
	for _, role := range r.LocalRoles() {
		c.Requested++
		if role.Token != 0 {
			c.Leased++
		}
	}
	r.mu.Lock()
	c.Sent, c.Received, c.Token = r.agent.RequestsSent, r.agent.RepliesReceived, r.agent.HighestToken()
	r.mu.Unlock()
	if s := r.voterStatus.Load(); s != nil {
		c.Leaderless, c.Term, c.Index, c.LogEntries = s.Leaderless, s.Term, s.Index, s.LogEntries
		c.Token = max(c.Token, s.HighestToken)
		c.Commands, c.Elections = s.Counters.Commands, s.Counters.Elections
	}
	return c
}

// voterQuery is an event for the voter on whose outcome a caller waits.
type voterQuery struct {
	event   quorum.Event
	refusal string
	done    chan struct{} // closed once the voter has handled the event and refusal is set
}

// askVoter passes an event to the local voter and waits for the outcome. The refusal is the voter's
// reason for refusing the event, empty if the voter accepted it.
func (r *Roles) askVoter(ctx context.Context, e quorum.Event) (refusal string, err error) {
	if !r.voterRunning.Load() {
		return "", ErrNoVoter
	}
	q := &voterQuery{event: e, done: make(chan struct{})}
	if !r.post(q) {
		return "", errBusy
	}
	select {
	case <-q.done:
		return q.refusal, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Rebuild founds a new group of voters. LostRouters names the routers whose disks are lost for
// good. Rebuild returns ErrNoVoter at a router without a running voter.
func (r *Roles) Rebuild(ctx context.Context, lostRouters []string) error {
	refusal, err := r.askVoter(ctx, quorum.Rebuild{LostRouters: lostRouters})
	if err == nil && refusal != "" {
		err = errors.New(refusal)
	}
	return err
}

// transferRequestBit is set in the IDs of operators' requests, so that they don't collide with the
// IDs of agents, which in practice stay below it.
const transferRequestBit = 1 << 31

// transferRequests counts the operators' requests of this process, to number them.
var transferRequests atomic.Uint32

// transferRetryInterval is how long RequestTransfer waits for a reply before it sends its request
// again.
const transferRetryInterval = 200 * time.Millisecond

// RequestTransfer asks the holder of a role to transfer it to another router, or to the first
// router in the role's queue. If several routers hold the role, token selects the holder; 0 selects
// the first. RequestTransfer sends its request to all candidates until their leader has committed
// the command or refused it, or until ctx ends. A refusal is returned as a lease.Refusal.
func (r *Roles) RequestTransfer(ctx context.Context, role, to string, token uint64) error {
	if len(role) > lease.MaxNameBytes || len(to) > lease.MaxNameBytes {
		return fmt.Errorf("a duty's and a router's name have %d bytes at most", lease.MaxNameBytes)
	}
	q := &lease.Request{ID: transferRequestBit | transferRequests.Add(1),
		Command: lease.Command{Kind: lease.RequestTransfer, Role: role, To: to, Token: token, Router: r.config.Self}}
	result := r.awaitResult(q.ID)
	defer r.forgetResult(q.ID)
	retry := time.NewTicker(transferRetryInterval)
	defer retry.Stop()
	for {
		for _, candidate := range r.config.Candidates {
			r.sendRequest(candidate, q)
		}
		select {
		case x := <-result:
			if !x.OK {
				return x.Refusal
			}
			return nil
		case <-retry.C:
		case <-ctx.Done():
			return errors.New("no leader of the voters answers")
		}
	}
}

func (r *Roles) awaitResult(id uint32) <-chan lease.Result {
	result := make(chan lease.Result, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaitedResults[id] = result
	return result
}

func (r *Roles) forgetResult(id uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.awaitedResults, id)
}
