package settings

import (
	"net/netip"
	"path/filepath"
	"time"

	"reachspread/coord/members"
	"reachspread/internal/router/lease"
)

// Roles is the content of the block "duties", which configures singleton roles: work that only a
// limited number of routers may do at a time.
type Roles struct {
	Listen       string // address of this router's voter; empty if this router may not vote
	Folder       string // durable folder of this router's voter; empty if this router may not vote
	Voters       int    // number of voters: 1, 3, 5 or 7
	LeaseTiming  lease.Timing
	ReplaceDelay time.Duration // how long a voter may be gone before another router replaces it
	MaxDraining  int           // how many routers of a zone may drain at a time; 0 if routers drain without a lease
	FleetRecord  bool          // one router writes the fleet's record
	Routers      []VoterRouter // routers that may vote
}

// VoterRouter is a router that may vote. Name is its name in the fleet view.
type VoterRouter struct {
	Name    string
	Address netip.AddrPort
}

// roles reads the block "duties".
func (c *checker) roles(b *rolesBlock) *Roles {
	s := &Roles{Listen: b.Listen, Folder: b.Folder, Voters: c.count(b.Body, "voters", b.Voters, 3, 7), LeaseTiming: lease.DefaultTiming, FleetRecord: b.FleetRecord,
		ReplaceDelay: c.duration(b.Body, "replace_after", b.ReplaceDelay, 10*time.Second)}
	s.LeaseTiming.Duration = c.duration(b.Body, "lease", b.Lease, lease.DefaultTiming.Duration)
	s.LeaseTiming.ClockAllowance = max(s.LeaseTiming.ClockAllowance, s.LeaseTiming.Duration/200)
	s.LeaseTiming.Margin = min(s.LeaseTiming.Margin, s.LeaseTiming.Duration/10)
	if b.MaxDraining != nil && *b.MaxDraining != 0 {
		s.MaxDraining = c.count(b.Body, "drains", b.MaxDraining, 1, lease.MaxHolders)
	}
	if err := s.LeaseTiming.Validate(); err != nil {
		c.fault(b.Body, "lease", "is not valid: %v", err)
	}
	names := map[string]bool{}
	for i := range b.Routers {
		r := &b.Routers[i]
		if !memberName.MatchString(r.Name) || names[r.Name] {
			c.faultAt(r.Range, "router", "%q is defined twice, or is not a name of 1 to %d printable characters without spaces", r.Name, members.MaxNameLen)
		}
		names[r.Name] = true
		s.Routers = append(s.Routers, VoterRouter{r.Name, c.addr(r.Body, "address", r.Address)})
	}
	switch {
	case s.Voters%2 == 0:
		c.fault(b.Body, "voters", "is %d; it must be 1, 3, 5 or 7", s.Voters)
	case len(s.Routers) < s.Voters || len(s.Routers) > lease.MaxVoters:
		c.fault(b.Body, "router", "is defined %d times; the number of blocks must be from voters, %d, to %d", len(s.Routers), s.Voters, lease.MaxVoters)
	case (b.Listen == "") != (b.Folder == ""):
		c.fault(b.Body, "folder", "and listen must be set together: a router that may vote needs both")
	case b.Listen != "":
		c.addr(b.Body, "listen", b.Listen)
		s.Folder = filepath.Clean(s.Folder)
	}
	if s.FleetRecord && b.Folder == "" {
		c.fault(b.Body, "scribe", "needs folder to be set: the fleet's record is written there")
	}
	return s
}
