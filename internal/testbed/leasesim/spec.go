package leasesim

import (
	"cmp"
	"fmt"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

// maxRouters is far more than a voter's leader can serve.
const maxRouters = 5000

// Defaults of a Spec.
const (
	defaultLatency        = 500 * time.Microsecond
	defaultActInterval    = 40 * time.Millisecond
	defaultReplaceTimeout = 10 * time.Second
)

// Spec describes a play. Zero values count as their defaults.
type Spec struct {
	Seed       uint64
	Routers    int
	Zones      int // of the routers, by turns; 0 counts as 1
	Candidates int // the first routers may vote; 0 counts as Voters
	Voters     int
	Roles      []lease.Role
	RolesOf    func(router int) []string // the roles that a router wants, nil for all of its zone
	Timing     lease.Timing
	Duration   time.Duration
	Faults     []faults.Fault

	Latency        time.Duration // of a message; each takes up to a half longer
	SyncDelay      time.Duration // of a write to disk; what has to wait for it leaves so much later
	ClockDrift     float64       // by how much the rates of two clocks differ at most
	ActInterval    time.Duration // between two acts of a holder
	ReplaceTimeout time.Duration // as in quorum.Config

	// Faults that are planted in the code, for tests of the checkers.
	SkipTokenCheck bool // the receiver accepts every token
	SkipLeaseWait  bool // a new leader does not wait a whole lease

	History func(*history.Event) // nil for none
}

// Topology is the fleet as schedules of faults see it. Its one host is the receiver.
func (s *Spec) Topology() *faults.Topology {
	topology := &faults.Topology{Hosts: []string{""}}
	for i := range s.Routers {
		topology.Routers = append(topology.Routers, string(rune('a'+i%max(s.Zones, 1))))
	}
	return topology
}

// validate returns what is wrong with a spec, and fills in defaults.
func (s *Spec) validate() error {
	if s.Routers < 1 || s.Routers > maxRouters {
		return fmt.Errorf("spec: Routers is %d; it must be from 1 to %d", s.Routers, maxRouters)
	}
	s.Candidates = max(s.Candidates, s.Voters)
	if s.Candidates > s.Routers {
		return fmt.Errorf("spec: Candidates is %d of %d routers", s.Candidates, s.Routers)
	}
	if s.Timing == (lease.Timing{}) {
		s.Timing = lease.DefaultTiming
	}
	s.Latency = cmp.Or(s.Latency, defaultLatency)
	s.ActInterval = cmp.Or(s.ActInterval, defaultActInterval)
	s.ReplaceTimeout = cmp.Or(s.ReplaceTimeout, defaultReplaceTimeout)
	return faults.Check(s.Faults, s.Topology(), faults.MembershipSimulation, s.Duration)
}

// isShared reports whether a role may have several holders: their acts need no token.
func (s *Spec) isShared(role string) bool {
	for i := range s.Roles {
		if s.Roles[i].Name == role && s.Roles[i].MaxHolders > 1 {
			return true
		}
	}
	return false
}
