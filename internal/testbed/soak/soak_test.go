package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/internal/system/roles"
)

// isRouter is the environment variable that makes the test binary run as a router.
const isRouter = "REACHSPREAD_TEST_IS_ROUTER"

var (
	seed   = flag.Uint64("soak.seed", 0, "play this seed alone")
	length = flag.Duration("soak.length", 20*time.Second, "of each play")
)

func TestMain(m *testing.M) {
	if os.Getenv(isRouter) == "" {
		os.Setenv(isRouter, "1") // inherited by the processes that the tests start
		os.Exit(m.Run())
	}
	if err := roles.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Routers terminate, crash, freeze and reload settings in overlapping series, hosts drain, and the
// configuration changes in bursts, while clients use their connections until the process exits. No
// accepted request is lost or executed twice, and a router without a fault uses the newest
// configuration. After SIGTERM each process exits by itself within its grace period and without
// busy waiting.
func TestFleetUnderOverlappingFaultsHasNoFindings(t *testing.T) {
	seeds := []uint64{1, 2}
	if *seed != 0 {
		seeds = []uint64{*seed}
	}
	for _, s := range seeds {
		t.Run(fmt.Sprint("seed ", s), func(t *testing.T) {
			is := is.New(t)
			report, err := Run(t.Context(), Options{Network: "127.80.0", Executable: []string{os.Args[0]}, Seed: s, Routers: 6, Disks: 3, Hosts: 3, Clients: 24, Length: *length})
			is.NoErr(err)
			t.Logf("%+v", *report)
			for _, f := range report.Findings {
				t.Error(f)
			}
			is.True(report.Requests[Complete] > 500)
			is.True(report.Changes > 5)
			is.True(report.Terminations > 3)
		})
	}
}

// Each router gets SIGTERM while it is throttled to a tenth of a core, and its clients use their
// connections until the process exits and have long answers in flight. Accepted requests are answered
// completely or refused before they are executed, and the process exits by itself within its grace
// period.
func TestThrottledRoutersTerminateInOrder(t *testing.T) {
	is := is.New(t)
	report, err := runWith(t.Context(), Options{Network: "127.80.1", Executable: []string{os.Args[0]}, Seed: 1, Routers: 4, Disks: 3, Hosts: 2, Clients: 24},
		func(ctx context.Context, p *soakRun) {
			c := newScheduler(p)
			c.throttledFraction, c.throttledRuntime = 1, throttlePeriod/10
			for i := range p.fleet.Len() {
				c.restart(ctx, c.rng, i)
			}
		})
	is.NoErr(err)
	t.Logf("%+v", *report)
	for _, f := range report.Findings {
		t.Error(f)
	}
	is.Equal(report.Terminations, 4)
	is.True(report.Requests[Complete] > 200)
}

// judgeRequest returns the broken rule for each wrong outcome, and none for each allowed outcome.
func TestJudgeRequestFindsEachWrongOutcome(t *testing.T) {
	for _, c := range []struct {
		name      string
		a         request
		runs      int
		unplanned bool
		rule      string
	}{
		{"a whole answer", request{outcome: Complete}, 1, false, ""},
		{"ran twice", request{outcome: Complete}, 2, false, "TWICE"},
		{"ran twice beside a crash", request{outcome: Interrupted}, 2, true, "TWICE"},
		{"another's answer", request{outcome: Wrong}, 1, true, "MIXED"},
		{"refused after it ran", request{outcome: Refused, status: 503}, 1, true, "REFUSED"},
		{"refused", request{outcome: Refused, status: 429}, 0, false, ""},
		{"a route that is there is denied", request{outcome: Failed, status: 404}, 0, true, "DENIED"},
		{"a failure that promises nothing", request{outcome: Failed, status: 502}, 1, false, ""},
		{"cut in the answer", request{outcome: Interrupted}, 1, false, "LOST"},
		{"cut by a crash", request{outcome: Interrupted}, 1, true, ""},
		{"closed after it ran", request{outcome: Closed}, 1, false, "LOST"},
		{"it crossed the close", request{outcome: Closed, written: time.Second, done: time.Second + closeSlack}, 0, false, ""},
		{"read and closed", request{outcome: Closed, written: time.Second, done: time.Second + closeSlack + 1}, 0, false, "LOST"},
		{"never read whole", request{outcome: Closed, writeFailed: true, done: time.Minute}, 0, false, ""},
		{"no answer", request{outcome: TimedOut}, 0, false, "LOST"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rule, _ := judgeRequest(&c.a, c.runs, c.unplanned)
			is.Equal(rule, c.rule)
		})
	}
}
