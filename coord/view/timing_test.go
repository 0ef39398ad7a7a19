package view

import (
	"testing"
	"time"
)

// A member that stops sending heartbeats leaves the chain within the sum of the timeouts. The sum
// must stay below the limits of the smallest deployments (contact 3 s, acknowledgement 4 s).
func TestFailoverIsBounded(t *testing.T) {
	worst := suspectTimeout + HeartbeatInterval + proposalStagger + livePromiseTimeout
	if worst > 1500*time.Millisecond {
		t.Errorf("a failover may take %v, more than 1.5 s", worst)
	}
	if LeaseDuration >= suspectTimeout {
		t.Errorf("a lease of %v is not shorter than suspectTimeout, %v", LeaseDuration, suspectTimeout)
	}
}
