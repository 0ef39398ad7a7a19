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

// load fills the engine's storage and the table from a stored state. It returns an error if the
// stored log has a gap or ends before the commit index.
func (v *Voter) load(s *StoredState) error {
	v.storage = raft.NewMemoryStorage()
	v.table, _ = lease.NewTable(nil, 0) // cannot fail without roles
	if s.Snapshot != nil && s.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := v.storage.ApplySnapshot(s.Snapshot); err != nil {
			return fmt.Errorf("the store's snapshot: %w", err)
		}
		if err := v.restore(s.Snapshot); err != nil {
			return err
		}
	}
	last, err := v.loadEntries(s.Entries)
	if err != nil {
		return err
	}
	if s.HardState != nil {
		if s.HardState.GetCommit() > last {
			return fmt.Errorf("the store's log ends at %d, and %d was agreed on", last, s.HardState.GetCommit())
		}
		if err := v.storage.SetHardState(s.HardState); err != nil {
			return err
		}
	}
	term, err := v.storage.Term(last)
	v.lastEntry = entryID{term, last}
	return err
}

// loadEntries appends the stored entries that follow the snapshot to the engine's storage, and
// returns the index of the last one.
func (v *Voter) loadEntries(entries []*raftpb.Entry) (last uint64, err error) {
	last = v.applied
	for _, e := range entries {
		if e.GetIndex() <= v.applied {
			continue
		}
		if last++; e.GetIndex() != last {
			return 0, fmt.Errorf("the store's log lacks %d", last)
		}
		if err := v.storage.Append([]*raftpb.Entry{e}); err != nil {
			return 0, fmt.Errorf("the store's log: %w", err)
		}
	}
	return last, nil
}

// restore replaces the table and the members by the content of a snapshot.
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

// setConfState replaces the group's configuration and members.
func (v *Voter) setConfState(c *raftpb.ConfState, members []Node) {
	v.confState = c
	v.meta.Voters = slices.Clone(c.GetVoters())
	v.meta.Members = members
	v.metaDirty = true
}

func (v *Voter) observeToken(t uint64) { v.meta.HighestToken = max(v.meta.HighestToken, t) }

// startRaft starts the engine with the present storage, and resets the state that only a running
// engine needs.
func (v *Voter) startRaft() {
	node, err := raft.NewRawNode(&raft.Config{
		ID: v.meta.ID, Storage: snapshotStorage{v.storage, v}, Applied: v.applied,
		ElectionTick: electionTimeoutTicks, HeartbeatTick: heartbeatTicks,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true,
		MaxSizePerMsg: maxEngineMessageBytes, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes,
		Logger: discardLogger{},
	})
	if err != nil {
		panic(err) // the configuration above is invalid, which is a bug
	}
	v.raft = node
	v.pending, v.renewedAt = map[uint64]pendingRequest{}, map[uint64]time.Duration{}
	v.notifications, v.reservedAt = map[uint64]grantNotification{}, map[uint64]time.Duration{}
	v.resetElectionTimer()
	v.nextTickAt = v.now
}

// processReady processes the engine's Ready values until the engine has no more.
func (v *Voter) processReady() {
	for v.raft != nil && v.raft.HasReady() {
		ready := v.raft.Ready()
		v.persistReady(&ready)
		v.checkLeadership()
		for _, m := range ready.Messages {
			v.sendRaft(m)
		}
		for _, e := range ready.CommittedEntries {
			v.apply(e)
		}
		v.raft.Advance(ready)
		v.checkLeadership()
		v.compactLog()
	}
}

// persistReady adds a Persist action for the entries, hard state and snapshot in ready. It must come
// before the actions that send ready's messages.
func (v *Voter) persistReady(ready *raft.Ready) {
	p := Persist{Entries: ready.Entries}
	if ready.Snapshot != nil && ready.Snapshot.GetMetadata().GetIndex() > 0 {
		p.Snapshot = ready.Snapshot
		v.applySnapshot(ready.Snapshot)
	}
	if len(ready.Entries) > 0 {
		v.storage.Append(ready.Entries)
	}
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		p.HardState = ready.HardState
		v.hardState = ready.HardState
		v.storage.SetHardState(ready.HardState)
	}
	if p.Entries == nil && p.HardState == nil && p.Snapshot == nil {
		return
	}
	if v.metaDirty {
		p.Meta = v.cloneMeta()
	}
	v.actions = append(v.actions, p)
}

// applySnapshot installs a snapshot that the leader has sent.
func (v *Voter) applySnapshot(s *raftpb.Snapshot) {
	if v.storage.ApplySnapshot(s) != nil {
		return // the snapshot is older than the present one
	}
	if err := v.restore(s); err != nil {
		panic(err) // the leader wrote an invalid snapshot, and there is no valid state to continue from
	}
	clear(v.renewedAt)
}

// sendRaft sends a message of the engine to the candidate whose store it is for.
func (v *Voter) sendRaft(m *raftpb.Message) {
	for _, name := range v.config.Candidates {
		if v.storeIDs[name] == m.GetTo() {
			v.send(name, &message{To: m.GetTo(), Raft: marshal(m)})
			break
		}
	}
	if m.GetType() == raftpb.MsgSnap {
		// Report success at once, because the engine sends the receiver no entries before a report.
		// The receiver's next reply shows whether the snapshot has arrived.
		v.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

func (v *Voter) send(to string, m *message) {
	m.Group, m.From, m.Starts, m.Boot = v.meta.Group, Node{v.meta.ID, v.config.Self, v.config.Zone}, v.meta.Starts, v.config.Boot
	v.actions = append(v.actions, Send{to, m.encode()})
}

// apply applies one committed entry.
func (v *Voter) apply(e *raftpb.Entry) {
	v.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryNormal:
		v.applyCommand(e)
	case raftpb.EntryConfChangeV2:
		v.applyConfChange(e)
	}
}

// applyCommand applies the command of an entry to the table, and replies to the router if this voter
// has its request pending.
func (v *Voter) applyCommand(e *raftpb.Entry) {
	var p proposal
	if len(e.Data) == 0 || json.Unmarshal(e.Data, &p) != nil {
		return // not a command: each new leader first appends an empty entry
	}
	result, changes := v.table.Apply(e.GetIndex(), p.Command)
	v.counters.Commands++
	v.observeToken(v.table.Token())
	v.trackLeases(p.Command, result, changes)
	v.actions = append(v.actions, Applied{e.GetIndex(), p.Command, result, changes})
	if r, ok := v.pending[p.Number]; ok {
		delete(v.pending, p.Number)
		v.actions = append(v.actions, SendReply{To: r.router, Reply: &lease.Reply{ID: r.id, Boot: r.boot, Leader: v.config.Self, Result: result}})
	}
}

// applyConfChange applies a configuration change of the group. The change's context contains the
// nodes that the change adds.
func (v *Voter) applyConfChange(e *raftpb.Entry) {
	change := &raftpb.ConfChangeV2{}
	if proto.Unmarshal(e.Data, change) != nil {
		return
	}
	members := slices.Clone(v.meta.Members)
	var added []Node
	json.Unmarshal(change.Context, &added) // no nodes if the change adds none
	c := v.raft.ApplyConfChange(change)
	for _, n := range added {
		if !slices.Contains(members, n) {
			members = append(members, n)
		}
	}
	members = slices.DeleteFunc(members, func(n Node) bool { return !isInConfState(c, n.ID) })
	v.setConfState(c, members)
}

func isInConfState(c *raftpb.ConfState, id uint64) bool {
	return slices.Contains(c.Voters, id) || slices.Contains(c.Learners, id) || slices.Contains(c.VotersOutgoing, id) || slices.Contains(c.LearnersNext, id)
}

// compactLog takes a snapshot once entriesPerSnapshot entries have been applied since the last one.
// It then drops the applied log entries except the last retainedEntries.
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

// snapshotStorage is the engine's storage. Its Snapshot method makes a snapshot of the present state
// instead of returning an older one, because the engine would refuse to send a snapshot from before
// the receiver joined.
type snapshotStorage struct {
	*raft.MemoryStorage
	voter *Voter
}

// Snapshot implements raft.Storage.
func (s snapshotStorage) Snapshot() (*raftpb.Snapshot, error) {
	last, err := s.MemoryStorage.Snapshot()
	if err != nil || last.GetMetadata().GetIndex() >= s.voter.applied || s.voter.confState == nil {
		return last, err
	}
	// Marshal cannot fail: all fields have types that JSON can encode.
	data, _ := json.Marshal(snapshotContent{s.voter.meta.Members, s.voter.table.State()})
	return s.MemoryStorage.CreateSnapshot(s.voter.applied, s.voter.confState, data)
}

// discardLogger discards the engine's log messages. Fatal and panic messages, which report an
// inconsistent state, panic.
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
