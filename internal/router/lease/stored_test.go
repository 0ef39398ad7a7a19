package lease

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/testbed/golden"
)

// The files under testdata were written at commit 5bfcc27: WRITE_GOLDEN=1 go test -run Golden.

// goldenState has every field of a State.
func goldenState() State {
	return State{Token: 77, Duties: []SlotsState{
		{
			Duty: Duty{Name: "copier", Holders: 2, Zones: []string{"east", "west"}, ByZone: true},
			Grants: []Grant{{Duty: "copier", Holder: Router{Name: "r1", Boot: 5, Zone: "east"}, Token: 76, Renewals: 12, Wish: Anybody, Why: InTurn, Pushed: true},
				{Duty: "copier", Holder: Router{Name: "r2", Boot: 6, Zone: "west"}, Token: 75, Renewals: 1, Wish: "r3", Why: Asked, Pushed: true}},
			Line: []Router{{Name: "r4", Boot: 8, Zone: "west"}},
			Kept: []Kept{{To: "r3", Token: 74}},
		},
		{Duty: Duty{Name: "scribe", Holders: 1, Zones: []string{"east"}}},
	}}
}

// A table's state is read as it was written, and a table that is made of it has the same state.
func TestGoldenState(t *testing.T) {
	want := goldenState()
	golden.Complete(t, want, "Duty.ByZone", "SlotsState.Grants", "SlotsState.Line", "SlotsState.Kept")
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
	if diff := cmp.Diff(want, Restored(got).State()); diff != "" {
		t.Error(diff)
	}
}

// Commands of every kind, as they stand in the log, are read as they were written.
func TestGoldenCommands(t *testing.T) {
	var want []Command
	for _, kind := range []Kind{Acquire, Renew, Yield, HandOver, Expire, Forget, Wish, Define, Raise} {
		want = append(want, Command{Kind: kind, Duty: "copier@east", Who: Router{Name: "r1", Boot: 5, Zone: "east"}, Token: 76, Renewals: 12, To: "r2",
			With: &Duty{Name: "copier", Holders: 2, Zones: []string{"east"}, ByZone: true}})
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

// The reasons that stand in grants are words that stay.
func TestGoldenReasons(t *testing.T) {
	made, err := json.Marshal([]Why{Asked, InTurn, Yielded, HandedOver, Expired, Again, Dropped})
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "reasons.json", made)
}
