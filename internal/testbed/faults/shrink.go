package faults

import (
	"slices"
	"time"
)

// Trial is the input of a test run: the number of routers and a fault schedule.
type Trial struct {
	Routers int
	Faults  []Fault
}

// Shrink reduces a failing trial while the reduced trial still fails. It first removes half of the
// faults at a time, then ever smaller parts down to single faults, then routers. Finally it halves the
// lengths of faults. It calls fails at most most times and returns the smallest trial that failed.
func Shrink(t Trial, most int, fails func(Trial) bool) Trial {
	asks := func(x Trial) bool {
		if most <= 0 {
			return false
		}
		most--
		return fails(x)
	}
	for size := len(t.Faults) / 2; size >= 1; {
		shrunk := false
		for at := 0; at < len(t.Faults) && len(t.Faults) > 1; {
			without := slices.Delete(slices.Clone(t.Faults), at, min(at+size, len(t.Faults)))
			if len(without) > 0 && asks(Trial{t.Routers, without}) {
				t.Faults, shrunk = without, true
			} else {
				at += size
			}
		}
		if size > 1 || !shrunk {
			size /= 2
		}
	}
	for step := t.Routers / 2; step >= 1; step /= 2 {
		for t.Routers-step >= 1 && !namesRouterFrom(t.Faults, t.Routers-step) && asks(Trial{t.Routers - step, t.Faults}) {
			t.Routers -= step
		}
	}
	for i := range t.Faults {
		for half := t.Faults[i].Length / 2; half >= 100*time.Millisecond; half /= 2 {
			shorter := slices.Clone(t.Faults)
			shorter[i].Length = half.Round(10 * time.Millisecond)
			if !asks(Trial{t.Routers, shorter}) {
				break
			}
			t.Faults = shorter
		}
	}
	return t
}

// namesRouterFrom reports whether a schedule names a router whose number is at least routers.
func namesRouterFrom(all []Fault, routers int) bool {
	over := func(ns []int) bool { return slices.ContainsFunc(ns, func(n int) bool { return n >= routers }) }
	return slices.ContainsFunc(all, func(f Fault) bool {
		return over(f.Routers.Numbers) || over(f.Peers.Numbers) || over(f.Bridge) || slices.ContainsFunc(f.Groups, over)
	})
}
