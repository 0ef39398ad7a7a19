package view

import (
	"slices"

	"reachspread/coord/coordpb"
)

// CurrentTolerance returns how many more members may be lost at once without losing the state or
// the majority, as far as this process knows. It is at most Config.Tolerance, and 0 for a process
// that isn't a member.
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

// CanShutDown reports whether the other members can continue without this process, which is
// draining. Enough of them must have completed the epoch, or all of them must be draining. If this
// process is a member and there is a standby, a standby must replace it first.
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

// allDraining reports whether all members in a list are draining, so that none of them can take
// over the state.
func (d *Decider) allDraining(members []*coordpb.Member) bool {
	return !slices.ContainsFunc(members, func(m *coordpb.Member) bool { return d.stateOfIdentity(m.Identity) != peerDraining })
}
