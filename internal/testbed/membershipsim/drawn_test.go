package membershipsim

import (
	"testing"
	"time"

	"reachspread/internal/testbed/faults"
)

// playDrawn plays a schedule that a seed draws, on a fleet that it draws too, and returns what is
// wrong.
func runDrawn(t testing.TB, seed uint64) string {
	s := Spec{Seed: seed, Routers: 2 + int(seed*7%23), Zones: 1 + int(seed%4), Duration: 2 * time.Minute}
	if seed%3 == 0 {
		s.Seeds = 3 + s.Routers/4
	}
	b := faults.Bounds{Length: 30 * sec, Faults: 5, World: faults.MembershipSimulation}
	for _, f := range faults.Draw(b, s.Topology(), seed) {
		f.Links, f.At = nil, f.At+5*sec
		s.Faults = append(s.Faults, f)
	}
	w := newWorld(t, s)
	last := time.Duration(0)
	for _, f := range s.Faults {
		last = max(last, f.At+f.Length)
	}
	err := w.Run(last + 1)
	var why string
	ok := true
	if err == nil {
		if _, ok, why = w.AwaitConvergence(last + convergenceBound(s.Routers)); ok {
			err = w.Run(w.now + 5*sec)
			ok, why = w.Converged()
		}
	}
	switch {
	case err != nil:
		return err.Error() + faults.Text(s.Faults)
	case !ok:
		return "not settled: " + why + faults.Text(s.Faults)
	case w.FalseDeaths > 0 && !allowsFalseDeaths(s.Faults):
		return "a living member was taken for dead" + faults.Text(s.Faults)
	}
	return ""
}

// heavy tells whether so much is lost, or stands still in bursts, that a death is none of the
// decider's fault.
func allowsFalseDeaths(all []faults.Fault) bool {
	lost := 0.0
	for _, f := range all {
		switch f.Kind {
		case faults.Crawl:
			return true
		case faults.Loss, faults.Truncate, faults.Flip:
			lost += f.Share
		}
	}
	return lost >= 0.5
}

// Drawn schedules on drawn fleets, of few routers that know each other or not, settle and break
// nothing.
func TestDrawn(t *testing.T) {
	seeds := []uint64{2112, 2676, 5972, 6236, 9116, 51539} // that failed once
	for seed := range uint64(150) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		if why := runDrawn(t, seed); why != "" {
			t.Errorf("seed %d: %s", seed, why)
		}
	}
}

// The same by thousands.
func TestMeasureDrawn(t *testing.T) {
	requireMeasureFlag(t)
	failed := 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*drawnSchedules); seed++ {
		if why := runDrawn(t, seed); why != "" {
			failed++
			t.Errorf("seed %d: %s", seed, why)
		}
	}
	t.Logf("%d schedules from seed %d on: %d failed", *drawnSchedules, *firstSeed, failed)
}
