package balance

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// broadcastConfig returns the configuration of a router without a number whose reports reach all
// others. Each prefix has a single affinity host, as in the router fleet.
func broadcastConfig() Config {
	cfg := testConfig()
	cfg.Broadcast, cfg.SingleAffinityHost = true, true
	return cfg
}

// With Config.Broadcast, each prompt is reported to all routers with its actual size, even a small
// one, because the caller that transmits the reports samples them.
func TestBroadcastOfEachPrompt(t *testing.T) {
	g := newTestRouter(t, broadcastConfig(), members("a")...)
	for _, tokens := range []float64{20, 500, 4000} {
		q := g.request("safe")
		q.PromptTokens = tokens
		want := []SendReports{{Zone: zoneTag("here"), Reports: []PeerReport{{ReplicaTag: replicaTag(g.b.replicas["a"]), PrefillTokens: tokens}}}}
		if diff := cmp.Diff(want, actionsOf[SendReports](g.step(q))); diff != "" {
			t.Error(diff)
		}
	}
}

// An update of the list of replicas causes no reports.
func TestBroadcastOfNothing(t *testing.T) {
	g := newTestRouter(t, broadcastConfig())
	list := members("a")
	if messages := actionsOf[SendReports](g.step(Members{Version: 1, Members: list})); len(messages) != 0 {
		t.Errorf("update of the list of replicas caused reports: %v", messages)
	}
}

// Tokens that other routers have sent to a replica delay the next request there until the replica
// has had time to prefill them.
func TestReportedPromptsMoveTheNextOne(t *testing.T) {
	for _, tt := range []struct {
		name        string
		broadcast   bool
		tokens      float64 // tokens that other routers have sent to the first replica
		ago         int     // milliseconds since the report
		wantsSecond bool
	}{
		{name: "no report", broadcast: true},
		{name: "a long prompt", broadcast: true, tokens: 8000, ago: 10, wantsSecond: true},
		{name: "a long prompt that has been prefilled since", broadcast: true, tokens: 8000, ago: 1500},
		{name: "a prompt with less prefill than the prefix elsewhere", broadcast: true, tokens: 300, ago: 10},
		{name: "without broadcast", tokens: 8000, ago: 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := broadcastConfig()
			cfg.Broadcast = tt.broadcast
			g := newTestRouter(t, cfg, members("a", "b")...)
			first, second := g.b.replicas["a"], g.b.replicas["b"]
			q := &request{Arrival: g.request("safe"), class: g.b.classes["safe"], latencyTarget: sec, prefixKey: "p"}
			q.PrefixTokens = 500
			first.prefixCache.Put(q.prefixKey, g.b.now, q.PrefixTokens)
			if tt.tokens > 0 {
				g.step(ReportsReceived{From: -1, Reports: []PeerReport{{ReplicaTag: replicaTag(first), PrefillTokens: tt.tokens}}})
			}
			for range tt.ago {
				g.after(ms)
			}
			if best := g.b.cheapest(q, []*replica{first, second}); (best == second) != tt.wantsSecond {
				t.Errorf("cheapest replica is %s; costs: first %.3f s, second %.3f s", best.Replica, g.b.estimatedCost(q, first), g.b.estimatedCost(q, second))
			}
		})
	}
}

// When another router reports a prompt that it has sent to a replica, the prompt's prefix counts as
// cached on the replica from then on.
func TestReportedPrefixIsCached(t *testing.T) {
	g := newTestRouter(t, broadcastConfig(), members("a")...)
	a := g.b.replicas["a"]
	q := &request{Arrival: g.request("safe"), class: g.b.classes["safe"], prefixHash: 0xabcd << 48}
	q.Prefix, q.PrefixTokens, q.PromptTokens = "p", 800, 1000
	q.prefixKey = prefixKey(q.prefixTag())
	before := g.b.prefillTokensOn(q, a)
	g.step(ReportsReceived{Reports: []PeerReport{{ReplicaTag: replicaTag(a), PrefillTokens: 10, PrefixTag: q.prefixTag()}}})
	if after := g.b.prefillTokensOn(q, a); before != 1000 || after != 200 {
		t.Errorf("%v tokens to prefill before the report, %v after it; want 1000 and 200", before, after)
	}
}

// Routers without numbers do not know how many routers there are. Each has its own slow-start
// credit for a replica, and the reports of other routers spend nothing from it.
func TestReportedPromptsSpendNoCredit(t *testing.T) {
	list := members("a", "cold")
	list[1].StartedAt = 99 * sec
	g := newTestRouter(t, broadcastConfig(), list...)
	cold := g.b.replicas["cold"]
	g.b.meanWork = 1
	g.b.spendCredit(cold, 0.5)
	credit := cold.credit
	g.step(ReportsReceived{Reports: []PeerReport{{ReplicaTag: replicaTag(cold), PrefillTokens: 8000}}})
	if cold.credit < credit {
		t.Errorf("slow-start credit of %v s is %v s after a report of another router, want it unchanged", credit, cold.credit)
	}
}
