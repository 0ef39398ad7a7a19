package simulator

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"reachspread/balance"
)

var (
	measure = flag.Bool("measure", false, "run the measurements")
	played  = flag.Duration("played", 2*time.Second, "simulated time of each measurement")
)

// clocked is a Decider that measures the total and the longest time of its steps.
type clocked struct {
	Decider
	took *time.Duration
	most *time.Duration
}

func (c clocked) Step(now time.Duration, events []balance.Event) []balance.Action {
	start := time.Now()
	defer func() {
		took := time.Since(start)
		*c.took += took
		*c.most = max(*c.most, took)
	}()
	return c.Decider.Step(now, events)
}

// TestMeasureScale measures fleets of 10 to 1,000 hosts, with one router for every 10 hosts and 20
// requests a second for each host.
func TestMeasureScale(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; see docs/measurements/")
	}
	t.Logf("| hosts | routers | requests | G | events | wall s | events a second | module us a request | longest step ms | heap MB |")
	for _, hosts := range []int{10, 30, 100, 300, 1000} {
		var took, most time.Duration
		s := small(1)
		s.Length, s.Routers = *played, max(hosts/10, 1)
		for i := range s.Groups {
			s.Groups[i].Count = hosts / 2
			h := &s.Groups[i].Host // a host that can serve that load
			h.Slots, h.Memory, h.Base, h.PerSeq, h.ReadPerS = 128, 400000, 8*ms, 100*time.Microsecond, 80000
			s.Classes[i].Rate = 10 * float64(hosts)
		}
		s.New = func(c balance.Config, seed uint64) (Decider, error) {
			b, err := balance.New(c, seed)
			return clocked{b, &took, &most}, err
		}
		w, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		r, err := w.Run(0)
		if err != nil {
			t.Fatal(err)
		}
		wall := time.Since(start)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		t.Logf("| %d | %d | %.0f | %.3f | %d | %.2f | %.0f | %.1f | %.2f | %d |", hosts, s.Routers, r.Asked/2, r.G(), r.Events, wall.Seconds(),
			float64(r.Events)/wall.Seconds(), float64(took.Nanoseconds())/1000/max(r.Asked/2, 1), float64(most.Microseconds())/1000, m.HeapSys>>20)
	}
}

// TestMeasureWords prints the number of peer reports that all routers together receive for each
// attempt of the fleet, as lines of docs/measurements/capacity.csv. It does so for several numbers
// of routers, each with the planned number of hosts.
func TestMeasureWords(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; see docs/CAPACITY.md")
	}
	for _, routers := range []int{12, 24, 48, 96, 192} {
		for seed := range uint64(3) {
			hosts := routers * 810 / 330
			s := fleetOf(seed, routers, hosts/3, float64(hosts))
			s.Length = 6 * time.Second
			r, _ := run(t, s)
			fmt.Printf("words that all routers hear of an attempt,words,routers,%d,%.2f\n", routers, float64(r.Heard)/float64(r.Attempts))
		}
	}
}
