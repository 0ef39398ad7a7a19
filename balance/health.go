package balance

// The health of a replica: its concurrency limit and its ejection after failures.

import (
	"math"
	"time"

	"reachspread/internal/outlier"
)

const (
	// limitReduction is the factor by which a failed or late attempt reduces a concurrency limit.
	limitReduction = 0.7
	// lateLimitFloor is the limit below which late answers alone do not reduce it, because all
	// replicas may be late at once.
	lateLimitFloor = 4.0
	// limitRaiseUse is the fraction of a limit that must be in use for an answer in time to raise
	// the limit.
	limitRaiseUse = 0.7
	// minEjectionTime is the duration of a first ejection. It doubles with each further failure, up
	// to maxEjectionTime.
	minEjectionTime = time.Second
	maxEjectionTime = 8 * time.Second
)

// hasCapacity reports whether this router may send one more request to r. When the ejection time of
// a replica is over, the replica gets one trial request at a time.
func (b *Balancer) hasCapacity(r *replica) bool {
	if r.State != Serving {
		return false
	}
	if r.ejectedUntil > 0 {
		return b.now >= r.ejectedUntil && r.inFlight == 0
	}
	return float64(r.inFlight) < math.Floor(r.limit)
}

// adjustLimit raises the concurrency limit of a replica after an answer within its latency target,
// and reduces it after an answer that missed the target.
func (b *Balancer) adjustLimit(a *attempt) {
	r := a.replica
	switch {
	case b.now-a.sentAt > a.request.latencyTarget:
		b.reduceLimit(a, min(lateLimitFloor, r.limit))
	case float64(r.inFlight) >= r.limit*limitRaiseUse:
		r.limit++
	}
}

// reduceLimit reduces the concurrency limit of an attempt's replica, but not below floor or 1. Of
// the attempts that were in flight together, only the first one reduces it.
func (b *Balancer) reduceLimit(a *attempt, floor float64) {
	r := a.replica
	if a.sentAt < r.limitReducedAt {
		return
	}
	r.limit = max(r.limit*limitReduction, floor, 1)
	r.limitReducedAt = b.now
}

// recordHealthy records that r has answered, which ends its ejection. A replica that answers again
// after a crash begins slow start.
func (b *Balancer) recordHealthy(r *replica) {
	if r.ejectedUntil > 0 {
		b.emit(Log{"back: " + r.Replica})
		if r.crashed && !r.warmingUp {
			b.beginSlowStart(r, b.now)
		}
		b.warmCountValid = false
	}
	r.failures = 0
	r.crashed = false
	r.ejectedUntil = 0
	r.ejectionTime = 0
}

// recordFailure records a failure of r. A refused connection ejects r at once. Other failures eject
// r only from the second in a row on, because single requests fail on processes that stay alive.
// Each further failure doubles the time until the next trial.
func (b *Balancer) recordFailure(r *replica, result Result) {
	b.reportFailure(r)
	r.failures++
	refused := result == NoConnection
	if refused && r.failures > 1 {
		r.crashed = true
	}
	if b.now < r.ejectedUntil || !refused && r.failures < 2 {
		return
	}
	if r.ejectedUntil == 0 {
		b.emit(Log{"ejected: " + r.Replica})
	}
	r.ejectionTime = min(max(2*r.ejectionTime, minEjectionTime), maxEjectionTime)
	r.ejectedUntil = b.now + r.ejectionTime
	b.warmCountValid = false
}

// reportFailure counts a failure of r towards its ejection by all routers, and reports the failure
// to them unless that ejection is already in effect.
func (b *Balancer) reportFailure(r *replica) {
	if b.cfg.Broadcast && !r.outlier.Ejected(b.now) {
		b.sendReports(nil, PeerReport{ReplicaTag: replicaTag(r), Failed: true})
	}
	r.outlier.RecordFailure(outlier.LocalWitness, b.now)
}

// outlierState returns the ejection state of r, which counts failures that any router saw.
func outlierState(r *replica) *outlier.State { return &r.outlier }
