package quorum

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// Node identifies a candidate and its store, for example a member of the group.
type Node struct {
	ID   uint64 // ID of the store
	Name string
	Zone string
}

// StoreRecord is the latest state in which a router has seen the store of another router. If the
// store later shows an earlier state, it is an older copy.
type StoreRecord struct {
	Starts              uint64 `json:"Start"` // number of processes that have used the store
	Term                uint64 // the latest term that the store has shown
	Boot                uint32 // boot number of the last process that used the store
	LastTerm, LastIndex uint64 // of the last entry that the store's log is known to have
}

// Meta is the part of a store besides the raft hard state, snapshot and log.
type Meta struct {
	Version      int
	ID           uint64                 // of the store: a random number drawn when the store is created
	Name         string                 // name of the router that owns the store
	Group        uint64                 // number of the group; 0 for none yet
	Starts       uint64                 `json:"Start"` // number of processes that have used the store
	Members      []Node                 `json:"Nodes"` // members of the group as of the last applied entry
	Voters       []uint64               // store IDs of the voters as of the last applied entry
	HighestToken uint64                 `json:"Token"` // the largest token that the router has seen
	StoreRecords map[uint64]StoreRecord `json:"Seals"` // by store ID; from maxStoreRecords on, records of former members are dropped
}

// StoredState is everything that a voter stores on its disk.
type StoredState struct {
	Meta      Meta
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// Apply returns the stored state after a Persist. A nil StoredState is an empty store. Apply is for
// owners that keep the store in memory.
func (s *StoredState) Apply(p *Persist) *StoredState {
	out := &StoredState{}
	if s != nil && !p.Reset {
		*out = *s
	}
	if p.Meta != nil {
		out.Meta = *p.Meta
	}
	if p.HardState != nil {
		out.HardState = p.HardState
	}
	entries := slices.Clone(out.Entries)
	if p.Snapshot != nil {
		out.Snapshot = p.Snapshot
		if p.Compact == 0 {
			entries = nil
		}
	}
	if len(p.Entries) > 0 {
		first := p.Entries[0].GetIndex()
		entries = slices.DeleteFunc(entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		entries = append(entries, p.Entries...)
	}
	if p.Compact > 0 {
		entries = slices.DeleteFunc(entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= p.Compact })
	}
	out.Entries = entries
	return out
}

// Clone returns a copy that is not affected by later changes of s.
func (s *StoredState) Clone() *StoredState {
	if s == nil {
		return nil
	}
	c := *s
	c.Meta = s.Meta.clone()
	c.Entries = slices.Clone(s.Entries)
	return &c
}

func (m Meta) clone() Meta {
	m.Members, m.Voters, m.StoreRecords = slices.Clone(m.Members), slices.Clone(m.Voters), maps.Clone(m.StoreRecords)
	return m
}
