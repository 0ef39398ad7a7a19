package register_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"reachspread/coord/simulation"
)

const (
	resultsPath      = "testdata/schedules.txt"
	seedsPerSchedule = 4 // of each kind of schedule
)

// Drawn schedules end as they did with the code of commit 5bfcc27, which wrote
// testdata/schedules.txt: nothing but the seed decides what happens in them, and no decision has
// changed since.
func TestSchedulesRepeat(t *testing.T) {
	is := is.New(t)
	results := make([]string, len(schedules)*seedsPerSchedule)
	var group sync.WaitGroup
	for i, s := range schedules {
		for n := range seedsPerSchedule {
			group.Go(func() {
				seed := uint64(n + 1)
				w := s.run(seed, simulation.NoBug, nil)
				results[i*seedsPerSchedule+n] = fmt.Sprintf("%v, seed %d: %d orders and %d reads were answered, version %d was acknowledged, the last at %v, epoch %d; fault: %v\n",
					s, seed, w.History.Commands, w.History.Reads, w.History.Acknowledged(), w.History.LastAcknowledged, w.History.NewestEpoch(), w.Violation)
			})
		}
	}
	group.Wait()
	got := strings.Join(results, "")
	if *writeGolden {
		is.NoErr(os.WriteFile(resultsPath, []byte(got), 0o644))
		return
	}
	want, err := os.ReadFile(resultsPath)
	is.NoErr(err)
	if got != string(want) {
		t.Errorf("they end with\n%sand ended with\n%s", got, want)
	}
}
