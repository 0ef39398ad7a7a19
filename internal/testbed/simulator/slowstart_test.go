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

var slowStartSeeds = flag.Uint64("slowstart", 1, "schedules to draw for each number of routers")

// slowStart draws a world in which many hosts start cold under more load than they can take:
// routers get uneven parts of it, hear of starts at different times, miss part of what the others
// tell or all of it, and some of them die and come back.
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

// meanWork is about the work of the mean request of a world, as a cold host counts it.
func meanWork(s *Spec, c hostmodel.SlowStart) time.Duration {
	var sum, rate float64
	for i := range s.Classes {
		x := &s.Classes[i]
		prompt := x.New.Median*1.4 + x.PrefixLen.Median*1.1 // a log-normal's mean is above its median
		work := prompt*float64(c.PerPromptToken) + x.Out.Median*1.2*float64(c.PerAnswerToken)
		sum, rate = sum+work*x.Rate, rate+x.Rate
	}
	return time.Duration(sum / rate)
}

// coldBudgetUsed plays a world and returns the most that any cold host was sent in a window, as a
// part of what it may be.
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

// The sum over all routers that were told of a start stays within what the settings allow, in every
// window: with one router or hundreds, with more routers than calls in the budget, whoever hears of
// whom. That a share too large is found is shown where hosts are no bound, by balance's
// TestNoViewOverloadsAReplicaInSlowStart.
func TestSlowStartOverDrawnSchedules(t *testing.T) {
	for _, routers := range []int{1, 3, 30, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			for seed := range *slowStartSeeds {
				used := coldBudgetUsed(t, slowStart(seed, routers))
				t.Logf("seed %d: %.2f of the budget", seed, used)
				if used > 1 {
					t.Errorf("seed %d: %.2f times what a cold host may be sent", seed, used)
				}
			}
		})
	}
}
