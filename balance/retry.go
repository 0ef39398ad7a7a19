package balance

// Retries: whether a request may be retried, where, and whether its client may.

import "slices"

// firstExecution returns the first attempt that may have executed, or nil.
func (q *request) firstExecution() *attempt {
	for _, a := range q.attempts {
		if a.mayHaveExecuted {
			return a
		}
	}
	return nil
}

// mayExecuteAgain reports whether the class allows one more attempt that executes.
func (q *request) mayExecuteAgain() bool {
	executions := 0
	for _, a := range q.attempts {
		if a.mayHaveExecuted {
			executions++
		}
	}
	return q.class.MaxExecutions == 0 || executions < q.class.MaxExecutions
}

// mayReject reports whether q may be answered by a rejection, which promises the client that
// sending it again does no harm: nothing has executed, or all replicas treat a duplicate as one.
func (q *request) mayReject() bool {
	if q.class.Effect == Safe || q.firstExecution() == nil {
		return true
	}
	return q.class.Effect == Keyed && q.class.DedupScope == ScopeAll
}

// mayAttempt reports whether q may be sent to r. No replica gets a request twice. Once an attempt
// may have executed, further ones go only where a duplicate is discarded.
func (b *Balancer) mayAttempt(q *request, r *replica) bool {
	if q.RequiredFeature != "" && !slices.Contains(r.Features, q.RequiredFeature) {
		return false
	}
	if slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.replica == r }) {
		return false
	}
	first := q.firstExecution()
	if first == nil || q.class.Effect == Safe {
		return true
	}
	if q.class.Effect == Unsafe || b.now-first.sentAt > q.class.DedupWindow {
		return false
	}
	switch q.class.DedupScope {
	case ScopeZone:
		return r.Zone == first.replica.Zone
	case ScopeCell:
		return r.Cell == first.replica.Cell
	}
	return true
}

// takeRetry reports whether q may be retried, by the number of its attempts and the retry budget.
// It spends from the budget unless no attempt has been delivered yet.
func (b *Balancer) takeRetry(q *request) bool {
	if len(q.attempts) >= b.cfg.MaxAttempts || !q.mayExecuteAgain() {
		return false
	}
	delivered := slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.delivered })
	return !delivered || b.cfg.RetryBudget.Take()
}

// mayAttemptAnywhere reports whether any replica that serves may get q.
func (b *Balancer) mayAttemptAnywhere(q *request) bool {
	return slices.ContainsFunc(b.sorted, func(r *replica) bool {
		return r.State == Serving && b.mayAttempt(q, r)
	})
}
