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
	seedsPerSchedule = 4 // number of runs of each schedule
)

// Runs of random schedules end with the same results as with the code of commit 5bfcc27, which wrote
// testdata/schedules.txt. So the seed alone decides what happens in a run, and no decision of the
// register has changed since that commit.
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
		t.Errorf("the schedules end with\n%sbut testdata/schedules.txt has\n%s", got, want)
	}
}
