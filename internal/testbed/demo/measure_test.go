package demo

import (
	"flag"
	"io"
	"math"
	"testing"
	"time"

	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/simulator"
)

var (
	measure = flag.Bool("measure", false, "run the measurements")
	played  = flag.Duration("played", 10*time.Second, "length of the load of each fleet in the measurements")
)

// TestMeasureAgreement runs the same load on six fleets: once through the real router on sockets,
// and once in virtual time. It logs how far the shares of requests served in time differ.
func TestMeasureAgreement(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; see docs/measurements/")
	}
	x, err := experiment.Parse(defaults, "demo.hcl")
	if err != nil {
		t.Fatal(err)
	}
	times := func(f float64) func(*simulator.Spec) {
		return func(s *simulator.Spec) {
			for i := range s.Classes {
				s.Classes[i].Rate *= f
			}
		}
	}
	t.Logf("| fleet | requests | served in time, sockets | virtual | difference in points |")
	for _, shape := range []struct {
		name   string
		change func(*simulator.Spec)
	}{
		{"3 hosts, light", times(1)},
		{"3 hosts, 3 times the load", times(3)},
		{"3 hosts, 8 times the load", times(8)},
		{"8 hosts of 8 slots", func(s *simulator.Spec) { times(3)(s); s.Groups[0].Count, s.Groups[0].Host.Slots = 8, 8 }},
		{"3 hosts, long prompts", func(s *simulator.Spec) {
			for i := range s.Classes {
				s.Classes[i].New.Median *= 6
			}
		}},
		{"3 hosts, half as fast, little memory", func(s *simulator.Spec) {
			times(2)(s)
			h := &s.Groups[0].Host
			h.Base, h.ReadPerS, h.Memory = 2*h.Base, h.ReadPerS/2, 35000
		}},
	} {
		spec := x.World(0, 1)
		spec.Length, spec.Routers, spec.Retries.Max = *played, 1, 0
		shape.change(&spec)
		plan, err := simulator.Plan(spec)
		if err != nil {
			t.Fatal(err)
		}
		s, err := start(t.Context(), &spec, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		clients := fakes.NewClients(s.addr, &spec)
		clients.Run(t.Context(), plan)
		good := 0
		for _, tally := range clients.Tallies() {
			good += tally.Good
		}
		if err := s.stop(); err != nil {
			t.Error(err)
		}
		w, err := simulator.New(spec)
		if err != nil {
			t.Fatal(err)
		}
		r, err := w.Run(0)
		if err != nil {
			t.Fatal(err)
		}
		virtual := uint64(0)
		for _, c := range r.Classes {
			virtual += c.Good
		}
		sockets, simulated := 100*float64(good)/float64(len(plan)), 100*float64(virtual)/float64(len(plan))
		t.Logf("| %s | %d | %.1f | %.1f | %.1f |", shape.name, len(plan), sockets, simulated, math.Abs(sockets-simulated))
	}
}
