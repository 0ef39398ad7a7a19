package balance

import "testing"

// The estimated cost weighs concurrent streams against tokens to prefill and against crossing
// zones. Each row states this router's streams on two replicas and the number of prompt tokens that
// the first replica has cached, and says which replica is cheaper.
func TestStreamsAgainstPrefillAndCrossing(t *testing.T) {
	for _, tt := range []struct {
		name        string
		streams     [2]int // this router's streams on the two replicas, all past their first token
		cached      float64
		otherZone   bool // the second replica is in another zone
		peerStreams float64
		singleHost  bool
		wantsSecond bool
	}{
		{name: "cached prefix, one stream more", streams: [2]int{1, 0}, cached: 1000},
		{name: "cached prefix, many streams more", streams: [2]int{6, 0}, cached: 1000, wantsSecond: true},
		{name: "cached prefix, as many streams on both", streams: [2]int{6, 6}, cached: 1000},
		{name: "cached prefix, many streams of other routers", streams: [2]int{0, 0}, cached: 1000, peerStreams: 6, wantsSecond: true},
		{name: "cached prefix, many streams more, single affinity host", streams: [2]int{6, 0}, cached: 1000, singleHost: true},
		{name: "nothing cached, one stream more in the own zone", streams: [2]int{1, 0}, otherZone: true},
		{name: "nothing cached, several streams more in the own zone", streams: [2]int{4, 0}, otherZone: true, wantsSecond: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list := members("a", "b")
			if tt.otherZone {
				list[1].Zone = "there"
			}
			cfg := testConfig()
			cfg.SingleAffinityHost = tt.singleHost
			g := newTestRouter(t, cfg, list...)
			q := &request{Arrival: g.request("safe"), class: g.b.classes["safe"], latencyTarget: sec, prefixKey: "p"}
			q.Prefix, q.PrefixTokens = "p", tt.cached
			first, second := g.b.replicas["a"], g.b.replicas["b"]
			first.inFlight, second.inFlight, first.peerStreams = tt.streams[0], tt.streams[1], tt.peerStreams
			g.after(ms)
			first.prefixCache.Put(q.prefixKey, g.b.now, tt.cached)
			best := g.b.cheapest(q, []*replica{first, second})
			if (best == second) != tt.wantsSecond {
				t.Errorf("cheapest replica is %s; costs: first %.3f s, second %.3f s", best.Replica, g.b.estimatedCost(q, first), g.b.estimatedCost(q, second))
			}
		})
	}
}

// A reported number of prefill tokens is some hundred milliseconds old, and all routers get the
// same report. It must not move a request, or all routers would send to one replica at once. The
// reported number of streams does move requests.
func TestReportsOfPrefillTokensMoveNoRequest(t *testing.T) {
	for _, tt := range []struct {
		name        string
		load        Load
		wantsSecond bool
	}{
		{"tokens to prefill", Load{InFlight: -1, Utilization: -1, PrefillTokens: 50_000}, false},
		{"streams", Load{InFlight: 12, Utilization: -1, PrefillTokens: -1}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestRouter(t, testConfig(), members("a", "b")...)
			q := &request{Arrival: g.request("safe"), class: g.b.classes["safe"], latencyTarget: sec, prefixKey: "p"}
			q.PrefixTokens = 500
			first, second := g.b.replicas["a"], g.b.replicas["b"]
			g.after(ms)
			first.prefixCache.Put(q.prefixKey, g.b.now, q.PrefixTokens)
			g.b.recordLoad(first, &tt.load)
			if best := g.b.cheapest(q, []*replica{first, second}); (best == second) != tt.wantsSecond {
				t.Errorf("cheapest replica is %s", best.Replica)
			}
		})
	}
}
