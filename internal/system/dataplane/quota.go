package dataplane

import (
	"sync/atomic"
	"time"

	"reachspread/internal/routing"
	"reachspread/internal/system/deciders/configuration"
)

// quotaCharge is what one request takes of its tenant's quota.
type quotaCharge struct {
	quotas  Quotas
	tenant  *configuration.Tenant // nil for no limit
	units   float64
	takenAt atomic.Int64 // in Unix nanoseconds
}

// quotaValidity is how long units that were taken may wait for their request to be sent: what
// counts is when it arrives at a host.
const quotaValidity = 500 * time.Millisecond

// quotaChargeFor returns the charge of a request, which has taken nothing yet.
func (p *Plane) quotaChargeFor(tenant *configuration.Tenant, r *request) *quotaCharge {
	a := &quotaCharge{quotas: p.o.Quotas}
	if tenant != nil && tenant.RatePerS > 0 {
		a.tenant, a.units = tenant, r.units(tenant)
	}
	return a
}

// take takes the units. If there are too few, wait is when to ask again.
func (a *quotaCharge) take() (ok bool, wait time.Duration) {
	if a.tenant == nil {
		return true, 0
	}
	a.takenAt.Store(time.Now().UnixNano())
	return a.quotas.Take(a.tenant, a.units)
}

// admit takes the units once more for an attempt that comes late, or after one that may have
// executed.
func (a *quotaCharge) admit(retry bool) (ok bool, wait time.Duration) {
	if a.tenant == nil || !retry && time.Since(time.Unix(0, a.takenAt.Load())) < quotaValidity {
		return true, 0
	}
	return a.take()
}

// ended gives the units back if the request has not executed.
func (a *quotaCharge) ended(answer routing.Answer) {
	if answer.Verdict == routing.Rejected && !answer.MayHaveExecuted {
		a.refund()
	}
}

// refund gives the units back.
func (a *quotaCharge) refund() {
	if a.tenant != nil {
		a.quotas.Put(a.tenant, a.units, time.Unix(0, a.takenAt.Load()))
	}
}

// units returns what the request takes of a tenant's quota.
func (r *request) units(t *configuration.Tenant) float64 {
	if t.Unit != configuration.TokensUnit {
		return 1
	}
	if !r.counted {
		return t.UncachedTokens
	}
	return r.usage.PromptTokens + r.usage.AnswerTokens
}
