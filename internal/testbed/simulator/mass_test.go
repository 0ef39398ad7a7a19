package simulator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

var massSeeds = flag.Uint64("mass", 0, "number of seeds with which to simulate 300 routers")

// With 300 routers and 100 hosts, the rules hold if a third of the hosts dies and restarts cold, if
// seven in ten routers are killed at once, or if six in ten hosts are replaced. A broken rule ends
// the simulation with an error. Costs that grow with routers times hosts stay bounded for each
// attempt. The test takes too long for CI under the race detector. To run it: go test
// ./internal/testbed/simulator -run ThreeHundred -mass 8.
func TestThreeHundredRouters(t *testing.T) {
	if *massSeeds == 0 {
		t.Skip("runs only with -mass")
	}
	for _, trouble := range []Disruption{
		{Kind: HostsDie, At: 4 * time.Second, Length: 2 * time.Second, Fraction: 0.33},
		{Kind: RouterCrash, At: 4 * time.Second, Length: 2 * time.Second, Fraction: 0.7},
		{Kind: Replace, At: 4 * time.Second, Length: 5 * time.Second, Fraction: 0.6},
	} {
		t.Run(string(trouble.Kind), func(t *testing.T) {
			t.Parallel()
			for seed := range *massSeeds {
				s := largestFleet(seed)
				s.Disruptions = []Disruption{trouble}
				r, _ := run(t, s)
				t.Logf("seed %d: G %.3f, %d attempts, %.2f handshakes and %.1f peer reports received for each attempt, %d probes, %.0f list entries for each request", seed, r.G(),
					r.Attempts, float64(r.Handshakes)/float64(r.Attempts), float64(r.Heard)/float64(r.Attempts), r.Probes,
					float64(r.Lines)/float64(firstTries(r)))
				if r.Heard > 40*r.Attempts+300*300*2 || r.Handshakes > 2*r.Attempts || r.Probes != 0 {
					t.Errorf("seed %d: %d peer reports received, %d handshakes, %d probes for %d attempts", seed, r.Heard, r.Handshakes, r.Probes, r.Attempts)
				}
			}
		})
	}
}

func firstTries(r *Result) (n uint64) {
	for _, c := range r.Classes {
		n += c.Asked
	}
	return n
}

// TestMeasureTogether measures, in simulations of 300 routers, the losses from the routers' combined
// decisions: refusals and late answers although hosts have room, unused capacity of cold hosts, and
// prompts that wait at some hosts while other hosts have none waiting.
func TestMeasureTogether(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; see docs/measurements/")
	}
	t.Log("| trouble | G | asked | refused | of them beside a warm host with room in the zone | beside a cold one alone | late | work sent to cold hosts, of what they can do | prompts that wait at hosts, while a third of the hosts have none | handshakes an attempt |")
	for _, trouble := range []Disruption{{}, {Kind: HostsDie, At: 4 * time.Second, Length: 2 * time.Second, Fraction: 0.33},
		{Kind: Replace, At: 4 * time.Second, Length: 5 * time.Second, Fraction: 0.6}} {
		var g, asked, refusals, warm, cold, late, did, could, waits, beside, handshakes, attempts float64
		const seeds = 3
		for seed := range uint64(seeds) {
			s := largestFleet(seed)
			for i := range s.Classes {
				s.Classes[i].New = Length{800, 0.8} // a load that the fleet can serve while its hosts are warm
			}
			s.Disruptions = nil
			if trouble.Kind != "" {
				s.Disruptions = []Disruption{trouble}
			}
			var w *World
			at, looked := map[string]*router{}, time.Duration(0)
			room := func(h *host, x hostmodel.Stats) bool {
				return h.alive && h.state == balance.Serving && x.Waiting == 0 && x.Running < s.Groups[h.group].Host.Slots/4
			}
			s.History = func(e *history.Event) {
				if w == nil {
					return
				}
				switch e.What {
				case history.Ask:
					var n int
					fmt.Sscanf(e.Who, "r%d", &n)
					at[e.ID] = w.routers[n]
				case history.Answer:
					r := at[e.ID]
					if delete(at, e.ID); e.How != history.Refused || r == nil {
						return
					}
					refusals++
					has := [2]bool{}
					for _, h := range w.hosts {
						if h.zone == r.zone && room(h, h.model.Stats(w.now)) {
							has[btoi(h.startedAt > 0 && w.clock()-h.startedAt < s.Balance.SlowStartWindow)] = true
						}
					}
					if has[0] {
						warm++
					} else if has[1] {
						cold++
					}
				}
				if w.now < looked+100*ms {
					return
				}
				passed := (w.now - looked).Seconds()
				looked = w.now
				free, queued, serving := 0, 0, 0
				for _, h := range w.hosts {
					if !h.alive || h.state != balance.Serving {
						continue
					}
					x := h.model.Stats(w.now)
					serving++
					if queued += x.Waiting; x.Waiting == 0 {
						free++
					}
					if h.startedAt > 0 && w.clock()-h.startedAt < s.Balance.SlowStartWindow {
						could += passed
						did += passed * min(float64(x.Running)/(float64(s.Groups[h.group].Host.Slots)/4), 1)
					}
				}
				if waits += float64(queued); free*3 >= serving {
					beside += float64(queued)
				}
			}
			var err error
			if w, err = New(s); err != nil {
				t.Fatal(err)
			}
			r, err := w.Run(50e6)
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range r.Classes {
				asked, late = asked+float64(c.Asked), late+float64(c.Late)
			}
			g += r.G() / seeds
			handshakes, attempts = handshakes+float64(r.Handshakes), attempts+float64(r.Attempts)
		}
		t.Logf("| %s | %.3f | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f | %.0f of %.0f | %.2f |", trouble.Kind, g, asked, refusals, warm, cold, late, did/max(could, 1e-9), beside, waits, handshakes/attempts)
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
