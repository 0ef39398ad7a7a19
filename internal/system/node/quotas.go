package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/quota"
	"reachspread/coord/view"
	"reachspread/internal/system/configuration"
	"reachspread/internal/system/message"
	"reachspread/internal/system/settings"
)

const (
	quotaAnswerIn = 100 * time.Millisecond // then the owner is asked again
	quotaPatience = 400 * time.Millisecond // for which a request waits for its units
	quotaAgain    = 300 * time.Millisecond // when to come back where no owner answers
	mostTenants   = 65_536
)

// quotas is this router's part in the tenants' limits: what it holds of each, and the buckets of those that it owns.
type quotas struct {
	node  *Node
	start time.Time

	mu    sync.Mutex
	held  map[string]*holding
	asked map[uint64]*asking
	nonce uint64
	owned map[int]*shard
}

// holding is what this router holds of one tenant's quota.
type holding struct {
	quota.Holder
	asking bool // units in advance were asked for
}

// asking is an ask on its way.
type asking struct {
	tenant  string
	at      time.Duration
	advance bool
	came    chan *message.QuotaAnswer // nil where nobody waits
	relayed *message.QuotaAsk         // of another router, which gets the answer; nil for an own one
}

// shard is a part of the duties that this router owns.
type shard struct {
	since uint64 // the epoch
	from  time.Duration
	owner quota.Owner
}

func newQuotas(n *Node) *quotas {
	return &quotas{node: n, start: time.Now(), held: map[string]*holding{}, asked: map[uint64]*asking{}, nonce: rand.Uint64(), owned: map[int]*shard{}}
}

func (q *quotas) now() time.Duration { return time.Since(q.start) }

// limitOf is the limit of a tenant.
func limitOf(t *configuration.Tenant) quota.Limit {
	return quota.Limit{Rate: t.RatePerS, Burst: max(t.Burst, t.RatePerS/10)}
}

// spare is how much longer than the window all routers may go on at a tenant's rate.
func (q *quotas) spare(t *configuration.Tenant) time.Duration {
	b := q.node.settings.Bounds
	slack := b.QuotaSlack
	if t.Unit != configuration.TokensUnit {
		slack = 0
	}
	return quota.Spare(limitOf(t), settings.Seconds(b.QuotaWindowS), b.QuotaOvershoot, slack)
}

// holding returns what is held of a tenant's quota. The lock is held.
func (q *quotas) holding(t *configuration.Tenant) *holding {
	h := q.held[t.Name]
	if h == nil {
		if len(q.held) >= mostTenants {
			clear(q.held)
		}
		h = &holding{}
		q.held[t.Name] = h
	}
	h.SetSpare(q.spare(t), settings.Seconds(q.node.settings.Bounds.QuotaWindowS))
	return h
}

// Take implements dataplane.Quotas: where too few units are held, it waits for the owner for a moment.
func (q *quotas) Take(t *configuration.Tenant, units float64) (ok bool, wait time.Duration) {
	until, silent := q.now()+quotaPatience, false
	for try := 0; ; try++ {
		q.mu.Lock()
		h, now := q.holding(t), q.now()
		if h.Take(now, units) {
			if ask, more := h.Missing(now, 0); more && !h.asking {
				h.asking = true
				ask.Returned = h.Return(now)
				q.ask(t.Name, ask, nil, false)
			}
			q.mu.Unlock()
			return true, 0
		}
		if silent && h.Borrow(now, units) {
			q.mu.Unlock()
			return true, 0
		}
		if now >= until {
			q.mu.Unlock()
			return false, quotaAgain
		}
		ask, _ := h.Missing(now, units)
		came := make(chan *message.QuotaAnswer, 1)
		nonce := q.ask(t.Name, ask, came, try%2 == 1)
		q.mu.Unlock()
		timer := time.NewTimer(quotaAnswerIn)
		select {
		case a := <-came:
			timer.Stop()
			if a.Owner && a.Granted == 0 {
				return false, time.Duration(a.WaitUs) * time.Microsecond
			}
			if !a.Owner {
				silent = true
				time.Sleep(quotaAnswerIn / 4)
			}
		case <-timer.C:
			silent = true
			q.mu.Lock()
			delete(q.asked, nonce)
			q.mu.Unlock()
		}
	}
}

// Put gives back units that were taken at a time and not used.
func (q *quotas) Put(t *configuration.Tenant, units float64, taken time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holding(t).Grant(taken.Sub(q.start), units)
}

// ask asks the owner for units, or another router to ask it. The lock is held.
func (q *quotas) ask(tenant string, ask quota.Ask, came chan *message.QuotaAnswer, relay bool) (nonce uint64) {
	q.nonce++
	m := &message.QuotaAsk{From: q.node.self.internal(), Nonce: q.nonce, Tenant: tenant, Need: ask.Need, Want: ask.Want, Returned: ask.Returned}
	q.asked[q.nonce] = &asking{tenant: tenant, at: q.now(), advance: came == nil, came: came}
	owner, _ := view.Owner(q.node.client.View(), tenant)
	neighbour := q.node.hub.neighbour()
	switch {
	case owner == nil:
		q.take(&message.QuotaAnswer{Nonce: m.Nonce})
	case owner.Address == q.node.self.internal():
		q.take(q.serve(m))
	case relay && neighbour != "":
		m.Relay = true
		q.node.send(neighbour, &message.Envelope{Body: &message.Envelope_QuotaAsk{QuotaAsk: m}})
	default:
		q.node.send(owner.Address, &message.Envelope{Body: &message.Envelope_QuotaAsk{QuotaAsk: m}})
	}
	q.forget()
	return m.Nonce
}

// relay asks the owner for another router. The lock is held.
func (q *quotas) relay(m *message.QuotaAsk) {
	owner, _ := view.Owner(q.node.client.View(), m.Tenant)
	if owner == nil {
		return
	}
	q.nonce++
	q.asked[q.nonce] = &asking{tenant: m.Tenant, at: q.now(), relayed: m}
	ask := &message.QuotaAsk{From: q.node.self.internal(), Nonce: q.nonce, Tenant: m.Tenant, Need: m.Need, Want: m.Want, Returned: m.Returned}
	if owner.Address == q.node.self.internal() {
		q.take(q.serve(ask))
		return
	}
	q.node.send(owner.Address, &message.Envelope{Body: &message.Envelope_QuotaAsk{QuotaAsk: ask}})
	q.forget()
}

// forget drops asks in advance that were not answered. The lock is held.
func (q *quotas) forget() {
	if len(q.asked) < 64 {
		return
	}
	for nonce, a := range q.asked {
		if q.now()-a.at > 2*quotaPatience {
			q.ended(nonce, a)
		}
	}
}

// ended forgets an ask. The lock is held.
func (q *quotas) ended(nonce uint64, a *asking) {
	delete(q.asked, nonce)
	if h := q.held[a.tenant]; h != nil && a.advance {
		h.asking = false
	}
}

// receive takes in a message; ok is false where it is none of quotas.
func (q *quotas) receive(m *message.Envelope) (ok bool) {
	switch body := m.Body.(type) {
	case *message.Envelope_QuotaAsk:
		q.mu.Lock()
		defer q.mu.Unlock()
		if body.QuotaAsk.Relay {
			q.relay(body.QuotaAsk)
			return true
		}
		answer := q.serve(body.QuotaAsk)
		q.node.send(body.QuotaAsk.From, &message.Envelope{Body: &message.Envelope_QuotaAnswer{QuotaAnswer: answer}})
	case *message.Envelope_QuotaAnswer:
		q.mu.Lock()
		q.take(body.QuotaAnswer)
		q.mu.Unlock()
	default:
		return false
	}
	return true
}

// take takes in an answer. The lock is held.
func (q *quotas) take(a *message.QuotaAnswer) {
	asked := q.asked[a.Nonce]
	if asked == nil {
		return // too late: what it grants is not used
	}
	q.ended(a.Nonce, asked)
	if asked.relayed != nil {
		back := &message.QuotaAnswer{Nonce: asked.relayed.Nonce, Owner: a.Owner, Epoch: a.Epoch, Granted: a.Granted, WaitUs: a.WaitUs}
		q.node.send(asked.relayed.From, &message.Envelope{Body: &message.Envelope_QuotaAnswer{QuotaAnswer: back}})
		return
	}
	if h := q.held[asked.tenant]; h != nil && a.Owner {
		h.Grant(asked.at, a.Granted)
	}
	if asked.came != nil {
		asked.came <- a
	}
}

// viewed takes in a view of the register: the duties in it may be this router's.
func (q *quotas) viewed(v *coordpb.View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, duty := range v.Duties {
		m := view.MemberOf(v, duty.Owner)
		if m == nil || m.Address != q.node.self.internal() {
			delete(q.owned, i)
			continue
		}
		if s := q.owned[i]; s == nil || s.since != duty.Since {
			from := q.now() + time.Duration(duty.WaitMs)*time.Millisecond
			q.owned[i] = &shard{since: duty.Since, from: from, owner: quota.Owner{Since: from}}
		}
	}
}

// serve answers an ask, where this router is the owner for certain. The lock is held.
func (q *quotas) serve(m *message.QuotaAsk) *message.QuotaAnswer {
	answer := &message.QuotaAnswer{Nonce: m.Nonce}
	state := q.node.plane.State()
	if q.node.replica == nil || state == nil {
		return answer
	}
	v, holds := q.node.replica.Holds()
	s := q.owned[view.Shard(m.Tenant)]
	tenant := state.Typed.TenantNamed(m.Tenant)
	if s == nil || !holds || tenant == nil || q.now() < s.from {
		return answer
	}
	got := s.owner.Serve(q.now(), m.Tenant, limitOf(tenant).Widen(q.spare(tenant)), quota.Ask{Need: m.Need, Want: m.Want, Returned: m.Returned})
	answer.Owner, answer.Epoch, answer.Granted, answer.WaitUs = true, v.Epoch, got.Granted, got.Wait.Microseconds()
	return answer
}
