package view

import (
	"testing"
	"time"
)

// A member that falls silent is out of the chain within the sum of the time-outs, which stays below
// the bounds of the smallest deployments (contact 3 s, acknowledgement 4 s).
func TestFailoverIsBounded(t *testing.T) {
	worst := suspectTimeout + HeartbeatInterval + proposalStagger + livePromiseTimeout
	if worst > 1500*time.Millisecond {
		t.Errorf("a failover may take %v", worst)
	}
	if LeaseDuration >= suspectTimeout {
		t.Errorf("a lease of %v outlasts the time until its owner is suspected, %v", LeaseDuration, suspectTimeout)
	}
}
