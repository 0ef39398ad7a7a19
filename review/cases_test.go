//go:build review

// Package review has the cases of the independent review as tests. They need the build of the deploy file and
// review/build.sh, and stay out of the default test run:
//
//	go test -tags review -count=1 -v ./review
package review

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
)

// A client that leaves by a reset ends the router's process.
func TestLeavingClient(t *testing.T) { play(t, "1") }

// The acknowledged end of a host is forgotten when the machines that count are killed.
func TestAcknowledgedEnd(t *testing.T) { play(t, "2") }

// An answer without a length that its host breaks off looks complete.
func TestBrokenOffAnswer(t *testing.T) { play(t, "3") }

// play plays a case, and fails if its rule is broken.
func play(t *testing.T, name string) {
	t.Helper()
	out, err := exec.Command(filepath.Join(name, "run.sh")).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == 2:
		t.Skipf("case %s could not run: %s", name, out)
	default:
		t.Errorf("case %s: %v, see review/%s/record.txt", name, err, name)
	}
}
