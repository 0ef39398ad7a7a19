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
	quotaAnswerIn = 100 * time.Millisecond // then the owner is asked again
	quotaPatience = 400 * time.Millisecond // for which a request waits for its units
	quotaAgain    = 300 * time.Millisecond // when to come back where no owner answers
	mostTenants   = 65_536
	mostAsks      = 64 // on their way, before those that are old are looked for
)

// quotas is this router's part in the tenants' limits: what it holds of each. What it owns of them is owning's.
type quotas struct {
	node  *Node
	start time.Time

	mu     sync.Mutex
	held   map[string]*quota.Holder
	asked  map[uint64]*asking
	nonce  uint64
	owning owning
}

// asking is an ask on its way.
type asking struct {
	tenant   string
	at       time.Duration
	borrowed float64 // units that it tells of
	came     chan *message.QuotaAnswer
	relayed  *message.QuotaAsk // of another router, which gets the answer; nil for an own one
}

func newQuotas(n *Node) *quotas {
	q := &quotas{node: n, start: time.Now(), held: map[string]*quota.Holder{}, asked: map[uint64]*asking{}, nonce: rand.Uint64()}
	q.owning = owning{quotas: q, shards: map[int]*shard{}, unkept: map[string]float64{},
		tracker: quota.Tracker{Window: settings.Seconds(n.settings().Bounds.QuotaWindowS)}}
	return q
}

// clockBegins is what the quotas' clock shows at the start, so that times before it can be told as well.
const clockBegins = time.Hour

func (q *quotas) now() time.Duration { return clockBegins + time.Since(q.start) }

// run tells others of what this router owns until ctx ends.
func (q *quotas) run(ctx context.Context) {
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			q.mu.Lock()
			q.owning.dueTell(q.now())
			q.mu.Unlock()
		}
	}
}

// keepNow tells whether what tenants have used has to be kept.
func (q *quotas) keepNow() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.owning.keepNow()
}

// plan divides the bound on a tenant's use.
func (q *quotas) plan(t *configuration.Tenant) quota.Plan {
	b := q.node.settings().Bounds
	slack := b.QuotaSlack
	if t.Unit != configuration.TokensUnit {
		slack = 0
	}
	limit := quota.Limit{Rate: t.RatePerS, Burst: t.Burst}
	return quota.NewPlan(limit, settings.Seconds(b.QuotaWindowS), b.QuotaOvershoot, slack)
}

// holder returns what is held of a tenant's quota. The lock is held.
func (q *quotas) holder(t *configuration.Tenant) *quota.Holder {
	h := q.held[t.Name]
	if h == nil {
		if len(q.held) >= mostTenants {
			clear(q.held)
		}
		h = &quota.Holder{}
		q.held[t.Name] = h
	}
	h.Plan = q.plan(t)
	return h
}

// Take implements dataplane.Quotas: where too few units are held, it waits for the owner for a moment.
func (q *quotas) Take(t *configuration.Tenant, units float64) (ok bool, wait time.Duration) {
	until, silent := q.now()+quotaPatience, false
	for try := 0; ; try++ {
		q.mu.Lock()
		h, now := q.holder(t), q.now()
		if h.Take(now, units) || silent && h.Borrow(now, units) {
			q.mu.Unlock()
			return true, 0
		}
		if now >= until {
			q.mu.Unlock()
			return false, quotaAgain
		}
		nonce, came := q.ask(t.Name, h.Missing(now, units), try%2 == 1)
		q.mu.Unlock()
		a := q.await(nonce, came)
		if a.GetOwner() && a.Granted == 0 {
			return false, time.Duration(a.WaitUs) * time.Microsecond
		}
		silent = !a.GetOwner()
	}
}

// await waits for the answer to an ask, nil where none comes in time. An answer of one who is not the owner is no reason to ask again at once.
func (q *quotas) await(nonce uint64, came <-chan *message.QuotaAnswer) *message.QuotaAnswer {
	timer := time.NewTimer(quotaAnswerIn)
	defer timer.Stop()
	select {
	case a := <-came:
		if !a.Owner {
			time.Sleep(quotaAnswerIn / 4)
		}
		return a
	case <-timer.C:
		q.mu.Lock()
		delete(q.asked, nonce)
		q.mu.Unlock()
		return nil
	}
}

// Put gives back units that were taken at a time and not used.
func (q *quotas) Put(t *configuration.Tenant, units float64, taken time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder(t).Grant(clockBegins+taken.Sub(q.start), units)
}

// ask asks the owner for units, or another router to ask it. The lock is held.
func (q *quotas) ask(tenant string, ask quota.Ask, relay bool) (nonce uint64, came chan *message.QuotaAnswer) {
	came = make(chan *message.QuotaAnswer, 1)
	m := q.begin(&asking{tenant: tenant, came: came, borrowed: ask.Borrowed}, ask.Need, ask.Borrowed)
	if neighbour := q.node.hub.neighbour(); relay && neighbour != "" {
		m.Relay = true
		q.node.send(neighbour, &message.Envelope{Body: &message.Envelope_QuotaAsk{QuotaAsk: m}})
		return m.Nonce, came
	}
	q.toOwner(m)
	return m.Nonce, came
}

// begin notes an ask. The lock is held.
func (q *quotas) begin(a *asking, need, borrowed float64) *message.QuotaAsk {
	q.nonce++
	a.at = q.now()
	q.asked[q.nonce] = a
	q.forget()
	return &message.QuotaAsk{From: q.node.self.internal(), Nonce: q.nonce, Tenant: a.tenant, Need: need, Borrowed: borrowed}
}

// toOwner brings an ask to the owner. The lock is held.
func (q *quotas) toOwner(m *message.QuotaAsk) {
	owner, _ := view.Owner(q.node.client.View(), m.Tenant)
	switch {
	case owner == nil:
		q.take(&message.QuotaAnswer{Nonce: m.Nonce})
	case owner.Address == q.node.self.internal():
		q.take(q.owning.serve(m))
	default:
		q.node.send(owner.Address, &message.Envelope{Body: &message.Envelope_QuotaAsk{QuotaAsk: m}})
	}
}

// relay asks the owner for another router. The lock is held.
func (q *quotas) relay(m *message.QuotaAsk) {
	q.toOwner(q.begin(&asking{tenant: m.Tenant, relayed: m}, m.Need, m.Borrowed))
}

// forget drops asks that were not answered. The lock is held.
func (q *quotas) forget() {
	if len(q.asked) < mostAsks {
		return
	}
	for nonce, a := range q.asked {
		if q.now()-a.at > 2*quotaPatience {
			delete(q.asked, nonce)
		}
	}
}

// receive takes in a message; ok is false where it is none of quotas.
func (q *quotas) receive(m *message.Envelope) (ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch body := m.Body.(type) {
	case *message.Envelope_QuotaAsk:
		if body.QuotaAsk.Relay {
			q.relay(body.QuotaAsk)
			return true
		}
		answer := q.owning.serve(body.QuotaAsk)
		q.node.send(body.QuotaAsk.From, &message.Envelope{Body: &message.Envelope_QuotaAnswer{QuotaAnswer: answer}})
	case *message.Envelope_QuotaAnswer:
		q.take(body.QuotaAnswer)
	case *message.Envelope_QuotaUsage:
		q.owning.receive(body.QuotaUsage)
	case *message.Envelope_QuotaHeard:
		q.owning.heard(body.QuotaHeard)
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
	delete(q.asked, a.Nonce)
	if asked.relayed != nil {
		back := &message.QuotaAnswer{Nonce: asked.relayed.Nonce, Owner: a.Owner, Epoch: a.Epoch, Granted: a.Granted, WaitUs: a.WaitUs}
		q.node.send(asked.relayed.From, &message.Envelope{Body: &message.Envelope_QuotaAnswer{QuotaAnswer: back}})
		return
	}
	if h := q.held[asked.tenant]; h != nil && a.Owner {
		h.Reported(asked.borrowed)
		h.Grant(asked.at, a.Granted)
	}
	asked.came <- a
}

// viewed takes in a view of the register.
func (q *quotas) viewed(v *coordpb.View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owning.viewed(v)
}
