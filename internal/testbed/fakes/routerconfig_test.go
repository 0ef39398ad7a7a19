package fakes

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/testbed/simulator"
)

// The configuration files are byte for byte the same as those with which routers of earlier versions
// were started. The files under testdata were written by the code of commit 46689a5.
func TestRouterConfigKeepsItsBytes(t *testing.T) {
	spec := &simulator.Spec{Seed: 1, Tick: 5 * ms, Groups: []simulator.Group{{Count: 1, Kind: "k", Zone: "z", Host: config()}}}
	var c simulator.Class
	c.Class.Name, c.Class.Value, c.Class.LateValueFraction = "chat", 2.5, 0.25
	c.Class.LatencyTarget, c.Class.Deadline = 2*time.Second, 8*time.Second
	c.Class.LatencyTargetPer1000Tokens, c.Class.TokenLatencyTarget = 300*ms, 40*ms
	spec.Classes = []simulator.Class{c}
	spec.Balance.MaxAttempts, spec.Balance.MaxRetryAfter, spec.Balance.MayProbe = 3, time.Second, true
	spec.Balance.SlowStartWindow, spec.Balance.SlowStartMinCapacity = 9*time.Second, 0.1
	spec.Balance.OverloadFactor, spec.Balance.OverloadWindow = 1.5, 4*time.Second
	spec.Net.Connect, spec.Net.Idle = time.Second, time.Minute
	f, err := NewFleet(spec, AnyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for file, site := range map[string]RouterSite{
		"router-alone.json": {Name: "r", Listen: "127.0.0.1:1", Discovery: "127.0.0.1:9"},
		"router-peers.json": {Name: "r2", Listen: "127.0.0.1:1", Discovery: "127.0.0.1:9", Seed: 77, Zone: "y",
			Memory: 64, Sockets: 99, Cores: 0.5, Index: 1, Peers: []string{"a:1", "b:2"}},
	} {
		expected, err := os.ReadFile("testdata/" + file)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(expected), string(f.RouterConfig(site))); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
	}
}
