package faultplan

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// kind is a kind of fault of these tests.
type kind int

const (
	lose kind = iota
	crash
	kinds
)

func (k kind) String() string { return [...]string{"lose", "crash"}[k] }

// Each plan runs once: each kind at each point, and a further fault only at later points.
func TestEachPlanRunsOnce(t *testing.T) {
	const points = 5
	for _, c := range []struct {
		faults int
		plays  int64
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
			is.Equal(found.Runs, c.plays)
			is.Equal(len(seen), int(c.plays))
		})
	}
}

// A violation is returned with its plan, and ends the exploration.
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

// An exploration may begin behind given faults.
func TestExploreFromExtendsAPlan(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var played []Plan[kind]
	begin := Plan[kind]{{Point: 2, Kind: crash}}
	Explorer[kind]{Kinds: kinds, MaxFaults: 2, Simulate: func(p Plan[kind]) Outcome {
		mu.Lock()
		defer mu.Unlock()
		played = append(played, p)
		return Outcome{Points: 4}
	}}.ExploreFrom(begin)
	is.Equal(len(played), 1+2*2) // itself, and two kinds at points 3 and 4
	for _, p := range played {
		is.Equal(p[0], begin[0])
	}
}

// A run without a point for a further fault is not extended.
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
