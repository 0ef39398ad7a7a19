package balance

// Repeats of a request: whether one is allowed, and where.

import "slices"

// firstRun returns the first attempt that may have run, or nil.
func (q *request) firstRun() *attempt {
	if i := slices.IndexFunc(q.attempts, func(a *attempt) bool { return a.ran }); i >= 0 {
		return q.attempts[i]
	}
	return nil
}

// mayRun tells whether the class leaves a request one more attempt that runs.
func (q *request) mayRun() bool {
	ran := slices.DeleteFunc(slices.Clone(q.attempts), func(a *attempt) bool { return !a.ran })
	return q.class.Runs == 0 || len(ran) < q.class.Runs
}

// mayRefuse: a refusal promises that a repeat is harmless.
func (q *request) mayRefuse() bool {
	return q.class.Effect == Safe || q.firstRun() == nil ||
		q.class.Effect == Keyed && q.class.Scope == ScopeAll
}

// mayUse: no replica is tried twice, and an effect that may have happened only where its repeat is discarded.
func (b *Balancer) mayUse(q *request, r *replica) bool {
	if q.Needs != "" && !slices.Contains(r.Has, q.Needs) ||
		slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.rep == r }) {
		return false
	}
	first := q.firstRun()
	if first == nil || q.class.Effect == Safe {
		return true
	}
	if q.class.Effect == Unsafe || b.now-first.sent > q.class.Window {
		return false
	}
	return (q.class.Scope != ScopeZone || r.Zone == first.rep.Zone) &&
		(q.class.Scope != ScopeCell || r.Cell == first.rep.Cell)
}

// mayRepeat tells whether the settings and the budget leave q a further attempt. It spends from the budget,
// unless none has arrived yet.
func (b *Balancer) mayRepeat(q *request) bool {
	arrived := slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.arrived })
	return len(q.attempts) < b.cfg.MaxAttempts && q.mayRun() && (!arrived || b.cfg.Retries.Take())
}

// anyUse tells whether a further attempt may go anywhere.
func (b *Balancer) anyUse(q *request) bool {
	return slices.ContainsFunc(b.order, func(r *replica) bool {
		return r.State == Serving && b.mayUse(q, r)
	})
}
