package view

import (
	"testing"
)

// A chain of minimum length keeps at least one member after the tolerated losses, and shares at
// least one member with every majority.
func TestMinChainLengthSurvivesTolerance(t *testing.T) {
	for n := 1; n <= 9; n++ {
		for tolerance := 0; 2*tolerance < n; tolerance++ {
			minLength := MinChainLength(n, tolerance)
			if minLength > n-tolerance {
				t.Errorf("a chain needs %d of %d members, which may not be left after the loss of %d", minLength, n, tolerance)
			}
			if minLength <= tolerance || minLength+Majority(n) <= n {
				t.Errorf("a chain of %d of %d members is too short if %d may be lost", minLength, n, tolerance)
			}
		}
	}
}
