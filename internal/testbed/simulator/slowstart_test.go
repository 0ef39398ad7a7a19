package simulator

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"reachspread/internal/testbed/hostmodel"
)

var slowStartSeeds = flag.Uint64("slowstart", 1, "number of random schedules for each number of routers")

// slowStart draws a simulation in which many hosts start cold under more load than they can serve.
// Routers get uneven parts of the load, learn of starts at different times, lose some or all of the
// reports of other routers, and some routers may die and restart.
func slowStart(seed uint64, routers int) Spec {
	rng := rand.New(rand.NewPCG(seed, uint64(routers)))
	hosts := []int{2, 4, 8}[rng.IntN(3)]
	s := fleetOf(seed, routers, hosts, (10+40*rng.Float64())*float64(hosts))
	s.Length = 12 * time.Second
	for i := range s.Classes {
		s.Classes[i].New = Length{[]float64{300, 1000, 2500}[rng.IntN(3)], 0.8}
	}
	s.Front.Uneven = rng.Float64()
	s.List.Spread = time.Duration(rng.Int64N(int64(3 * time.Second)))
	s.Peers.Lost = []float64{0, 0.2, 0.6, 1}[rng.IntN(4)]
	s.Disruptions = []Disruption{{Kind: HostsDie, At: 4 * time.Second, Length: 2 * time.Second, Fraction: 0.2 + 0.5*rng.Float64()}}
	if rng.IntN(2) == 0 {
		s.Disruptions[0] = Disruption{Kind: Replace, At: 4 * time.Second, Length: 3 * time.Second, Fraction: 0.2 + 0.5*rng.Float64()}
	}
	if rng.IntN(2) == 0 {
		s.Disruptions = append(s.Disruptions, Disruption{Kind: RouterCrash, At: 5 * time.Second, Length: 2 * time.Second, Fraction: 0.7 * rng.Float64()})
	}
	for i := range s.Groups {
		s.Groups[i].Host.SlowStart.MeanRequestWork = meanWork(&s, s.Groups[i].Host.SlowStart)
	}
	return s
}

// meanWork returns the approximate work of the mean request of a Spec, as a cold host counts it.
func meanWork(s *Spec, c hostmodel.SlowStart) time.Duration {
	var sum, rate float64
	for i := range s.Classes {
		x := &s.Classes[i]
		prompt := x.New.Median*1.4 + x.PrefixLen.Median*1.1 // the mean of a log-normal distribution is above its median
		work := prompt*float64(c.PerPromptToken) + x.Out.Median*1.2*float64(c.PerAnswerToken)
		sum, rate = sum+work*x.Rate, rate+x.Rate
	}
	return time.Duration(sum / rate)
}

// coldBudgetUsed runs a simulation and returns the largest fraction of the budget of calls in a
// window that any cold host has received.
func coldBudgetUsed(t *testing.T, s Spec) float64 {
	t.Helper()
	w, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	_, err = w.Run(50e6)
	var broken *Violation
	if err != nil && (!errors.As(err, &broken) || broken.Rule != ruleSlowStart) {
		t.Fatal(err)
	}
	worst := 0.0
	for _, h := range w.hosts {
		worst = max(worst, h.model.Stats(w.now).SlowStartBudgetUsed)
	}
	return worst
}

// In every window, the calls of all routers that know of a host's start stay within the budget that
// the settings allow: with one router or hundreds, with more routers than calls in the budget, and
// whichever reports routers receive. TestNoViewOverloadsAReplicaInSlowStart of package balance shows,
// with hosts that set no limit, that a router's share that is too large is detected.
func TestSlowStartOverDrawnSchedules(t *testing.T) {
	for _, routers := range []int{1, 3, 30, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			for seed := range *slowStartSeeds {
				used := coldBudgetUsed(t, slowStart(seed, routers))
				t.Logf("seed %d: %.2f of the budget", seed, used)
				if used > 1 {
					t.Errorf("seed %d: a cold host received %.2f times its budget of calls", seed, used)
				}
			}
		})
	}
}
