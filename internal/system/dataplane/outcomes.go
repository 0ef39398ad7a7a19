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

// Outcome is how a request ended. The status and the metrics count requests by it.
type Outcome int

// The outcomes of requests.
const (
	OutcomeServed    Outcome = iota // a host's answer was forwarded, whatever its status
	OutcomeRejected                 // the request has not executed, and the client may retry
	OutcomeFailed                   // the request may have executed, or no host can use it
	OutcomeAbandoned                // the client disconnected
	OutcomeOverQuota                // the tenant had too few units of its quota left
	OutcomeNoKey                    // the request had no known API key
	OutcomeNoRoute                  // no route matches the request
	OutcomeMalformed                // the request could not be parsed
	outcomes
)

// String returns the name of the outcome in the metrics.
func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "abandoned", "over_quota", "no_key", "no_route", "malformed"}[o]
}

const (
	// maxCountedKeys is the maximum number of pairs of kind and tenant that are counted separately.
	// All further pairs are counted together under otherTenant.
	maxCountedKeys = 1024
	otherTenant    = "(other)"
)

// RequestCount is the number of requests of a kind and a tenant that ended with an outcome since
// the process started.
type RequestCount struct {
	Kind    string // kind of the route; empty if no route was found
	Tenant  string // empty if no tenant was found
	Outcome Outcome
	Count   uint64
}

// requestKey identifies the requests that are counted together.
type requestKey struct{ kind, tenant string }

// outcomeCounts counts requests by their outcomes. The zero value is ready.
type outcomeCounts struct {
	mu  sync.RWMutex
	all map[requestKey]*[outcomes]atomic.Uint64
}

// add counts one request with its outcome.
func (e *outcomeCounts) add(key requestKey, o Outcome) {
	e.mu.RLock()
	counts := e.all[key]
	e.mu.RUnlock()
	if counts == nil {
		counts = e.addKey(key)
	}
	counts[o].Add(1)
}

// addKey returns the counters of a key, which it creates if they are missing. Once there are
// maxCountedKeys keys, it returns the shared counters of otherTenant for a new key.
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

// counts returns all counts above 0, sorted by kind, tenant and outcome.
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

// keyOf returns the key under which a request is counted. The match is nil if the request's route
// is not known.
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

// outcomeOf returns the outcome of a request that was passed to the balancer.
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

// outcomeOfCode returns the outcome of a request that was rejected with a status code before it was
// passed to the balancer.
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

// Count implements transport.Intake. It counts a request that was rejected before it was passed to
// the balancer.
func (p *Plane) Count(ctx *fasthttp.RequestCtx, rejection transport.Rejection) {
	p.counts.Rejected.Add(1)
	a, _ := ctx.UserValue(routeMatchKey).(*routeMatch)
	p.outcomeCounts.add(keyOf(a), outcomeOfCode(rejection.Code))
}

// Outcomes returns the counts of the requests that ended since the process started.
func (p *Plane) Outcomes() []RequestCount { return p.outcomeCounts.counts() }
