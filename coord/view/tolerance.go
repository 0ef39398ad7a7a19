package view

import (
	"slices"

	"reachspread/coord/coordpb"
)

// CurrentTolerance is how many more members may be lost at once without a loss of the state and
// with a majority left, as this process knows it; Config.Tolerance at most. It is 0 for a
// process that is no member.
func (d *Decider) CurrentTolerance() int {
	if MemberOf(d.view, d.config.Self.Identity) == nil {
		return 0
	}
	working, complete := 0, 0
	for _, m := range d.view.Members {
		if d.stateOfIdentity(m.Identity) != peerHealthy {
			continue
		}
		working++
		if slices.Contains(d.view.Chain, m.Identity) && d.hasCompletedEpoch(m.Identity) {
			complete++
		}
	}
	return max(min(working-Majority(len(d.view.Members)), complete-1, d.config.Tolerance), 0)
}

// CanShutDown reports whether the other members can do without this process, which is draining:
// enough of them have completed the epoch, and its seat was given to a standby where there is one.
func (d *Decider) CanShutDown() bool {
	if d.view.Epoch == 0 {
		return true
	}
	member := MemberOf(d.view, d.config.Self.Identity) != nil
	if member && len(d.standbys()) > 0 {
		return false
	}
	remaining := slices.DeleteFunc(slices.Clone(d.view.Members), func(m *coordpb.Member) bool { return m.Identity == d.config.Self.Identity })
	return d.isComplete(remaining, d.hasCompletedEpoch) || d.allDraining(remaining)
}

// allDraining reports whether all of some members are draining, so that there is nobody to hand
// the state to.
func (d *Decider) allDraining(members []*coordpb.Member) bool {
	return !slices.ContainsFunc(members, func(m *coordpb.Member) bool { return d.stateOfIdentity(m.Identity) != peerDraining })
}
