package demo

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A short demo sends requests to the real router, drains one host and kills another during the load,
// and writes its charts.
func TestDemoServesWhileHostsDrainAndDie(t *testing.T) {
	var out bytes.Buffer
	page := filepath.Join(t.TempDir(), "page.html")
	if err := Run(t.Context(), Options{Out: &out, Length: 3 * time.Second, Page: page}); err != nil {
		t.Fatalf("%v after %s", err, out.String())
	}
	for _, want := range []string{"router 127.0.0.1:", "host-1 drains", "host-2 is killed", "host-2 is back, cold", "field-fill", "batch-review", "charts: " + page} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the output does not contain %q: %s", want, out.String())
		}
	}
	for line := range strings.Lines(out.String()) {
		if f := strings.Fields(line); len(f) > 2 && f[0] == "field-fill" && (f[1] == "0" || f[2] == "0") {
			t.Errorf("no request of class field-fill was served: %s", line)
		}
	}
	if text, err := os.ReadFile(page); err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Errorf("the page has no <svg element or can't be read: %v", err)
	}
}

// A cancelled demo ends without an error.
func TestCancelledDemoEndsCleanly(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(time.Second, cancel)
	var out bytes.Buffer
	if err := Run(ctx, Options{Out: &out, Length: time.Minute, StayUp: true}); err != nil {
		t.Errorf("%v after %s", err, out.String())
	}
}
