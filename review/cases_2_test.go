//go:build review2

package review

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Routers send to hosts whose drain was acknowledged, while their zone's owner is cut off from other zones.
func TestDrainBesideCutOwner(t *testing.T) { playDay(t, "4", "DRAIN") }

// A tenant runs more than its quota while the owner of its shard is cut off from the register.
func TestQuotaBesideCutOwner(t *testing.T) { playDay(t, "5", "QUOTA") }

// Requests that were given up reach a host that has drained since.
func TestGivenUpRequestsReachDrainedHost(t *testing.T) { playDay(t, "6", "DRAIN") }

// seeds are those that the claims give results for.
var seeds = []string{"1", "2", "3"}

// playDay plays the day of a case on the operators' bench, which stands beside the repository, and fails where the
// rule is broken. It runs with: go test -tags review2 -count=1 -v ./review
func playDay(t *testing.T, name, rule string) {
	t.Helper()
	system := filepath.Join("..", "given", "kit", "more", "system")
	bench := filepath.Join(system, "bin", "fleetbench")
	if _, err := os.Stat(filepath.Join("..", bench)); err != nil {
		t.Skipf("case %s could not run: %v", name, err)
	}
	for _, seed := range seeds {
		report := filepath.Join(t.TempDir(), "report.json")
		cmd := exec.Command(bench, "run", filepath.Join(system, "sites", "volta-ferry.toml"), filepath.Join("review", name, "day.toml"),
			"--seed", seed, "--report", report, "--why", "review: case "+name)
		cmd.Dir = ".."
		out, err := cmd.CombinedOutput()
		text, readErr := os.ReadFile(report)
		if readErr != nil {
			t.Skipf("case %s could not run: %v\n%s", name, err, out)
		}
		var played struct {
			Breaks map[string]int `json:"breaks"`
		}
		if err := json.Unmarshal(text, &played); err != nil {
			t.Skipf("case %s could not run: %v", name, err)
		}
		if n := played.Breaks[rule]; n > 0 {
			t.Errorf("case %s, seed %s: %s is broken %d times", name, seed, rule, n)
		}
	}
}
