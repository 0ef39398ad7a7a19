package membershipsim

import (
	"fmt"
	"testing"
	"time"

	"reachspread/coord/members"
	"reachspread/internal/testbed/faults"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

func newWorld(t testing.TB, s Spec) *World {
	t.Helper()
	w, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *World) mustConverge(t testing.TB, within time.Duration) time.Duration {
	t.Helper()
	from := w.now
	at, ok, why := w.AwaitConvergence(from + within)
	if !ok || w.violation != nil {
		t.Fatalf("views have not converged %v after %v: %s, violation: %v", at-from, from, why, w.violation)
	}
	return at - from
}

func numbers(ns ...int) faults.Selection { return faults.Selection{Numbers: ns} }

// Fleets of any size converge on one view after they start, at once or spread over some seconds, and
// whether each router knows all addresses at first or only some seeds.
func TestJoin(t *testing.T) {
	for _, x := range []struct {
		routers, seeds int
		spread         time.Duration
	}{{1, 0, 0}, {2, 0, 0}, {3, 0, 0}, {9, 0, 0}, {40, 3, 0}, {60, 0, 2 * sec}, {300, 0, 0}, {300, 5, 5 * sec}} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			w := newWorld(t, Spec{Seed: 1, Routers: x.routers, Zones: 3, Seeds: x.seeds, Duration: time.Minute, StartSpread: x.spread})
			w.Run(x.spread)
			t.Logf("views converged %v after the last start, %d datagrams a router", w.mustConverge(t, 20*sec), w.Datagrams/uint64(x.routers))
		})
	}
}

// convergenceBound returns the time within which the views of a fleet must converge after the last
// fault. The design note derives it: greetings, sent every second, reach the routers that are
// considered dead, and a probe and a suspicion detect the routers that are gone. Each takes as long
// again for loss and digests.
func convergenceBound(routers int) time.Duration {
	return 8*sec + time.Duration(routers)*30*ms
}

func restartFaults(at time.Duration, length time.Duration, routers ...int) (all []faults.Fault) {
	for i, n := range routers {
		all = append(all, faults.Fault{Kind: faults.Restart, At: at + time.Duration(i)*300*ms, Length: length, Routers: numbers(n)})
	}
	return all
}

var everyone = faults.Selection{All: true}

// In each of these difficult cases, the views converge within the bound, no invariant is violated,
// and no router is declared dead that runs and is reachable.
func TestHardCases(t *testing.T) {
	steps := restartFaults(4*sec, sec, 1, 2, 4, 5, 7, 8, 10, 11, 13, 14, 16, 17, 19, 20)
	var killed []faults.Fault
	for i := range 5 {
		killed = append(killed, faults.Fault{Kind: faults.Kill, At: 5 * sec, Length: time.Duration(2+i) * sec, Routers: faults.Selection{Fraction: 0.14}})
	}
	all := func(k faults.Kind, share float64, length time.Duration) faults.Fault {
		return faults.Fault{Kind: k, At: 5 * sec, Length: length, Share: share, Routers: everyone}
	}
	late := all(faults.Delay, 0, 20*sec)
	late.Delay, late.Jitter = 1*ms, sec
	old := all(faults.Reorder, 0.05, 20*sec)
	old.Delay = 2 * time.Minute
	slow := all(faults.Delay, 0, 20*sec)
	slow.Delay = 600 * ms
	for name, x := range map[string]struct {
		routers int
		faults  []faults.Fault
		changes int // the most changes that any router may report; 0 for no limit
	}{
		"restarts while a zone is cut off": {24, append(steps, faults.Fault{Kind: faults.Blackhole, At: 3 * sec, Length: 12 * sec, Routers: faults.Selection{Zone: "a"}, Peers: faults.Selection{Zone: "b"}},
			faults.Fault{Kind: faults.Blackhole, At: 3 * sec, Length: 12 * sec, Routers: faults.Selection{Zone: "a"}, Peers: faults.Selection{Zone: "c"}}), 0},
		"seven in ten killed, restarted after 2 to 6 s": {60, killed, 0},
		"paused for 1.2 s":                     {9, []faults.Fault{{Kind: faults.Freeze, At: 5 * sec, Length: 1200 * ms, Routers: numbers(3)}}, 1},
		"paused for 20 s":                      {9, []faults.Fault{{Kind: faults.Freeze, At: 5 * sec, Length: 20 * sec, Routers: numbers(3)}}, 9},
		"all paused":                           {9, []faults.Fault{all(faults.Freeze, 0, 5*sec)}, 1},
		"all crawl":                            {9, []faults.Fault{all(faults.Crawl, 0.6, 20*sec)}, 1},
		"all answers take 1.2 s":               {9, []faults.Fault{slow}, 1},
		"loss, delay, duplicates, minutes old": {30, []faults.Fault{all(faults.Loss, 0.2, 20*sec), late, old, all(faults.Duplicate, 0.2, 20*sec)}, 1},
		"flipped bits and truncation":          {9, []faults.Fault{all(faults.Flip, 0.2, 20*sec), all(faults.Truncate, 0.1, 20*sec)}, 1},
		"one direction lost between two":       {9, []faults.Fault{{Kind: faults.Blackhole, At: 5 * sec, Length: time.Minute, Routers: numbers(0), Peers: numbers(1), Direction: faults.Out}}, 1},
		"halves with a bridge":                 {9, []faults.Fault{{Kind: faults.Partition, At: 5 * sec, Length: time.Minute, Groups: [][]int{{0, 1, 2, 3}, {4, 5, 6, 7}}, Bridge: []int{8}}}, 2},
		"one receives nothing":                 {9, []faults.Fault{{Kind: faults.Blackhole, At: 5 * sec, Length: 30 * sec, Routers: numbers(2), Direction: faults.In}}, 0},
		"one sends nothing":                    {9, []faults.Fault{{Kind: faults.Blackhole, At: 5 * sec, Length: 30 * sec, Routers: numbers(2), Direction: faults.Out}}, 0},
		"all killed at once":                   {30, []faults.Fault{all(faults.Kill, 0, 2*sec)}, 0},
		"two, one killed":                      {2, []faults.Fault{{Kind: faults.Kill, At: 5 * sec, Length: 10 * sec, Routers: numbers(1)}}, 3},
		"two, partitioned":                     {2, []faults.Fault{{Kind: faults.Partition, At: 5 * sec, Length: 20 * sec, Groups: [][]int{{0}, {1}}}}, 3},
		"replaced, then paused":                {9, []faults.Fault{{Kind: faults.Replace, At: 5 * sec, Routers: numbers(1, 2)}, {Kind: faults.Freeze, At: 5*sec + 10*ms, Length: 900 * ms, Routers: numbers(1)}}, 0},
		"zones partitioned and healed three times": {30, []faults.Fault{{Kind: faults.Partition, At: 5 * sec, Length: 10 * sec, Zones: true}, {Kind: faults.Partition, At: 17 * sec, Length: 10 * sec, Zones: true},
			{Kind: faults.Partition, At: 29 * sec, Length: 10 * sec, Zones: true}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				changes := make([]int, x.routers)
				s := Spec{Seed: seed, Routers: x.routers, Zones: 3, Duration: 3 * time.Minute, Faults: x.faults,
					Changed: func(r int, now time.Duration, c *members.Changed) {
						if now > 5*sec {
							changes[r]++
						}
					}}
				w := newWorld(t, s)
				w.Run(3 * sec)
				w.mustConverge(t, 2*sec)
				last := time.Duration(0)
				for _, f := range x.faults {
					last = max(last, f.At+f.Length)
				}
				if err := w.Run(last + 1); err != nil {
					t.Fatal(err)
				}
				took := w.mustConverge(t, convergenceBound(x.routers))
				if err := w.Run(w.now + 10*sec); err != nil {
					t.Fatal(err)
				}
				if ok, why := w.Converged(); !ok {
					t.Errorf("seed %d: views converged and then diverged: %s", seed, why)
				}
				if w.FalseDeaths > 0 {
					t.Errorf("seed %d: %d healthy routers were declared dead", seed, w.FalseDeaths)
				}
				for r, n := range changes {
					if x.changes > 0 && n > x.changes {
						t.Errorf("seed %d: r%d reports %d changes, want %d at most", seed, r, n, x.changes)
					}
				}
				t.Logf("seed %d: views converged in %v", seed, took)
			}
		})
	}
}

// When a zone is lost, every remaining router reports the loss as one change, with the reason
// ReasonZoneLost for each of its members.
func TestZoneLost(t *testing.T) {
	for _, n := range []int{9, 90} {
		lost := make([]int, n)
		other := 0
		w := newWorld(t, Spec{Seed: 1, Routers: n, Zones: 3, Duration: time.Minute, StartConverged: true,
			Faults: []faults.Fault{{Kind: faults.Power, Zone: "b", At: 5 * sec, Length: 40 * sec}},
			Changed: func(r int, now time.Duration, c *members.Changed) {
				if now < 5*sec || now > 45*sec {
					return
				}
				isZoneLoss := len(c.Changes) == n/3
				for _, x := range c.Changes {
					isZoneLoss = isZoneLoss && x.Reason == members.ReasonZoneLost && x.Member.Zone == "b"
				}
				if isZoneLoss {
					lost[r]++
				} else {
					other++
					t.Logf("%v r%d: %d changes", now, r, len(c.Changes))
				}
			}})
		w.Run(5*sec + 1)
		t.Logf("%d routers: views converged in %v", n, w.mustConverge(t, convergenceBound(n)))
		w.Run(44 * sec)
		for r := range lost {
			if w.Decider(r) != nil && lost[r] != 1 {
				t.Errorf("%d routers: r%d reports %d lost zones", n, r, lost[r])
			}
		}
		if other > 0 {
			t.Errorf("%d routers: %d changes other than the lost zone", n, other)
		}
	}
}
