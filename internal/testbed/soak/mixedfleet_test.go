package soak

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/internal/testbed/localfleet"
	"reachspread/internal/testbed/pintest"
)

// landedProgram is the environment variable that holds the path of a reachspread binary of an earlier
// release.
const landedProgram = "REACHSPREAD_LANDED_PROGRAM"

const (
	mixedTime       = 5 * time.Second // how long the fleet runs halfway through and after each upgrade; probes of routers without a fault need less time
	pinFleetTimeout = 2 * time.Minute
)

// programs has the commands of the two programs that a mixed fleet runs.
type programs struct {
	landed, present []string
}

// bothPrograms returns the landed and the present program. It skips the test if the environment names
// no landed program.
func bothPrograms(t *testing.T) programs {
	t.Helper()
	path := os.Getenv(landedProgram)
	if path == "" {
		t.Skipf("%s is not set: it must hold the path of a reachspread binary that was landed earlier; .ci/run builds one and sets it", landedProgram)
	}
	if _, err := os.Stat(path); err != nil {
		t.Fatalf("%s: %v", landedProgram, err)
	}
	return programs{landed: []string{path, "router"}, present: []string{os.Args[0]}}
}

// checkProgram fails the test unless a router's process runs the program.
func checkProgram(t *testing.T, f *localfleet.Fleet, router int, want []string) {
	t.Helper()
	running, err := os.Stat(fmt.Sprintf("/proc/%d/exe", f.Process(router)))
	if err != nil {
		t.Error(err)
		return
	}
	wanted, err := os.Stat(want[0])
	if err != nil {
		t.Error(err)
		return
	}
	if !os.SameFile(running, wanted) {
		t.Errorf("%s does not run %s", f.Name(router), want[0])
	}
}

// A fleet of landed routers is upgraded to the present program one router at a time, and rolled
// back, while clients use their connections and the configuration changes in bursts. Halfway, the
// two programs serve together. No accepted request is lost, none is executed twice, and a router of
// either program without a fault uses the newest configuration.
func TestMixedFleet(t *testing.T) {
	both := bothPrograms(t)
	is := is.New(t)
	report, err := runWith(t.Context(), Options{Network: "127.80.2", Executable: both.landed, Seed: 1, Routers: 6, Disks: 3, Hosts: 3, Clients: 24},
		func(ctx context.Context, p *soakRun) {
			c := newScheduler(p)
			c.throttledFraction = 0
			for i := range p.fleet.Len() {
				checkProgram(t, p.fleet, i, both.landed)
			}
			for _, program := range [][]string{both.present, both.landed} {
				for step, i := range []int{0, 3, 1, 4, 2, 5} { // routers with and without a disk alternate
					p.fleet.SetExecutable(i, program)
					c.restart(ctx, c.rng, i)
					checkProgram(t, p.fleet, i, program)
					if step == 2 {
						p.hosts.drainOldest(ctx)
						sleep(ctx, mixedTime)
					}
				}
				sleep(ctx, mixedTime)
			}
		})
	is.NoErr(err)
	t.Logf("%+v", *report)
	for _, f := range report.Findings {
		t.Error(f)
	}
	is.Equal(report.Terminations, 12)
	is.True(report.Requests[Complete] > 500)
	is.True(report.Changes > 5)
	is.True(report.Probes > 0)
}

// Version pins hold while a fleet of landed routers is upgraded to the present program one router at
// a time, and rolled back. Each answer comes from a version that was pinned at some time between the
// request and its answer, and no unsafe request runs twice.
func TestPinsOnMixedFleet(t *testing.T) {
	both := bothPrograms(t)
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), pinFleetTimeout)
	defer cancel()
	f := localfleet.New(localfleet.Options{Folder: t.TempDir(), Network: "127.80.3", Routers: 4, Disks: 3, Executable: both.landed,
		HeartbeatMs: heartbeatMs, RevocationMs: 2000, GraceS: graceS})
	defer f.KillAll()
	is.NoErr(f.StartAll())
	story := newPinScenario(t, f)
	is.NoErr(story.Configure(ctx))
	is.NoErr(story.Register(ctx))
	is.NoErr(f.AwaitReady(ctx, 0, 1, 2, 3))
	go story.Heartbeats(ctx, heartbeatMs*time.Millisecond)
	story.StartTraffic()
	is.NoErr(story.ChangePin(ctx, 1))
	for _, program := range [][]string{both.present, both.landed} {
		for step, i := range []int{0, 3, 1, 2} {
			upgrade(ctx, t, f, i, program)
			is.NoErr(story.ChangePin(ctx, int64(1+step%2)))
		}
	}
	is.NoErr(story.ChangePin(ctx, 0))
	report := story.Finish()
	t.Logf("%d requests, %d served, %d changes", report.Requests, report.Served, report.Changes)
	for _, wrong := range report.Violations {
		t.Error(wrong)
	}
	is.True(report.Served > 500)
	is.Equal(report.Changes, 10)
}

// newPinScenario returns a scenario with two versions and two hosts of each.
func newPinScenario(t *testing.T, f *localfleet.Fleet) *pintest.Scenario {
	t.Helper()
	var fronts, controls []string
	for i := range f.Len() {
		fronts, controls = append(fronts, f.Front(i)), append(controls, f.Control(i))
	}
	var all []*pintest.Host
	for i, version := range []int64{1, 1, 2, 2} {
		h, err := pintest.NewHost(fmt.Sprint("i-", i), version)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Close)
		all = append(all, h)
	}
	return pintest.NewScenario(fronts, controls, all)
}

// upgrade terminates a router and starts the given program in its place.
func upgrade(ctx context.Context, t *testing.T, f *localfleet.Fleet, i int, program []string) {
	t.Helper()
	if err := f.Terminate(i); err != nil {
		t.Fatal(err)
	}
	end, ok := f.AwaitExit(ctx, i)
	if !ok || end.Status != 0 {
		t.Fatalf("%s ended with %d after SIGTERM, in time %v", f.Name(i), end.Status, ok)
	}
	f.SetExecutable(i, program)
	if err := f.Start(i); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(ctx, i); err != nil {
		t.Fatal(err)
	}
	checkProgram(t, f, i, program)
}
