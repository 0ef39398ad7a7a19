package mirror

import (
	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/transport"
)

// selection decides for the live path which pools get a copy of a request. It is immutable; each
// Apply replaces it. It implements transport.Copier.
type selection struct {
	mirror       *Mirror
	selector     *shadow.Selector
	idle         bool
	tenantHeader string
	pools        []*pool // in the order of the selector's choices
}

// newSelection returns the selection for settings. The slice pools must have one pool for each
// element of s.Pools, in the same order.
func newSelection(m *Mirror, s settings.Shadow, pools []*pool) *selection {
	var choices []shadow.Choice
	for i := range s.Pools {
		choices = append(choices, s.Pools[i].Choice)
	}
	selector := shadow.NewSelector(choices)
	return &selection{
		mirror:       m,
		selector:     selector,
		idle:         selector.Idle(),
		tenantHeader: s.TenantHeader,
		pools:        pools,
	}
}

// TenantHeader implements transport.Tap.
func (m *Mirror) TenantHeader() string { return m.selection.Load().tenantHeader }

// Choose implements transport.Tap.
func (m *Mirror) Choose(class, session, id string, tenant []byte) (transport.Copier, uint64) {
	s := m.selection.Load()
	if s.idle || m.suspended.Load() {
		return nil, 0
	}
	pools := s.selector.Choose(class, tenant, shadow.Session(session, id))
	if pools == 0 {
		return nil, 0
	}
	return s, uint64(pools)
}

// Copy implements transport.Copier.
func (s *selection) Copy(pools uint64, r transport.AcceptedRequest) transport.AnswerObserver {
	maxPrefix := 0
	for i, p := range s.pools {
		if shadow.Pools(pools).Has(i) {
			maxPrefix = max(maxPrefix, p.answerBytes())
		}
	}
	l := &liveAnswer{answer: capture{maxPrefix: maxPrefix, since: r.ArrivedAt}}
	for i, p := range s.pools {
		if !shadow.Pools(pools).Has(i) || p.singleCopier.Load() && !p.hasLease.Load() {
			continue
		}
		c := &shadowCopy{
			id:      s.mirror.lastCopy.Add(1),
			session: shadow.Session(r.Arrival.Session, r.Arrival.ID),
			live:    l,
			request: r,
		}
		if p.offer(c) {
			l.copies = append(l.copies, liveCopy{p, c.id})
			l.copiesWaiting.Add(1)
		}
	}
	if len(l.copies) == 0 {
		return nil
	}
	return l
}
