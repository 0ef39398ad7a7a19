package dataplane

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"reachspread/internal/routing"
	"reachspread/internal/transport"
)

// Outcome is how a request ended, as the figures have it.
type Outcome int

// The outcomes.
const (
	OutcomeServed    Outcome = iota // a host's answer was passed on, whatever its status
	OutcomeRefused                  // it has not run, and may come again
	OutcomeFailed                   // it may have run, or no host can use it
	OutcomeAbandoned                // its client left
	OutcomeOverQuota                // its tenant had no units left
	OutcomeNoKey                    // it had no key that is known
	OutcomeNoRoute                  // no route fits it
	OutcomeMalformed                // it could not be read
	outcomes
)

func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "abandoned", "over_quota", "no_key", "no_route", "malformed"}[o]
}

const (
	// mostCounted bounds the tenants and kinds that are counted by their names; further ones are counted together.
	mostCounted = 1024
	otherTenant = "(other)"
)

// RequestCount is how many requests of a kind and a tenant ended so, since the start.
type RequestCount struct {
	Kind    string // of the route; empty where none was found
	Tenant  string // empty where none was found
	Outcome Outcome
	Count   uint64
}

// requestKey names the requests that are counted together.
type requestKey struct{ kind, tenant string }

// ends counts requests by their ends. The zero value is ready.
type ends struct {
	mu  sync.RWMutex
	all map[requestKey]*[outcomes]atomic.Uint64
}

// add counts one request.
func (e *ends) add(key requestKey, o Outcome) {
	e.mu.RLock()
	counts := e.all[key]
	e.mu.RUnlock()
	if counts == nil {
		counts = e.list(key)
	}
	counts[o].Add(1)
}

// list has a key be counted by itself, while there is room.
func (e *ends) list(key requestKey) *[outcomes]atomic.Uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.all[key] == nil && len(e.all) >= mostCounted {
		key = requestKey{tenant: otherTenant}
	}
	if e.all == nil {
		e.all = map[requestKey]*[outcomes]atomic.Uint64{}
	}
	if e.all[key] == nil {
		e.all[key] = new([outcomes]atomic.Uint64)
	}
	return e.all[key]
}

// counts are those that are not 0, in the order of kinds, tenants and outcomes.
func (e *ends) counts() (all []RequestCount) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for key, counts := range e.all {
		for o := range outcomes {
			if n := counts[o].Load(); n > 0 {
				all = append(all, RequestCount{Kind: key.kind, Tenant: key.tenant, Outcome: o, Count: n})
			}
		}
	}
	slices.SortFunc(all, func(a, b RequestCount) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Outcome, b.Outcome))
	})
	return all
}

// keyOf names the requests that one is counted with; a is nil for one whose route is not known.
func keyOf(a *admitted) (key requestKey) {
	if a == nil {
		return key
	}
	key.kind = string(a.route.Kind)
	if a.tenant != nil {
		key.tenant = a.tenant.Name
	}
	return key
}

// outcomeOf is how a request ended that got as far as the decisions.
func outcomeOf(end routing.Answer) Outcome {
	switch {
	case end.Verdict == routing.Served && end.Stream != nil:
		return OutcomeServed
	case end.Verdict == routing.Rejected:
		return OutcomeRefused
	case end.Verdict == routing.Served, end.Verdict == routing.Abandoned, end.Verdict == routing.HandedOver:
		return OutcomeAbandoned
	}
	return OutcomeFailed
}

// outcomeOfCode is how a request ended that was answered before.
func outcomeOfCode(code int) Outcome {
	switch code {
	case http.StatusTooManyRequests:
		return OutcomeOverQuota
	case http.StatusServiceUnavailable, http.StatusRequestTimeout:
		return OutcomeRefused
	case http.StatusUnauthorized:
		return OutcomeNoKey
	case http.StatusNotFound:
		return OutcomeNoRoute
	}
	return OutcomeMalformed
}

// Count implements transport.Intake.
func (p *Plane) Count(ctx *fasthttp.RequestCtx, no transport.Rejection) {
	p.counts.Rejected.Add(1)
	a, _ := ctx.UserValue(admittedKey).(*admitted)
	p.ends.add(keyOf(a), outcomeOfCode(no.Code))
}

// Outcomes are the requests since the start, by their ends.
func (p *Plane) Outcomes() []RequestCount { return p.ends.counts() }
