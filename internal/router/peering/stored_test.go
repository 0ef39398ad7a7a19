package peering

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"reachspread/internal/router/lease"
	"reachspread/internal/router/quorum"
	"reachspread/internal/testbed/golden"
)

// The files under testdata were written by a store of commit 5bfcc27, by
// WRITE_GOLDEN=1 go test -run Golden. The file voter.db is the store itself. The file voter.txt
// lists every value in it by bucket, because the pages of a store file may be in another order.

// goldenStored returns a state that has a value in every field that a store can contain.
func goldenStored(t *testing.T) *quorum.StoredState {
	t.Helper()
	nodes := []quorum.Node{{ID: 9, Name: "r1", Zone: "east"}, {ID: 11, Name: "r2", Zone: "west"}}
	table := lease.State{Token: 77, Roles: []lease.RoleState{{
		Role:         lease.Role{Name: "copier", MaxHolders: 2, PreferredZones: []string{"east"}, ByZone: true},
		Grants:       []lease.Grant{{Role: "copier", Holder: lease.Router{Name: "r1", Boot: 5, Zone: "east"}, Token: 76, Renewals: 12, TransferTo: "r3", Reason: lease.ReasonQueued, Unconfirmed: true}},
		Queue:        []lease.Router{{Name: "r4", Boot: 8, Zone: "west"}},
		Reservations: []lease.Reservation{{For: "r3", Token: 74}}}}}
	content, err := json.Marshal(struct { // the format that package quorum uses for snapshots
		Nodes []quorum.Node
		Table lease.State
	}{nodes, table})
	if err != nil {
		t.Fatal(err)
	}
	command, err := json.Marshal(struct {
		N uint64
		C lease.Command
	}{300, lease.Command{Kind: lease.Renew, Role: "copier", Router: lease.Router{Name: "r1", Boot: 5, Zone: "east"}, Token: 76}})
	if err != nil {
		t.Fatal(err)
	}
	confChange, err := proto.Marshal(&raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: number(11)}}, Context: []byte("r2")})
	if err != nil {
		t.Fatal(err)
	}
	stored := &quorum.StoredState{
		Meta: quorum.Meta{Version: 1, ID: 9, Name: "r1", Group: 3, Starts: 2, Members: nodes, Voters: []uint64{9, 11}, HighestToken: 77,
			StoreRecords: map[uint64]quorum.StoreRecord{11: {Starts: 4, Term: 5, Boot: 6, LastTerm: 5, LastIndex: 300}}},
		HardState: &raftpb.HardState{Term: number(5), Vote: number(11), Commit: number(302)},
		Snapshot: &raftpb.Snapshot{Data: content, Metadata: &raftpb.SnapshotMetadata{Index: number(300), Term: number(4),
			ConfState: &raftpb.ConfState{Voters: []uint64{9, 11}, Learners: []uint64{12}, VotersOutgoing: []uint64{9}, LearnersNext: []uint64{13}, AutoLeave: proto.Bool(true)}}},
	}
	for i, data := range [][]byte{command, confChange, nil} {
		e := &raftpb.Entry{Index: number(301 + uint64(i)), Term: number(5), Data: data}
		if i == 1 {
			e.Type = raftpb.EntryConfChangeV2.Enum()
		}
		stored.Entries = append(stored.Entries, e)
	}
	return stored
}

// dumpValues returns the keys and values in all buckets of a store file, as text.
func dumpValues(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var out strings.Builder
	if err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			fmt.Fprintf(&out, "bucket %q\n", name)
			return b.ForEach(func(k, v []byte) error { fmt.Fprintf(&out, "%q %q\n", k, v); return nil })
		})
	}); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// The store file of an earlier version is read with unchanged content. Writing the same state
// produces the same values, and opening the file keeps all of them.
func TestGoldenStore(t *testing.T) {
	want := goldenStored(t)
	golden.Complete(t, want.Meta)
	folder := t.TempDir()
	s, _, _, err := openStore(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.persist(&quorum.Persist{Reset: true, Meta: &want.Meta, HardState: want.HardState, Snapshot: want.Snapshot, Entries: want.Entries}); err != nil {
		t.Fatal(err)
	}
	s.close()
	written, err := os.ReadFile(filepath.Join(folder, "voter.db"))
	if err != nil {
		t.Fatal(err)
	}
	text := golden.File(t, "voter.db", written)
	golden.Same(t, "voter.txt", []byte(dumpValues(t, filepath.Join(folder, "voter.db"))))
	golden.Same(t, "voter.txt", []byte(dumpValues(t, filepath.Join("testdata", "voter.db"))))

	copied := t.TempDir()
	if err := os.WriteFile(filepath.Join(copied, "voter.db"), text, 0o644); err != nil {
		t.Fatal(err)
	}
	s, stored, unread, err := openStore(copied)
	if err != nil || unread != nil {
		t.Fatalf("the golden store was not read: unread %v, error %v", unread, err)
	}
	s.close()
	if diff := cmp.Diff(want, stored, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	golden.Same(t, "voter.txt", []byte(dumpValues(t, filepath.Join(copied, "voter.db"))))
	if _, err := os.Stat(filepath.Join(copied, "voter.lock")); err != nil {
		t.Error(err)
	}
}
