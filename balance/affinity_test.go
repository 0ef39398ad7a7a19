package balance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"reachspread/internal/rendezvous"
)

// A prefix that its affinity host has cached is not computed again on another replica to save a
// short wait.
func TestRecomputedPrefixIsExpensive(t *testing.T) {
	for _, tt := range []struct {
		name         string
		ahead        float64 // tokens queued on the affinity host
		prefixTokens float64
		wantsOther   bool
	}{
		{"a short wait for a long prefix", 2000, 1000, false},
		{"a long wait for a long prefix", 8000, 1000, true},
		{"a short wait for a short prefix", 2000, 100, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestRouter(t, broadcastConfig(), members("a", "b")...)
			host, other := g.b.replicas["a"], g.b.replicas["b"]
			q := &request{Arrival: g.request("safe"), class: g.b.classes["safe"], latencyTarget: sec, prefixKey: "p", affinityHost: host}
			q.Prefix, q.PrefixTokens = "p", tt.prefixTokens
			g.step(ReportsReceived{From: 3, Reports: []PeerReport{{ReplicaTag: replicaTag(host), PrefillTokens: tt.ahead}}})
			if best := g.b.cheapest(q, []*replica{host, other}); (best == other) != tt.wantsOther {
				t.Errorf("cheapest replica is %s; costs: affinity host %.3f s, other %.3f s", best.Replica, g.b.estimatedCost(q, host), g.b.estimatedCost(q, other))
			}
		})
	}
}

// A prefix with a small fraction of all prompts has two affinity hosts. Their number grows with
// that fraction, which counts this router's prompts and those that other routers report.
func TestAffinityHostsByPrefixFraction(t *testing.T) {
	const hosts = 20
	for _, tt := range []struct {
		name                string
		own, reported, rest int // this router's prompts with the prefix, other routers' prompts with it, and prompts with other prefixes
		least, most         int
	}{
		{"one prompt of 401", 1, 0, 400, 2, 2},
		{"a tenth, this router's prompts", 40, 0, 360, 3, 4},
		{"a tenth, other routers' prompts", 0, 40, 360, 3, 4},
		{"a quarter, prompts of all routers", 50, 50, 300, 7, 9},
		{"nearly all, other routers' prompts", 0, 400, 4, hosts, hosts},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var names []string
			for i := range hosts {
				names = append(names, fmt.Sprintf("host%02d", i))
			}
			g := newTestRouter(t, broadcastConfig(), members(names...)...)
			q := &request{Arrival: g.request("safe"), class: g.b.classes["safe"], prefixHash: rendezvous.Hash("hot")}
			q.Prefix = "hot"
			q.prefixKey = prefixKey(q.prefixTag())
			for i := range tt.rest {
				g.b.prefixCounts.Add(fmt.Sprint("other", i))
			}
			for range tt.own {
				g.b.prefixCounts.Add(q.prefixKey)
			}
			for range tt.reported {
				g.step(ReportsReceived{From: 3, Reports: []PeerReport{{ReplicaTag: replicaTag(g.b.sorted[0]), PrefillTokens: 100, PrefixTag: q.prefixTag()}}})
			}
			hosts := g.b.affinitySamples(q, slices.Clone(g.b.sorted))
			is.True(len(hosts) >= tt.least)
			is.True(len(hosts) <= tt.most)
			is.Equal(hosts[0], q.affinityHost)
			is.Equal(hosts[0], firstRanked(q.prefixHash, slices.Clone(g.b.sorted), 1)[0]) // the first affinity host does not depend on their number
		})
	}
}
