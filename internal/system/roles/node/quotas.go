package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/quota"
	"reachspread/coord/view"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/message"
	"reachspread/internal/system/settings"
)

const (
	// quotaAnswerTimeout is how long a router waits for an owner's answer before it asks again.
	quotaAnswerTimeout = 100 * time.Millisecond
	// notOwnerDelay is the wait before the next ask after a router answered that it is not the
	// owner, or no longer is.
	notOwnerDelay = quotaAnswerTimeout / 4
	// quotaWaitTimeout is the longest time that a request waits for its units.
	quotaWaitTimeout = 400 * time.Millisecond
	// quotaRetryDelay is the wait after which a client may retry if no owner has answered in time.
	quotaRetryDelay = 300 * time.Millisecond
	// pendingAskTTL is the age above which an unanswered ask may be dropped.
	pendingAskTTL = 2 * quotaWaitTimeout

	maxLessees = 65_536
	// maxPendingAsks is the number of pending asks at which each new one causes a search for
	// expired ones.
	maxPendingAsks = 64
)

// quotas enforces the tenants' limits on this router. It spends units that the owner of a tenant's
// shard has granted, and asks the owner for more. The shards that this router owns itself are the
// responsibility of quotaOwner. quotas implements dataplane.Quotas.
type quotas struct {
	node      *Node
	startedAt time.Time

	mu      sync.Mutex
	lessees map[string]*quota.Lessee // by tenant
	pending map[uint64]*pendingAsk   // by nonce
	nonce   uint64                   // of the last ask
	owner   quotaOwner
}

// pendingAsk is a request for units that has not been answered yet.
type pendingAsk struct {
	tenant     string
	sentAt     time.Duration
	borrowed   float64 // borrowed units that the request reports to the owner
	answered   chan *message.QuotaAnswer
	relayedFor *message.QuotaAsk // the ask of another router, which gets the answer; nil for this router's own
}

func newQuotas(n *Node) *quotas {
	q := &quotas{
		node:      n,
		startedAt: time.Now(),
		lessees:   map[string]*quota.Lessee{},
		pending:   map[uint64]*pendingAsk{},
		nonce:     rand.Uint64(),
	}
	window := settings.Seconds(n.settings().Bounds.QuotaWindowS)
	q.owner = quotaOwner{
		quotas:  q,
		shards:  map[int]*shard{},
		unsaved: map[string]float64{},
		tracker: quota.Tracker{Window: window},
	}
	return q
}

// clockOffset is the time that the quotas' clock shows at the start, so that earlier times are
// positive too.
const clockOffset = time.Hour

// now returns the time of the quotas' clock.
func (q *quotas) now() time.Duration { return clockOffset + time.Since(q.startedAt) }

// run reports grants to the other members of the register until ctx ends.
func (q *quotas) run(ctx context.Context) {
	tick := time.NewTicker(usageReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			q.mu.Lock()
			q.owner.reportIfDue(q.now())
			q.mu.Unlock()
		}
	}
}

// viewChanged handles a new view of the register. It does not block.
func (q *quotas) viewChanged(v *coordpb.View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owner.viewChanged(v)
}

// saveDue reports whether tenants have used so much since the last save that their usage must be
// saved now.
func (q *quotas) saveDue() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.owner.saveDue()
}

// saveUsage returns the tenants' usage in the form in which it is saved.
func (q *quotas) saveUsage() map[string]*message.UsageParts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.owner.saveUsage(q.now())
}

// restoreUsage restores the usage that an earlier incarnation saved.
func (q *quotas) restoreUsage(saved map[string]*message.UsageParts) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owner.restoreUsage(q.now(), saved)
}

// plan returns how the bound on a tenant's usage is divided between the owner and the lessees.
func (q *quotas) plan(t *configuration.Tenant) quota.Plan {
	b := q.node.settings().Bounds
	slack := b.QuotaSlack
	if t.Unit != configuration.TokensUnit {
		slack = 0
	}
	limit := quota.Limit{Rate: t.RatePerS, Burst: t.Burst}
	return quota.NewPlan(limit, settings.Seconds(b.QuotaWindowS), b.QuotaOvershoot, slack)
}

// lessee returns this router's part of a tenant's quota, and creates it if necessary. The caller
// holds the lock.
func (q *quotas) lessee(t *configuration.Tenant) *quota.Lessee {
	l := q.lessees[t.Name]
	if l == nil {
		if len(q.lessees) >= maxLessees {
			clear(q.lessees)
		}
		l = &quota.Lessee{}
		q.lessees[t.Name] = l
	}
	l.Plan = q.plan(t)
	return l
}

// Take implements dataplane.Quotas. If this router has too few units, it asks the owner for more,
// for at most quotaWaitTimeout. If ok is false, wait is the time after which the client is to
// retry.
func (q *quotas) Take(t *configuration.Tenant, units float64) (ok bool, wait time.Duration) {
	deadline, ownerMissing := q.now()+quotaWaitTimeout, false
	for attempt := 0; ; attempt++ {
		q.mu.Lock()
		l, now := q.lessee(t), q.now()
		if l.Take(now, units) || ownerMissing && l.Borrow(now, units) {
			q.mu.Unlock()
			return true, 0
		}
		if now >= deadline {
			q.mu.Unlock()
			return false, quotaRetryDelay
		}
		byRelay := attempt%2 == 1
		nonce, answered := q.sendAsk(t.Name, l.Request(now, units), byRelay)
		q.mu.Unlock()
		answer := q.await(nonce, answered)
		if answer.GetOwner() && answer.Granted == 0 {
			return false, time.Duration(answer.WaitUs) * time.Microsecond
		}
		ownerMissing = !answer.GetOwner()
	}
}

// Put implements dataplane.Quotas. It returns unused units that were taken at the given time.
func (q *quotas) Put(t *configuration.Tenant, units float64, taken time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lessee(t).AddGrant(clockOffset+taken.Sub(q.startedAt), units)
}

// await returns the answer to an ask, or nil if none arrives in time. After the answer of a router
// that is not the owner it waits for notOwnerDelay, because a new view may be on its way.
func (q *quotas) await(nonce uint64, answered <-chan *message.QuotaAnswer) *message.QuotaAnswer {
	timer := time.NewTimer(quotaAnswerTimeout)
	defer timer.Stop()
	select {
	case answer := <-answered:
		if !answer.Owner {
			time.Sleep(notOwnerDelay)
		}
		return answer
	case <-timer.C:
		q.mu.Lock()
		delete(q.pending, nonce)
		q.mu.Unlock()
		return nil
	}
}

// sendAsk asks the owner for units, directly or through a relay. The caller holds the lock.
func (q *quotas) sendAsk(tenant string, ask quota.Request, byRelay bool) (nonce uint64, answered chan *message.QuotaAnswer) {
	answered = make(chan *message.QuotaAnswer, 1)
	m := q.newAsk(&pendingAsk{tenant: tenant, answered: answered, borrowed: ask.Borrowed}, ask.Need, ask.Borrowed)
	if relay := q.node.hub.randomRelay(); byRelay && relay != "" {
		m.Relay = true
		q.node.send(relay, &message.Envelope{Body: &message.Envelope_QuotaAsk{QuotaAsk: m}})
		return m.Nonce, answered
	}
	q.sendToOwner(m)
	return m.Nonce, answered
}

// newAsk records a pending ask and returns its message. The caller holds the lock.
func (q *quotas) newAsk(a *pendingAsk, need, borrowed float64) *message.QuotaAsk {
	q.nonce++
	a.sentAt = q.now()
	q.pending[q.nonce] = a
	q.dropExpired()
	return &message.QuotaAsk{From: q.node.self.internal(), Nonce: q.nonce, Tenant: a.tenant, Need: need, Borrowed: borrowed}
}

// sendToOwner sends an ask to the owner, which may be this router. The caller holds the lock.
func (q *quotas) sendToOwner(m *message.QuotaAsk) {
	owner, _ := view.Owner(q.node.client.View(), m.Tenant)
	switch {
	case owner == nil:
		q.receiveAnswer(&message.QuotaAnswer{Nonce: m.Nonce})
	case owner.Address == q.node.self.internal():
		q.receiveAnswer(q.owner.serveRequest(m))
	default:
		q.node.send(owner.Address, &message.Envelope{Body: &message.Envelope_QuotaAsk{QuotaAsk: m}})
	}
}

// relay asks the owner on behalf of another router. The caller holds the lock.
func (q *quotas) relay(m *message.QuotaAsk) {
	q.sendToOwner(q.newAsk(&pendingAsk{tenant: m.Tenant, relayedFor: m}, m.Need, m.Borrowed))
}

// dropExpired drops expired asks if at least maxPendingAsks are pending. The caller holds the
// lock.
func (q *quotas) dropExpired() {
	if len(q.pending) < maxPendingAsks {
		return
	}
	for nonce, a := range q.pending {
		if q.now()-a.sentAt > pendingAskTTL {
			delete(q.pending, nonce)
		}
	}
}

// receive handles a message from another router. It returns false if the message is not about
// quotas. It does not block.
func (q *quotas) receive(m *message.Envelope) (ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch body := m.Body.(type) {
	case *message.Envelope_QuotaAsk:
		q.receiveAsk(body.QuotaAsk)
	case *message.Envelope_QuotaAnswer:
		q.receiveAnswer(body.QuotaAnswer)
	case *message.Envelope_QuotaUsage:
		q.owner.receiveUsage(body.QuotaUsage)
	case *message.Envelope_QuotaHeard:
		q.owner.usageAcknowledged(body.QuotaHeard)
	default:
		return false
	}
	return true
}

// receiveAsk answers or relays another router's ask. The caller holds the lock.
func (q *quotas) receiveAsk(m *message.QuotaAsk) {
	if m.Relay {
		q.relay(m)
		return
	}
	answer := q.owner.serveRequest(m)
	q.node.send(m.From, &message.Envelope{Body: &message.Envelope_QuotaAnswer{QuotaAnswer: answer}})
}

// receiveAnswer adds the units that an answer grants, or forwards the answer to the router on
// whose behalf this one asked. It drops an answer that arrives too late, so its grant is not used.
// The caller holds the lock.
func (q *quotas) receiveAnswer(answer *message.QuotaAnswer) {
	ask := q.pending[answer.Nonce]
	if ask == nil {
		return
	}
	delete(q.pending, answer.Nonce)
	if ask.relayedFor != nil {
		q.forwardAnswer(ask.relayedFor, answer)
		return
	}
	if l := q.lessees[ask.tenant]; l != nil && answer.Owner {
		l.ReportedBorrowed(ask.borrowed)
		l.AddGrant(ask.sentAt, answer.Granted)
	}
	ask.answered <- answer
}

func (q *quotas) forwardAnswer(ask *message.QuotaAsk, answer *message.QuotaAnswer) {
	forwarded := &message.QuotaAnswer{
		Nonce:   ask.Nonce,
		Owner:   answer.Owner,
		Epoch:   answer.Epoch,
		Granted: answer.Granted,
		WaitUs:  answer.WaitUs,
	}
	q.node.send(ask.From, &message.Envelope{Body: &message.Envelope_QuotaAnswer{QuotaAnswer: forwarded}})
}
