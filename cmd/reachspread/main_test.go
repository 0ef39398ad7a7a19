package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"reachspread/internal/admission"
	"reachspread/internal/router/mirror"
	"reachspread/internal/router/program"
	"reachspread/internal/router/shadow"
)

func TestCommands(t *testing.T) {
	for _, tt := range []struct {
		args         []string
		prints, fail string
	}{
		{[]string{"version"}, "reachspread ", ""},
		{[]string{"check"}, "", "ROUTER_CONFIG is not set"},
		{[]string{"serve"}, "", "ROUTER_CONFIG is not set"},
		{[]string{"serve", "now"}, "", "unknown command"},
		{[]string{"check", "--settings", "../../deploy/settings.hcl"}, "", "ROUTER_CONFIG is not set"},
		{[]string{"check", "--router"}, "", "REACHSPREAD_CONFIG is not set"},
		{[]string{"check", "--router", "--configuration", "x"}, "", "none of the others can be"},
		{[]string{"check", "--configuration", "nowhere.json"}, "", "nowhere.json"},
		{[]string{"check", "--configuration", "testdata/good.json"}, "version 3: the configuration is good, with 1 routes, 1 services and 0 tenants\n", ""},
		{[]string{"check", "--configuration", "testdata/bad.json"}, "", `route "r": service: "other" is not among the services`},
		{[]string{"router"}, "", "REACHSPREAD_CONFIG is not set"},
		{[]string{"shadow", "status"}, "", "--settings must name"},
		{[]string{"shadow", "status", "--settings", "nowhere.hcl"}, "", "nowhere.hcl"},
		{[]string{"shadow", "report", "."}, "", "go build -o bin/ ./cmd/..."},
	} {
		t.Setenv("ROUTER_CONFIG", "")
		t.Setenv("REACHSPREAD_CONFIG", "")
		var out bytes.Buffer
		c := command()
		c.SetArgs(tt.args)
		c.SetOut(&out)
		err := c.Execute()
		if !strings.HasPrefix(out.String(), tt.prints) || (err != nil) != (tt.fail != "") ||
			err != nil && !strings.Contains(err.Error(), tt.fail) {
			t.Errorf("%v: got %q, %v; want %q, %q", tt.args, out.String(), err, tt.prints, tt.fail)
		}
	}
}

// The printed status lists dropped copies by cause and says why records can't be written.
func TestShadowStatusIsPrinted(t *testing.T) {
	var out bytes.Buffer
	printShadow(&out, &mirror.Report{Pools: []mirror.Status{{Pool: "next", Health: "down", RetryIn: "2s", Level: "tense", Hosts: 2,
		Dropped: map[shadow.Cause]uint64{shadow.PoolDown: 7}, PressureSignals: map[string]uint64{"held": 3},
		Times: map[string]mirror.Times{"chat": {Count: 1, CopyFirst: mirror.Spread{P50: 5, P90: 6, P99: 7}}}}},
		Records: mirror.RecordsStatus{Folder: "f", Lost: 4, Failing: "no space"}})
	got := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{"pool next: down, 2 hosts, pressure tense", "next trial in 2s", "dropped: pool down 7", "pressure by held 3",
		"chat, first event, ms p50/p90/p99 live 0/0/0, copies 5/6/7", "records: 0 written, 4 lost; failing: no space"} {
		if !strings.Contains(got, want) {
			t.Errorf("the status lacks %q: %s", want, got)
		}
	}
}

// The printed admission status lists refusals by cause, descriptors by owner, and the clients that
// hold the most connections.
func TestAdmissionStatusIsPrinted(t *testing.T) {
	var out bytes.Buffer
	printAdmission(&out, &program.AdmissionStatus{Level: "critical", Slots: 96, Reserve: 24, Lent: 3, Known: 5, Unknown: 60, Lobby: 2, Step: 1, Open: 40,
		Admitted: 7, Promoted: 6, Served: 8, Refused: map[string]uint64{"full house": 9}, Turned: map[string]uint64{"rate": 10, "left at once": 12},
		Shut: map[string]uint64{"too slow": 11}, Shorts: 2, Holdings: []admission.ClientUsage{{Name: "10.0.0.0/8", Conns: 4, Open: 3}, {Name: "tool-1", Conns: 2, Known: true}},
		Descriptors: admission.DescriptorTable{Limit: 256, Open: 99, Owners: []admission.OwnerUse{{Owner: admission.Mirror, Limit: 20, Used: 17}, {Owner: admission.UnknownClients, Used: 60, Limit: 72}}}})
	got := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{"door: critical, 96 places, 24 of them for known clients, 3 lent", "known 5, unknown 60 (in the lobby 2), on the step 1",
		"open requests 40", "admitted 7, 6 promoted", "requests refused: full house 9", "turned away: left at once 12", "turned away: rate 10", "shut: too slow 11",
		"episodes without a descriptor 2", "descriptors: copies 17 of 20", "all 77 counted, 99 open, limit 256", "holds: 10.0.0.0/8 4 connections, 3 open requests",
		"holds: tool-1 2 connections, 0 open requests, known"} {
		if !strings.Contains(got, want) {
			t.Errorf("the status lacks %q: %s", want, got)
		}
	}
}

// The flag --management and the command admission also work under their former name, door, because
// operators' scripts use it.
func TestManagementFlagByBothNames(t *testing.T) {
	for _, name := range []string{"management", "door"} {
		c := &cobra.Command{Use: "asks"}
		at := managementFlag(c)
		if err := c.ParseFlags([]string{"--" + name, "10.0.0.1:9001"}); err != nil || *at != "10.0.0.1:9001" {
			t.Errorf("--%s: the flag has the value %q, error %v", name, *at, err)
		}
	}
	root := command()
	for _, name := range []string{"admission", "door"} {
		if c, _, err := root.Find([]string{name}); err != nil || c.Name() != "admission" {
			t.Errorf("reachspread %s: found the command %v, error %v", name, c, err)
		}
	}
}
