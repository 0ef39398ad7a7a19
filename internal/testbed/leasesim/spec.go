package leasesim

import (
	"cmp"
	"fmt"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

// maxRouters is the greatest number of routers in a run. It is far more than the leader of the
// voters can serve.
const maxRouters = 5000

// Defaults of a Spec.
const (
	defaultLatency        = 500 * time.Microsecond
	defaultActInterval    = 40 * time.Millisecond
	defaultReplaceTimeout = 10 * time.Second
)

// Spec describes a run. A zero value stands for the default.
type Spec struct {
	Seed       uint64
	Routers    int
	Zones      int // the number of zones, to which routers are assigned in rotation; 0 counts as 1
	Candidates int // how many routers, from the first on, may vote; at least Voters
	Voters     int
	Roles      []lease.Role
	RolesOf    func(router int) []string // returns the roles that a router requests; nil for all roles, each in the router's zone
	Timing     lease.Timing
	Duration   time.Duration
	Faults     []faults.Fault

	Latency        time.Duration // least latency of a message; each message takes up to half as long again
	SyncDelay      time.Duration // duration of a write to disk, which delays the messages that have to wait for it
	ClockDrift     float64       // the most by which the rates of two clocks differ, as a fraction
	ActInterval    time.Duration // mean time between two acts of a holder
	ReplaceTimeout time.Duration // as in quorum.Config

	// The fields below plant bugs in the code, to test that the checkers find them.
	SkipTokenCheck bool // the receiver accepts every token
	SkipLeaseWait  bool // a new leader does not wait for a whole lease duration

	History func(*history.Event) // receives each event of the run; may be nil
}

// Topology returns the fleet in the form that fault schedules need. Its only host is the receiver.
func (s *Spec) Topology() *faults.Topology {
	topology := &faults.Topology{Hosts: []string{""}}
	for i := range s.Routers {
		topology.Routers = append(topology.Routers, string(rune('a'+i%max(s.Zones, 1))))
	}
	return topology
}

// validate fills in defaults, and returns an error if the spec is invalid.
func (s *Spec) validate() error {
	if s.Routers < 1 || s.Routers > maxRouters {
		return fmt.Errorf("spec: Routers is %d; it must be from 1 to %d", s.Routers, maxRouters)
	}
	s.Candidates = max(s.Candidates, s.Voters)
	if s.Candidates > s.Routers {
		return fmt.Errorf("spec: Candidates (or Voters, if greater) is %d; it must be at most Routers, which is %d", s.Candidates, s.Routers)
	}
	if s.Timing == (lease.Timing{}) {
		s.Timing = lease.DefaultTiming
	}
	s.Latency = cmp.Or(s.Latency, defaultLatency)
	s.ActInterval = cmp.Or(s.ActInterval, defaultActInterval)
	s.ReplaceTimeout = cmp.Or(s.ReplaceTimeout, defaultReplaceTimeout)
	return faults.Check(s.Faults, s.Topology(), faults.MembershipSimulation, s.Duration)
}

// isShared reports whether a role may have several holders. Acts under such a role need no token.
func (s *Spec) isShared(role string) bool {
	for i := range s.Roles {
		if s.Roles[i].Name == role && s.Roles[i].MaxHolders > 1 {
			return true
		}
	}
	return false
}
