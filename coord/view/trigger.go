package view

import "slices"

// viewChangeNeeded reports whether another view is needed: the epoch has been sealed for
// sealedTimeout, the chain has stalled, or the desired chain or members differ from the current
// ones and a majority can vote. Before the first view, it reports whether that view may be
// proposed.
func (d *Decider) viewChangeNeeded() bool {
	if d.view.Epoch == 0 {
		return d.foundingAllowed()
	}
	if d.IsSealed() && d.now >= d.lastPromiseAt+sealedTimeout || d.status.Stalled {
		return true
	}
	if !d.majorityCanVote() {
		return false
	}
	chain := d.desiredChain(d.joinAllowed())
	longEnough := len(chain) >= MinChainLength(len(d.view.Members), d.config.Tolerance)
	if longEnough && !sameIdentities(chain, d.view.Chain) {
		return true
	}
	return !sameMembers(d.nextMembers(nil, d.hasCompletedEpoch), d.view.Members)
}

// foundingAllowed reports whether the first view may be proposed. A majority of the seeds must be
// up. In addition, either foundingTimeout has passed, or enough processes are up and these include
// all seeds or no new process has appeared for foundingDelay.
func (d *Decider) foundingAllowed() bool {
	all := d.candidates()
	last := d.startedAt
	for _, p := range d.peers {
		last = max(last, p.firstHeartbeatAt)
	}
	seeds := 0
	for _, m := range all {
		if slices.Contains(d.config.Seeds, m.Address) {
			seeds++
		}
	}
	if seeds < Majority(len(d.config.Seeds)) {
		return false
	}
	enough := len(all) >= TargetMembers(d.config.Tolerance)
	allSeeds := seeds == len(d.config.Seeds)
	if enough && (allSeeds || d.now >= last+foundingDelay) {
		return true
	}
	return d.now >= d.startedAt+foundingTimeout
}

// majorityCanVote reports whether a majority of the members is alive and has working storage.
func (d *Decider) majorityCanVote() bool {
	working := 0
	for _, m := range d.view.Members {
		if d.stateOfIdentity(m.Identity) >= peerDraining {
			working++
		}
	}
	return working >= Majority(len(d.view.Members))
}

// joinAllowed reports whether another member may join the chain now. If the last views left the
// chain unchanged, a member that seems healthy didn't promise in time. The wait before the next
// attempt then grows with each such view.
func (d *Decider) joinAllowed() bool {
	if d.unchangedViews == 0 {
		return true
	}
	wait := min(joinRetryDelay<<min(d.unchangedViews-1, 8), maxJoinRetryDelay)
	return d.now >= d.learnedAt+wait
}

// desiredChain returns the members of the chain that would begin now: the healthy ones that are in
// the chain or have caught up. If these are fewer than MinChainLength, it adds draining members,
// then lagging ones. If mayJoin is false, members outside the current chain are added only when
// draining.
func (d *Decider) desiredChain(mayJoin bool) []uint64 {
	var ready, draining, lagging []uint64
	newest := d.newestPosition()
	for _, m := range d.view.Members {
		inChain := slices.Contains(d.view.Chain, m.Identity)
		switch d.stateOfIdentity(m.Identity) {
		case peerHealthy:
			p := d.peers[m.Address]
			stable := inChain || mayJoin && (p == nil || d.now-p.aliveSince >= stabilityDelay)
			if stable && (inChain || lagRank(d.positionOf(m.Identity), newest) == 0) {
				ready = append(ready, m.Identity)
			} else if stable {
				lagging = append(lagging, m.Identity)
			}
		case peerDraining:
			draining = append(draining, m.Identity)
		}
	}
	return padChain(MinChainLength(len(d.view.Members), d.config.Tolerance), ready, draining, lagging)
}
