package protocol

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/balance"
)

func TestParseArrival(t *testing.T) {
	good := map[string]string{HeaderID: "9b1f", HeaderClass: "chat", HeaderSession: "7f3a", HeaderTimeLeft: "4800m",
		HeaderHint: "1500", HeaderFacts: "prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800"}
	complete := balance.Arrival{ID: "9b1f", Class: "chat", Session: "7f3a", Prefix: "5c0f", TimeLeft: 4800 * time.Millisecond,
		WorkEstimate: 1500 * time.Microsecond, PromptTokens: 5120, PrefixTokens: 2048}
	withoutFacts := complete
	withoutFacts.Prefix, withoutFacts.PromptTokens, withoutFacts.PrefixTokens = "", 100, 0
	for _, tt := range []struct {
		name, header, value string
		want                balance.Arrival
		fault               string
	}{
		{name: "all headers", want: complete},
		{name: "no facts: tokens estimated from the body's length", header: HeaderFacts, want: withoutFacts},
		{name: "no id", header: HeaderID, fault: "X-Correlation-Id is missing"},
		{name: "no class", header: HeaderClass, fault: "X-Service-Class is missing"},
		{name: "no time", header: HeaderTimeLeft, fault: `X-Time-Left: "" is not a time`},
		{name: "no unit", header: HeaderTimeLeft, value: "4800", fault: `X-Time-Left: "4800" is not a time`},
		{name: "negative time", header: HeaderTimeLeft, value: "-1m", fault: `X-Time-Left: "-1m" is not a time`},
		{name: "no number", header: HeaderTimeLeft, value: "NaNm", fault: `X-Time-Left: "NaNm" is not a time`},
		{name: "malformed hint", header: HeaderHint, value: "big", fault: `X-Weight-Hint: "big"`},
		{name: "negative length", header: HeaderFacts, value: "prompt_len=-3", fault: `X-Facts: prompt_len is "-3"`},
		{name: "fact without a value", header: HeaderFacts, value: "prompt_len", fault: `X-Facts: "prompt_len" is not of the form`},
	} {
		got, err := ParseArrival(func(name string) string {
			if name == tt.header {
				return tt.value
			}
			return good[name]
		}, 400)
		if tt.fault != "" {
			if err == nil || !strings.Contains(err.Error(), tt.fault) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: got %v, want one line with %q", tt.name, err, tt.fault)
			}
			continue
		}
		if diff := cmp.Diff(tt.want, got); diff != "" || err != nil {
			t.Errorf("%s: error %v, difference %s", tt.name, err, diff)
		}
	}
}

func TestDurations(t *testing.T) {
	for in, want := range map[string]time.Duration{"4800m": 4800 * time.Millisecond, "250u": 250 * time.Microsecond,
		"1.5m": 1500 * time.Microsecond} {
		if got, err := ParseDuration(in); got != want || err != nil {
			t.Errorf("%s: got %v, %v", in, got, err)
		}
	}
	if got := FormatDuration(-time.Second); got != "0u" {
		t.Errorf("a negative duration: got %s, want 0u", got)
	}
	if got := FormatRetryAfter(131 * time.Millisecond); got != "0.131" {
		t.Errorf("got Retry-After %s, want decimal seconds", got)
	}
}

// Reports may use the names from the settings or the short names. Guards against a parser that knows
// only the short names: it read every report of a site as empty, because they used the names from
// the settings.
func TestLoadReportsByEitherName(t *testing.T) {
	for text, want := range map[string]*balance.Load{
		`{"cpu_share":0.061,"x0":0.116}`:                         {InFlight: -1, Utilization: 0.061, PrefillTokens: -1},
		`{"inflight":7,"queue":2,"util":0.61,"x1":1.5}`:          {InFlight: 7, Utilization: 0.61, PrefillTokens: 1500},
		`{"busy_reqs":7,"pending":2,"cpu_share":1,"host":"new"}`: {InFlight: 7, Utilization: 1, PrefillTokens: -1},
		`{"cpu_share":"much"}`:                                   nil,
		`{"cpu_share":`:                                          nil,
	} {
		got, err := ParseLoad([]byte(text))
		if diff := cmp.Diff(want, got); diff != "" || (err == nil) != (want != nil) {
			t.Errorf("%s: error %v, difference %s", text, err, diff)
		}
	}
}

func TestStreamReaderSplitAnywhere(t *testing.T) {
	stream := "data: {\"choices\":[{\"delta\":{\"content\":\"\\\"cached_tokens\\\" \"}}]}\n\n" +
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5120,\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\r\n\r\n" +
		"data: " + strings.Repeat("x", 2*maxStreamLine) + "\n\n" +
		"data: [DONE]\n\n: X-Backend-Load: {\"cpu_share\":0.5}\n\n"
	want := StreamReader{CachedTokens: 4096, Load: &balance.Load{InFlight: -1, Utilization: 0.5, PrefillTokens: -1}}
	for _, size := range []int{1, 7, 1000, len(stream)} {
		var got StreamReader
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			got.Feed([]byte(rest[:n]))
			rest = rest[n:]
		}
		got.line = nil
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(StreamReader{})); diff != "" {
			t.Errorf("pieces of %d: %s", size, diff)
		}
	}
	var malformed StreamReader
	malformed.Feed([]byte(": X-Backend-Load: {\n"))
	if malformed.Err == nil || malformed.Load != nil {
		t.Errorf("a malformed report: got %+v, want an error and no load", malformed)
	}
}

func TestParseList(t *testing.T) {
	list, err := ParseList([]byte(`{"version":41,"full":true,"servers":[{"id":"s-5b","addr":"10.1.0.18:9000","zone":"a",` +
		`"kind":"m2","cell":3,"state":"Terminating","weight":1.0,"started_ms":1500}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := balance.Members{Version: 41, Complete: true, Members: []balance.Member{{Replica: "s-5b", Zone: "a", Cell: 3,
		Kind: "m2", State: balance.Draining, StartedAt: 1500 * time.Millisecond}}}
	if diff := cmp.Diff(want, list.Members()); diff != "" {
		t.Error(diff)
	}
	for text, fault := range map[string]string{
		`{"version":`: "discovery list", `{"servers":[{"addr":"a:1","state":"Ready"}]}`: "servers[0].id is empty",
		`{"servers":[{"id":"s","addr":"a:1","state":"Odd"}]}`: `servers[0].state is "Odd"`,
		`{"servers":[{"id":"s","state":"Ready"}]}`:            "servers[0].addr is empty",
	} {
		if _, err := ParseList([]byte(text)); err == nil || !strings.Contains(err.Error(), fault) {
			t.Errorf("%s: got %v, want %q", text, err, fault)
		}
	}
}
