package records

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/testbed/golden"
)

// goldenFile is the file under testdata that a Writer of commit 5bfcc27 wrote, by
// WRITE_GOLDEN=1 go test -run Golden.
const goldenFile = "shadow-20261203T045000.000-000001.ndjson"

// goldenRecords returns records that, taken together, have a value in every field.
func goldenRecords() []*Record {
	number := func(n int) *int { return &n }
	span := func(ms float64) *float64 { return &ms }
	side := Answer{Outcome: "whole", Host: "host-1", Attempts: 2, Bytes: 4096, TextBytes: 1200, Digest: "00c0ffee00c0ffee", Finish: "stop", Tokens: number(300),
		CachedTokens: number(128), QueuedMs: span(1.5), FirstByteMs: span(80.25), TokenIntervalMs: span(12.5), TotalMs: span(3830.25), Text: "an answer"}
	other := side
	other.Outcome, other.Host, other.Text = "broken", "host-2", "another answer"
	return []*Record{
		{Version: Version, At: time.Unix(1_800_000_000, 5e8).UTC(), Pool: "next", Class: "chat", Tenant: "kaje80", ID: "x-1", Session: "0123456789abcdef",
			HistoryGap: true, Cause: "broken", BodyBytes: 900, Live: side, Copy: other,
			Comparison: &Comparison{Text: "differs", Similarity: 0.75, Partial: true, SameFinish: true, TokenDelta: -3, CachedTokenDelta: 64}, Body: "{}"},
		{Version: Version, At: time.Unix(1_800_000_001, 0).UTC(), Pool: "next", Class: "chat", ID: "x-2", Session: "0123456789abcdef", Cause: "live gone",
			Live: Answer{Outcome: "gone"}, Copy: Answer{Outcome: "ended"}},
	}
}

// Read reads the stored records with unchanged content, and a Writer writes the same lines as the
// stored file has.
func TestGoldenRecords(t *testing.T) {
	want := goldenRecords()
	golden.Complete(t, want[0])
	folder := t.TempDir()
	w := &Writer{Folder: folder, FileBytes: 1 << 20, Files: 2}
	for _, r := range want {
		if err := w.Append(r); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	files, err := Files(folder)
	if err != nil || len(files) != 1 || len(filepath.Base(files[0])) != len(goldenFile) {
		t.Fatalf("files %q, %v", files, err)
	}
	written, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, goldenFile, written)
	var got []*Record
	var lines []byte
	truncated, err := Read("testdata", func(line []byte, r *Record) error {
		got = append(got, r)
		lines = append(append(lines, line...), '\n')
		return nil
	})
	if diff := cmp.Diff(want, got); err != nil || truncated != 0 || diff != "" {
		t.Errorf("%d truncated lines, %v\n%s", truncated, err, diff)
	}
	if !bytes.Equal(lines, written) {
		t.Errorf("Read passed the lines %q, which differ from the written file", lines)
	}
}
