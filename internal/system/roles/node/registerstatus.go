package node

import (
	"fmt"
	"slices"
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/register"
	"reachspread/coord/view"
	"reachspread/internal/system/status"
)

// viewStatus returns the status of the register as its view describes it. A router without a
// replica knows no more than that.
func viewStatus(v *coordpb.View) status.Register {
	return status.Register{Epoch: v.GetEpoch(), Machines: machineStatus(v), Shards: shardStatus(v)}
}

// machineStatus returns the members of a view: the chain in its order, then the others.
func machineStatus(v *coordpb.View) (all []status.Machine) {
	for i, identity := range v.GetChain() {
		address := view.MemberOf(v, identity).GetAddress()
		all = append(all, status.Machine{Address: address, Identity: identityText(identity), Member: true, ChainPosition: i + 1})
	}
	for _, m := range v.GetMembers() {
		if !slices.Contains(v.Chain, m.Identity) {
			all = append(all, status.Machine{Address: m.Address, Identity: identityText(m.Identity), Member: true})
		}
	}
	return all
}

// shardStatus returns the owners of the shards in a view.
func shardStatus(v *coordpb.View) (all []status.Shard) {
	for i, duty := range v.GetDuties() {
		owner := view.MemberOf(v, duty.Owner)
		all = append(all, status.Shard{
			Number:  i,
			Owner:   identityText(duty.Owner),
			Address: owner.GetAddress(),
			Token:   duty.Since,
		})
	}
	return all
}

// addReplicaStatus replaces the status that is based on the view alone by what a replica knows:
// its own state and what it has received from the other machines.
func addReplicaStatus(s *status.Register, in register.Inspection) {
	*s = viewStatus(in.View)
	s.Replica = replicaStatus(in)
	peers := append([]view.Peer{selfAsPeer(in)}, in.Peers...)
	newest := uint64(0)
	for _, p := range peers {
		newest = max(newest, p.Position.GetSequence())
	}
	for _, p := range peers {
		m := machineOf(s, p)
		m.Sequence, m.Behind = p.Position.GetSequence(), newest-p.Position.GetSequence()
		m.Complete = p.Position.GetStateEpoch() == s.Epoch
		m.Healthy, m.Draining = p.Healthy, p.Draining
		if p.LastHeartbeatAge != nil {
			m.HeardAgeSeconds = secondsOf(*p.LastHeartbeatAge)
		}
	}
}

func replicaStatus(in register.Inspection) *status.Replica {
	s := &status.Replica{
		Identity:         identityText(in.Identity),
		Sequence:         in.Position.GetSequence(),
		Healthy:          in.Healthy,
		Shards:           in.Shards,
		CurrentTolerance: in.CurrentTolerance,
		TargetTolerance:  in.Tolerance,
	}
	if in.Confirmed {
		s.ConfirmedAgeSeconds = secondsOf(in.ConfirmedAge)
	}
	if in.ToleranceShort {
		s.ShortSeconds = secondsOf(in.ToleranceShortFor)
	}
	return s
}

// selfAsPeer returns the replica's own state in the form of a peer's, with an age of 0.
func selfAsPeer(in register.Inspection) view.Peer {
	justNow := time.Duration(0)
	return view.Peer{
		Member:           &coordpb.Member{Address: in.Address, Identity: in.Identity},
		Position:         in.Position,
		Healthy:          in.Healthy,
		LastHeartbeatAge: &justNow,
	}
}

// machineOf returns the status entry of a peer. It adds an entry for a peer that is not a member.
func machineOf(s *status.Register, p view.Peer) *status.Machine {
	identity := identityText(p.Member.Identity)
	at := slices.IndexFunc(s.Machines, func(m status.Machine) bool { return m.Identity == identity })
	if at < 0 {
		s.Machines = append(s.Machines, status.Machine{Address: p.Member.Address, Identity: identity})
		at = len(s.Machines) - 1
	}
	return &s.Machines[at]
}

func identityText(identity uint64) string { return fmt.Sprintf("%016x", identity) }
