package main

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// The replies to a session that uses each message of the simulator's protocol, in both directions, are
// byte for byte those of the golden file. The released program wrote the golden file, which is never
// written again.
func TestSessionIsAnsweredTheSame(t *testing.T) {
	in, err := os.ReadFile("testdata/session.in.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/session.out.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if err := serve(bytes.NewReader(in), &got); err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got.String(), "\n"), strings.Split(string(want), "\n")
	if len(gotLines) != len(wantLines) {
		t.Fatalf("got %d reply lines, want %d", len(gotLines), len(wantLines))
	}
	for i := range wantLines {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("line %d differs\ngot  %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
	for _, kind := range []string{"launch", "killed", "peersKnown", "arrival", "streaming", "verdict", "aborted", "timer", "health", "datagram"} {
		if !bytes.Contains(in, []byte(`{"`+kind+`":{`)) {
			t.Errorf("the session has no %s event", kind)
		}
	}
	for _, kind := range []string{"handOff", "decline", "respondError", "askLoad", "post", "defer", "streamChanges", "trace"} {
		if !bytes.Contains(want, []byte(`{"`+kind+`":{`)) {
			t.Errorf("the golden replies have no %s action", kind)
		}
	}
}
