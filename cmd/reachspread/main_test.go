package main

import (
	"bytes"
	"strings"
	"testing"

	"reachspread/internal/mirror"
	"reachspread/internal/shadow"
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
		{[]string{"shadow", "status"}, "", "--settings must name"},
		{[]string{"shadow", "status", "--settings", "nowhere.hcl"}, "", "nowhere.hcl"},
		{[]string{"shadow", "report", "."}, "", "go build -o bin/ ./cmd/..."},
	} {
		t.Setenv("ROUTER_CONFIG", "")
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

// The status names each drop by its cause, and what is wrong with the records.
func TestShadowStatusIsPrinted(t *testing.T) {
	var out bytes.Buffer
	printShadow(&out, &mirror.Report{Pools: []mirror.Status{{Pool: "next", Health: "down", RetryIn: "2s", Level: "tense", Hosts: 2,
		Dropped: map[shadow.Cause]uint64{shadow.PoolDown: 7}, Pressed: map[string]uint64{"held": 3},
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
