package lease

import (
	"cmp"
	"slices"
	"time"
)

// maxDoublings limits how many times the delay between two attempts doubles.
const maxDoublings = 5

// sendRequest sends the request that the state of a role requires.
func (a *Agent) sendRequest(m *managedRole, now time.Duration) []Action {
	if m.attempts > 0 { // the last voter did not answer the request, so try the next one
		a.leader = (a.leader + 1) % len(a.config.Voters)
	}
	command := a.nextCommand(m)
	if a.lastID++; a.lastID == 0 { // ID 0 marks notifications
		a.lastID = 1
	}
	if len(m.outstanding) >= maxOutstanding {
		m.outstanding = slices.Delete(m.outstanding, 0, 1)
	}
	m.outstanding = append(m.outstanding, sentRequest{a.lastID, now})
	m.nextRequestAt = now + a.retryDelay(m)
	m.attempts++
	a.RequestsSent++
	return []Action{SendRequest{a.Leader(), &Request{a.lastID, command}}}
}

// nextCommand returns the command to request from the voters for a role now.
func (a *Agent) nextCommand(m *managedRole) Command {
	if m.release != nil {
		return *m.release
	}
	if g, granted := m.lease.Grant(); granted {
		return Command{Kind: Renew, Role: m.role, Router: a.config.Self, Token: g.Token}
	}
	return Command{Kind: Acquire, Role: m.role, Router: a.config.Self, Token: a.highestToken}
}

// retryDelay returns the delay until the next attempt. After an attempt at each voter without a
// reply, the delay doubles per attempt and has jitter. While the router holds a lease, the delay
// stays at replyTimeout, because the lease could run out during a longer delay.
func (a *Agent) retryDelay(m *managedRole) time.Duration {
	_, granted := m.lease.Grant()
	if m.attempts <= len(a.config.Voters) || granted {
		return replyTimeout
	}
	delay := min(replyTimeout<<min(m.attempts-len(a.config.Voters), maxDoublings), maxRetryDelay)
	return delay/2 + time.Duration(a.rng.Int64N(int64(delay)))
}

// endLease returns the action that tells the owner to stop its work under a role, or nil if the
// owner does not work under it.
func (a *Agent) endLease(m *managedRole, reason string) []Action {
	if !m.active {
		return nil
	}
	m.active = false
	g, _ := m.lease.Grant()
	return []Action{Ended{m.role, g.Token, reason}}
}

// expireLease ends a lease that has run out on the agent's clock. The next request is due at once.
func (a *Agent) expireLease(m *managedRole, now time.Duration) []Action {
	out := a.endLease(m, endedExpired)
	m.lease.Revoke(maxUint64)
	m.nextRequestAt = now
	return out
}

// finishRelease completes the release of a role. The agent forgets the role or schedules the next
// attempt to acquire it.
func (a *Agent) finishRelease(m *managedRole, now time.Duration) {
	if m.reacquireAfter == 0 {
		delete(a.roles, m.role)
		return
	}
	m.release, m.outstanding, m.attempts, m.queued = nil, nil, 0, false
	m.nextRequestAt, m.reacquireAfter = now+m.reacquireAfter, 0
}

// HandleReply processes a reply or a notification of the voter named from.
func (a *Agent) HandleReply(now time.Duration, from string, r *Reply) []Action {
	if r.Boot != a.config.Self.Boot { // for an earlier process of this router
		return nil
	}
	a.RepliesReceived++
	a.highestToken = max(a.highestToken, r.Result.Grant.Token)
	if r.ID == 0 {
		return a.handleNotification(now, r)
	}
	for _, name := range a.Roles() {
		m := a.roles[name]
		i := slices.IndexFunc(m.outstanding, func(s sentRequest) bool { return s.id == r.ID })
		if i < 0 {
			continue
		}
		if r.NotLeader {
			return a.redirect(m, now, i, from, r.Leader)
		}
		a.setLeader(from)
		sentAt := m.outstanding[i].at
		// Replies to earlier requests are ignored from here on.
		m.outstanding = slices.Delete(m.outstanding, 0, i+1)
		m.attempts = 0
		return a.handleResult(m, now, sentAt, &r.Result)
	}
	return nil
}

// setLeader makes the named voter the one to which the agent sends its next request.
func (a *Agent) setLeader(name string) {
	if i := slices.Index(a.config.Voters, name); i >= 0 {
		a.leader = i
	}
}

// maxRedirects is the largest number of outstanding requests of a role at which the agent follows a
// redirect at once. Without this limit, two voters that each report the other one as the leader
// would cause requests without a pause between them.
const maxRedirects = 3

// redirect handles the reply of a voter that is not the leader, to the request with index i in
// outstanding. If the reply names another voter as the leader and maxRedirects allows it, redirect
// sends a request to that voter at once. Otherwise it sends a request to the next voter at once, up
// to one attempt per voter. Further attempts wait for the retry delay.
func (a *Agent) redirect(m *managedRole, now time.Duration, i int, from, leader string) []Action {
	if i < len(m.outstanding)-1 { // the reply is not to the last request
		return nil
	}
	at := slices.Index(a.config.Voters, leader)
	switch {
	case at >= 0 && leader != from && len(m.outstanding) <= maxRedirects:
		a.leader, m.attempts = at, 0
	case m.attempts%len(a.config.Voters) == 0:
		return nil
	}
	return a.sendRequest(m, now)
}

// handleResult processes the result of a request that the agent sent at sentAt and that the voters'
// leader has served.
func (a *Agent) handleResult(m *managedRole, now, sentAt time.Duration, r *Result) (out []Action) {
	if m.release != nil { // the release is complete, or there was no grant to release
		a.finishRelease(m, now)
		return nil
	}
	g, granted := m.lease.Grant()
	switch {
	case r.OK && r.Grant.Role == m.role:
		m.queued = false
		return a.handleGrant(m, now, sentAt, r.Grant)
	case granted:
		out = a.endLease(m, cmp.Or(string(r.Refusal), endedByVoters))
		m.lease.Revoke(g.Token)
		m.nextRequestAt = now
		return append(out, a.sendRequest(m, now)...)
	}
	m.queued = r.Queued
	m.nextRequestAt = now + queuedRetryInterval + time.Duration(a.rng.Int64N(int64(queuedRetryInterval/2)))
	return nil
}

// handleGrant processes a grant or a renewal that the agent requested at sentAt.
func (a *Agent) handleGrant(m *managedRole, now, sentAt time.Duration, g Grant) (out []Action) {
	if old, granted := m.lease.Grant(); m.active && granted && g.Token > old.Token {
		out = a.endLease(m, endedSuperseded)
	}
	m.lease.Extend(sentAt, g)
	if _, _, ok := m.lease.Check(now); !ok { // the reply took longer than the lease
		out = append(out, a.expireLease(m, now)...)
		return append(out, a.sendRequest(m, now)...)
	}
	m.nextRequestAt, _ = m.lease.RenewAt()
	current, _ := m.lease.Grant()
	out = append(out, Granted{m.role, current.Token, m.lease.workEnd(), !m.active})
	m.active = true
	if g.TransferTo != "" && m.notifiedTransfer != g.Token {
		m.notifiedTransfer = g.Token
		out = append(out, TransferRequested{m.role, g.Token, g.TransferTo})
	}
	return out
}

// handleNotification processes a voter's notification that this router was granted a role from the
// queue, or that operators want the router to transfer a role. In both cases the agent sends a
// renewal. The owner may work under a new grant only after a voter has answered this renewal.
func (a *Agent) handleNotification(now time.Duration, r *Reply) []Action {
	g := r.Result.Grant
	m := a.roles[g.Role]
	if m == nil || m.release != nil {
		return nil
	}
	a.setLeader(r.Leader)
	old, granted := m.lease.Grant()
	if granted && (old.Token > g.Token || old.Token == g.Token && g.TransferTo == old.TransferTo) {
		return nil // the notification is late or a duplicate
	}
	m.attempts = 0
	if granted && old.Token == g.Token {
		return a.sendRequest(m, now)
	}
	out := a.endLease(m, endedSuperseded)
	m.lease = NewLease(a.config.Timing)
	m.lease.setUnconfirmed(now, g)
	return append(out, a.sendRequest(m, now)...)
}
