package faultplan

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
)

// Fault is one fault to inject: its kind, and the point of the run at which to inject it. The first
// point of a run is 1.
type Fault[K ~int] struct {
	Point int
	Kind  K
}

// String returns a readable description of the fault, such as "crash at point 3".
func (f Fault[K]) String() string { return fmt.Sprintf("%v at point %d", f.Kind, f.Point) }

// Plan lists the faults of one run in the order of their points.
type Plan[K ~int] []Fault[K]

// Explorer defines an exploration: a simulation and the faults to inject.
type Explorer[K ~int] struct {
	// Kinds is the number of kinds of faults. The kinds are 0 to Kinds-1.
	Kinds K
	// MaxFaults is the maximum number of faults in one run. The number of runs grows with the number
	// of points to the power of MaxFaults.
	MaxFaults int
	// Simulate runs the simulation from its start with the faults of a plan. Several goroutines call
	// it concurrently.
	Simulate func(Plan[K]) Outcome
}

// Outcome is the outcome of one run of the simulation.
type Outcome struct {
	Points    int   // number of points at which a fault can be injected
	Violation error // describes the property that did not hold; nil if all held
}

// Result is the result of an exploration.
type Result[K ~int] struct {
	Runs      int64   // number of runs of the simulation
	Plan      Plan[K] // plan of the run with the violation
	Violation error   // violation of that run; nil if all properties held in all runs
}

// Explore runs the simulation without faults, and then with every plan of up to MaxFaults faults. It
// stops at the first violation.
func (s Explorer[K]) Explore() Result[K] { return s.ExploreFrom(nil) }

// ExploreFrom runs the simulation with a plan, and then with every plan of up to MaxFaults faults
// that begins with the faults of that plan. It stops at the first violation.
func (s Explorer[K]) ExploreFrom(prefix Plan[K]) Result[K] {
	r := &exploration[K]{Explorer: s}
	next := r.simulate(prefix)
	ForEachParallel(len(next), func(i int) { r.explore(next[i]) })
	if found := r.violation.Load(); found != nil {
		return Result[K]{Runs: r.runs.Load(), Plan: found.plan, Violation: found.err}
	}
	return Result[K]{Runs: r.runs.Load()}
}

// exploration is an exploration in progress.
type exploration[K ~int] struct {
	Explorer[K]
	runs      atomic.Int64
	violation atomic.Pointer[violation[K]] // first violation; nil if there was none yet
}

// violation is a plan under which a property did not hold, with the error that describes it.
type violation[K ~int] struct {
	plan Plan[K]
	err  error
}

// explore runs the simulation with a plan, and with all plans that begin with the faults of this
// plan.
func (r *exploration[K]) explore(plan Plan[K]) {
	for _, next := range r.simulate(plan) {
		r.explore(next)
	}
}

// simulate runs the simulation with a plan, and returns all plans that add one fault to it. It
// returns no plans after a violation, or if the plan already has MaxFaults faults.
func (r *exploration[K]) simulate(plan Plan[K]) []Plan[K] {
	if r.violation.Load() != nil {
		return nil
	}
	r.runs.Add(1)
	outcome := r.Simulate(plan)
	if outcome.Violation != nil {
		r.violation.CompareAndSwap(nil, &violation[K]{plan, outcome.Violation})
		return nil
	}
	if len(plan) >= r.MaxFaults {
		return nil
	}
	return plan.extended(outcome.Points, r.Kinds)
}

// extended returns all plans that add to p one fault at a later point than the faults of p.
func (p Plan[K]) extended(points int, kinds K) (all []Plan[K]) {
	first := 1
	if len(p) > 0 {
		first = p[len(p)-1].Point + 1
	}
	for at := first; at <= points; at++ {
		for kind := range kinds {
			all = append(all, append(p[:len(p):len(p)], Fault[K]{at, kind}))
		}
	}
	return all
}

// ForEachParallel calls a function once for each number from 0 to n-1, on GOMAXPROCS goroutines, and
// waits until all calls have returned.
func ForEachParallel(n int, do func(i int)) {
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
