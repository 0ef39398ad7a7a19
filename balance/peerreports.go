package balance

// The reports that routers send each other: prompts sent, slow first tokens and failures.

import (
	"math"
	"slices"
)

const (
	// smallPromptFraction bounds, as a part of the shortest latency target, the prefill time of
	// prompts that are reported by sample only.
	smallPromptFraction = 0.25
	// peerReportWeight is the weight of a latency ratio that another router reports.
	peerReportWeight = 0.3
	// maxPeerPrefill bounds the seconds of prefill that other routers' reports may put in front of
	// a replica.
	maxPeerPrefill = 30.0
	// minLatencyRatio and maxLatencyRatio bound a single observation or report of a latency ratio.
	minLatencyRatio = 0.2
	maxLatencyRatio = 20
)

// sendReports sends reports to other routers, by number. Where Config.Broadcast is set they reach
// all, and the numbers do not matter.
func (b *Balancer) sendReports(to []int, reports ...PeerReport) {
	to = slices.DeleteFunc(slices.Clone(to), func(i int) bool { return i == b.cfg.Self })
	if len(to) > 0 || b.cfg.Broadcast && len(reports) > 0 {
		b.emit(SendReports{To: to, Zone: zoneTag(b.cfg.Zone), Reports: reports})
	}
}

// reportPrompt reports the prompt of an attempt to the routers that share its replica. Small
// prompts are reported now and then, at the size of the smallest that always are, so that the sum
// is right. Each prompt to a replica in slow start is reported, and also to routers that seem to be
// gone: a liveness view may be wrong, and budget that is spent unreported is spent twice.
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

// handlePeerReports takes up the reports of another router.
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

// handlePromptReport counts a prompt that another router has sent to r: its tokens are in front of
// the next prompt, its prefix is cached there, and in slow start it spends from the common budget.
// A router that is alone has a budget of its own, which nobody else spends from.
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

// clampLatencyRatio bounds a latency ratio that was observed or reported.
func clampLatencyRatio(ratio float64) float64 {
	return min(max(ratio, minLatencyRatio), maxLatencyRatio)
}
