package balance

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRequestAtSixtyHosts measures the cost of one request with its events, at 60 hosts in
// three zones and 80 routers. The benchmarks below measure it at the size of the fleet test (100
// hosts, 300 routers), at a thousand hosts and routers with peer reports, and at a thousand hosts
// without.
func BenchmarkRequestAtSixtyHosts(b *testing.B)          { benchmarkRequest(b, 60, 80) }
func BenchmarkRequestAtAHundredHosts(b *testing.B)       { benchmarkRequest(b, 100, 300) }
func BenchmarkRequestAtAThousandHosts(b *testing.B)      { benchmarkRequest(b, 1000, 1000) }
func BenchmarkRequestAloneAtAThousandHosts(b *testing.B) { benchmarkRequest(b, 1000, 0) }

// BenchmarkRequestOfTheRouterFleet measures the cost of one request in the router fleet, where each
// router uses all of the planned 810 hosts and receives reports of three other prompts for each of
// its own.
func BenchmarkRequestOfTheRouterFleet(b *testing.B) {
	benchmarkConfig(b, broadcastConfig(), 810)
}

func benchmarkRequest(b *testing.B, hosts, routers int) {
	cfg := testConfig()
	cfg.Routers = routers
	benchmarkConfig(b, cfg, hosts)
}

func benchmarkConfig(b *testing.B, cfg Config, hosts int) {
	var list []Member
	for i, name := range numberedNames("r", hosts) {
		list = append(list, Member{Replica: name, Zone: fmt.Sprint("z", i%3), Kind: "k"})
	}
	cfg.Zone = "z0"
	received := ReportsReceived{From: 1, Zone: zoneTag("z0"), Reports: []PeerReport{{ReplicaTag: 1, PrefillTokens: 100}}}
	m, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := 100 * sec
	step := func(after time.Duration, events ...Event) { now += after; m.Step(now, events) }
	step(0, Members{Version: 1, Complete: true, Members: list})
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		id := fmt.Sprint("q", i)
		step(100*ms, Arrival{ID: id, Class: "safe", Session: id, Prefix: fmt.Sprint("p", i%10), TimeLeft: 2 * sec, PromptTokens: 1000, PrefixTokens: 500})
		step(100*ms, received, received, received, FirstToken{ID: id})
		step(100*ms, Outcome{ID: id, Result: OK, Final: true})
	}
}

var capacity = flag.Bool("capacity", false, "print lines of docs/measurements/capacity.csv")

// TestMeasureCapacity prints the time that a request takes in this package and the memory of a
// Balancer, by number of hosts, at the planned number of routers per host.
func TestMeasureCapacity(t *testing.T) {
	if !*capacity {
		t.Skip("a measurement; see docs/CAPACITY.md")
	}
	for _, hosts := range []int{50, 100, 200, 400, 800, 1200} {
		for range 3 {
			result := testing.Benchmark(func(b *testing.B) { benchmarkRequest(b, hosts, hosts*330/810) })
			fmt.Printf("decisions for one request,us,hosts,%d,%.2f\n", hosts, float64(result.NsPerOp())/1000)
		}
		for range 3 {
			fmt.Printf("memory of the decisions,kB,hosts,%d,%.0f\n", hosts, memoryOf(hosts))
		}
	}
}

// memoryOf returns the memory of one Balancer, in kB, after each of its assigned replicas has
// maxCachedPrefixes entries in its prefix cache.
func memoryOf(hosts int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var list []Member
	for i, name := range numberedNames("r", hosts) {
		list = append(list, Member{Replica: name, Zone: fmt.Sprint("z", i%6), Kind: "k"})
	}
	cfg := testConfig()
	cfg.Zone, cfg.Routers = "z0", hosts*330/810
	b, err := New(cfg, 1)
	if err != nil {
		panic(err)
	}
	b.Step(100*sec, []Event{Members{Version: 1, Complete: true, Members: list}})
	for from := range cfg.Routers {
		b.Step(100*sec, []Event{ReportsReceived{From: from, Zone: zoneTag(fmt.Sprint("z", from%6))}})
	}
	for _, r := range b.assigned {
		for i := range maxCachedPrefixes {
			r.prefixCache.Put(fmt.Sprintf("%016x", i), b.now, 1000)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(b)
	return float64(after.HeapAlloc-before.HeapAlloc) / 1000
}
