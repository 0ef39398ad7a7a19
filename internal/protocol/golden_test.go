package protocol

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/golden"
)

// Peer reports are encoded to the same bytes as at commit 5bfcc27, and these bytes are parsed to the
// same reports as then.
func TestPeerReportsKeepTheirBytes(t *testing.T) {
	reports := []balance.PeerReport{{ReplicaTag: 0xabcdef, PrefillTokens: 1}, {ReplicaTag: 1, PrefillTokens: 4096}, {ReplicaTag: 2, PrefillTokens: 1e9}, {ReplicaTag: 3, LatencyRatio: 1.0 / 8}, {ReplicaTag: 0xffffff, LatencyRatio: 16}, {ReplicaTag: 5, LatencyRatio: 1e6}}
	withPrefix := []balance.PeerReport{{ReplicaTag: 0xabcdef, PrefillTokens: 64, PrefixTag: 0xfedc}, {ReplicaTag: 1, LatencyRatio: 2}, {ReplicaTag: 2, PrefillTokens: 8, PrefixTag: 1}}
	var many []balance.PeerReport
	for i := range MaxPeerReports + 2 {
		many = append(many, balance.PeerReport{ReplicaTag: uint32(i), PrefillTokens: 2})
	}
	data := golden.Check(t, "peerreports", []golden.Record{
		{Name: "tokens-and-slowness", Data: AppendPeerReports(nil, 0x7b, reports)},
		{Name: "prefixes", Data: AppendPeerReports(nil, 0xff, withPrefix)},
		{Name: "more-than-fit", Data: AppendPeerReports(nil, 0, many)},
		{Name: "none", Data: AppendPeerReports(nil, 1, nil)},
	})
	reports[2].PrefillTokens, reports[5].LatencyRatio = math.Exp2(127/8.0), math.Exp2(127/16.0)/8 // the largest values that can be encoded
	for _, c := range []struct {
		name string
		zone uint8
		want []balance.PeerReport
	}{{"tokens-and-slowness", 0x7b, reports}, {"prefixes", 0xff, withPrefix}, {"more-than-fit", 0, many[:MaxPeerReports]}, {"none", 1, nil}} {
		zone, got, err := ParsePeerReports(data[c.name])
		if err != nil || zone != c.zone || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s is parsed to zone %d, %+v; want %d, %+v (error %v)", c.name, zone, got, c.zone, c.want, err)
		}
	}
}

// The headers between routers, hosts and clients have the same names and forms as at commit 5bfcc27.
func TestHeadersKeepTheirForms(t *testing.T) {
	left := Fleet{}.TimeLeft(1234567 * time.Microsecond)
	none := Fleet{}.TimeLeft(-time.Second)
	expects, ok := Fleet{}.Expects("host-1")
	if !ok {
		t.Error("the dialect has no header for the expected instance")
	}
	golden.CheckText(t, "headers", strings.Join([]string{
		HeaderRequestID, HeaderDeadline, HeaderSeal, HeaderNotExecuted, HeaderExpectedInstance, HeaderExpectVersion, HeaderInstanceID, HeaderServerLoad, HeaderTenant,
		HeaderModel, HeaderTokenUsage, HeaderPromptPrefix, HeaderPriority, HeaderVersions, HeaderLastEventID, PathReport, Fleet{}.RequestID(), Fleet{}.ProbePath(),
		left.Name + ": " + left.Value, none.Name + ": " + none.Value, expects.Name + ": " + expects.Value,
	}, "\n")+"\n")
}

// Load reports of hosts are parsed as at commit 5bfcc27.
func TestLoadIsReadAsBefore(t *testing.T) {
	load, err := ParseServerLoad("3, 5,4")
	if want := (balance.Load{InFlight: 8, Utilization: 0.75, PrefillTokens: -1}); err != nil || *load != want {
		t.Errorf("the header is parsed to %+v; want %+v (error %v)", load, want, err)
	}
	load, err = Fleet{}.ProbeLoad([]byte(`{"waiting":2,"running":7,"more":"fields"}`))
	if want := (balance.Load{InFlight: 9, Utilization: -1, PrefillTokens: -1}); err != nil || *load != want {
		t.Errorf("the report is parsed to %+v; want %+v (error %v)", load, want, err)
	}
}
