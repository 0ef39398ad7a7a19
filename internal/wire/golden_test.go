package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"reachspread/balance"
)

// golden compares a text with a file in testdata. The files were written by an earlier, merged
// version of the code and are never updated.
func golden(t *testing.T, path, got string) {
	t.Helper()
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) || gotLines[i] != wantLines[i] {
			t.Fatalf("%s:%d differs\ngot  %s\nwant %s", path, i+1, strings.Join(gotLines[min(i, len(gotLines)):min(i+1, len(gotLines))], ""),
				strings.Join(wantLines[min(i, len(wantLines)):min(i+1, len(wantLines))], ""))
		}
	}
}

// values formats the values in v without the names of fields and types. Names may change, but the
// meaning of the messages must not.
func values(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Interface, reflect.Pointer:
		if v.IsNil() {
			return "nil"
		}
		return values(v.Elem())
	case reflect.Struct:
		var all []string
		for i := range v.NumField() {
			all = append(all, values(v.Field(i)))
		}
		return "{" + strings.Join(all, " ") + "}"
	case reflect.Slice:
		var all []string
		for i := range v.Len() {
			all = append(all, values(v.Index(i)))
		}
		return "[" + strings.Join(all, " ") + "]"
	case reflect.String:
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}

// examples returns at least one message of each kind that the simulator sends, and one for each form
// that a field may have.
func examples(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("testdata/messages.in.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

// Each message of the simulator, including its settings, is converted to the same event or
// configuration as when the golden file was written.
func TestMessagesMeanTheSame(t *testing.T) {
	var got strings.Builder
	for _, line := range examples(t) {
		batch, err := Decode([]byte(`{"simTimeNs":12,"msgs":[` + line + `]}`))
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		m := &batch.Msgs[0]
		switch {
		case m.Launch != nil:
			config, err := m.Launch.Options.Config()
			fmt.Fprintln(&got, "launch", batch.Now, m.Launch.I, m.Launch.Entropy, err, values(reflect.ValueOf(config)))
		case m.Killed != nil:
			fmt.Fprintln(&got, "killed", m.Killed.I)
		default:
			i, event, err := m.Event()
			fmt.Fprintln(&got, i, err, values(reflect.ValueOf(&event)))
		}
	}
	golden(t, "testdata/messages.meaning.txt", got.String())
}

// All fields of the examples are decoded under the names that the simulator gives them.
func TestMessagesKeepTheirFields(t *testing.T) {
	for _, line := range examples(t) {
		batch, err := Decode([]byte(`{"simTimeNs":12,"msgs":[` + line + `]}`))
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		encoded, err := json.Marshal(batch.Msgs[0])
		if err != nil {
			t.Fatal(err)
		}
		var want, got map[string]any
		if err := json.Unmarshal([]byte(line), &want); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(encoded, &got); err != nil {
			t.Fatal(err)
		}
		for kind, fields := range want {
			if !reflect.DeepEqual(got[kind], fields) {
				t.Errorf("%s is decoded as %v; want %v", kind, got[kind], fields)
			}
		}
	}
}

// Each action is encoded to the same message as when the golden file was written, both with all
// fields set and with none set.
func TestActionsAreWrittenTheSame(t *testing.T) {
	actions := []balance.Action{
		balance.Send{ID: "q1", Replica: "10.0.0.1:80"}, balance.Send{},
		balance.Reject{ID: "q2", RetryAfter: 1500 * time.Millisecond}, balance.Reject{ID: "q2"},
		balance.Fail{ID: "q3"},
		balance.Probe{Replica: "10.0.0.2:80"},
		balance.SendReports{To: []int{4, 5}, Zone: 75, Reports: []balance.PeerReport{{ReplicaTag: 0x123456, PrefillTokens: 5000, PrefixTag: 77}, {ReplicaTag: 0x654321, Failed: true}, {ReplicaTag: 0x010203, LatencyRatio: 2.5}}},
		balance.SendReports{To: []int{6}, Zone: 1, Reports: []balance.PeerReport{{ReplicaTag: 0x123456, PrefillTokens: 50}}},
		balance.SetTimer{Token: 9, Delay: 20 * time.Millisecond},
		balance.Subscribe{},
		balance.Log{Text: "a line"},
	}
	var got bytes.Buffer
	out := json.NewEncoder(&got)
	for i, a := range actions {
		for _, message := range Actions(i, a) {
			if err := out.Encode(message); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := out.Encode(Reply{Outbox: []any{Die(7, "a panic")}}); err != nil {
		t.Fatal(err)
	}
	golden(t, "testdata/messages.out.jsonl", got.String())
}
