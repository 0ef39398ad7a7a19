package scaletest

import (
	"context"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func smallPlan() Plan {
	return Plan{Hollow: 12, Zones: 3, Length: 2 * time.Second, Apart: time.Second, Within: time.Minute, Seed: 1}
}

// Real and hollow members form one fleet: all of them learn of each change, and a real member sends
// about as much as a hollow one.
func TestRealAndHollowMembersAgree(t *testing.T) {
	program := filepath.Join(t.TempDir(), "reachspread")
	if out, err := exec.Command("go", "build", "-o", program, "reachspread/cmd/reachspread").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	p := smallPlan()
	p.Real, p.Program, p.Loss = 2, program, 0.02
	r, err := Run(t.Context(), p)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	r.Write(&text)
	t.Log(text.String())
	if len(r.Known) != 6 {
		t.Errorf("%d changes were measured, want 6", len(r.Known))
	}
	for _, k := range r.Known {
		if k.All == 0 || k.Half > k.NinetyNine || k.NinetyNine > k.All {
			t.Errorf("%+v: want the change known to all members, with increasing times", k)
		}
	}
	if r.Real.Datagrams == 0 || r.Hollow.Datagrams == 0 || r.Real.MemoryMB == 0 {
		t.Errorf("real %+v, hollow %+v: want datagrams of both and memory of real members", r.Real, r.Hollow)
	}
	// Each member sends only a few datagrams per second, so over 2 s the counts differ by chance.
	if ratio := r.Real.Datagrams / r.Hollow.Datagrams; ratio < 0.4 || ratio > 2.5 {
		t.Errorf("a real member sends %.2f times as many datagrams as a hollow member, want 0.4 to 2.5", ratio)
	}
}

// A cancelled run ends with the error of its context.
func TestCancelledRunEndsAllMembers(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if _, err := Run(ctx, smallPlan()); err != context.Canceled {
		t.Errorf("got %v, want context.Canceled", err)
	}
}

// Check refuses invalid plans, and plans that need too much memory, with an error of one line that
// names the field.
func TestInvalidPlanIsRefusedByField(t *testing.T) {
	for want, change := range map[string]func(*Plan){
		"hollow is 1;":                      func(p *Plan) { p.Hollow = 1 },
		"hollow is 9000;":                   func(p *Plan) { p.Hollow = 9000 },
		"real is 301;":                      func(p *Plan) { p.Real = 301 },
		"program is empty":                  func(p *Plan) { p.Real = 1 },
		"zones is 0;":                       func(p *Plan) { p.Zones = 0 },
		"loss is 1;":                        func(p *Plan) { p.Loss = 1 },
		"churn is -1;":                      func(p *Plan) { p.Churn = -1 },
		"length, apart and within":          func(p *Plan) { p.Length = 0 },
		"40 real and 12 hollow members may": func(p *Plan) { p.Real, p.Program = 40, "router" },
	} {
		p := smallPlan()
		change(&p)
		if err := p.Check(4096); err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, want %q", err, want)
		}
	}
	p := smallPlan()
	if err := p.Check(4096); err != nil {
		t.Error(err)
	}
}

// The JSON names of a plan are the same as in earlier outputs.
func TestPlanKeepsItsJSONNames(t *testing.T) {
	text, err := json.Marshal(Plan{})
	if err != nil {
		t.Fatal(err)
	}
	const expected = `{"Real":0,"Hollow":0,"Zones":0,"Loss":0,"Churn":0,"Settle":0,"Length":0,"Apart":0,"Within":0,"Seed":0,"Program":""}`
	if string(text) != expected {
		t.Errorf("got %s, want %s", text, expected)
	}
}
