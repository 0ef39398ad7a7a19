package quorum

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// Node is a member of the group.
type Node struct {
	ID   uint64 // of its store
	Name string
	Zone string
}

// StoreRecord is the furthest that a router has seen another's store: a store that shows less is an
// older copy of it.
type StoreRecord struct {
	Starts              uint64 `json:"Start"` // processes that have begun with it
	Term                uint64
	Boot                uint32
	LastTerm, LastIndex uint64 // of its log
}

// Meta is the part of a store that is no log.
type Meta struct {
	Version      int
	ID           uint64 // of the store, drawn when it is made
	Name         string // of the router whose store it is
	Group        uint64 // 0 for none yet
	Starts       uint64 `json:"Start"` // processes that have begun with it
	Members      []Node `json:"Nodes"` // of the group, as of the last applied entry
	Voters       []uint64
	HighestToken uint64                 `json:"Token"` // that was seen
	StoreRecords map[uint64]StoreRecord `json:"Seals"` // by store, maxStoreRecords at most
}

// StoredState is all that a voter has on its disk.
type StoredState struct {
	Meta      Meta
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// Apply returns what a store has once a Persist is carried out; a nil store is empty. It is for
// owners whose disk is memory.
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

// Clone returns a copy that shares nothing that is changed later.
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
