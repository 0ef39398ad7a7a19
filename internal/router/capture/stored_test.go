package capture

import (
	"encoding/json"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/testbed/golden"
)

// The file under testdata was written at commit 5bfcc27 with WRITE_GOLDEN=1 go test -run Golden. It
// has the lines of a Writer, but with fixed names: a Writer hashes names under a new random key for
// each file.

// The stored capture must still be read correctly, and the same requests must still be encoded as
// the same lines.
func TestGoldenCapture(t *testing.T) {
	wantHeader := Header{Version: Version, StartedAt: time.Unix(1_800_000_000, 5e8).UTC()}
	want := []Request{
		{At: 5 * time.Millisecond, Class: "chat", Session: "0123456789abcdef", Prefix: "fedcba9876543210", PromptTokens: 900, PrefixTokens: 512, TimeLeft: 8 * time.Second},
		{At: 7 * time.Millisecond, Class: "code", Session: "00c0ffee00c0ffee", PromptTokens: 1},
	}
	golden.Complete(t, want[0])
	var made []byte
	for _, v := range []any{wantHeader, want[0], want[1]} {
		line, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		made = append(append(made, line...), '\n')
	}
	golden.Same(t, "capture.ndjson", made)
	header, got, err := Read(filepath.Join("testdata", "capture.ndjson"))
	if diff := cmp.Diff(want, got); err != nil || !cmp.Equal(header, wantHeader) || diff != "" {
		t.Errorf("Read of the stored capture returned header %v and error %v; differences of the requests:\n%s", header, err, diff)
	}
}
