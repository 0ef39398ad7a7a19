package quorum

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"reachspread/internal/router/lease"
)

const (
	proposalRetryInterval = 200 * time.Millisecond // until a proposal that became nothing is made once more
	maxDequeues           = 16                     // at a time
)

// takeOffice begins the own time as the leader: nothing is known of what the last one granted a moment ago, so each lease begins anew.
func (v *Voter) becomeLeader() {
	clear(v.renewedAt)
	for _, g := range v.table.Grants() {
		v.renewedAt[g.Token] = v.now
		if v.config.SkipLeaseWait {
			v.renewedAt[g.Token] = v.now - v.config.Timing.Duration
		}
	}
	v.defineRoles()
}

// define has the table know the duties that it does not, or otherwise. The leader does.
func (v *Voter) defineRoles() {
	known := map[string]lease.Role{}
	v.table.ForEach(func(d *lease.Role, _ []lease.Grant, _ []lease.Router, _ []lease.Reservation) { known[d.Name] = *d })
	for _, d := range v.config.Roles {
		d.MaxHolders = max(d.MaxHolders, 1)
		if before, ok := known[d.Name]; !ok || !reflect.DeepEqual(before, d) {
			v.propose(lease.Command{Kind: lease.DefineRole, Role: d.Name, Definition: &d})
		}
	}
}

// leased follows what a command did to leases. Each voter does; the leader's count.
func (v *Voter) trackLeases(c lease.Command, answer lease.Result, changes []lease.Change) {
	for _, x := range changes {
		if !x.Granted {
			delete(v.renewedAt, x.Grant.Token)
			delete(v.notifications, x.Grant.Token)
			if x.Reason == lease.ReasonTransferred {
				v.reservedAt[x.Grant.Token] = v.now
			}
			continue
		}
		v.renewedAt[x.Grant.Token] = v.now
		if v.wasLeader && x.Grant.Unconfirmed {
			v.notifications[x.Grant.Token] = grantNotification{v.now, v.now + notifyInterval}
			v.notifyHolder(x.Grant)
		}
	}
	if answer.OK && (c.Kind == lease.Renew || c.Kind == lease.Acquire) {
		v.renewedAt[answer.Grant.Token] = v.now
		delete(v.notifications, answer.Grant.Token)
	}
	if answer.OK && c.Kind == lease.RequestTransfer && v.wasLeader {
		v.notifications[answer.Grant.Token] = grantNotification{v.now, v.now + proposalRetryInterval}
		v.notifyHolder(answer.Grant)
	}
}

// push tells a holder of its grant.
func (v *Voter) notifyHolder(g lease.Grant) {
	v.actions = append(v.actions, SendReply{To: g.Holder.Name, Notification: true, Reply: &lease.Reply{Boot: g.Holder.Boot, Leader: v.config.Self, Result: lease.Result{OK: true, Grant: g}}})
}

// leases ends those that the leader has waited out, and tells those whose turn it is.
func (v *Voter) expireLeases() {
	for _, g := range v.table.Grants() {
		at, known := v.renewedAt[g.Token]
		if !known {
			at = v.now
			v.renewedAt[g.Token] = at
		}
		p, told := v.notifications[g.Token]
		switch {
		case v.now >= at+v.config.Timing.Duration, g.Unconfirmed && v.now >= at+confirmTimeout:
			v.propose(lease.Command{Kind: lease.Expire, Role: g.Role, Token: g.Token, Renewals: g.Renewals})
			v.renewedAt[g.Token] = v.now - v.config.Timing.Duration + proposalRetryInterval
		case told && v.now >= p.nextAt, g.Unconfirmed && !told:
			v.notifyHolder(g)
			pause := notifyInterval
			if !g.Unconfirmed {
				pause = proposalRetryInterval
			}
			v.notifications[g.Token] = grantNotification{p.since, v.now + pause}
		}
	}
	if v.now < v.nextQueueCheckAt {
		return
	}
	v.nextQueueCheckAt = v.now + queueCheckInterval
	kept, left := map[uint64]time.Duration{}, maxDequeues
	v.table.ForEach(func(d *lease.Role, _ []lease.Grant, line []lease.Router, all []lease.Reservation) {
		for _, k := range all {
			at, known := v.reservedAt[k.Token]
			if !known {
				at = v.now
			}
			kept[k.Token] = at
			if v.now >= at+v.config.Timing.Duration {
				v.propose(lease.Command{Kind: lease.Dequeue, Role: d.Name, To: k.For})
			}
		}
		if v.alive == nil {
			return
		}
		for _, who := range line {
			if !v.alive[who.Name] && left > 0 {
				left--
				v.propose(lease.Command{Kind: lease.Dequeue, Role: d.Name, Router: who})
			}
		}
	})
	v.reservedAt = kept
}

// viewed takes who lives.
func (v *Voter) handleMembership(living map[string]bool) {
	v.alive = maps.Clone(living)
	for _, name := range v.config.Candidates {
		if _, is := v.lostSince[name]; living[name] {
			delete(v.lostSince, name)
		} else if !is {
			v.lostSince[name] = v.now
		}
	}
	maps.DeleteFunc(v.lostSince, func(name string, _ time.Duration) bool { return !slices.Contains(v.config.Candidates, name) })
}
