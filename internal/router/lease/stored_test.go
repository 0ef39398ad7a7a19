package lease

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/testbed/golden"
)

// The JSON files in testdata were written at commit 5bfcc27 by WRITE_GOLDEN=1 go test -run Golden.

// goldenState returns a State that sets every field at least once.
func goldenState() State {
	return State{Token: 77, Roles: []RoleState{
		{
			Role: Role{Name: "copier", MaxHolders: 2, PreferredZones: []string{"east", "west"}, ByZone: true},
			Grants: []Grant{{Role: "copier", Holder: Router{Name: "r1", Boot: 5, Zone: "east"}, Token: 76, Renewals: 12, TransferTo: AnyRouter, Reason: ReasonQueued, Unconfirmed: true},
				{Role: "copier", Holder: Router{Name: "r2", Boot: 6, Zone: "west"}, Token: 75, Renewals: 1, TransferTo: "r3", Reason: ReasonAvailable, Unconfirmed: true}},
			Queue:        []Router{{Name: "r4", Boot: 8, Zone: "west"}},
			Reservations: []Reservation{{For: "r3", Token: 74}},
		},
		{Role: Role{Name: "scribe", MaxHolders: 1, PreferredZones: []string{"east"}}},
	}}
}

// The stored state of a table keeps its encoding, and a table that is restored from the state has
// the same state.
func TestGoldenTableState(t *testing.T) {
	want := goldenState()
	golden.Complete(t, want, "Role.ByZone", "RoleState.Grants", "RoleState.Queue", "RoleState.Reservations")
	made, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "state.json", made)
	var got State
	if err := json.Unmarshal(golden.File(t, "state.json", made), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(want, RestoreTable(got).State()); diff != "" {
		t.Error(diff)
	}
}

// Commands of every kind keep the encoding that they have in the voters' log.
func TestGoldenCommands(t *testing.T) {
	var want []Command
	for _, kind := range []CommandKind{Acquire, Renew, Release, Transfer, Expire, Dequeue, RequestTransfer, DefineRole, RaiseToken} {
		want = append(want, Command{Kind: kind, Role: "copier@east", Router: Router{Name: "r1", Boot: 5, Zone: "east"}, Token: 76, Renewals: 12, To: "r2",
			Definition: &Role{Name: "copier", MaxHolders: 2, PreferredZones: []string{"east"}, ByZone: true}})
	}
	golden.Complete(t, want, "Command.Kind")
	made, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "commands.json", made)
	var got []Command
	if err := json.Unmarshal(golden.File(t, "commands.json", made), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// The reasons keep the texts that stored grants have.
func TestGoldenReasons(t *testing.T) {
	made, err := json.Marshal([]Reason{ReasonAvailable, ReasonQueued, ReasonReleased, ReasonTransferred, ReasonExpired, ReasonRestarted, ReasonFailed})
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "reasons.json", made)
}
