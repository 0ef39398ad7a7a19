// Package faultplan plays a simulation with faults placed in all ways: each kind of fault at each point where one may strike, and up to a
// number of faults in one play. It keeps no state of the simulation: a plan is played from the beginning, so a play must be deterministic.
// The tests of this module's state machines use it, and programs that embed them may.
package faultplan

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
)

// Fault is a fault of a kind at the point of a number; points are counted from 1 within a play.
type Fault[K ~int] struct {
	At   int
	Kind K
}

// String is for people.
func (f Fault[K]) String() string { return fmt.Sprintf("%v at point %d", f.Kind, f.At) }

// Search is what is to be played.
type Search[K ~int] struct {
	Kinds  K                    // of fault, from 0 up to below this
	Faults int                  // in one play, at most
	Play   func(Plan[K]) Played // called by several goroutines at once
}

// Plan has the faults of one play, in the order of their points.
type Plan[K ~int] []Fault[K]

// Played is what a play came to.
type Played struct {
	Points int   // at which one more fault might have struck
	Broken error // what did not hold, nil for nothing
}

// Result is what a search found.
type Result[K ~int] struct {
	Plays  int64
	Plan   Plan[K] // the one with which something did not hold
	Broken error   // nil where all holds
}

// Run plays the plan of no faults, and all with more. It ends at the first that breaks something.
func (s Search[K]) Run() Result[K] { return s.RunFrom(nil) }

// RunFrom plays a plan, and all that begin with it.
func (s Search[K]) RunFrom(begin Plan[K]) Result[K] {
	r := &run[K]{Search: s}
	next := r.play(begin)
	Parallel(len(next), func(i int) { r.playAll(next[i]) })
	if found := r.found.Load(); found != nil {
		return Result[K]{Plays: r.plays.Load(), Plan: found.plan, Broken: found.err}
	}
	return Result[K]{Plays: r.plays.Load()}
}

// run is a search that is under way.
type run[K ~int] struct {
	Search[K]
	plays atomic.Int64
	found atomic.Pointer[broken[K]]
}

// broken is a plan with which something did not hold.
type broken[K ~int] struct {
	plan Plan[K]
	err  error
}

// playAll plays a plan, and all that begin with it.
func (r *run[K]) playAll(plan Plan[K]) {
	for _, next := range r.play(plan) {
		r.playAll(next)
	}
}

// play plays a plan, and returns those with one more fault.
func (r *run[K]) play(plan Plan[K]) []Plan[K] {
	if r.found.Load() != nil {
		return nil
	}
	r.plays.Add(1)
	played := r.Play(plan)
	if played.Broken != nil {
		r.found.CompareAndSwap(nil, &broken[K]{plan, played.Broken})
		return nil
	}
	if len(plan) >= r.Faults {
		return nil
	}
	return plan.extended(played.Points, r.Kinds)
}

// extended are all plans with one fault more, at a later point than those before.
func (p Plan[K]) extended(points int, kinds K) (all []Plan[K]) {
	first := 1
	if len(p) > 0 {
		first = p[len(p)-1].At + 1
	}
	for at := first; at <= points; at++ {
		for kind := range kinds {
			all = append(all, append(p[:len(p):len(p)], Fault[K]{at, kind}))
		}
	}
	return all
}

// Parallel calls a function for each number below n, on all cores.
func Parallel(n int, do func(i int)) {
	var group sync.WaitGroup
	next := atomic.Int64{}
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				do(i)
			}
		})
	}
	group.Wait()
}
