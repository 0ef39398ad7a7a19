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

// Outcome is how a request ended, for the metrics.
type Outcome int

// The outcomes.
const (
	OutcomeServed    Outcome = iota // a host's answer was forwarded, whatever its status
	OutcomeRejected                 // it has not executed and may come again
	OutcomeFailed                   // it may have executed, or no host can use it
	OutcomeAbandoned                // its client left
	OutcomeOverQuota                // its tenant had no units left
	OutcomeNoKey                    // it had no key that is known
	OutcomeNoRoute                  // no route fits it
	OutcomeMalformed                // it could not be read
	outcomes
)

// String returns the name of the outcome in the metrics.
func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "abandoned", "over_quota", "no_key", "no_route", "malformed"}[o]
}

const (
	// maxCountedKeys bounds the tenants and kinds that are counted by their names; further ones are
	// counted together.
	maxCountedKeys = 1024
	otherTenant    = "(other)"
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

// outcomeCounts counts requests by their outcomes. The zero value is ready.
type outcomeCounts struct {
	mu  sync.RWMutex
	all map[requestKey]*[outcomes]atomic.Uint64
}

// add counts one request.
func (e *outcomeCounts) add(key requestKey, o Outcome) {
	e.mu.RLock()
	counts := e.all[key]
	e.mu.RUnlock()
	if counts == nil {
		counts = e.addKey(key)
	}
	counts[o].Add(1)
}

// list has a key counted by itself, unless there are too many.
func (e *outcomeCounts) addKey(key requestKey) *[outcomes]atomic.Uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.all[key] == nil && len(e.all) >= maxCountedKeys {
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

// counts returns those that are not 0, sorted by kind, tenant and outcome.
func (e *outcomeCounts) counts() (all []RequestCount) {
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

// keyOf returns the key that a request is counted by. The match is nil if its route is not known.
func keyOf(a *routeMatch) (key requestKey) {
	if a == nil {
		return key
	}
	key.kind = string(a.route.Kind)
	if a.tenant != nil {
		key.tenant = a.tenant.Name
	}
	return key
}

// outcomeOf returns the outcome of a request that got as far as the decisions.
func outcomeOf(answer routing.Answer) Outcome {
	switch {
	case answer.Verdict == routing.Served && answer.Stream != nil:
		return OutcomeServed
	case answer.Verdict == routing.Rejected:
		return OutcomeRejected
	case answer.Verdict == routing.Served, answer.Verdict == routing.Abandoned, answer.Verdict == routing.HandedOver:
		return OutcomeAbandoned
	}
	return OutcomeFailed
}

// outcomeOfCode returns the outcome of a request that was answered before that.
func outcomeOfCode(code int) Outcome {
	switch code {
	case http.StatusTooManyRequests:
		return OutcomeOverQuota
	case http.StatusServiceUnavailable, http.StatusRequestTimeout:
		return OutcomeRejected
	case http.StatusUnauthorized:
		return OutcomeNoKey
	case http.StatusNotFound:
		return OutcomeNoRoute
	}
	return OutcomeMalformed
}

// Count implements transport.Intake.
func (p *Plane) Count(ctx *fasthttp.RequestCtx, rejection transport.Rejection) {
	p.counts.Rejected.Add(1)
	a, _ := ctx.UserValue(routeMatchKey).(*routeMatch)
	p.outcomeCounts.add(keyOf(a), outcomeOfCode(rejection.Code))
}

// Outcomes returns the requests since the start, by their outcomes.
func (p *Plane) Outcomes() []RequestCount { return p.outcomeCounts.counts() }
