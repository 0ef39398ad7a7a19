package balance

import "testing"

// What its home keeps is not read a second time elsewhere for a little less waiting.
func TestReadingAgainIsDear(t *testing.T) {
	for _, tt := range []struct {
		name   string
		ahead  float64 // tokens in front of the home
		shared float64
		leaves bool
	}{
		{"a short wait for a long prefix", 2000, 1000, false},
		{"a long wait for a long prefix", 8000, 1000, true},
		{"a short wait for a short prefix", 2000, 100, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newGateway(t, broadcasting(), members("a", "b")...)
			home, other := g.b.replicas["a"], g.b.replicas["b"]
			q := &request{Arrival: g.request("safe"), class: g.b.classes["safe"], aim: sec, prefix: "p", home: home}
			q.Prefix, q.Shared = "p", tt.shared
			g.step(Heard{From: 3, Reports: []PeerReport{{Tag: tag(home), Tokens: tt.ahead}}})
			if best := g.b.better(q, []*replica{home, other}); (best == other) != tt.leaves {
				t.Errorf("%s is better, at %.3f s and %.3f s", best.Replica, g.b.estimate(q, home), g.b.estimate(q, other))
			}
		})
	}
}
