package main

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"reachspread/internal/testbed/localfleet"
	"reachspread/internal/testbed/pintest"
)

// asRouter is the environment variable that makes the test binary run as a router, so that tests can
// start a fleet of router processes.
const asRouter = "REACHSPREAD_TEST_IS_ROUTER"

func TestMain(m *testing.M) {
	if os.Getenv(asRouter) == "" {
		os.Exit(m.Run())
	}
	if path := os.Getenv(failuresFile); path != "" {
		injectFailures(path)
	}
	main()
}

const (
	// revocationMs bounds the age of the state by which routers honour API keys, in milliseconds.
	// Each change of the pins takes this long.
	revocationMs    = 2000
	heartbeatMs     = 60_000
	scenarioTimeout = 60 * time.Second
)

// processes is a fleet of router processes in which tests can inject failures.
type processes struct {
	*localfleet.Fleet
	t      *testing.T
	folder string
}

func startProcesses(t *testing.T, count, disks int) *processes {
	t.Helper()
	f := &processes{t: t, folder: t.TempDir()}
	f.Fleet = localfleet.New(localfleet.Options{Folder: f.folder, Network: "127.78.0", Routers: count, Disks: disks, Executable: []string{os.Args[0], "router"},
		Environment: func(i int) []string { return []string{asRouter + "=1", failuresFile + "=" + f.failuresPath(i)} },
		HeartbeatMs: heartbeatMs, RevocationMs: revocationMs})
	t.Cleanup(f.KillAll)
	f.must(f.StartAll())
	return f
}

func (f *processes) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// start starts a router's process.
func (f *processes) start(i int) {
	f.t.Helper()
	f.must(f.Start(i))
}

// wipe kills a process and removes the data on its disk.
func (f *processes) wipe(i int) {
	f.t.Helper()
	f.must(f.Wipe(i))
}

// untilReady waits until the given processes report that they accept clients.
func (f *processes) untilReady(which ...int) {
	f.t.Helper()
	f.must(f.AwaitReady(f.t.Context(), which...))
}

// startScenario starts two hosts of model version 1 and two of version 2, registers them with the
// fleet, and returns a scenario whose clients send requests to all routers.
func (f *processes) startScenario(ctx context.Context) *pintest.Scenario {
	f.t.Helper()
	var fronts, controls []string
	for i := range f.Len() {
		fronts, controls = append(fronts, f.Front(i)), append(controls, f.Control(i))
	}
	var hosts []*pintest.Host
	for i, version := range []int64{1, 1, 2, 2} {
		h, err := pintest.NewHost(fmt.Sprint("i-", i), version)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(h.Close)
		hosts = append(hosts, h)
	}
	s := pintest.NewScenario(fronts, controls, hosts)
	for _, step := range []func(context.Context) error{s.Configure, s.Register} {
		if err := step(ctx); err != nil {
			f.t.Fatal(err)
		}
	}
	return s
}

// Router processes honour pins under live traffic while processes are killed, frozen for longer than
// a change of the pins takes, partitioned, lose their disks or have a stalled disk, and finally while
// all of them are killed at once.
func TestPinsOnProcesses(t *testing.T) {
	f := startProcesses(t, 5, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 3*scenarioTimeout)
	defer cancel()
	s := f.startScenario(ctx)
	f.untilReady(0, 1, 2, 3, 4)
	change := func(version int64) {
		t.Helper()
		if err := s.ChangePin(ctx, version); err != nil {
			t.Fatal(err)
		}
	}
	s.StartTraffic()
	change(1)
	f.Freeze(3) // a router without a disk, which misses the following changes
	change(2)
	change(1)
	f.Thaw(3)
	f.Kill(4)
	change(2)
	f.start(4)
	f.Freeze(1) // a machine of the register
	change(1)
	change(2)
	f.Thaw(1)
	f.untilReady(1, 3, 4)
	f.wipe(2)
	f.start(2)
	change(1)
	f.untilReady(2)
	f.cutOff(4, true) // a router without a disk, which must refuse requests because its state may be stale
	change(2)
	change(1)
	f.heal()
	f.untilReady(4)
	f.untilChainHealthy(3)
	f.cutOff(0, true) // a machine of the register
	change(2)
	f.heal()
	f.untilChainHealthy(3)
	f.fail(1, processFailures{stall: true})
	change(1)
	f.heal()
	f.untilChainHealthy(3)
	f.KillAll()
	f.must(f.StartAll())
	f.untilReady(0, 1, 2, 3, 4)
	change(2)
	change(0)
	report := s.Finish()
	t.Logf("%d requests, %d served, %d changes of the pin", report.Requests, report.Served, report.Changes)
	for _, wrong := range report.Violations {
		t.Error(wrong)
	}
	if report.Served < report.Requests/4 {
		t.Error("fewer than a quarter of the requests were served, which is too few for a verdict")
	}
}
