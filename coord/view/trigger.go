package view

import "slices"

// viewChangeNeeded reports whether another view is needed: the epoch is sealed or stalled, or
// the desired chain or members differ from the present ones and a majority can vote on them.
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

// foundingAllowed reports whether the first view may be proposed: enough processes are up and
// no new one has appeared for a while, or foundingTimeout is over.
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

// majorityCanVote reports whether a majority of the members is alive with working storage.
func (d *Decider) majorityCanVote() bool {
	working := 0
	for _, m := range d.view.Members {
		if d.stateOfIdentity(m.Identity) >= peerDraining {
			working++
		}
	}
	return working >= Majority(len(d.view.Members))
}

// joinAllowed reports whether another member may be taken into the chain now. If the last views
// left the chain as it was, a member that seems healthy didn't promise in time, and is tried
// again less and less often.
func (d *Decider) joinAllowed() bool {
	if d.unchangedViews == 0 {
		return true
	}
	wait := min(joinRetryDelay<<min(d.unchangedViews-1, 8), maxJoinRetryDelay)
	return d.now >= d.learnedAt+wait
}

// desiredChain returns the members that a chain would have that began now: the healthy ones
// that are in the chain or have caught up; if these are too few also draining ones, then
// lagging ones.
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
