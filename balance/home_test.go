package balance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"reachspread/internal/rendezvous"
)

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

// A prompt goes beyond the two homes of its prefix where it would be late on both, and no further than to one where it keeps its aim.
func TestFurtherHomes(t *testing.T) {
	const late = 60_000.0 // tokens in front, which take longer than the aim
	for _, tt := range []struct {
		name string
		full []int // of the homes, by their order
		want int   // the home that is chosen
	}{
		{"room at home", nil, 0},
		{"the first is full", []int{0}, 1},
		{"both are full", []int{0, 1}, 2},
		{"three are full", []int{0, 1, 2}, 3},
		{"only the third is full", []int{2}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var names []string
			for i := range 12 {
				names = append(names, fmt.Sprint("host", i))
			}
			g := newGateway(t, broadcasting(), members(names...)...)
			q := g.request("safe")
			q.Prefix, q.Shared, q.Hint = "p", 600, 0
			probe := &request{Arrival: q, class: g.b.classes["safe"], aim: sec, since: g.now, keys: [2]uint64{rendezvous.Hash("p")}}
			order := ranked(probe.keys[0], slices.Clone(g.b.order), mostHomes)
			for _, i := range tt.full {
				g.step(Heard{From: 3, Reports: []PeerReport{{Tag: tag(order[i]), Tokens: late}}})
			}
			sent := of[Send](g.step(q))
			is.Equal(len(sent), 1)
			is.Equal(sent[0].Replica, order[tt.want].Replica)
		})
	}
}

// Where all homes are full one of them is chosen all the same.
func TestAllHomesFull(t *testing.T) {
	is := is.New(t)
	g := newGateway(t, broadcasting(), members("a", "b", "c")...)
	for _, r := range g.b.order {
		g.step(Heard{From: 3, Reports: []PeerReport{{Tag: tag(r), Tokens: 60_000}}})
	}
	q := g.request("safe")
	q.Prefix = "p"
	is.Equal(len(of[Send](g.step(q))), 1)
}
