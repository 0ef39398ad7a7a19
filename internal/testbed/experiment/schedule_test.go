package experiment

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"reachspread/internal/testbed/checker"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/simulator"
)

const fleetOf = `seeds = 3
length = "10s"
routers = 6
group "g" {
  hosts = 4
  zone  = "east"
}
group "h" {
  hosts = 2
  zone  = "west"
}
class "chat" {
  aim        = "1s"
  deadline   = "2s"
  rate       = 40
  turns      = 3
  think      = "1s"
  out_median = 20
}
`

// A schedule of faults that is drawn for real processes is the same after it is written as text and
// parsed again.
func TestScheduleTextAndBack(t *testing.T) {
	x, err := Parse([]byte(fleetOf), "x.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(300) {
		drawn := faults.Draw(faults.Bounds{Length: 10 * time.Second, Faults: 12, World: faults.RealProcesses}, x.Topology(), seed)
		drawn[0].When = &faults.When{What: "phase", Who: "r1", Text: "serving", Nth: 2}
		y, err := Parse([]byte(fleetOf+faults.Text(drawn)), "y.hcl")
		if err != nil {
			t.Fatalf("%v in\n%s", err, faults.Text(drawn))
		}
		if diff := cmp.Diff(drawn, y.Faults, cmpopts.IgnoreFields(faults.Fault{}, "Source"), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
		if err := y.CheckFor(faults.RealProcesses); err != nil {
			t.Fatal(err)
		}
	}
}

// A fault that does not exist in virtual time, and one with an invalid field, give an error of one
// line with file, line and field.
func TestScheduleRefused(t *testing.T) {
	for text, want := range map[string]string{
		`fault "smoke" {}`: `x.hcl:20: fault "smoke" is unknown`,
		"fault \"kill\" {\n at = \"1s\"\n length = \"1s\"\n routers = [0]\n share = 0.5\n}":     `x.hcl:24: share is not a field of fault kill`,
		"fault \"kill\" {\n length = \"1s\"\n routers = [0]\n}":                                 `x.hcl:20: at is missing from fault kill`,
		"fault \"loss\" {\n at = \"1s\"\n length = \"1s\"\n routers = [0]\n share = 1.5\n}":     `x.hcl:24: share must be a number from 0 to 1`,
		"fault \"pause\" {\n at = \"1s\"\n length = \"1s\"\n routers = [0]\n}":                  `x.hcl:20: fault "pause" does not exist in virtual time, only on sockets`,
		"fault \"kill\" {\n at = \"11s\"\n length = \"1s\"\n routers = [0]\n}":                  `x.hcl:20: at is 11s; the run ends after 10s`,
		"fault \"kill\" {\n at = \"1s\"\n length = \"1s\"\n routers = [6]\n}":                   `x.hcl:20: routers has 6; there are 6, from 0`,
		"fault \"kill\" {\n at = \"1s\"\n length = \"1s\"\n}":                                   `x.hcl:20: routers selects nothing; the fault needs a target`,
		"fault \"kill\" {\n length = \"1s\"\n routers = [0]\n when {\n whom = \"r0\"\n}\n}":     `x.hcl:24: whom is not a field of when`,
		"fault \"cut\" {\n at = \"1s\"\n length = \"1s\"\n routers = [0]\n links=[\"list\"]\n}": `x.hcl:20: links to hosts or to the list do not exist for single routers`,
	} {
		x, err := Parse([]byte(fleetOf+text), "x.hcl")
		if err == nil {
			if err = x.CheckFor(faults.Simulation); err == nil {
				spec := x.Virtual(0, 1)
				err = spec.Check()
			}
		}
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: got %v, want %s", text, err, want)
		}
	}
	x, err := Parse([]byte(fleetOf+"trouble \"lost_zone\" {\n at = \"1s\"\n length = \"1s\"\n zone = \"east\"\n}"), "x.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if err := x.CheckFor(faults.RealProcesses); err == nil || err.Error() != `x.hcl:20: trouble "lost_zone" exists only in virtual time; on sockets, use fault "power"` {
		t.Errorf("got %v", err)
	}
}

// The checkers of package checker find no broken rule in simulations with random faults and with
// reports between routers. A fault that waits for an event begins at that event.
func TestJudgeVirtualTime(t *testing.T) {
	x, err := Parse([]byte(fleetOf), "x.hcl")
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[faults.Kind]int{}
	for seed := range uint64(24) {
		spec := x.World(0, seed)
		spec.Routers = 9 // enough routers to send each other reports
		spec.Peers = simulator.Peers{On: true, Most: 5 * time.Millisecond}
		spec.Faults = faults.Draw(faults.Bounds{Length: spec.Length, World: faults.Simulation}, spec.Topology(), seed)
		for i := range spec.Faults { // restricts faults to those that exist in virtual time
			f := &spec.Faults[i]
			f.Disk, f.File, f.RemainingFraction = "", "", 0
			if len(f.Links) > 0 && f.Links[0] != faults.LinkPeers || len(f.Links) > 1 {
				f.Links, f.Routers, f.Direction = []string{faults.LinkHosts}, faults.Selection{All: true}, ""
				f.Kind, f.Share, f.Delay, f.Jitter = faults.Blackhole, 0, 0, 0
			}
			kinds[f.Kind]++
		}
		f := faults.Fault{Kind: faults.Kill, Length: time.Second, At: 50 * time.Millisecond, Routers: faults.Selection{Numbers: []int{1}},
			When: &faults.When{What: "answer", Nth: 30}}
		spec.Faults = append(spec.Faults, f)
		all := []history.Event{{What: history.Begin, Play: &history.Play{Version: 1, World: "lab", Routers: 9, Hosts: 6, Slack: 30e6}}}
		answers, killed := 0, int64(0)
		spec.History = func(e *history.Event) {
			all = append(all, *e)
			if e.What == history.Answer {
				if answers++; answers == 30 {
					killed = e.T + 50e6
				}
			}
		}
		w, err := simulator.New(spec)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.Run(0); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, faults.Text(spec.Faults))
		}
		for _, v := range checker.CheckAll(all) {
			t.Errorf("seed %d: %s\n%s", seed, v.String(), faults.Text(spec.Faults))
		}
		last := len(spec.Faults) - 1
		if begun := faultAt(all, last); begun != killed || answers < 100 {
			t.Errorf("seed %d: the fault that waits for an event began at %d, want %d; %d answers, want 100 or more", seed, begun, killed, answers)
		}
	}
	if len(kinds) < 7 {
		t.Errorf("only these kinds of faults were injected, want 7 or more: %v", kinds)
	}
}

func faultAt(all []history.Event, n int) int64 {
	for _, e := range all {
		if e.What == history.Fault && e.N == n {
			return e.T
		}
	}
	return -1
}
