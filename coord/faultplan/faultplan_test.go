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

// Every plan is played once: each kind at each point, and a further fault only at later points.
func TestAllPlansOnce(t *testing.T) {
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
			found := Search[kind]{Kinds: kinds, Faults: c.faults, Play: func(p Plan[kind]) Played {
				mu.Lock()
				defer mu.Unlock()
				seen[fmt.Sprint(p)]++
				return Played{Points: points}
			}}.Run()
			is.NoErr(found.Broken)
			is.Equal(found.Plays, c.plays)
			is.Equal(len(seen), int(c.plays))
		})
	}
}

// What breaks is returned with its plan, and ends the search.
func TestFound(t *testing.T) {
	is := is.New(t)
	wrong := errors.New("two owners")
	found := Search[kind]{Kinds: kinds, Faults: 2, Play: func(p Plan[kind]) Played {
		if len(p) == 2 && p[0].Kind == crash && p[1].Kind == crash {
			return Played{Broken: wrong}
		}
		return Played{Points: 3}
	}}.Run()
	is.Equal(found.Broken, wrong)
	is.Equal(len(found.Plan), 2)
	is.Equal(found.Plan[0].Kind, crash)
	is.Equal(found.Plan[0].String(), fmt.Sprintf("crash at point %d", found.Plan[0].At))
}

// A search may begin behind faults that are given.
func TestRunFrom(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var played []Plan[kind]
	begin := Plan[kind]{{At: 2, Kind: crash}}
	Search[kind]{Kinds: kinds, Faults: 2, Play: func(p Plan[kind]) Played {
		mu.Lock()
		defer mu.Unlock()
		played = append(played, p)
		return Played{Points: 4}
	}}.RunFrom(begin)
	is.Equal(len(played), 1+2*2) // itself, and two kinds at points 3 and 4
	for _, p := range played {
		is.Equal(p[0], begin[0])
	}
}

// A play that has no point left for a further fault is extended by none.
func TestNoPoints(t *testing.T) {
	is := is.New(t)
	is.Equal(Search[kind]{Kinds: kinds, Faults: 3, Play: func(Plan[kind]) Played { return Played{} }}.Run().Plays, int64(1))
}

// Parallel calls the function once for each number.
func TestParallel(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	seen := map[int]int{}
	Parallel(100, func(i int) {
		mu.Lock()
		defer mu.Unlock()
		seen[i]++
	})
	is.Equal(len(seen), 100)
	for i := range 100 {
		is.Equal(seen[i], 1)
	}
}
