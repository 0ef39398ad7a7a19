package dataplane

import (
	"sync/atomic"
	"time"

	"reachspread/internal/routing"
	"reachspread/internal/system/deciders/configuration"
)

// quotaCharge is the charge of one request to its tenant's quota.
type quotaCharge struct {
	quotas  Quotas
	tenant  *configuration.Tenant // nil if the request is not charged
	units   float64
	takenAt atomic.Int64 // when the units were taken last, in Unix nanoseconds
}

// quotaValidity is how long after its units were taken a request may be sent without another
// charge. It is bounded because the quota limits the requests by the time at which they arrive at a
// host.
const quotaValidity = 500 * time.Millisecond

// quotaChargeFor returns the charge of a request. The units are not taken yet.
func (p *Plane) quotaChargeFor(tenant *configuration.Tenant, r *request) *quotaCharge {
	a := &quotaCharge{quotas: p.o.Quotas}
	if tenant != nil && tenant.RatePerS > 0 {
		a.tenant, a.units = tenant, r.units(tenant)
	}
	return a
}

// take takes the units from the quota. If too few are left, ok is false, and wait is the time after
// which to try again.
func (a *quotaCharge) take() (ok bool, wait time.Duration) {
	if a.tenant == nil {
		return true, 0
	}
	a.takenAt.Store(time.Now().UnixNano())
	return a.quotas.Take(a.tenant, a.units)
}

// admit decides whether an attempt may be sent. It takes the units again for an attempt that is
// sent later than quotaValidity after they were taken, and for a retry after an attempt that may
// have executed.
func (a *quotaCharge) admit(retry bool) (ok bool, wait time.Duration) {
	if a.tenant == nil || !retry && time.Since(time.Unix(0, a.takenAt.Load())) < quotaValidity {
		return true, 0
	}
	return a.take()
}

// ended returns the units to the quota if the request was rejected and can't have executed.
func (a *quotaCharge) ended(answer routing.Answer) {
	if answer.Verdict == routing.Rejected && !answer.MayHaveExecuted {
		a.refund()
	}
}

// refund returns the units to the quota.
func (a *quotaCharge) refund() {
	if a.tenant != nil {
		a.quotas.Put(a.tenant, a.units, time.Unix(0, a.takenAt.Load()))
	}
}

// units returns the number of units that the request takes from a tenant's quota.
func (r *request) units(t *configuration.Tenant) float64 {
	if t.Unit != configuration.TokensUnit {
		return 1
	}
	if !r.counted {
		return t.UncachedTokens
	}
	return r.usage.PromptTokens + r.usage.AnswerTokens
}
