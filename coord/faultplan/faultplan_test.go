package faultplan

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// kind is the kind of a fault in these tests.
type kind int

const (
	lose kind = iota
	crash
	kinds
)

func (k kind) String() string { return [...]string{"lose", "crash"}[k] }

// Explore runs each plan once. The plans have each kind of fault at each point, and each further
// fault at a later point than the one before.
func TestEachPlanRunsOnce(t *testing.T) {
	const points = 5
	for _, c := range []struct {
		faults int
		runs   int64
	}{
		{0, 1},
		{1, 1 + points*2},
		{2, 1 + points*2 + points*(points-1)/2*4},
	} {
		t.Run(fmt.Sprint(c.faults, " faults"), func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			seen := map[string]int{}
			found := Explorer[kind]{Kinds: kinds, MaxFaults: c.faults, Simulate: func(p Plan[kind]) Outcome {
				mu.Lock()
				defer mu.Unlock()
				seen[fmt.Sprint(p)]++
				return Outcome{Points: points}
			}}.Explore()
			is.NoErr(found.Violation)
			is.Equal(found.Runs, c.runs)
			is.Equal(len(seen), int(c.runs))
		})
	}
}

// Explore stops at a violation and returns it with its plan.
func TestViolationEndsExploration(t *testing.T) {
	is := is.New(t)
	wrong := errors.New("two owners")
	found := Explorer[kind]{Kinds: kinds, MaxFaults: 2, Simulate: func(p Plan[kind]) Outcome {
		if len(p) == 2 && p[0].Kind == crash && p[1].Kind == crash {
			return Outcome{Violation: wrong}
		}
		return Outcome{Points: 3}
	}}.Explore()
	is.Equal(found.Violation, wrong)
	is.Equal(len(found.Plan), 2)
	is.Equal(found.Plan[0].Kind, crash)
	is.Equal(found.Plan[0].String(), fmt.Sprintf("crash at point %d", found.Plan[0].Point))
}

// ExploreFrom runs only plans that begin with the given faults.
func TestExploreFromExtendsAPlan(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var simulated []Plan[kind]
	prefix := Plan[kind]{{Point: 2, Kind: crash}}
	Explorer[kind]{Kinds: kinds, MaxFaults: 2, Simulate: func(p Plan[kind]) Outcome {
		mu.Lock()
		defer mu.Unlock()
		simulated = append(simulated, p)
		return Outcome{Points: 4}
	}}.ExploreFrom(prefix)
	is.Equal(len(simulated), 1+2*2) // the given plan, and two kinds of faults at points 3 and 4
	for _, p := range simulated {
		is.Equal(p[0], prefix[0])
	}
}

// If a run has no points at which a fault can be injected, Explore does not extend its plan.
func TestRunWithoutPointsIsNotExtended(t *testing.T) {
	is := is.New(t)
	is.Equal(Explorer[kind]{Kinds: kinds, MaxFaults: 3, Simulate: func(Plan[kind]) Outcome { return Outcome{} }}.Explore().Runs, int64(1))
}

// ForEachParallel calls the function once for each number.
func TestForEachParallelCallsOnceForEach(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	seen := map[int]int{}
	ForEachParallel(100, func(i int) {
		mu.Lock()
		defer mu.Unlock()
		seen[i]++
	})
	is.Equal(len(seen), 100)
	for i := range 100 {
		is.Equal(seen[i], 1)
	}
}
