package lease

import (
	"cmp"
	"slices"
	"time"
)

// maxDoublings bounds by how often the delay between two attempts doubles.
const maxDoublings = 5

// sendRequest sends what the state of a role calls for.
func (a *Agent) sendRequest(m *managedRole, now time.Duration) []Action {
	if m.attempts > 0 { // the voter that was asked last has not replied
		a.leader = (a.leader + 1) % len(a.config.Voters)
	}
	command := a.nextCommand(m)
	if a.lastID++; a.lastID == 0 { // 0 is for notifications
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

// nextCommand is what is asked of the voters for a role now.
func (a *Agent) nextCommand(m *managedRole) Command {
	if m.release != nil {
		return *m.release
	}
	if g, granted := m.lease.Grant(); granted {
		return Command{Kind: Renew, Role: m.role, Router: a.config.Self, Token: g.Token}
	}
	return Command{Kind: Acquire, Role: m.role, Router: a.config.Self, Token: a.highestToken}
}

// retryDelay is the time until the next attempt. Once each voter has been asked in vain it doubles,
// with jitter, unless a lease is running out meanwhile.
func (a *Agent) retryDelay(m *managedRole) time.Duration {
	_, granted := m.lease.Grant()
	if m.attempts <= len(a.config.Voters) || granted {
		return replyTimeout
	}
	delay := min(replyTimeout<<min(m.attempts-len(a.config.Voters), maxDoublings), maxRetryDelay)
	return delay/2 + time.Duration(a.rng.Int64N(int64(delay)))
}

// endLease tells the owner to stop its work under a role, if there is any.
func (a *Agent) endLease(m *managedRole, reason string) []Action {
	if !m.active {
		return nil
	}
	m.active = false
	g, _ := m.lease.Grant()
	return []Action{Ended{m.role, g.Token, reason}}
}

// expireLease ends a lease that has run out by the own clock.
func (a *Agent) expireLease(m *managedRole, now time.Duration) []Action {
	out := a.endLease(m, endedExpired)
	m.lease.Revoke(maxUint64)
	m.nextRequestAt = now
	return out
}

// finishRelease ends the giving back of a role.
func (a *Agent) finishRelease(m *managedRole, now time.Duration) {
	if m.reacquireAfter == 0 {
		delete(a.roles, m.role)
		return
	}
	m.release, m.outstanding, m.attempts, m.queued = nil, nil, 0, false
	m.nextRequestAt, m.reacquireAfter = now+m.reacquireAfter, 0
}

// HandleReply takes in a reply or a notification of a voter.
func (a *Agent) HandleReply(now time.Duration, from string, r *Reply) []Action {
	if r.Boot != a.config.Self.Boot { // to an earlier process of this router
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
		// Replies to earlier ones count no more.
		m.outstanding = slices.Delete(m.outstanding, 0, i+1)
		m.attempts = 0
		return a.handleResult(m, now, sentAt, &r.Result)
	}
	return nil
}

// setLeader has a voter be asked first.
func (a *Agent) setLeader(name string) {
	if i := slices.Index(a.config.Voters, name); i >= 0 {
		a.leader = i
	}
}

// maxRedirects is how many requests may be open when a redirection is followed at once: two voters
// that each take the other for the leader are asked at the usual interval.
const maxRedirects = 3

// redirect asks the voter that is said to lead, or the next one where nobody is: each once, at
// once. I is the request in outstanding that was not served.
func (a *Agent) redirect(m *managedRole, now time.Duration, i int, from, leader string) []Action {
	if i < len(m.outstanding)-1 { // of an earlier request than the last
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

// handleResult takes in what the voters' leader did with a request that was sent at sentAt.
func (a *Agent) handleResult(m *managedRole, now, sentAt time.Duration, r *Result) (out []Action) {
	if m.release != nil { // it is given back, or there was nothing to be given back
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

// handleGrant takes in a grant or a renewal that was asked for at sentAt.
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

// handleNotification takes in that a grant was made in turn, or that operators want it transferred.
// The lease counts only from a renewal that is requested now.
func (a *Agent) handleNotification(now time.Duration, r *Reply) []Action {
	g := r.Result.Grant
	m := a.roles[g.Role]
	if m == nil || m.release != nil {
		return nil
	}
	a.setLeader(r.Leader)
	old, granted := m.lease.Grant()
	if granted && (old.Token > g.Token || old.Token == g.Token && g.TransferTo == old.TransferTo) {
		return nil // nothing new
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
