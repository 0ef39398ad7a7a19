package balance

// Retries: whether and where a request may be retried, and whether its client may retry it.

import "slices"

// firstExecution returns the first attempt of q that may have executed, or nil.
func (q *request) firstExecution() *attempt {
	for _, a := range q.attempts {
		if a.mayHaveExecuted {
			return a
		}
	}
	return nil
}

// mayExecuteAgain reports whether the class of q allows one more attempt that may execute.
func (q *request) mayExecuteAgain() bool {
	executions := 0
	for _, a := range q.attempts {
		if a.mayHaveExecuted {
			executions++
		}
	}
	return q.class.MaxExecutions == 0 || executions < q.class.MaxExecutions
}

// mayReject reports whether q may be answered with a rejection, which promises the client that
// sending the request again does no harm. It may if nothing has executed, if duplicates are
// harmless, or if all replicas discard duplicates.
func (q *request) mayReject() bool {
	if q.class.Effect == Safe || q.firstExecution() == nil {
		return true
	}
	return q.class.Effect == Keyed && q.class.DedupScope == ScopeAll
}

// mayAttempt reports whether q may be sent to r. r must have the feature that q requires, and no
// replica gets a request twice. Once an attempt may have executed, further attempts go only to
// replicas where a duplicate is harmless or discarded.
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

// takeRetry reports whether q may be retried, given the number of its attempts and the retry
// budget. It spends from the budget unless no attempt has been delivered yet.
func (b *Balancer) takeRetry(q *request) bool {
	if len(q.attempts) >= b.cfg.MaxAttempts || !q.mayExecuteAgain() {
		return false
	}
	delivered := slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.delivered })
	return !delivered || b.cfg.RetryBudget.Take()
}

// mayAttemptAnywhere reports whether q may be sent to any serving replica.
func (b *Balancer) mayAttemptAnywhere(q *request) bool {
	return slices.ContainsFunc(b.sorted, func(r *replica) bool {
		return r.State == Serving && b.mayAttempt(q, r)
	})
}
