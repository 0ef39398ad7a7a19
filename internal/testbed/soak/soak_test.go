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

// isRouter has the test's own program be a router.
const isRouter = "REACHSPREAD_TEST_IS_ROUTER"

var (
	seed   = flag.Uint64("soak.seed", 0, "play this seed alone")
	length = flag.Duration("soak.length", 20*time.Second, "of each play")
)

func TestMain(m *testing.M) {
	if os.Getenv(isRouter) == "" {
		os.Setenv(isRouter, "1") // for the processes that the tests start
		os.Exit(m.Run())
	}
	if err := roles.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Routers end, crash, stand still and read settings anew in series that overlap, hosts leave, and the configuration changes in storms, while
// clients use their connections until the process is gone. Nothing that was taken is lost, nothing runs twice, a calm router goes by the newest
// configuration, and each process that is told to end does so by itself, within its grace and without wasting its processor.
func TestSoak(t *testing.T) {
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
			is.True(report.Orders > 5)
			is.True(report.Ends > 3)
		})
	}
}

// Each router is told to end while its clients use their connections to the end and have long answers under way, on a tenth of a core: what it
// has taken is answered whole or refused before it ran, and it ends by itself within its grace.
func TestEndOnAQuota(t *testing.T) {
	is := is.New(t)
	report, err := runWith(t.Context(), Options{Network: "127.80.1", Executable: []string{os.Args[0]}, Seed: 1, Routers: 4, Disks: 3, Hosts: 2, Clients: 24},
		func(ctx context.Context, p *play) {
			c := newConductor(p)
			c.quota, c.runs = 1, quotaPeriod/10
			for i := range p.fleet.Len() {
				c.restart(ctx, c.rng, i)
			}
		})
	is.NoErr(err)
	t.Logf("%+v", *report)
	for _, f := range report.Findings {
		t.Error(f)
	}
	is.Equal(report.Ends, 4)
	is.True(report.Requests[Complete] > 200)
}

// Each wrong end of a request is found, and each end that may be is passed over.
func TestJudgeRequest(t *testing.T) {
	for _, c := range []struct {
		name      string
		a         asked
		runs      int
		unplanned bool
		rule      string
	}{
		{"a whole answer", asked{outcome: Complete}, 1, false, ""},
		{"ran twice", asked{outcome: Complete}, 2, false, "TWICE"},
		{"ran twice beside a crash", asked{outcome: Interrupted}, 2, true, "TWICE"},
		{"another's answer", asked{outcome: Wrong}, 1, true, "MIXED"},
		{"refused after it ran", asked{outcome: Refused, status: 503}, 1, true, "REFUSED"},
		{"refused", asked{outcome: Refused, status: 429}, 0, false, ""},
		{"a route that is there is denied", asked{outcome: Failed, status: 404}, 0, true, "DENIED"},
		{"a failure that promises nothing", asked{outcome: Failed, status: 502}, 1, false, ""},
		{"cut in the answer", asked{outcome: Interrupted}, 1, false, "LOST"},
		{"cut by a crash", asked{outcome: Interrupted}, 1, true, ""},
		{"closed after it ran", asked{outcome: Closed}, 1, false, "LOST"},
		{"it crossed the close", asked{outcome: Closed, wrote: time.Second, ended: time.Second + closeSlack}, 0, false, ""},
		{"read and closed", asked{outcome: Closed, wrote: time.Second, ended: time.Second + closeSlack + 1}, 0, false, "LOST"},
		{"never read whole", asked{outcome: Closed, unsentWhole: true, ended: time.Minute}, 0, false, ""},
		{"no answer", asked{outcome: TimedOut}, 0, false, "LOST"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rule, _ := judgeRequest(&c.a, c.runs, c.unplanned)
			is.Equal(rule, c.rule)
		})
	}
}
