package membershipsim

import (
	"flag"
	"runtime"
	"slices"
	"testing"
	"time"

	"reachspread/coord/members"
	"reachspread/internal/testbed/faults"
)

// The measurements run only with the flag -measure. docs/measurements/members.md has the commands
// and the results.
var (
	measure        = flag.Bool("measure", false, "run the measurements")
	hours          = flag.Float64("hours", 100, "router hours that TestMeasureFalseDeaths simulates")
	maxRouters     = flag.Int("most", 1000, "greatest number of routers in TestMeasureSizes")
	drawnSchedules = flag.Int("drawn", 200, "number of schedules in TestMeasureDrawn")
	firstSeed      = flag.Uint64("first", 1, "first seed of TestMeasureDrawn, and seed of TestMeasureFalseDeaths")
)

func requireMeasureFlag(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
}

// Measures the time from the first probe that a crashed router missed until 99 of 100 routers know
// of the crash, in a fleet of 300 routers.
func TestMeasureCrash(t *testing.T) {
	requireMeasureFlag(t)
	var detection99, detectionAll []time.Duration
	for seed := range uint64(100) {
		const n = 300
		informed := 0
		var at99, at100 time.Duration
		w := newWorld(t, Spec{Seed: seed, Routers: n, Zones: 3, Duration: time.Minute, StartConverged: true,
			Changed: func(_ int, now time.Duration, c *members.Changed) {
				for _, x := range c.Changes {
					if x.Reason == members.ReasonCrashed {
						if informed++; informed == (n-1)*99/100+1 {
							at99 = now
						}
						at100 = now
					}
				}
			},
			Faults: []faults.Fault{{Kind: faults.Kill, At: 10 * sec, Length: 40 * sec, Routers: numbers(int(seed) % n)}}})
		w.Run(30 * sec)
		detection99 = append(detection99, at99-w.FirstMiss(int(seed)%n))
		detectionAll = append(detectionAll, at100-10*sec)
		if w.FalseDeaths > 0 || informed != n-1 {
			t.Errorf("seed %d: %d false deaths, %d routers know of the crash", seed, w.FalseDeaths, informed)
		}
	}
	slices.Sort(detection99)
	slices.Sort(detectionAll)
	t.Logf("99 of 100 routers know %v (median), %v (p99), %v (most) after the first missed probe; all know %v (median), %v (most) after the crash",
		detection99[50], detection99[98], detection99[99], detectionAll[50], detectionAll[99])
}

// Measures false deaths with 20% loss and a pause of 1 s about once a minute at each router.
func TestMeasureFalseDeaths(t *testing.T) {
	requireMeasureFlag(t)
	const n = 300
	length := time.Duration(*hours / n * float64(time.Hour)).Round(time.Second)
	w := newWorld(t, Spec{Seed: *firstSeed, Routers: n, Zones: 3, Duration: length, StartConverged: true, MeanPauseInterval: time.Minute, PauseDuration: sec,
		Faults: []faults.Fault{{Kind: faults.Loss, Share: 0.2, Length: length, Routers: faults.Selection{All: true}}}})
	if err := w.Run(length); err != nil {
		t.Fatal(err)
	}
	stalls := uint64(0)
	for i := range n {
		stalls += w.Decider(i).Stats().Stalls
	}
	t.Logf("%v of %d routers: %d deaths reported, %d of them false; %.0f bytes a second for each router; %d stalls", length, n, w.Deaths, w.FalseDeaths,
		float64(w.Bytes)/length.Seconds()/n, stalls)
}

// Measures the bytes, datagrams, processor time and memory of each router in a stable fleet, and the
// time and bytes until a crash is known, at growing fleet sizes.
func TestMeasureSizes(t *testing.T) {
	requireMeasureFlag(t)
	for _, n := range []int{10, 30, 100, 300, 1000, 3000, 6000, 10000} {
		if n > *maxRouters {
			break
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		w := newWorld(t, Spec{Seed: 1, Routers: n, Zones: 3, Duration: time.Hour, StartConverged: true, StartSpread: sec,
			Faults: []faults.Fault{{Kind: faults.Kill, At: 70 * sec, Length: 60 * sec, Routers: numbers(0)}}})
		w.Run(10 * sec)
		b, d := w.Bytes, w.Datagrams
		begun := time.Now()
		w.Run(70 * sec)
		cpu := time.Since(begun)
		quiet, datagrams := float64(w.Bytes-b)/60/float64(n), float64(w.Datagrams-d)/60/float64(n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		w.Run(70*sec + 1)
		b = w.Bytes
		took := w.mustConverge(t, 30*sec)
		t.Logf("%5d routers: %.1f bytes and %.2f datagrams a second, %.4f%% of a core, %d kB each; views converge %v after a crash with %.0f bytes a router, %d false deaths",
			n, quiet, datagrams, 100*cpu.Seconds()/60/float64(n), (after.HeapAlloc-before.HeapAlloc)/uint64(n)>>10, took, float64(w.Bytes-b)/float64(n), w.FalseDeaths)
	}
}
