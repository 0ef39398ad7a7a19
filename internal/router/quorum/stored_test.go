package quorum

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/router/lease"
	"reachspread/internal/testbed/golden"
)

// The files under testdata were written at commit 5bfcc27: WRITE_GOLDEN=1 go test -run Golden.

// pin has a value in JSON be what a file has, and be read from it to the same value.
func pin[T any](t *testing.T, name string, want T, except ...string) {
	t.Helper()
	golden.Complete(t, want, except...)
	made, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, name, made)
	var got T
	if err := json.Unmarshal(golden.File(t, name, made), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s: %s", name, diff)
	}
}

var goldenNodes = []Node{{ID: 9, Name: "r1", Zone: "east"}, {ID: 11, Name: "r2", Zone: "west"}}

// A store's description is read and written as it was.
func TestGoldenMeta(t *testing.T) {
	pin(t, "meta.json", Meta{Version: 1, ID: 9, Name: "r1", Group: 3, Start: 2, Nodes: goldenNodes, Voters: []uint64{9, 11}, Token: 77,
		Seals: map[uint64]Seal{11: {Start: 4, Term: 5, Boot: 6, LastTerm: 5, LastIndex: 300}}})
}

// The content of a snapshot of the log is read and written as it was.
func TestGoldenSnapshotContent(t *testing.T) {
	pin(t, "snapshot.json", state{Nodes: goldenNodes, Table: lease.State{Token: 77, Duties: []lease.SlotsState{{
		Duty:   lease.Duty{Name: "copier", Holders: 2, Zones: []string{"east"}, ByZone: true},
		Grants: []lease.Grant{{Duty: "copier", Holder: lease.Router{Name: "r1", Boot: 5, Zone: "east"}, Token: 76, Renewals: 12, Wish: "r3", Why: lease.InTurn, Pushed: true}},
		Line:   []lease.Router{{Name: "r4", Boot: 8, Zone: "west"}},
		Kept:   []lease.Kept{{To: "r3", Token: 74}}}}}})
}

// An entry of the log is read and written as it was.
func TestGoldenProposal(t *testing.T) {
	pin(t, "proposal.json", proposal{N: 300, C: lease.Command{Kind: lease.HandOver, Duty: "copier", Who: lease.Router{Name: "r1", Boot: 5, Zone: "east"},
		Token: 76, Renewals: 12, To: "r2", With: &lease.Duty{Name: "copier", Holders: 2, Zones: []string{"east"}, ByZone: true}}})
}

// Messages between voters are read and written as they were.
func TestGoldenMessages(t *testing.T) {
	var all []*message
	for _, stage := range []Stage{Asking, Joining, Learning, Voting, Spare} {
		all = append(all, &message{V: wireVersion, Group: 3, From: goldenNodes[0], To: 11, Start: 2, Boot: 5, Raft: []byte("engine"),
			Hello: &hello{Stage: stage, Term: 5, LastTerm: 4, LastIndex: 300, Token: 77, Nodes: goldenNodes, Voters: []uint64{9, 11}, Applied: 299,
				Leader: "r2", Wants: true, Of: 11, OfBoot: 6, OfStart: 4, Older: "an older copy"}})
	}
	pin(t, "messages.json", all)
	text, err := json.Marshal(all[0])
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(all[0].encode())
	if diff := cmp.Diff(all[0], got); err != nil || diff != "" || string(all[0].encode()) != string(text) {
		t.Errorf("%v %s", err, diff)
	}
}
