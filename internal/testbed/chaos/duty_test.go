package chaos

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/router/quorum"
	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

// dutyCases are schedules for routers with duties. Four routers may become voters, and three are.
// The faults hit these routers one after another, so they also hit the holder of each duty. Package
// dutylab runs the same schedules with many seeds.
var dutyCases = map[string]struct {
	length, faults string
	says           string // a text that some router must log; a bar separates alternatives
}{
	"each stands still for longer than a lease": {"22s", inTurn("pause", "2500ms", 3200, "", 0, 1, 2, 3) + `
fault "pause" {
  at = "15s"
  length = "2500ms"
  routers = "all"
}
`, "lease lost"},
	"each is cut off from voters and not from its work, in all directions": {"22s", inTurn("cut", "2500ms", 3300, `links = ["peers"]`, 0, 1) +
		strings.ReplaceAll(inTurn("cut", "2500ms", 3300, `links = ["peers"]
  direction = "out"`, 2), "2s\"", "8600ms\"") + `
fault "cut" {
  at = "12s"
  length = "2500ms"
  routers = [3]
  direction = "in"
}
fault "partition" {
  at = "15s"
  length = "3s"
  groups = [[0, 1], [2, 3]]
  bridge = [4]
}
`, ""},
	"each comes back with another disk": {"24s", `
fault "kill" {
  at = "2s"
  length = "500ms"
  routers = [0]
  disk = "empty"
}
fault "kill" {
  at = "6s"
  length = "500ms"
  routers = [1]
  disk = "other"
}
fault "kill" {
  at = "10s"
  length = "500ms"
  routers = [2]
  disk = "cut"
  keep = 0.6
}
fault "kill" {
  at = "14s"
  length = "500ms"
  routers = [3]
  disk = "older"
}
`, "voter store unreadable"},
	"the power goes for all, twice, and a release goes on": {"24s", `
fault "power" {
  at = "2s"
  length = "1s"
}
fault "power" {
  at = "7s"
  length = "1s"
}
` + strings.ReplaceAll(steps("restart", "300ms", 0, 1, 2, 3, 4), "at = \"", "at = \"1"), "voters have a leader|lease acquired"},
	"no file can be written, and the work fails": {"27s", `
# For longer than the 10 s after which a scribe writes what has not changed.
fault "no_write" {
  at = "2s"
  length = "11s"
  routers = [0, 1, 2, 3]
}
fault "full_disk" {
  at = "14s"
  length = "4s"
  routers = [0]
}
fault "kill" {
  at = "19s"
  length = "500ms"
  routers = [0]
}
`, "role work failed"},
}

// inTurn returns faults of one kind, one for each router, that begin every milliseconds apart.
func inTurn(kind, length string, every int, more string, routers ...int) string {
	var b strings.Builder
	for i, n := range routers {
		fmt.Fprintf(&b, "fault %q {\n  at = \"%dms\"\n  length = %q\n  routers = [%d]\n  %s\n}\n", kind, 2000+every*i, length, n, more)
	}
	return b.String()
}

// Runs each case on real processes. No checker finds a violation, and copies are still sent in the
// last 3 s.
func TestDuties(t *testing.T) {
	t.Parallel()
	binary := routerBinary(t)
	for name, x := range dutyCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := playOnce(t, Options{Experiment: parse(t, x.length, 5, "view = true\nvoters = 3", x.faults), Seed: 1, Program: binary})
			for _, v := range r.Verdicts {
				t.Error(v.String())
			}
			acts, last, said := 0, int64(0), x.says == ""
			for _, e := range r.Events {
				switch e.What {
				case history.Act:
					acts++
					last = e.T
				case history.Log:
					for _, want := range strings.Split(x.says, "|") {
						said = said || strings.Contains(e.Text, want)
					}
					if strings.Contains(e.Text, "role") || strings.Contains(e.Text, "lease") || strings.Contains(e.Text, "voter") {
						t.Log(time.Duration(e.T).Round(time.Millisecond), e.Who, e.Text)
					}
				}
			}
			length, _ := time.ParseDuration(x.length)
			if t.Log(acts, "acts"); last < (length - 3*time.Second).Nanoseconds() {
				t.Errorf("the last act was at %v, more than 3 s before the end", time.Duration(last))
			}
			if !said {
				t.Errorf("no log line has %q", x.says)
			}
		})
	}
}

// Only one router of a zone drains at a time. The next one of the zone waits and says so, and one of
// another zone does not wait. When a router with a drain permission dies, the permission is free
// after one lease. A planned restart never waits.
func TestLeaveToDrain(t *testing.T) {
	t.Parallel()
	r := playOnce(t, Options{Experiment: parse(t, "17s", 5, "view = true\nvoters = 3\ndrains = 1", `
fault "withhold" {
  at = "2s"
  length = "3s"
  routers = [0]
}
fault "withhold" {
  at = "2500ms"
  length = "12s"
  routers = [2]
}
fault "withhold" {
  at = "3s"
  length = "1s"
  routers = [1]
}
fault "kill" {
  at = "7s"
  length = "2s"
  routers = [2]
}
fault "withhold" {
  at = "7500ms"
  length = "5s"
  routers = [4]
}
fault "restart" {
  at = "8s"
  length = "300ms"
  routers = [0]
}
`), Seed: 1, Program: routerBinary(t)})
	for _, v := range r.Verdicts {
		t.Error(v.String())
	}
	drains, waited := map[string]time.Duration{}, false
	for _, e := range r.Events {
		switch {
		case e.What == history.Phase && e.Text == "draining":
			drains[e.Who] = time.Duration(e.T)
		case e.What == history.Return && e.ID == "drain-on" && e.Who == "r2":
			waited = strings.Contains(e.Text, "waits for leave")
		}
	}
	between := func(who string, from, to time.Duration) {
		t.Helper()
		if at := drains[who]; at < from || at > to {
			t.Errorf("%s drained at %v, not between %v and %v", who, at, from, to)
		}
	}
	// Without the wait, or with one wait too many, the times would differ by at least 1.5 s. A busy
	// machine delays them by less than 1 s.
	late := 2 * time.Duration(r.Events[0].Play.Slack)
	between("r0", 2*time.Second, 2*time.Second+late)
	between("r1", 3*time.Second, 3*time.Second+late)
	between("r2", 5*time.Second, 5*time.Second+late)
	// The leader of the voters may be r2, which dies at 7 s, or r0, which restarts at 8 s. The router
	// that is elected next waits for a whole lease.
	elected := 12 * quorum.TickInterval // eight ticks without a leader, and up to four of random spread
	between("r4", 8*time.Second, 8*time.Second+elected+lease.DefaultTiming.Duration+lease.DefaultTiming.ClockAllowance+late)
	if !waited {
		t.Error("r2 did not answer that it waits for its leave to drain")
	}
}

// The first reload replaces a pool by another. The second one changes a time of that pool, so the
// pool is created again. Each pool has one copier at a time, which starts to copy within seconds. No
// request is copied to a removed pool.
func TestPoolsReloaded(t *testing.T) {
	t.Parallel()
	edits := []settingsEdit{{`pool "candidate" {`, `pool "next" {`}, {`pool "next" {`, "pool \"next\" {\n    silent = \"3s\""}}
	r := playOnce(t, Options{Experiment: parse(t, "17s", 5, "view = true\nvoters = 3", `
fault "reload" {
  at = "5s"
  length = "100ms"
  routers = "all"
}
fault "reload" {
  at = "11s"
  length = "100ms"
  routers = "all"
}
`), Seed: 1, Program: routerBinary(t)}, edits...)
	for _, v := range r.Verdicts {
		t.Error(v.String())
	}
	var at []int64
	for _, e := range r.Events {
		if e.What == history.Fault && e.Text == string(faults.Reload) {
			at = append(at, e.T)
		}
	}
	const gone, comes = time.Second, 3 * time.Second // the first copy comes after at most a lease and a second; the rest allows for a busy machine
	copies := map[string]int{}
	for _, e := range r.Events {
		if e.What == history.Act {
			when := "first"
			for i, t := range at {
				if e.T > t+gone.Nanoseconds() {
					when = fmt.Sprint("reload ", i)
				}
				if e.T > t+comes.Nanoseconds() {
					when = fmt.Sprint("long after ", i)
				}
			}
			copies[when+" "+e.Text]++
		}
	}
	t.Log(copies)
	for what, want := range map[string]bool{"first copier/candidate": true, "reload 0 copier/candidate": false, "long after 0 copier/candidate": false, "long after 0 copier/next": true, "long after 1 copier/next": true} {
		if (copies[what] > 0) != want {
			t.Errorf("%s: %d copies", what, copies[what])
		}
	}
	if most, _ := maxActsPerSecond(r.Events); most > copiesPerSecond {
		t.Errorf("%d copies in a second exceed the limit", most)
	}
}

// maxActsPerSecond returns the largest number of accepted acts in any second of a play, and the
// number of all accepted acts.
func maxActsPerSecond(events []history.Event) (most, all int) {
	var at []int64
	for _, e := range events {
		if e.What == history.Act && e.Status == 200 {
			for at = append(at, e.T); e.T-at[0] >= time.Second.Nanoseconds(); at = at[1:] {
			}
			most, all = max(most, len(at)), all+1
		}
	}
	return most, all
}

// firstEventLatencies returns the times from sending a request to its first event, in ascending
// order.
func firstEventLatencies(events []history.Event) (all []time.Duration) {
	asked := map[string]int64{}
	for _, e := range events {
		switch e.What {
		case history.Ask:
			asked[e.ID] = e.T
		case history.First:
			if at, ok := asked[e.ID]; ok {
				all = append(all, time.Duration(e.T-at))
				delete(asked, e.ID)
			}
		}
	}
	slices.Sort(all)
	return all
}

// Hands the copier duty over every 2 s, about 50 times with -measure. The fleet's limit on copies
// holds in every second. The log compares the latency of live requests with and without copies.
func TestMeasureCopies(t *testing.T) {
	length, every := "14s", "2s"
	if *measure {
		length, every = "105s", "2s"
	} else {
		t.Parallel()
	}
	rounds := 1
	if *measure {
		rounds = 1
	}
	for round := range rounds {
		for _, rig := range []string{"view = true\nvoters = 3\nhand_over = \"" + every + "\"", "view = true"} {
			if !*measure && rig == "view = true" {
				continue
			}
			x, err := experiment.Parse([]byte(strings.Replace(fmt.Sprintf(fleetFormat, length, 5, rig), "= 30", "= 60", 1)), "x.hcl")
			if err != nil {
				t.Fatal(err)
			}
			r := playOnce(t, Options{Experiment: x, Seed: uint64(round + 1), Program: routerBinary(t)})
			for _, v := range r.Verdicts {
				t.Error(v.String())
			}
			most, acts := maxActsPerSecond(r.Events)
			holders := map[uint64]bool{}
			memory := int64(0)
			for _, e := range r.Events {
				if e.What == history.Act {
					holders[e.Token] = true
				}
				memory = max(memory, e.Memory)
			}
			f := firstEventLatencies(r.Events)
			t.Logf("%q: %d copies by %d holders, %d in a second at most (cap %d); first event of %d live requests p50 %v, p99 %v; memory %d MB at most", strings.ReplaceAll(rig, "\n", ", "),
				acts, len(holders), most, copiesPerSecond, len(f), f[len(f)/2].Round(10*time.Microsecond), f[len(f)*99/100].Round(10*time.Microsecond), memory>>20)
			if most > copiesPerSecond {
				t.Errorf("%d copies in a second exceed the limit", most)
			}
			if strings.Contains(rig, "voters") && len(holders) < 4 {
				t.Errorf("the copier duty had %d holders, want at least 4", len(holders))
			}
		}
	}
}
