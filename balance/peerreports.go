package balance

// The reports that routers send each other: prompts sent, unexpected latency ratios and failures.

import (
	"math"
	"slices"
)

const (
	// smallPromptFraction is the prefill time, as a fraction of the shortest latency target, below
	// which only a sample of prompts is reported.
	smallPromptFraction = 0.25
	// peerReportWeight is the weight of a latency ratio that another router reports.
	peerReportWeight = 0.3
	// maxPeerPrefill is the most prefill time, in seconds, that the reports of other routers can
	// add to the backlog of a replica.
	maxPeerPrefill = 30.0
	// minLatencyRatio and maxLatencyRatio bound a single observed or reported latency ratio.
	minLatencyRatio = 0.2
	maxLatencyRatio = 20
)

// sendReports sends reports to other routers by number. If Config.Broadcast is set, the reports
// reach all routers and the numbers are ignored.
func (b *Balancer) sendReports(to []int, reports ...PeerReport) {
	to = slices.DeleteFunc(slices.Clone(to), func(i int) bool { return i == b.cfg.Self })
	if len(to) > 0 || b.cfg.Broadcast && len(reports) > 0 {
		b.emit(SendReports{To: to, Zone: zoneTag(b.cfg.Zone), Reports: reports})
	}
}

// reportPrompt reports the prompt of an attempt to the routers that share its replica. A small
// prompt is reported with a probability in proportion to its size, as a prompt of the smallest size
// that is always reported, so that the expected sum of tokens is right. Each prompt to a replica in
// slow start is reported, also to routers that seem to be dead: a liveness view may be wrong, and
// budget that is spent without a report is spent twice.
func (b *Balancer) reportPrompt(a *attempt) {
	r := a.replica
	tokens := a.prefillTokens
	smallest := smallPromptFraction * b.shortestTarget / r.prefill.perToken()
	if tokens < smallest && !r.warmingUp && !b.cfg.Broadcast {
		if tokens < smallest*b.rng.Float64() {
			return
		}
		tokens = smallest
	}
	to := r.liveAssignees
	if r.warmingUp {
		to = r.assignees
	}
	b.sendReports(to, PeerReport{
		ReplicaTag:    replicaTag(r),
		PrefillTokens: tokens,
		PrefixTag:     a.request.prefixTag(),
	})
}

// handlePeerReports applies the reports of another router.
func (b *Balancer) handlePeerReports(ev ReportsReceived) {
	if !b.cfg.Broadcast && !b.routers.SetZone(ev.From, ev.Zone) {
		return
	}
	for _, report := range ev.Reports {
		r := b.byTag[report.ReplicaTag]
		switch {
		case r == nil:
		case report.PrefillTokens > 0:
			b.handlePromptReport(r, report)
		case report.Failed:
			r.outlier.RecordFailure(ev.From, b.now)
		case report.LatencyRatio > 0:
			r.latencyRatio.Report(b.now, clampLatencyRatio(report.LatencyRatio), peerReportWeight)
		}
	}
}

// handlePromptReport records a prompt that another router has sent to r: its tokens are prefilled
// before the next prompt, its prefix is cached on r, and in slow start its work is taken from the
// shared budget. A router without reports by number has a budget of its own, from which no other
// router spends.
func (b *Balancer) handlePromptReport(r *replica, report PeerReport) {
	b.decayPeerTokens(r)
	r.peerTokens = min(r.peerTokens+report.PrefillTokens, maxPeerPrefill/r.prefill.perToken())
	r.peerStreams++
	key := prefixKey(report.PrefixTag)
	r.prefixCache.Put(key, b.now, math.Inf(1))
	if b.cfg.SingleAffinityHost {
		b.prefixCounts.Add(key)
	}
	b.spendCredit(r, b.meanWork*min(b.liveRouters, 1))
}

// clampLatencyRatio limits an observed or reported latency ratio to its bounds.
func clampLatencyRatio(ratio float64) float64 {
	return min(max(ratio, minLatencyRatio), maxLatencyRatio)
}
