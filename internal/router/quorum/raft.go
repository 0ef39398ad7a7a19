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
type discardLogger struct{}

func (discardLogger) Debug(...any)              {}
func (discardLogger) Debugf(string, ...any)     {}
func (discardLogger) Info(...any)               {}
func (discardLogger) Infof(string, ...any)      {}
func (discardLogger) Warning(...any)            {}
func (discardLogger) Warningf(string, ...any)   {}
func (discardLogger) Error(...any)              {}
func (discardLogger) Errorf(string, ...any)     {}
func (discardLogger) Fatal(a ...any)            { panic(fmt.Sprint(a...)) }
func (discardLogger) Fatalf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }
func (discardLogger) Panic(a ...any)            { panic(fmt.Sprint(a...)) }
func (discardLogger) Panicf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }

// load fills the engine's storage with what was kept, and checks that it hangs together.
func (v *Voter) load(s *StoredState) error {
	v.storage = raft.NewMemoryStorage()
	v.table, _ = lease.NewTable(nil, 0)
	if s.Snapshot != nil && s.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := v.storage.ApplySnapshot(s.Snapshot); err != nil {
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
		if err := v.storage.Append([]*raftpb.Entry{e}); err != nil {
			return fmt.Errorf("the store's log: %w", err)
		}
	}
	if s.HardState != nil {
		if s.HardState.GetCommit() > at {
			return fmt.Errorf("the store's log ends at %d, and %d was agreed on", at, s.HardState.GetCommit())
		}
		if err := v.storage.SetHardState(s.HardState); err != nil {
			return err
		}
	}
	term, err := v.storage.Term(at)
	v.lastEntry = [2]uint64{term, at}
	return err
}

// restore takes a snapshot's content.
func (v *Voter) restore(s *raftpb.Snapshot) error {
	var c snapshotContent
	if err := json.Unmarshal(s.GetData(), &c); err != nil {
		return fmt.Errorf("the snapshot's content: %w", err)
	}
	v.table = lease.RestoreTable(c.Table)
	v.applied, v.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	v.setConfState(s.GetMetadata().GetConfState(), c.Members)
	v.observeToken(v.table.Token())
	return nil
}

// configured takes who takes part from here on.
func (v *Voter) setConfState(c *raftpb.ConfState, nodes []Node) {
	v.confState = c
	v.meta.Voters = slices.Clone(c.GetVoters())
	v.meta.Members = nodes
	v.metaDirty = true
}

func (v *Voter) observeToken(t uint64) { v.meta.HighestToken = max(v.meta.HighestToken, t) }

// run starts the engine with the storage as it is.
func (v *Voter) startRaft() {
	node, err := raft.NewRawNode(&raft.Config{ID: v.meta.ID, ElectionTick: electionTimeoutTicks, HeartbeatTick: 2, Storage: snapshotStorage{v.storage, v}, Applied: v.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: discardLogger{}})
	if err != nil {
		panic(err) // of a configuration that is written above
	}
	v.raft = node
	v.pending, v.renewedAt, v.notifications, v.reservedAt = map[uint64]pendingRequest{}, map[uint64]time.Duration{}, map[uint64]grantNotification{}, map[uint64]time.Duration{}
	v.resetElectionTimer()
	v.nextTickAt = v.now
}

// drain carries out what the engine has ready, until there is no more.
func (v *Voter) processReady() {
	for v.raft != nil && v.raft.HasReady() {
		rd := v.raft.Ready()
		v.persistReady(&rd)
		v.checkLeadership()
		for _, m := range rd.Messages {
			v.sendRaft(m)
		}
		for _, e := range rd.CommittedEntries {
			v.apply(e)
		}
		v.raft.Advance(rd)
		v.checkLeadership()
		v.compactLog()
	}
}

// keep writes what must be kept before the messages leave.
func (v *Voter) persistReady(rd *raft.Ready) {
	k := Persist{Entries: rd.Entries}
	if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
		k.Snapshot = rd.Snapshot
		if v.storage.ApplySnapshot(rd.Snapshot) == nil {
			if err := v.restore(rd.Snapshot); err != nil {
				panic(err) // of a voter that wrote it: nothing that is known goes on from here
			}
			clear(v.renewedAt)
		}
	}
	if len(rd.Entries) > 0 {
		v.storage.Append(rd.Entries)
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		k.HardState = rd.HardState
		v.hardState = rd.HardState
		v.storage.SetHardState(rd.HardState)
	}
	if k.Entries == nil && k.HardState == nil && k.Snapshot == nil {
		return
	}
	if v.metaDirty {
		k.Meta = v.cloneMeta()
	}
	v.actions = append(v.actions, k)
}

// leadership notes that the own role has changed.
func (v *Voter) checkLeadership() {
	if leads := v.isLeader(); leads != v.wasLeader {
		v.wasLeader = leads
		clear(v.pending) // who waits asks again
		clear(v.notifications)
		clear(v.reservedAt)
		if leads {
			v.nextTickAt, v.nextReconfigureAt, v.nextQueueCheckAt = v.now+v.config.TickInterval, v.now+reconfigureInterval, v.now+queueCheckInterval
			v.becomeLeader()
		} else {
			v.resetElectionTimer()
		}
	}
}

// post sends a message of the engine's.
func (v *Voter) sendRaft(m *raftpb.Message) {
	for _, name := range v.config.Candidates {
		if v.storeIDs[name] == m.GetTo() {
			v.send(name, &message{To: m.GetTo(), Raft: marshal(m)})
			break
		}
	}
	if m.GetType() == raftpb.MsgSnap {
		v.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // whether it came, the next answer shows
	}
}

func (v *Voter) send(to string, m *message) {
	m.Group, m.From, m.Starts, m.Boot = v.meta.Group, Node{v.meta.ID, v.config.Self, v.config.Zone}, v.meta.Starts, v.config.Boot
	v.actions = append(v.actions, Send{to, m.encode()})
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
		answer, changes := v.table.Apply(e.GetIndex(), p.Command)
		v.counters.Commands++
		v.observeToken(v.table.Token())
		v.trackLeases(p.Command, answer, changes)
		v.actions = append(v.actions, Applied{e.GetIndex(), p.Command, answer, changes})
		if w, ok := v.pending[p.Number]; ok {
			delete(v.pending, p.Number)
			v.actions = append(v.actions, SendReply{To: w.router, Reply: &lease.Reply{ID: w.id, Boot: w.boot, Leader: v.config.Self, Result: answer}})
		}
	case raftpb.EntryConfChangeV2:
		cc := &raftpb.ConfChangeV2{}
		if proto.Unmarshal(e.Data, cc) != nil {
			return
		}
		nodes := slices.Clone(v.meta.Members)
		var added []Node
		json.Unmarshal(cc.Context, &added)
		c := v.raft.ApplyConfChange(cc)
		for _, n := range added {
			if !slices.Contains(nodes, n) {
				nodes = append(nodes, n)
			}
		}
		nodes = slices.DeleteFunc(nodes, func(n Node) bool {
			return !slices.Contains(c.Voters, n.ID) && !slices.Contains(c.Learners, n.ID) && !slices.Contains(c.VotersOutgoing, n.ID) && !slices.Contains(c.LearnersNext, n.ID)
		})
		v.setConfState(c, nodes)
	}
}

// storage is the engine's, which gives snapshots of the present: one from before a router joined would be refused by it.
type snapshotStorage struct {
	*raft.MemoryStorage
	voter *Voter
}

func (s snapshotStorage) Snapshot() (*raftpb.Snapshot, error) {
	if old, err := s.MemoryStorage.Snapshot(); err != nil || old.GetMetadata().GetIndex() >= s.voter.applied || s.voter.confState == nil {
		return old, err
	}
	data, _ := json.Marshal(snapshotContent{s.voter.meta.Members, s.voter.table.State()}) // of plain fields
	return s.MemoryStorage.CreateSnapshot(s.voter.applied, s.voter.confState, data)
}

// snapshot keeps the log within its bound.
func (v *Voter) compactLog() {
	if v.applied < v.snapshotIndex+entriesPerSnapshot || v.confState == nil {
		return
	}
	s, err := snapshotStorage{v.storage, v}.Snapshot()
	if err != nil {
		return
	}
	v.snapshotIndex = v.applied
	compact := v.applied - retainedEntries
	v.storage.Compact(compact)
	v.counters.Snapshots++
	v.actions = append(v.actions, Persist{Snapshot: s, Compact: compact})
}

// propose brings a command into the log. It tells whether that has begun.
func (v *Voter) propose(c lease.Command) (n uint64, ok bool) {
	v.proposals++
	n = v.proposals<<32 | uint64(v.config.Boot)
	data, _ := json.Marshal(proposal{n, c})
	return n, v.raft.Propose(data) == nil
}

// asked takes a request.
func (v *Voter) handleRequest(e RequestReceived) {
	q := e.Request
	if q.Command.Kind == lease.Acquire && v.meta.Group == 0 {
		v.observeToken(q.Command.Token) // whoever founds begins above it
	}
	reply := &lease.Reply{ID: q.ID, Boot: q.Command.Router.Boot, Leader: v.Leader(), NotLeader: true}
	if v.isLeader() && len(v.pending) < maxPendingRequests {
		if n, ok := v.propose(q.Command); ok {
			v.pending[n] = pendingRequest{e.From, q.ID, q.Command.Router.Boot}
			return
		}
	}
	v.counters.Rejected++
	v.actions = append(v.actions, SendReply{To: e.From, Reply: reply})
}
