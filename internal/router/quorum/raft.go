package quorum

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/router/lease"
)

// quiet keeps the engine from writing; what it finds impossible ends the process all the same.
type quiet struct{}

func (quiet) Debug(...any)              {}
func (quiet) Debugf(string, ...any)     {}
func (quiet) Info(...any)               {}
func (quiet) Infof(string, ...any)      {}
func (quiet) Warning(...any)            {}
func (quiet) Warningf(string, ...any)   {}
func (quiet) Error(...any)              {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Fatal(a ...any)            { panic(fmt.Sprint(a...)) }
func (quiet) Fatalf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }
func (quiet) Panic(a ...any)            { panic(fmt.Sprint(a...)) }
func (quiet) Panicf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }

// load fills the engine's storage with what was kept, and checks that it hangs together.
func (v *Voter) load(s *Stored) error {
	v.store = raft.NewMemoryStorage()
	v.table, _ = lease.NewTable(nil, 0)
	if s.Snapshot != nil && s.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := v.store.ApplySnapshot(s.Snapshot); err != nil {
			return fmt.Errorf("the store's snapshot: %w", err)
		}
		if err := v.restore(s.Snapshot); err != nil {
			return err
		}
	}
	at := v.applied
	for _, e := range s.Entries {
		if e.GetIndex() <= v.applied {
			continue
		}
		if at++; e.GetIndex() != at {
			return fmt.Errorf("the store's log lacks %d", at)
		}
		if err := v.store.Append([]*raftpb.Entry{e}); err != nil {
			return fmt.Errorf("the store's log: %w", err)
		}
	}
	if s.Hard != nil {
		if s.Hard.GetCommit() > at {
			return fmt.Errorf("the store's log ends at %d, and %d was agreed on", at, s.Hard.GetCommit())
		}
		if err := v.store.SetHardState(s.Hard); err != nil {
			return err
		}
	}
	term, err := v.store.Term(at)
	v.last = [2]uint64{term, at}
	return err
}

// restore takes a snapshot's content.
func (v *Voter) restore(s *raftpb.Snapshot) error {
	var c state
	if err := json.Unmarshal(s.GetData(), &c); err != nil {
		return fmt.Errorf("the snapshot's content: %w", err)
	}
	v.table = lease.Restored(c.Table)
	v.applied, v.snapped = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	v.configured(s.GetMetadata().GetConfState(), c.Nodes)
	v.tokenSeen(v.table.Token())
	return nil
}

// configured takes who takes part from here on.
func (v *Voter) configured(c *raftpb.ConfState, nodes []Node) {
	v.conf = c
	v.meta.Voters = slices.Clone(c.GetVoters())
	v.meta.Nodes = nodes
	v.dirty = true
}

func (v *Voter) tokenSeen(t uint64) { v.meta.Token = max(v.meta.Token, t) }

// run starts the engine with the storage as it is.
func (v *Voter) run() {
	node, err := raft.NewRawNode(&raft.Config{ID: v.meta.ID, ElectionTick: silence, HeartbeatTick: 2, Storage: storage{v.store, v}, Applied: v.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{}})
	if err != nil {
		panic(err) // of a configuration that is written above
	}
	v.node = node
	v.pending, v.since, v.pushed, v.kept = map[uint64]waiting{}, map[uint64]time.Duration{}, map[uint64]push{}, map[uint64]time.Duration{}
	v.leaderHeard()
	v.tickAt = v.now
}

// drain carries out what the engine has ready, until there is no more.
func (v *Voter) drain() {
	for v.node != nil && v.node.HasReady() {
		rd := v.node.Ready()
		v.keep(&rd)
		v.leadership()
		for _, m := range rd.Messages {
			v.post(m)
		}
		for _, e := range rd.CommittedEntries {
			v.apply(e)
		}
		v.node.Advance(rd)
		v.leadership()
		v.snapshot()
	}
}

// keep writes what must be kept before the messages leave.
func (v *Voter) keep(rd *raft.Ready) {
	k := Keep{Entries: rd.Entries}
	if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
		k.Snapshot = rd.Snapshot
		if v.store.ApplySnapshot(rd.Snapshot) == nil {
			if err := v.restore(rd.Snapshot); err != nil {
				panic(err) // of a voter that wrote it: nothing that is known goes on from here
			}
			clear(v.since)
		}
	}
	if len(rd.Entries) > 0 {
		v.store.Append(rd.Entries)
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		k.Hard = rd.HardState
		v.hard = rd.HardState
		v.store.SetHardState(rd.HardState)
	}
	if k.Entries == nil && k.Hard == nil && k.Snapshot == nil {
		return
	}
	if v.dirty {
		k.Meta = v.metaNow()
	}
	v.out = append(v.out, k)
}

// leadership notes that the own role has changed.
func (v *Voter) leadership() {
	if leads := v.leads(); leads != v.led {
		v.led = leads
		clear(v.pending) // who waits asks again
		clear(v.pushed)
		clear(v.kept)
		if leads {
			v.tickAt, v.planAt, v.lineAt = v.now+v.c.Beat, v.now+planEvery, v.now+lineEvery
			v.takeOffice()
		} else {
			v.leaderHeard()
		}
	}
}

// post sends a message of the engine's.
func (v *Voter) post(m *raftpb.Message) {
	for _, name := range v.c.Names {
		if v.stores[name] == m.GetTo() {
			v.send(name, &message{To: m.GetTo(), Raft: marshal(m)})
			break
		}
	}
	if m.GetType() == raftpb.MsgSnap {
		v.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // whether it came, the next answer shows
	}
}

func (v *Voter) send(to string, m *message) {
	m.Group, m.From, m.Start, m.Boot = v.meta.Group, Node{v.meta.ID, v.c.Self, v.c.Zone}, v.meta.Start, v.c.Boot
	v.out = append(v.out, Send{to, m.encode()})
}

// apply takes one entry that was agreed on.
func (v *Voter) apply(e *raftpb.Entry) {
	v.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryNormal:
		var p proposal
		if len(e.Data) == 0 || json.Unmarshal(e.Data, &p) != nil {
			return // a leader's first
		}
		answer, changes := v.table.Apply(e.GetIndex(), p.C)
		v.figures.Commands++
		v.tokenSeen(v.table.Token())
		v.leased(p.C, answer, changes)
		v.out = append(v.out, Applied{e.GetIndex(), p.C, answer, changes})
		if w, ok := v.pending[p.N]; ok {
			delete(v.pending, p.N)
			v.out = append(v.out, Answer{To: w.from, Reply: &lease.Reply{ID: w.id, Boot: w.boot, Leader: v.c.Self, Answer: answer}})
		}
	case raftpb.EntryConfChangeV2:
		cc := &raftpb.ConfChangeV2{}
		if proto.Unmarshal(e.Data, cc) != nil {
			return
		}
		nodes := slices.Clone(v.meta.Nodes)
		var added []Node
		json.Unmarshal(cc.Context, &added)
		c := v.node.ApplyConfChange(cc)
		for _, n := range added {
			if !slices.Contains(nodes, n) {
				nodes = append(nodes, n)
			}
		}
		nodes = slices.DeleteFunc(nodes, func(n Node) bool {
			return !slices.Contains(c.Voters, n.ID) && !slices.Contains(c.Learners, n.ID) && !slices.Contains(c.VotersOutgoing, n.ID) && !slices.Contains(c.LearnersNext, n.ID)
		})
		v.configured(c, nodes)
	}
}

// storage is the engine's, which gives snapshots of the present: one from before a router joined would be refused by it.
type storage struct {
	*raft.MemoryStorage
	v *Voter
}

func (s storage) Snapshot() (*raftpb.Snapshot, error) {
	if old, err := s.MemoryStorage.Snapshot(); err != nil || old.GetMetadata().GetIndex() >= s.v.applied || s.v.conf == nil {
		return old, err
	}
	data, _ := json.Marshal(state{s.v.meta.Nodes, s.v.table.State()}) // of plain fields
	return s.MemoryStorage.CreateSnapshot(s.v.applied, s.v.conf, data)
}

// snapshot keeps the log within its bound.
func (v *Voter) snapshot() {
	if v.applied < v.snapped+snapshotEvery || v.conf == nil {
		return
	}
	s, err := storage{v.store, v}.Snapshot()
	if err != nil {
		return
	}
	v.snapped = v.applied
	compact := v.applied - keepBehind
	v.store.Compact(compact)
	v.figures.Snapshots++
	v.out = append(v.out, Keep{Snapshot: s, Compact: compact})
}

// propose brings a command into the log. It tells whether that has begun.
func (v *Voter) propose(c lease.Command) (n uint64, ok bool) {
	v.nth++
	n = v.nth<<32 | uint64(v.c.Boot)
	data, _ := json.Marshal(proposal{n, c})
	return n, v.node.Propose(data) == nil
}

// asked takes a request.
func (v *Voter) asked(e Asked) {
	q := e.Request
	if q.Command.Kind == lease.Acquire && v.meta.Group == 0 {
		v.tokenSeen(q.Command.Token) // whoever founds begins above it
	}
	reply := &lease.Reply{ID: q.ID, Boot: q.Command.Who.Boot, Leader: v.Leader(), NotLeader: true}
	if v.leads() && len(v.pending) < mostPending {
		if n, ok := v.propose(q.Command); ok {
			v.pending[n] = waiting{e.From, q.ID, q.Command.Who.Boot}
			return
		}
	}
	v.figures.Refused++
	v.out = append(v.out, Answer{To: e.From, Reply: reply})
}
