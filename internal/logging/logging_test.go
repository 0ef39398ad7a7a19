package logging

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Each event is exactly one line in either format, whatever its fields contain.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	With(New(&out, Text), "pool", "next").Warn("discovery lost", "cause", "two\nlines")
	if got, want := out.String(), "WRN discovery lost cause=\"two\\nlines\" pool=next\n"; got != want {
		t.Errorf("line in the Text format: got %q, want %q", got, want)
	}
	out.Reset()
	New(&out, JSON).Info("phase", "name", "serving")
	var got map[string]any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got["time"] == nil {
		t.Error("the line in the JSON format has no time")
	}
	delete(got, "time")
	want := map[string]any{"level": "info", "event": "phase", "name": "serving"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
