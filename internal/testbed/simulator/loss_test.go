package simulator

import (
	"flag"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"reachspread/internal/testbed/faults"
)

var (
	losses     = flag.Int("losses", 40, "number of random power losses to simulate")
	lossesFrom = flag.Uint64("losses-from", 1, "seed of the first random power loss")
)

// drawnLoss draws a simulation in which power is lost once to five times. A loss stops all or some
// routers and hosts, which restart in any order. Discovery may be unreachable meanwhile, some
// routers may restart with empty disks, and some hosts may also be replaced or slow.
func drawnLoss(seed uint64) Spec {
	rng := rand.New(rand.NewPCG(seed, 0x1055))
	s := small(seed)
	s.Routers, s.Learned, s.Gate = 1+rng.IntN(9), true, rng.IntN(4) > 0
	if s.Routers >= 8 {
		s.Peers = Peers{On: true, Least: 3 * ms, Most: 22 * ms, Lost: 0.1}
	}
	s.Length = 34 * time.Second
	for i := range s.Classes {
		s.Classes[i].Rate *= 0.5 + 2*rng.Float64() // up to far more than the fleet can serve
	}
	tenths := func(least, most int) time.Duration { return time.Duration(least+rng.IntN(most-least+1)) * 100 * ms }
	some := func() faults.Selection {
		if rng.IntN(3) == 0 {
			return faults.Selection{Fraction: 0.1 + 0.9*rng.Float64()}
		}
		return faults.Selection{All: true}
	}
	at := tenths(30, 90)
	for range 1 + rng.IntN(2)*rng.IntN(5) {
		for range 1 + rng.IntN(3) { // each group of routers restarts at its own time
			f := faults.Fault{Kind: faults.Kill, At: at + tenths(0, 3), Length: tenths(2, 40), Routers: some()}
			if rng.IntN(3) == 0 {
				f.Disk = faults.DiskEmpty
			}
			s.Faults = append(s.Faults, f)
		}
		if rng.IntN(5) > 0 {
			for range 1 + rng.IntN(3) {
				s.Faults = append(s.Faults, faults.Fault{Kind: faults.Kill, At: at + tenths(0, 3), Length: tenths(2, 40), Hosts: some()})
			}
		}
		if rng.IntN(3) == 0 {
			s.Faults = append(s.Faults, faults.Fault{Kind: faults.Blackhole, At: at + tenths(0, 10), Length: tenths(2, 60), Routers: faults.Selection{All: true}, Links: []string{faults.LinkList}})
		}
		at += tenths(8, 45)
		if at > 13*time.Second {
			break
		}
	}
	if rng.IntN(3) == 0 {
		s.Disruptions = append(s.Disruptions, Disruption{Kind: SlowHosts, At: tenths(20, 150), Length: tenths(10, 60), Fraction: 0.3, Size: 3})
	}
	if rng.IntN(4) == 0 {
		s.Disruptions = append(s.Disruptions, Disruption{Kind: Replace, At: tenths(20, 150), Length: tenths(5, 30), Fraction: 0.4})
	}
	return s
}

// No rule is broken in random power losses. To simulate 10,000 of them, run: go test
// ./internal/testbed/simulator -run Losses -losses 10000 (docs/measurements/recovery.md).
func TestRulesHoldInDrawnPowerLosses(t *testing.T) {
	t.Parallel()
	var next atomic.Int64
	var all sync.WaitGroup
	for range 6 {
		all.Go(func() {
			for n := next.Add(1) - 1; n < int64(*losses); n = next.Add(1) - 1 {
				seed := *lossesFrom + uint64(n)
				w, err := New(drawnLoss(seed))
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
					return
				}
				r, err := w.Run(50e6)
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
					continue
				}
				var good uint64
				for _, s := range r.Seconds[31:34] {
					good += s.Good
				}
				if good == 0 {
					t.Errorf("seed %d: no request is served in time 12 s after the last fault", seed)
				}
			}
		})
	}
	all.Wait()
}

// The rule for slow start finds a planted fault. Routers that take hosts for warm right after their
// start overload them; the same routers with the right slow start window do not.
func TestRuleFindsRoutersWithoutSlowStart(t *testing.T) {
	t.Parallel()
	overloads := func(planted bool) (n int) {
		for seed := range uint64(4) {
			s := drawnLoss(seed + 1)
			for i := range s.Classes {
				s.Classes[i].Rate, s.Classes[i].New, s.Classes[i].Prefixes = 100, Length{300, 0.5}, 0
			}
			if s.Routers = 20; planted {
				s.Balance.SlowStartWindow = ms
			}
			w, err := New(s)
			if err != nil {
				t.Fatal(err)
			}
			switch _, err := w.Run(50e6); {
			case err == nil:
			case strings.Contains(err.Error(), ruleSlowStart):
				n++
			default:
				t.Error(err)
			}
		}
		return n
	}
	if correct, planted := overloads(false), overloads(true); correct != 0 || planted == 0 {
		t.Errorf("hosts are overloaded in %d of 4 simulations, want none; with routers that take hosts for warm in %d of 4, want some", correct, planted)
	}
}
