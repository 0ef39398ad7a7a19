package peering

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/testing/protocmp"

	"reachspread/internal/router/quorum"
)

func number(n uint64) *uint64 { return &n }

func entries(from, to uint64) (all []*raftpb.Entry) {
	for i := from; i <= to; i++ {
		all = append(all, &raftpb.Entry{Index: number(i), Term: number(1 + i/100), Data: make([]byte, 100)})
	}
	return all
}

// newFilledStore writes a store with log entries up to index 300. It returns the store's folder and
// the state that openStore reads from it.
func newFilledStore(t *testing.T) (folder string, stored *quorum.StoredState) {
	t.Helper()
	folder = t.TempDir()
	s, stored, unread, err := openStore(folder)
	if err != nil || stored != nil || unread != nil {
		t.Fatalf("%v, %v, %v", stored, unread, err)
	}
	meta := quorum.Meta{Version: 1, ID: 7, Name: "r1", Group: 3, Starts: 2, StoreRecords: map[uint64]quorum.StoreRecord{9: {Starts: 4}}}
	for _, k := range []quorum.Persist{
		{Reset: true, Meta: &meta},
		{Entries: entries(2, 250), HardState: &raftpb.HardState{Term: number(3), Vote: number(9), Commit: number(200)}},
		{Entries: entries(240, 300)}, // overwrites entries, as after a change of leader
		{Snapshot: &raftpb.Snapshot{Data: []byte("{}"), Metadata: &raftpb.SnapshotMetadata{Index: number(200), Term: number(3)}}, Compact: 150},
	} {
		if err := s.persist(&k); err != nil {
			t.Fatal(err)
		}
	}
	s.close()
	s, stored, unread, err = openStore(folder)
	if err != nil || unread != nil {
		t.Fatal(unread, err)
	}
	if _, _, _, err := openStore(folder); err == nil {
		t.Error("openStore opened a store that is already open")
	}
	s.close()
	return folder, stored
}

// A reopened store contains what was persisted: later entries replace earlier ones, and compacted
// entries are gone.
func TestStoreHasWhatWasPersisted(t *testing.T) {
	_, stored := newFilledStore(t)
	if diff := cmp.Diff(entries(151, 300), stored.Entries, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	if stored.Meta.ID != 7 || stored.Meta.StoreRecords[9].Starts != 4 || stored.HardState.GetVote() != 9 || stored.Snapshot.GetMetadata().GetIndex() != 200 {
		t.Errorf("got %+v", stored)
	}
}

// A store file that is truncated at any position, or has a flipped bit, is either read with its
// original content or renamed as unreadable. It must never be read with other content, and never
// crash the process.
func TestDamagedStoreIsSetAside(t *testing.T) {
	folder, want := newFilledStore(t)
	complete, err := os.ReadFile(filepath.Join(folder, storeFileName))
	if err != nil {
		t.Fatal(err)
	}
	unreadStores := 0
	check := func(what string, at int, text []byte) {
		t.Helper()
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, storeFileName), text, 0o644); err != nil {
			t.Fatal(err)
		}
		s, stored, unread, err := openStore(dir)
		if err != nil {
			t.Fatalf("%s at %d: %v", what, at, err)
		}
		defer s.close()
		if unread != nil {
			unreadStores++
		}
		if unread == nil && len(text) > 0 && stored != nil {
			if diff := cmp.Diff(want, stored, protocmp.Transform()); diff != "" {
				t.Errorf("%s at %d: the store is read with other content: %s", what, at, diff)
			}
		}
		if err := s.persist(&quorum.Persist{Reset: true, Meta: &quorum.Meta{Version: 1, ID: 8}}); err != nil {
			t.Errorf("%s at %d: %v", what, at, err)
		}
	}
	for at := 0; at < len(complete); at += len(complete)/40 + 1 {
		check("cut", at, complete[:at])
	}
	for at := 0; at < len(complete); at += len(complete)/100 + 1 {
		text := append([]byte(nil), complete...)
		text[at] ^= 1 << (at % 8)
		check("flip", at, text)
	}
	if t.Log(unreadStores, "stores renamed as unreadable"); unreadStores < 30 {
		t.Errorf("%d damaged stores were renamed as unreadable, want at least 30", unreadStores)
	}
}
