package faults

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var testTopology = &Topology{Routers: []string{"a", "b", "a", "b", "a"}, Hosts: []string{"a", "a", "b"}}

// Check rejects each invalid fault with an error that names the source and the invalid field.
func TestCheck(t *testing.T) {
	for want, f := range map[string]Fault{
		`"smoke" is unknown`:                                {Kind: "smoke"},
		`"flip" does not exist in virtual time`:             {Kind: Flip, Length: 1, Share: 0.1, Routers: Selection{All: true}},
		`at is 1s; the run ends after 1s`:                   {Kind: Kill, At: time.Second, Routers: Selection{All: true}},
		`length is 500ms from 600ms on`:                     {Kind: Kill, At: 600 * ms, Length: 500 * ms, Routers: Selection{All: true}},
		`share is 1.5; it must be from 0 to 1`:              {Kind: Loss, Share: 1.5, Routers: Selection{All: true}},
		`share must be more than 0`:                         {Kind: Loss, Routers: Selection{All: true}},
		`routers selects nothing; the fault needs a target`: {Kind: Kill},
		`hosts selects nothing; the fault needs a target`:   {Kind: Slow, Size: 2},
		`routers has 5; there are 5, from 0`:                {Kind: Kill, Routers: Selection{Numbers: []int{0, 5}}},
		`hosts is "c"; the zone is empty`:                   {Kind: Kill, Hosts: Selection{Zone: "c"}},
		`links has "walls"`:                                 {Kind: Blackhole, Routers: Selection{All: true}, Links: []string{"walls"}},
		`direction is "up"`:                                 {Kind: Blackhole, Routers: Selection{All: true}, Direction: "up"},
		`groups has router 1 twice`:                         {Kind: Partition, Groups: [][]int{{0, 1}, {1, 2}}},
		`groups has router 9; there are 5, from 0`:          {Kind: Partition, Groups: [][]int{{0, 1}, {2}}, Bridge: []int{9}},
		`groups must be "zones" or lists of routers`:        {Kind: Partition},
		`peers has -1`:                                      {Kind: Blackhole, Routers: Selection{All: true}, Peers: Selection{Numbers: []int{-1}}},
		`disk is "wet"`:                                     {Kind: Kill, Routers: Selection{All: true}, Disk: "wet"},
	} {
		world := RealProcesses
		if f.Kind == Flip {
			world = Simulation
		}
		f.Source = "x.hcl:7"
		if err := Check([]Fault{f}, testTopology, world, time.Second); err == nil || !strings.HasPrefix(err.Error(), "x.hcl:7: ") || !strings.Contains(err.Error(), want) {
			t.Errorf("Check returned error %v, want one that contains %s", err, want)
		}
	}
	if err := Check(make([]Fault, MaxFaults+1), testTopology, RealProcesses, time.Second); err == nil {
		t.Error("Check accepts a schedule of more than MaxFaults faults")
	}
}

// A fault affects exactly the expected directions of the expected links.
func TestHits(t *testing.T) {
	r, h, list := func(n int) End { return End{AtRouter, n} }, func(n int) End { return End{AtHost, n} }, End{Kind: AtList}
	for name, x := range map[string]struct {
		f    Fault
		hit  [][2]End
		miss [][2]End
	}{
		"a router's links to others": {Fault{Kind: Blackhole, Routers: Selection{Numbers: []int{1}}},
			[][2]End{{r(1), r(0)}, {r(4), r(1)}}, [][2]End{{r(0), r(2)}, {r(1), h(0)}, {r(1), list}}},
		"out alone": {Fault{Kind: Blackhole, Routers: Selection{Numbers: []int{1}}, Direction: Out},
			[][2]End{{r(1), r(0)}}, [][2]End{{r(0), r(1)}}},
		"in alone, from one": {Fault{Kind: Blackhole, Routers: Selection{Numbers: []int{1}}, Direction: In, Peers: Selection{Numbers: []int{2}}},
			[][2]End{{r(2), r(1)}}, [][2]End{{r(1), r(2)}, {r(0), r(1)}}},
		"hosts of a zone": {Fault{Kind: Blackhole, Routers: Selection{All: true}, Links: []string{LinkHosts}, Hosts: Selection{Zone: "b"}},
			[][2]End{{r(0), h(2)}, {h(2), r(4)}}, [][2]End{{r(0), h(0)}, {r(0), r(1)}, {r(0), list}}},
		"the list": {Fault{Kind: Delay, Delay: 1, Routers: Selection{Zone: "a"}, Links: []string{LinkList}},
			[][2]End{{r(0), list}, {list, r(4)}}, [][2]End{{r(1), list}, {r(0), r(1)}}},
		"two halves with a bridge": {Fault{Kind: Partition, Groups: [][]int{{0, 1}, {2, 3}}, Bridge: []int{4}},
			[][2]End{{r(0), r(2)}, {r(3), r(1)}}, [][2]End{{r(0), r(1)}, {r(4), r(0)}, {r(2), r(4)}, {r(0), h(2)}}},
		"zones apart, hosts too": {Fault{Kind: Partition, Zones: true, Links: []string{LinkPeers, LinkHosts}},
			[][2]End{{r(0), r(1)}, {r(0), h(2)}, {h(0), r(1)}}, [][2]End{{r(0), r(2)}, {r(1), h(2)}, {r(0), list}}},
		"a kill": {Fault{Kind: Kill, Routers: Selection{All: true}}, nil, [][2]End{{r(0), r(1)}}},
	} {
		s := Resolve([]Fault{x.f}, testTopology, 1)[0]
		for i, ends := range append(slices.Clone(x.hit), x.miss...) {
			if got, want := s.Affects(ends[0], ends[1]), i < len(x.hit); got != want {
				t.Errorf("%s: Affects for the ends %v returned %v", name, ends, got)
			}
		}
	}
}

// Over many datagrams, a link applies each effect of its condition with the expected frequency. The
// same seed gives the same copies.
func TestLink(t *testing.T) {
	on := Resolve([]Fault{
		{Kind: Loss, Share: 0.2, Routers: Selection{All: true}}, {Kind: Duplicate, Share: 0.1, Routers: Selection{All: true}},
		{Kind: Delay, Delay: 10 * ms, Jitter: 5 * ms, Routers: Selection{All: true}}, {Kind: Truncate, Share: 0.3, Routers: Selection{All: true}},
		{Kind: Flip, Share: 0.4, Routers: Selection{All: true}}, {Kind: Reorder, Share: 0.5, Delay: 50 * ms, Routers: Selection{All: true}}}, testTopology, 1)
	pass := func() (all []Copy, none int) {
		l := NewLink(7, 3)
		l.Condition = ConditionOf(on, End{N: 0}, End{N: 1})
		for range 10000 {
			n := len(all)
			if all = l.Pass(100, all); len(all) == n {
				none++
			}
		}
		return all, none
	}
	all, none := pass()
	again, _ := pass()
	if !cmp.Equal(all, again) {
		t.Error("the same seed gives different copies")
	}
	var clipped, flipped, late int
	for _, c := range all {
		if c.After < 10*ms || c.After > 75*ms || c.Bytes > 100 || c.Flip >= 8*c.Bytes && c.Flip >= 0 {
			t.Fatalf("copy outside of the condition's limits: %+v", c)
		}
		if c.Bytes < 100 {
			clipped++
		}
		if c.Flip >= 0 {
			flipped++
		}
		if c.After > 15*ms {
			late++
		}
	}
	within := func(what string, got, want, of int) {
		if got < want*9/10 || got > want*11/10 {
			t.Errorf("%s: %d of %d, want about %d", what, got, of, want)
		}
	}
	within("lost", none, 2000, 10000)
	within("copies", len(all), 8800, 10000)
	within("clipped", clipped, len(all)*3/10, len(all))
	within("flipped", flipped, len(all)*4/10, len(all))
	within("late", late, len(all)*51/100, len(all))
	cut := NewLink(7, 3)
	cut.Blackholed = true
	if got := cut.Pass(100, nil); got != nil {
		t.Errorf("copies that pass through a blackhole: %v, want none", got)
	}
}

// Each drawn schedule passes the check of its world and ends within four fifths of the run. The same
// seed gives the same schedule.
func TestDraw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		topology := &Topology{}
		for range rapid.IntRange(1, 9).Draw(t, "routers") {
			topology.Routers = append(topology.Routers, rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "zone"))
		}
		for range rapid.IntRange(0, 5).Draw(t, "hosts") {
			topology.Hosts = append(topology.Hosts, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
		}
		b := Bounds{Length: 10 * time.Second, World: rapid.SampledFrom([]World{RealProcesses, Simulation}).Draw(t, "world")}
		seed := rapid.Uint64().Draw(t, "seed")
		all := Draw(b, topology, seed)
		if err := Check(all, topology, b.World, b.Length); err != nil {
			t.Fatal(err)
		}
		for _, f := range all {
			if f.At+f.Length > 8*time.Second {
				t.Fatalf("%s ends after %v, want 8s at most", f.Kind, f.At+f.Length)
			}
		}
		if diff := cmp.Diff(all, Draw(b, topology, seed)); diff != "" {
			t.Fatal(diff)
		}
		for _, s := range Resolve(all, topology, seed) {
			for _, n := range s.Routers {
				if n < 0 || n >= len(topology.Routers) {
					t.Fatalf("%s affects router %d, which does not exist", s.Kind, n)
				}
			}
		}
	})
}

// Shrink reduces a schedule of many faults to the two that cause the failure, with only as many
// routers and as much time as these two need.
func TestShrink(t *testing.T) {
	var all []Fault
	for i := range 20 {
		all = append(all, Fault{Kind: Freeze, At: time.Duration(i) * time.Second, Length: 4 * time.Second, Routers: Selection{Fraction: 0.5}})
	}
	all[3].Kind, all[3].Routers = Kill, Selection{Numbers: []int{2}}
	all[17].Kind = Blackhole
	asked := 0
	fails := func(x Trial) bool {
		asked++
		kill := slices.ContainsFunc(x.Faults, func(f Fault) bool { return f.Kind == Kill && f.Length >= time.Second })
		return kill && slices.ContainsFunc(x.Faults, func(f Fault) bool { return f.Kind == Blackhole })
	}
	got := Shrink(Trial{Routers: 9, Faults: all}, 200, fails)
	if len(got.Faults) != 2 || got.Faults[0].Kind != Kill || got.Faults[1].Kind != Blackhole || got.Routers != 3 || got.Faults[0].Length != time.Second ||
		got.Faults[1].Length > 250*ms || asked > 200 {
		t.Errorf("after %d runs, the shrunk trial has %d routers and the faults %s", asked, got.Routers, Text(got.Faults))
	}
	if got := Shrink(Trial{Routers: 9, Faults: all}, 0, fails); len(got.Faults) != 20 {
		t.Error("Shrink runs a trial although no runs are allowed")
	}
}
