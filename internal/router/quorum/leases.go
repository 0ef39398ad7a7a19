package quorum

import (
	"time"

	"reachspread/internal/router/lease"
)

// trackLeases updates the renewal times and notifications after a command has been applied. All
// voters update the renewal times, but only the leader's times decide when leases expire.
func (v *Voter) trackLeases(c lease.Command, result lease.Result, changes []lease.Change) {
	for _, change := range changes {
		if change.Granted {
			v.trackGrant(change.Grant)
		} else {
			v.trackEnd(&change)
		}
	}
	if !result.OK {
		return
	}
	token := result.Grant.Token
	switch c.Kind {
	case lease.Renew, lease.Acquire:
		v.renewedAt[token] = v.now
		delete(v.notifications, token)
	case lease.RequestTransfer:
		if v.wasLeader {
			v.notifications[token] = grantNotification{v.now, v.now + proposalRetryInterval}
			v.notifyHolder(result.Grant)
		}
	}
}

func (v *Voter) trackGrant(g lease.Grant) {
	v.renewedAt[g.Token] = v.now
	if v.wasLeader && g.Unconfirmed {
		v.notifications[g.Token] = grantNotification{v.now, v.now + notifyInterval}
		v.notifyHolder(g)
	}
}

func (v *Voter) trackEnd(change *lease.Change) {
	token := change.Grant.Token
	delete(v.renewedAt, token)
	delete(v.notifications, token)
	if change.Reason == lease.ReasonTransferred {
		v.reservedAt[token] = v.now
	}
}

// notifyHolder sends the holder of a grant a notification of it, without a request of the holder.
func (v *Voter) notifyHolder(g lease.Grant) {
	reply := &lease.Reply{Boot: g.Holder.Boot, Leader: v.config.Self, Result: lease.Result{OK: true, Grant: g}}
	v.actions = append(v.actions, SendReply{To: g.Holder.Name, Notification: true, Reply: reply})
}

// expireLeases proposes to expire the grants whose lease duration, or confirmTimeout, has passed at
// the leader. It repeats the notifications of holders that may not know of their grants or of a
// requested transfer, and checks the queues when that is due.
func (v *Voter) expireLeases() {
	for _, g := range v.table.Grants() {
		renewedAt, known := v.renewedAt[g.Token]
		if !known {
			renewedAt = v.now
			v.renewedAt[g.Token] = renewedAt
		}
		notification, notified := v.notifications[g.Token]
		switch {
		case v.now >= renewedAt+v.config.Timing.Duration, g.Unconfirmed && v.now >= renewedAt+confirmTimeout:
			v.propose(lease.Command{Kind: lease.Expire, Role: g.Role, Token: g.Token, Renewals: g.Renewals})
			// Propose it again after proposalRetryInterval, in case the proposal is lost.
			v.renewedAt[g.Token] = v.now - v.config.Timing.Duration + proposalRetryInterval
		case notified && v.now >= notification.nextAt, g.Unconfirmed && !notified:
			v.notifyHolder(g)
			interval := notifyInterval
			if !g.Unconfirmed {
				interval = proposalRetryInterval
			}
			v.notifications[g.Token] = grantNotification{notification.since, v.now + interval}
		}
	}
	if v.now >= v.nextQueueCheckAt {
		v.nextQueueCheckAt = v.now + queueCheckInterval
		v.checkQueues()
	}
}

// checkQueues proposes to remove reservations that no router has used for a lease duration, and
// queued routers that are not alive. It removes at most maxDequeues routers per call.
func (v *Voter) checkQueues() {
	reservedAt, left := map[uint64]time.Duration{}, maxDequeues
	v.table.ForEach(func(role *lease.Role, _ []lease.Grant, queue []lease.Router, reservations []lease.Reservation) {
		for _, r := range reservations {
			at := v.now
			if known, ok := v.reservedAt[r.Token]; ok {
				at = known
			}
			reservedAt[r.Token] = at
			if v.now >= at+v.config.Timing.Duration {
				v.propose(lease.Command{Kind: lease.Dequeue, Role: role.Name, To: r.For})
			}
		}
		if v.alive == nil {
			return
		}
		for _, router := range queue {
			if !v.alive[router.Name] && left > 0 {
				left--
				v.propose(lease.Command{Kind: lease.Dequeue, Role: role.Name, Router: router})
			}
		}
	})
	v.reservedAt = reservedAt
}
