package fleetdemo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/internal/system/roles"
)

// isRouter is the environment variable that makes the test binary run as a router.
const isRouter = "REACHSPREAD_TEST_IS_ROUTER"

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

// In a short demo, all routers serve requests, killed routers are restarted, no answer violates a
// pin, and the page has a chart.
func TestDemoServesWhileMembersAreKilled(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	page := filepath.Join(t.TempDir(), "page.html")
	is.NoErr(Run(t.Context(), Options{Out: &out, Routers: 4, Length: 10 * time.Second, Executable: []string{os.Args[0]}, Network: "127.79.2", Page: page}))
	text := out.String()
	for _, want := range []string{"4 routers are ready", "router-4 is killed", "router-2 of the register is killed", "host-1 is killed", "lifts the pin",
		"3 changes of the pin; answers that were not as promised: 0"} {
		if !strings.Contains(text, want) {
			t.Errorf("the output does not contain %q: %s", want, text)
		}
	}
	for line := range strings.Lines(text) {
		if f := strings.Fields(line); len(f) == 4 && strings.HasPrefix(f[0], "router-") && f[1] == "0" {
			t.Errorf("a router served no request: %s", line)
		}
	}
	drawn, err := os.ReadFile(page)
	is.NoErr(err)
	is.True(bytes.Contains(drawn, []byte("<svg")))
}

// canceller is a writer that calls cancel when a write contains text.
type canceller struct {
	text   string
	cancel func()
}

func (c canceller) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(c.text)) {
		c.cancel()
	}
	return len(p), nil
}

// A cancelled demo ends all its goroutines, so that no client continues to send requests.
func TestCancelledDemoEndsItsGoroutines(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	before := runtime.NumGoroutine()
	err := Run(ctx, Options{Out: canceller{"routers are ready", cancel}, Routers: 3, Length: time.Minute, Executable: []string{os.Args[0]}, Network: "127.79.3"})
	is.True(errors.Is(err, context.Canceled))
	http.DefaultClient.CloseIdleConnections()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(endTimeout); runtime.NumGoroutine() > before+maxSystemGoroutines; <-tick.C {
		if time.Now().After(until) {
			t.Fatalf("%d goroutines are left, and there were %d before the demo", runtime.NumGoroutine(), before)
		}
	}
}

const (
	endTimeout          = time.Minute
	maxSystemGoroutines = 2 // goroutines of the system, which may start and end at any time
)
