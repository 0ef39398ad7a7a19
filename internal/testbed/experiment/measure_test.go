package experiment

import (
	flags "flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"reachspread/internal/testbed/simulator"
)

var measure = flags.Bool("measure", false, "run the measurements")

// TestMeasurePowerLoss runs deploy/lab/powerloss.hcl with three numbers of routers, with and without
// reports between routers. It prints the value served in the 30 s after power returns, as a fraction
// of the value requested and of the upper bound that package simulator computes.
func TestMeasurePowerLoss(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; see docs/measurements/")
	}
	text, err := os.ReadFile("../../../deploy/lab/powerloss.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for _, peers := range []string{"", "\npeers {\n  least = \"3ms\"\n  most = \"22ms\"\n  lost = 0.05\n}\n"} {
		for _, routers := range []int{10, 80, 300} {
			x, err := Parse([]byte(strings.Replace(string(text), "routers = 10", fmt.Sprint("routers = ", routers), 1)+peers), "powerloss.hcl")
			if err != nil {
				t.Fatal(err)
			}
			for v := range x.Variants {
				t.Run(fmt.Sprintf("%d routers, peer reports %v, %s", routers, peers != "", x.Variants[v].Name), func(t *testing.T) {
					t.Parallel()
					for _, seed := range x.Seeds {
						w, err := simulator.New(x.Virtual(v, seed))
						if err != nil {
							t.Fatal(err)
						}
						r, err := w.Run(0)
						if err != nil {
							t.Error(err)
						}
						t.Logf("%d routers, peer reports %v, %s: %s", routers, peers != "", x.Variants[v].Name, afterReturn(r, 29, 30))
					}
				})
			}
		}
	}
}

// afterReturn summarizes the results of length seconds, beginning with second from.
func afterReturn(r *simulator.Result, from, length int) string {
	var b strings.Builder
	got, able := 0.0, 0.0
	for c := range r.Classes {
		g, a, of := 0.0, 0.0, 0.0
		for _, s := range r.Seconds[from : from+length] {
			g, a, of = g+s.Begun[c].Got, a+s.Able[c], of+s.Begun[c].Of
		}
		got, able = got+g, able+a
		fmt.Fprintf(&b, "%s %.3f of the bound, %.3f of what was asked; ", r.Classes[c].Name, g/a, g/of)
	}
	lowest := 0 // number of seconds after the hosts' warm-up in which less than nine tenths of the bound is served
	for _, s := range r.Seconds[from+8 : from+length] {
		g, a := 0.0, 0.0
		for c := range s.Begun {
			g, a = g+s.Begun[c].Got, a+s.Able[c]
		}
		if g < 0.9*a {
			lowest++
		}
	}
	fmt.Fprintf(&b, "all %.3f; G %.3f; %d dips after the warm-up", got/able, r.G(), lowest)
	return b.String()
}
