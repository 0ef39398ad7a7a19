package fleetdemo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/internal/system/role"
)

// isRouter has the test's own program be a router.
const isRouter = "REACHSPREAD_TEST_IS_ROUTER"

func TestMain(m *testing.M) {
	if os.Getenv(isRouter) == "" {
		os.Setenv(isRouter, "1") // for the processes that the tests start
		os.Exit(m.Run())
	}
	if err := role.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// A short demo: all routers serve, what is killed comes back, every answer is as promised, and the chart is drawn.
func TestDemo(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	page := filepath.Join(t.TempDir(), "page.html")
	is.NoErr(Run(t.Context(), Options{Out: &out, Routers: 4, Length: 10 * time.Second, Executable: []string{os.Args[0]}, Network: "127.79.2", Page: page}))
	text := out.String()
	for _, want := range []string{"4 routers are ready", "router-4 is killed", "router-2 of the register is killed", "host-1 is killed", "lifts the pin",
		"3 changes of the pin; answers that were not as promised: 0"} {
		if !strings.Contains(text, want) {
			t.Errorf("it lacks %q: %s", want, text)
		}
	}
	for line := range strings.Lines(text) {
		if f := strings.Fields(line); len(f) == 4 && strings.HasPrefix(f[0], "router-") && f[1] == "0" {
			t.Errorf("a router served nobody: %s", line)
		}
	}
	drawn, err := os.ReadFile(page)
	is.NoErr(err)
	is.True(bytes.Contains(drawn, []byte("<svg")))
}

// Ctrl-C in the midst of it ends all.
func TestDemoIsEnded(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	err := Run(ctx, Options{Out: &bytes.Buffer{}, Routers: 3, Length: time.Minute, Executable: []string{os.Args[0]}, Network: "127.79.3"})
	is.True(errors.Is(err, context.DeadlineExceeded))
}
