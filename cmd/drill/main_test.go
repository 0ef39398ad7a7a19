package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const launchLine = `{"simTimeNs":1000,"msgs":[{"launch":{"i":0,"entropy":5,"options":{"az":"x","nInstances":1,` +
	`"futureKey":{"a":[1]},"services":[{"name":"s","aimNs":1000000000,"hardLimitNs":4000000000,"effect":"safe",` +
	`"streaming":true}],"limits":{"maxAttempts":3},"quantumNs":1000000}}},{"peersKnown":{"i":0,"mode":"disk",` +
	`"epoch":1,"members":[{"hall":"x","stageState":"SERVING","nominal":1,"machine":"m","replica":"r:1"}]}}]}`

func exchange(t *testing.T, lines ...string) ([]string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n"), err
}

func TestRequestLife(t *testing.T) {
	got, err := exchange(t,
		`{"simTimeNs":1000,"msgs":[]}`,
		launchLine,
		`{"simTimeNs":2000,"msgs":[{"arrival":{"i":0,"txn":"q1","service":"s","patienceLeftNs":2000000000,"nPrompt":10}}]}`,
		`{"simTimeNs":3000,"msgs":[{"streaming":{"i":0,"txn":"q1","try":0,"elapsedNs":1000}},`+
			`{"verdict":{"i":0,"txn":"q1","try":0,"last":true,"how":"S","pressure":{"busy_reqs":1,"x1":0.5}}}]}`,
		`{"simTimeNs":4000,"msgs":[{"datagram":{"i":0,"from":1,"body":"hi"}},{"killed":{"i":0}}]}`)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{`{"outbox":[]}`, `{"outbox":[]}`,
		`{"outbox":[{"handOff":{"i":0,"txn":"q1","replica":"r:1"}}]}`, `{"outbox":[]}`, `{"outbox":[]}`}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestMalformedInput(t *testing.T) {
	tests := []struct{ name, line, want string }{
		{"no JSON", `{"simTimeNs":`, "line 2"},
		{"unknown event", `{"simTimeNs":2,"msgs":[{"surprise":{"i":0}}]}`, "msgs[0]: unknown event"},
		{"never launched", `{"simTimeNs":2,"msgs":[{"timer":{"i":7,"ctx":1}}]}`, "instance 7 was never launched"},
		{"unknown outcome", `{"simTimeNs":2,"msgs":[{"verdict":{"i":0,"txn":"q","how":"Z"}}]}`, `verdict.how is "Z"`},
		{"unknown probe outcome", `{"simTimeNs":2,"msgs":[{"health":{"i":0,"replica":"r:1","how":"Z"}}]}`, `health.how is "Z"`},
		{"unknown mode", `{"simTimeNs":2,"msgs":[{"peersKnown":{"i":0,"mode":"odd"}}]}`, `peersKnown.mode is "odd"`},
		{"unknown state", `{"simTimeNs":2,"msgs":[{"peersKnown":{"i":0,"mode":"diff","members":[{"stageState":"ODD"}]}}]}`,
			`stageState is "ODD"`},
		{"no classes", `{"simTimeNs":2,"msgs":[{"launch":{"i":1,"options":{}}}]}`, "instance 1: Classes is empty"},
		{"unknown effect", `{"simTimeNs":2,"msgs":[{"launch":{"i":1,"options":{"services":[{"name":"s","effect":"odd"}]}}}]}`,
			`services[0].effect is "odd"`},
		{"unknown group", `{"simTimeNs":2,"msgs":[{"launch":{"i":1,"options":{"services":[{"name":"s","group":"odd"}]}}}]}`,
			`services[0].group is "odd"`},
	}
	for _, tt := range tests {
		out, err := exchange(t, launchLine, tt.line)
		if err == nil || !strings.Contains(err.Error(), tt.want) || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%s: want an error that contains %q and line 2, got %v", tt.name, tt.want, err)
		}
		if len(out) != 1 {
			t.Errorf("%s: want only the first reply on the output, got %q", tt.name, out)
		}
	}
}

func TestBatchOfMegabytes(t *testing.T) {
	var b strings.Builder
	b.WriteString(`{"simTimeNs":2000,"msgs":[`)
	const n = 20000
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"arrival":{"i":0,"txn":"%036d","service":"s","template":"pre-%d","patienceLeftNs":1,"nPrompt":10}}`, i, i)
	}
	b.WriteString(`]}`)
	if b.Len() < 2<<20 {
		t.Fatalf("the batch has only %d bytes, want at least 2 MiB", b.Len())
	}
	out, err := exchange(t, launchLine, b.String())
	if err != nil || len(out) != 2 {
		t.Fatalf("got %d replies, want 2; error %v", len(out), err)
	}
	if answers := strings.Count(out[1], `"handOff"`) + strings.Count(out[1], `"decline"`); answers != n {
		t.Errorf("%d of %d requests were answered", answers, n)
	}
}

// An instance that is killed and launched again within one batch starts without any state, so it does
// not answer the requests from before the kill.
func TestRestartInOneBatch(t *testing.T) {
	launch := strings.TrimSuffix(strings.TrimPrefix(launchLine, `{"simTimeNs":1000,"msgs":[`), `]}`)
	got, err := exchange(t, launchLine,
		`{"simTimeNs":2000,"msgs":[{"arrival":{"i":0,"txn":"q1","service":"s","patienceLeftNs":2000000000,"nPrompt":10}},`+
			`{"killed":{"i":0}},`+launch+`,{"arrival":{"i":0,"txn":"q2","service":"s","patienceLeftNs":2000000000,"nPrompt":10}}]}`)
	if err != nil || len(got) != 2 || strings.Contains(got[1], "q1") || !strings.Contains(got[1], `"txn":"q2"`) {
		t.Errorf("got %q, %v", got, err)
	}
}

func TestPanicBecomesDie(t *testing.T) {
	out := step(3, nil, 0, nil)
	if len(out) != 1 || !strings.Contains(fmt.Sprint(out[0]), "die") {
		t.Errorf("got %v", out)
	}
}

// A rejection passes on to the simulator's client how long it should wait before a retry.
func TestRefusalPassesOnItsTime(t *testing.T) {
	launch := strings.Replace(launchLine, `"maxAttempts":3`, `"maxAttempts":3,"retryAfter":true,"maxRetryAfterNs":30000000`, 1)
	got, err := exchange(t, launch,
		`{"simTimeNs":2000,"msgs":[{"arrival":{"i":0,"txn":"q1","service":"unknown","patienceLeftNs":2000000000}}]}`)
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"outbox":[{"decline":{"i":0,"txn":"q1","pauseNs":30000000}}]}`; got[1] != want {
		t.Errorf("got %s, want %s", got[1], want)
	}
}
