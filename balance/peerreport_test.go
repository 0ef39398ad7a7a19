package balance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"reachspread/internal/rendezvous"
)

// newRouterWithPeers returns the first of many routers, which has received messages from two other
// routers of its zone.
func newRouterWithPeers(t *testing.T, replicas ...Member) *testRouter {
	t.Helper()
	cfg := testConfig()
	cfg.Routers, cfg.MayProbe = minReportingRouters, true
	g := newTestRouter(t, cfg, replicas...)
	for from := 1; from < 3; from++ {
		g.step(ReportsReceived{From: from, Zone: zoneTag("here")})
	}
	return g
}

// longPrompt makes a prompt so long that it is always reported.
func longPrompt(q Arrival) Arrival {
	q.PromptTokens = 4000
	return q
}

// Only a sample of the prompts with little prefill is reported, each with the smallest size that is
// always reported, so that the expected sum is right. For a replica in slow start each prompt is
// reported with its own size, because the budget needs all of them.
func TestSmallPromptsAreReportedBySample(t *testing.T) {
	g := newRouterWithPeers(t, members("a")...)
	count, sum := 0, 0.0
	const sent, tokens = 400, 500
	for range sent {
		q := g.request("safe")
		q.PromptTokens = tokens
		for _, message := range actionsOf[SendReports](g.step(q)) {
			count, sum = count+1, sum+message.Reports[0].PrefillTokens
		}
		g.after(ms, Outcome{ID: q.ID, Result: NotSent, Final: true}) // an attempt that was not sent changes no estimate
	}
	smallest := smallPromptFraction * 1 / defaultPrefillTime // for a latency target of one second
	if want := sent * tokens / smallest; float64(count) < 0.7*want || float64(count) > 1.3*want || sum != float64(count)*smallest {
		t.Errorf("%d reports with %.0f tokens in total, want about %.0f reports of %.0f tokens each", count, sum, want, smallest)
	}
	cold := newRouterWithPeers(t, append(members("a"), Member{Replica: "cold", Zone: "here", Kind: "k", StartedAt: 99 * sec})...)
	cold.serve(longPrompt(cold.request("safe")), 50*ms, 0)
	cold.step(Members{Version: 9, Members: []Member{{Replica: "a", Zone: "here", Kind: "k", State: Draining}}})
	q := cold.request("safe")
	if messages := actionsOf[SendReports](cold.step(q)); len(messages) != 1 || messages[0].Reports[0].PrefillTokens != q.PromptTokens {
		t.Errorf("small prompt to a replica in slow start: want one report with its own size, got %v", messages)
	}
}

// One of many routers sees few of a replica's requests, so each prompt is reported to the routers
// that share the replica.
func TestSentPromptIsReported(t *testing.T) {
	g := newRouterWithPeers(t, members("a")...)
	out := g.step(longPrompt(g.request("safe")))
	want := []SendReports{{To: []int{1, 2}, Zone: zoneTag("here"), Reports: []PeerReport{{ReplicaTag: replicaTag(g.b.replicas["a"]), PrefillTokens: 4000}}}}
	if diff := cmp.Diff(want, actionsOf[SendReports](out)); diff != "" {
		t.Error(diff)
	}
	if n := len(actionsOf[Probe](out)); n != 0 {
		t.Errorf("%d probes although routers report to each other, want 0", n)
	}
}

// A prompt is not reported to a router of another zone, or to one from which no message has
// arrived. The empty first message goes to all routers.
func TestOnlyRoutersOfTheZoneGetReports(t *testing.T) {
	cfg := testConfig()
	cfg.Routers, cfg.Self = minReportingRouters, 1
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	g := &testRouter{t: t, b: b, now: 100 * sec}
	greeting := []SendReports{{To: []int{0, 2, 3, 4, 5, 6, 7}, Zone: zoneTag("here")}}
	if diff := cmp.Diff(greeting, actionsOf[SendReports](g.step(Members{Version: 1, Complete: true, Members: append(members("a"), Member{Replica: "far", Zone: "there", Kind: "k"})}))); diff != "" {
		t.Error(diff)
	}
	g.step(ReportsReceived{From: 0, Zone: zoneTag("there")}, ReportsReceived{From: 3, Zone: zoneTag("here")}, ReportsReceived{From: 9}, ReportsReceived{From: -1})
	if messages := actionsOf[SendReports](g.step(longPrompt(g.request("safe")))); len(messages) != 1 || !cmp.Equal(messages[0].To, []int{3}) {
		t.Errorf("want the prompt reported to router 3 only, got %v", messages)
	}
}

// A replica to which other routers have just sent prompts must not look idle until it has had time
// to prefill them.
func TestReportedPromptsCount(t *testing.T) {
	for _, test := range []struct {
		name      string
		after     int // seconds since the other routers sent prompts
		looksIdle bool
	}{{"just now", 0, false}, {"long ago", 60, true}} {
		g := newRouterWithPeers(t, members("a", "b")...)
		best := sentTo(t, g.step(g.request("safe")))
		g.after(50*ms, FirstToken{ID: "q1"})
		g.step(Outcome{ID: "q1", Result: OK, Final: true})
		q := g.request("safe")
		q.ID, q.Session = "q1", "" // the same samples in the same order as for the first request
		g.step(ReportsReceived{From: 1, Zone: zoneTag("here"), Reports: []PeerReport{{ReplicaTag: replicaTag(g.b.replicas[best]), PrefillTokens: 20000}}})
		for range test.after {
			g.after(sec)
		}
		if got := sentTo(t, g.step(q)) == best; got != test.looksIdle {
			t.Errorf("prompts of others %s: sent to the replica that got them: %v, want %v", test.name, got, test.looksIdle)
		}
	}
}

// All routers learn that a replica is slow from the first router that observes it, until that
// report has decayed.
func TestLatencyRatioIsReportedAndBelieved(t *testing.T) {
	g := newRouterWithPeers(t, members("a")...)
	g.step(g.request("safe"))
	messages := actionsOf[SendReports](g.after(900*ms, FirstToken{ID: "q1"}))
	if len(messages) != 1 || messages[0].Reports[0].LatencyRatio < reportRatio {
		t.Fatalf("want the late first token reported, got %v", messages)
	}

	h := newRouterWithPeers(t, members("a", "b")...)
	a := h.b.replicas["a"]
	for range 3 {
		h.step(ReportsReceived{From: 1, Zone: zoneTag("here"), Reports: messages[0].Reports})
	}
	if s := h.b.latencyRatioOf(a); s < reportRatio {
		t.Errorf("latency ratio is %.2f after three reports, want at least reportRatio", s)
	}
	h.after(60 * sec)
	if s := h.b.latencyRatioOf(a); s > 1.1 {
		t.Errorf("latency ratio is %.2f a minute after the reports, want at most 1.1", s)
	}
}

// A recent observation by this router outweighs any number of reports from others.
func TestReportsNeverOutweighLocalObservations(t *testing.T) {
	g := newRouterWithPeers(t, members("a")...)
	a := g.b.replicas["a"]
	g.serve(g.request("safe"), 60*ms, 0)
	own := g.b.latencyRatioOf(a)
	for range 100 {
		g.step(ReportsReceived{From: 1, Zone: zoneTag("here"), Reports: []PeerReport{{ReplicaTag: replicaTag(a), LatencyRatio: 20}}})
	}
	if s := g.b.latencyRatioOf(a); s > own*1.01 {
		t.Errorf("latency ratio is %.2f after 100 reports, want about %.2f as just observed", s, own)
	}
}

// Reports on a replica that is not listed are ignored, and do not add the replica.
func TestUnlistedReplicaIsNeverSentTo(t *testing.T) {
	g := newRouterWithPeers(t, members("a")...)
	g.step(ReportsReceived{From: 1, Reports: []PeerReport{{ReplicaTag: replicaTag(&replica{hash: rendezvous.Hash("elsewhere")}), PrefillTokens: 1}}})
	if len(g.b.replicas) != 1 || g.b.replicas["a"].peerTokens != 0 {
		t.Errorf("%d replicas known, want 1; %v reported tokens on the listed one, want 0", len(g.b.replicas), g.b.replicas["a"].peerTokens)
	}
}

// All routers compute the same assignments, so a router reports a prompt to exactly those routers
// that send to the same replica.
func TestAssignmentsAgree(t *testing.T) {
	const routers, hosts = 30, 40
	var list []Member
	for i, name := range numberedNames("r", hosts) {
		list = append(list, Member{Replica: name, Zone: fmt.Sprint("z", i%2), Kind: "k"})
	}
	all := make([]*testRouter, routers)
	for self := range all {
		cfg := testConfig()
		cfg.Routers, cfg.Self, cfg.Zone = routers, self, fmt.Sprint("z", self%2)
		all[self] = newTestRouter(t, cfg, list...)
		for from := range routers {
			all[self].step(ReportsReceived{From: from, Zone: zoneTag(fmt.Sprint("z", from%2))})
		}
	}
	for self, g := range all {
		assignedCount := 0
		for _, r := range g.b.sorted {
			if diff := cmp.Diff(all[0].b.replicas[r.Replica].liveAssignees, r.liveAssignees); diff != "" {
				t.Fatalf("routers 0 and %d differ on the live assignees of %s: %s", self, r.Replica, diff)
			}
			if slices.Contains(r.liveAssignees, self) != r.assigned {
				t.Errorf("router %d: replica %s is assigned to it: %v, but its live assignees are %v", self, r.Replica, r.assigned, r.liveAssignees)
			}
			if r.assigned {
				assignedCount++
				if r.Zone != g.b.cfg.Zone {
					t.Errorf("router %d is assigned %s, which is in another zone", self, r.Replica)
				}
			}
		}
		if assignedCount != minAssignedReplicas {
			t.Errorf("router %d is assigned %d replicas, want %d", self, assignedCount, minAssignedReplicas)
		}
	}
}

// Routers that report to each other share one budget for a replica in slow start: work that others
// sent reduces what this router may send.
func TestSlowStartBudgetIsSharedByReports(t *testing.T) {
	sent := func(reportsOthers bool) (n int) {
		g := newRouterWithPeers(t, append(members("warm"), Member{Replica: "cold", Zone: "here", Kind: "k", StartedAt: 99 * sec})...)
		cold := g.b.replicas["cold"]
		for range 60 {
			q := g.request("safe")
			if reportsOthers {
				g.step(ReportsReceived{From: 1, Zone: zoneTag("here"), Reports: []PeerReport{{ReplicaTag: replicaTag(cold), PrefillTokens: 1}}})
			}
			g.step(q)
			if next := (&request{Arrival: q, class: g.b.classes["safe"]}); g.b.slowStartAdmits(next, cold, 1) {
				g.b.spendCredit(cold, g.b.workOf(next))
				n++
			}
			g.after(50*ms, FirstToken{ID: q.ID})
			g.after(50*ms, Outcome{ID: q.ID, Result: OK, Final: true})
		}
		return n
	}
	alone, shared := sent(false), sent(true)
	if alone == 0 || shared > alone/2 {
		t.Errorf("replica in slow start admits %d prompts without reports of others, %d with them; want at least 1, and at most half with them", alone, shared)
	}
}

// Sending to a replica that is not assigned costs a connection, and other routers' prompts there
// are not reported to this router. Such a replica is used only if the assigned ones have no
// capacity.
func TestUnassignedReplicasOnlyForNeed(t *testing.T) {
	cfg := testConfig()
	cfg.Routers = minReportingRouters
	g := newTestRouter(t, cfg, members(numberedNames("r", 3*minAssignedReplicas)...)...)
	sentToAssigned := func() bool { return g.b.replicas[sentTo(t, g.step(g.request("safe")))].assigned }
	for range 2 * minAssignedReplicas {
		if !sentToAssigned() {
			t.Fatal("request sent to an unassigned replica although assigned ones have capacity")
		}
	}
	for _, r := range g.b.sorted {
		if r.assigned {
			r.limit = 0
		}
	}
	if sentToAssigned() {
		t.Error("request sent to an assigned replica although all of them are full")
	}
}

// Reports that are late, repeated, out of order, or on replicas that are draining or not listed
// only reduce what the router knows. Each request is still sent at once while a listed replica has
// capacity, and only to listed replicas. After the reports have stopped, the state returns to what
// it was before.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newRouterWithPeers(t, append(members("a", "b", "c"), Member{Replica: "leaving", Zone: "here", Kind: "k", State: Draining})...)
		tags := []uint32{0, 1, replicaTag(&replica{hash: rendezvous.Hash("elsewhere")})}
		for _, r := range g.b.sorted {
			tags = append(tags, replicaTag(r))
		}
		var received []ReportsReceived
		for i := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			var events []Event
			for range rapid.IntRange(0, 4).Draw(rt, "reports") {
				if len(received) > 0 && rapid.Bool().Draw(rt, "repeat") {
					events = append(events, rapid.SampledFrom(received).Draw(rt, "which"))
					continue
				}
				n := PeerReport{ReplicaTag: rapid.SampledFrom(tags).Draw(rt, "tag")}
				if rapid.Bool().Draw(rt, "slow") {
					n.LatencyRatio = rapid.Float64Range(0, 1000).Draw(rt, "ratio")
				} else {
					n.PrefillTokens = rapid.Float64Range(0, 1e6).Draw(rt, "tokens")
				}
				h := ReportsReceived{From: rapid.IntRange(-1, minReportingRouters).Draw(rt, "from"), Zone: zoneTag(rapid.SampledFrom([]string{"here", "there"}).Draw(rt, "zone")), Reports: []PeerReport{n}}
				received, events = append(received, h), append(events, h)
			}
			q := g.request("safe")
			q.ID = fmt.Sprint("w", i)
			for _, s := range actionsOf[Send](g.after(100*ms, append(events, q)...)) {
				if r := g.b.replicas[s.Replica]; r == nil || r.State != Serving {
					rt.Fatalf("request sent to %s, which is not serving", s.Replica)
				}
				g.step(FirstToken{ID: s.ID}, Outcome{ID: s.ID, Result: OK, Final: true})
			}
			if len(g.b.replicas) != 4 {
				rt.Fatalf("%d replicas known, want 4", len(g.b.replicas))
			}
		}
		for range 120 {
			g.after(sec)
		}
		for _, r := range g.b.sorted {
			if s := g.b.latencyRatioOf(r); s < 0.9 || s > 1.1 || g.b.tokensQueuedOn(r) > 1 || r.peerStreams > 0.1 {
				rt.Errorf("two minutes after the reports %s has latency ratio %v, %v queued tokens and %v streams of other routers", r.Replica, s, g.b.tokensQueuedOn(r), r.peerStreams)
			}
		}
	})
}

// When another router reports a prompt with a prefix, the replica counts as having the prefix
// cached until it restarts. A prompt with that prefix then needs less prefill there, by the prefix
// alone. A prompt with another prefix does not.
func TestReportedPrefixIsCachedForOthers(t *testing.T) {
	g := newRouterWithPeers(t, members("a", "b")...)
	q := longPrompt(g.request("safe"))
	q.Prefix, q.PrefixTokens = "long beginning", 3000
	reported := actionsOf[SendReports](g.step(q))
	if len(reported) != 1 || reported[0].Reports[0].PrefixTag == 0 {
		t.Fatalf("want one report with a prefix tag, got %v", reported)
	}
	other := newRouterWithPeers(t, members("a", "b")...)
	other.step(ReportsReceived{From: 1, Zone: zoneTag("here"), Reports: reported[0].Reports})
	other.after(10 * sec) // the reported prompt has been prefilled
	reportedReplica := other.b.byTag[reported[0].Reports[0].ReplicaTag]
	prefillTokens := func(prefix string, r *replica) float64 {
		a := q
		a.Prefix = prefix
		x := &request{Arrival: a, class: other.b.classes["safe"], prefixHash: rendezvous.Hash(prefix)}
		x.prefixKey = prefixKey(x.prefixTag())
		return other.b.prefillTokensOn(x, r)
	}
	for _, r := range other.b.sorted {
		want := 4000.0
		if r == reportedReplica {
			want = 1000
		}
		if got := prefillTokens(q.Prefix, r); got != want {
			t.Errorf("%s has %v tokens of the prompt to prefill, want %v", r.Replica, got, want)
		}
		if got := prefillTokens("another", r); got != 4000 {
			t.Errorf("%s has %v tokens of a prompt with another prefix to prefill, want 4000", r.Replica, got)
		}
	}
	other.b.beginSlowStart(reportedReplica, other.b.now)
	if got := prefillTokens(q.Prefix, reportedReplica); got != 4000 {
		t.Errorf("after a restart the replica has %v tokens to prefill, want 4000", got)
	}
}
