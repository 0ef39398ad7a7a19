package history

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// schema compiles the JSON schema of the package.
func schema(t *testing.T) *jsonschema.Schema {
	t.Helper()
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		t.Fatal(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("history", doc); err != nil {
		t.Fatal(err)
	}
	s, err := c.Compile("history")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var begin = Event{What: Begin, Play: &Play{Version: Version, World: "rig", Seed: 1<<63 - 1, Routers: 3, Hosts: 2, Slack: 5}}

// Events of every kind fit the schema, and are read as they were written.
func TestSchemaAndBack(t *testing.T) {
	all := []Event{begin}
	for _, w := range []What{Start, Phase, Ready, Unready, Log, Term, Exit, Usage, Unresponsive, Call, Return, Fault, Heal, Ask, First, Answer, Attempt,
		Done, Closed, ListApplied, HostOverloaded, OversizedDatagram, View, Invoke, OK, Note, Bound, End} {
		all = append(all, Event{T: 7, What: w, Who: "r0/2", ID: "x", Text: "words \x00 \xff", How: Complete, Until: 9, Status: 503, Routers: []int{1},
			Links: []string{"hosts"}, Op: &Op{Kind: "cas", Key: "k", Old: "1", Value: "2", Succeeded: true}})
	}
	var file bytes.Buffer
	w, s := NewWriter(&file), schema(t)
	for i := range all {
		if err := w.Write(&all[i]); err != nil {
			t.Fatal(err)
		}
		all[i].Text = strings.ToValidUTF8(all[i].Text, "\ufffd") // as JSON encodes it
	}
	for line := range strings.Lines(file.String()) {
		v, err := jsonschema.UnmarshalJSON(strings.NewReader(line))
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Validate(v); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
	got, err := Read(strings.NewReader(file.String() + `{"t":8,"what":"as`)) // the last line is incomplete, as after the writer was killed
	if diff := cmp.Diff(all, got); err != nil || diff != "" {
		t.Errorf("%v\n%s", err, diff)
	}
}

// Read rejects an invalid history with an error that names the line.
func TestReadRefuses(t *testing.T) {
	first, _ := json.Marshal(begin)
	for text, want := range map[string]string{
		"":                               "line 1: the history is empty",
		"{\"t\":1,\"what\":\"start\"}\n": "line 1: not a begin event that describes the play",
		strings.Replace(string(first), `"version":1`, `"version":9`, 1) + "\n": "line 1: the history has format version 9; this program reads version 1",
		string(first) + "\nxx\n": "line 2: invalid character 'x' looking for beginning of value",
	} {
		if _, err := Read(strings.NewReader(text)); err == nil || err.Error() != want {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

// A Writer truncates a text that is too long, and ends a full history with a Bound event.
func TestWriterBounds(t *testing.T) {
	var file bytes.Buffer
	w := NewWriter(&file)
	w.Write(&begin)
	w.events = MaxEvents - 2
	for range 3 {
		if err := w.Write(&Event{What: Note, Text: strings.Repeat("x", 600)}); err != nil {
			t.Fatal(err)
		}
	}
	all, err := Read(&file)
	if err != nil || len(all) != 3 || len(all[1].Text) != MaxTextBytes || all[2].What != Bound || w.Lost() != 1 {
		t.Errorf("got %v, %v, %d lost", all, err, w.Lost())
	}
}
