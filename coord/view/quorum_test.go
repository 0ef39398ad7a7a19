package view

import (
	"testing"
)

// The loss of as many members as are tolerated leaves one of a chain of the least length, and each
// majority has one of it.
func TestMinChainLengthSurvivesTolerance(t *testing.T) {
	for n := 1; n <= 9; n++ {
		for tolerance := 0; 2*tolerance < n; tolerance++ {
			minLength := MinChainLength(n, tolerance)
			if minLength > n-tolerance {
				t.Errorf("%d of %d members can't be had after the loss of %d", minLength, n, tolerance)
			}
			if minLength <= tolerance || minLength+Majority(n) <= n {
				t.Errorf("%d of %d members, %d may be lost", minLength, n, tolerance)
			}
		}
	}
}
