package quorum

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/router/lease"
	"reachspread/internal/testbed/golden"
)

// The JSON files in testdata were written at commit 5bfcc27 by WRITE_GOLDEN=1 go test -run Golden.

// checkGolden fails the test unless the JSON of want is the content of the golden file name and
// decodes to want. Except lists the fields of want that may be zero, as Type.Field.
func checkGolden[T any](t *testing.T, name string, want T, except ...string) {
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
		t.Errorf("golden file %s decodes to another value: %s", name, diff)
	}
}

var goldenNodes = []Node{{ID: 9, Name: "r1", Zone: "east"}, {ID: 11, Name: "r2", Zone: "west"}}

// The stored Meta keeps its encoding.
func TestGoldenMeta(t *testing.T) {
	checkGolden(t, "meta.json", Meta{Version: 1, ID: 9, Name: "r1", Group: 3, Starts: 2, Members: goldenNodes, Voters: []uint64{9, 11}, HighestToken: 77,
		StoreRecords: map[uint64]StoreRecord{11: {Starts: 4, Term: 5, Boot: 6, LastTerm: 5, LastIndex: 300}}})
}

// The content of a snapshot keeps its encoding.
func TestGoldenSnapshotContent(t *testing.T) {
	checkGolden(t, "snapshot.json", snapshotContent{Members: goldenNodes, Table: lease.State{Token: 77, Roles: []lease.RoleState{{
		Role:         lease.Role{Name: "copier", MaxHolders: 2, PreferredZones: []string{"east"}, ByZone: true},
		Grants:       []lease.Grant{{Role: "copier", Holder: lease.Router{Name: "r1", Boot: 5, Zone: "east"}, Token: 76, Renewals: 12, TransferTo: "r3", Reason: lease.ReasonQueued, Unconfirmed: true}},
		Queue:        []lease.Router{{Name: "r4", Boot: 8, Zone: "west"}},
		Reservations: []lease.Reservation{{For: "r3", Token: 74}}}}}})
}

// The content of a log entry keeps its encoding.
func TestGoldenProposal(t *testing.T) {
	checkGolden(t, "proposal.json", proposal{Number: 300, Command: lease.Command{Kind: lease.Transfer, Role: "copier", Router: lease.Router{Name: "r1", Boot: 5, Zone: "east"},
		Token: 76, Renewals: 12, To: "r2", Definition: &lease.Role{Name: "copier", MaxHolders: 2, PreferredZones: []string{"east"}, ByZone: true}}})
}

// Messages between voters keep their encoding.
func TestGoldenMessages(t *testing.T) {
	var all []*message
	for _, stage := range []Stage{Verifying, Joining, Learning, Voting, Standby} {
		all = append(all, &message{V: wireVersion, Group: 3, From: goldenNodes[0], To: 11, Starts: 2, Boot: 5, Raft: []byte("engine"),
			Hello: &hello{Stage: stage, Term: 5, LastTerm: 4, LastIndex: 300, HighestToken: 77, Members: goldenNodes, Voters: []uint64{9, 11}, Applied: 299,
				Leader: "r2", WantsReply: true, ReplyToStore: 11, ReplyToBoot: 6, ReplyToStarts: 4, Stale: "an older copy"}})
	}
	checkGolden(t, "messages.json", all)
	text, err := json.Marshal(all[0])
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(all[0].encode())
	if diff := cmp.Diff(all[0], got); err != nil || diff != "" || string(all[0].encode()) != string(text) {
		t.Errorf("decode returned error %v; difference to the encoded message: %s", err, diff)
	}
}
