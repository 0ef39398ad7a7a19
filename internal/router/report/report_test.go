package report

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"reachspread/internal/router/records"
)

func num[T any](v T) *T { return &v }

// writeRecords writes a folder of 100 records, 90 with compared answers and 10 with a broken copy.
// The first event of the live answer i comes after i ms, and that of its copy after twice the time.
// The copies alternate between two hosts.
func writeRecords(t testing.TB) string {
	t.Helper()
	folder := t.TempDir()
	w := &records.Writer{Folder: folder, FileBytes: 1 << 20, Files: 9}
	for i := 1; i <= 100; i++ {
		ms := float64(i)
		r := &records.Record{Version: records.Version, At: time.Unix(int64(i), 0).UTC(), Pool: "next", Class: "chat", ID: fmt.Sprint("q", i),
			Session: "0123456789abcdef", HistoryGap: i == 1,
			Live: records.Answer{Outcome: "whole", Host: "s0", FirstByteMs: num(ms), QueuedMs: num(ms / 2), TotalMs: num(3 * ms), Tokens: num(10), CachedTokens: num(4)},
			Copy: records.Answer{Outcome: "whole", Host: fmt.Sprint("c", i%2), FirstByteMs: num(2 * ms), QueuedMs: num(0.0), TotalMs: num(6 * ms), Tokens: num(12), CachedTokens: num(1)}}
		if i%10 == 0 {
			r.Cause, r.Copy = "broken", records.Answer{Outcome: "broken"}
		} else {
			r.Comparison = &records.Comparison{Text: "differs", Similarity: ms / 100, SameFinish: i < 50, TokenDelta: 2, CachedTokenDelta: -3}
		}
		if err := w.Append(r); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func near(got, want float64) bool { return math.Abs(got-want) <= 0.01*want+0.01 }

func TestReadSumsUpRecords(t *testing.T) {
	r, err := Read(writeRecords(t))
	if err != nil || len(r.Pools) != 1 {
		t.Fatal(r, err)
	}
	p := r.Pools[0]
	if p.Records != 100 || p.Compared != 90 || p.Causes["broken"] != 10 || p.Texts["differs"] != 90 || p.SameFinish != 45 || p.Gaps != 1 {
		t.Errorf("wrong counts of pool next: %+v", p)
	}
	if p.TokenDelta != (Spread{90, 2, 2, 2, 2, 2}) || p.CachedTokenDelta.Mean != -3 || p.CachedTokenDelta.Count != 89 {
		t.Errorf("got token differences %+v and cached token differences %+v", p.TokenDelta, p.CachedTokenDelta)
	}
	if len(p.Groups) != 6 { // all answers, each of two hosts, the class, and the class at each host
		t.Fatalf("got %d groups, want 6", len(p.Groups))
	}
	first, own := p.Groups[0].Times[FirstEvent], p.Groups[0].Times[HostFirstEvent]
	if !near(first.Live.P50, 50) && !near(first.Live.P50, 49) || !near(first.MedianRatio, 2) || !near(own.MedianRatio, 4) || first.Live.Count != 90 {
		t.Errorf("wrong times to the first event: %+v, and without the queueing: %+v", first, own)
	}
	if g := p.Groups[1]; g.Host != "c0" || g.Count != 40 || g.Times[TokenInterval].Live.Count != 0 {
		t.Errorf("wrong group of host c0: %+v", g)
	}
}

func TestWriteInEachFormat(t *testing.T) {
	folder := writeRecords(t)
	r, err := Read(folder)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for _, format := range Formats {
		var b bytes.Buffer
		if err := r.Write(&b, format); err != nil {
			t.Fatal(err)
		}
		out[format] = b.String()
	}
	for _, format := range []string{"terminal", "markdown"} {
		for _, want := range []string{"not comparable: broken", "10.0%", "Pool next", "first event, host's own", "2.00"} {
			if !strings.Contains(out[format], want) {
				t.Errorf("%s lacks %q:\n%s", format, want, out[format])
			}
		}
	}
	rows, err := csv.NewReader(strings.NewReader(out["csv"])).ReadAll()
	if err != nil || len(rows) != 1+7+3*6+6*4*2*6 {
		t.Errorf("the report as CSV has %d rows, error %v", len(rows), err)
	}
	var decoded Report
	if err := json.Unmarshal([]byte(out["json"]), &decoded); err != nil || decoded.Pools[0].Compared != 90 {
		t.Errorf("decoding the report from JSON: error %v, got %+v", err, decoded)
	}
	if err := r.Write(&bytes.Buffer{}, "odd"); err == nil {
		t.Error("Write accepted an unknown format")
	}
}

// The page is self-contained: it loads no other resource, and its charts are complete SVG elements.
func TestHTMLPageIsSelfContained(t *testing.T) {
	folder := writeRecords(t)
	r, err := Read(folder)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := r.WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, bad := range []string{"src=", "href=", "<script", "@import", "url("} {
		if strings.Contains(page, bad) {
			t.Errorf("the page contains %q, which may refer to another resource", bad)
		}
	}
	if n := strings.Count(page, "<svg"); n != 3 {
		t.Errorf("the page has %d charts, want 3", n)
	}
	for _, part := range strings.Split(page, "<figure>")[1:] {
		drawing, _, _ := strings.Cut(part, "</figure>")
		var parsed struct{}
		if err := xml.Unmarshal([]byte(drawing), &parsed); err != nil {
			t.Error(err)
		}
	}
	if !strings.HasSuffix(page, "</html>\n") {
		t.Error("the page does not end with </html>")
	}
	// To look at the page in a browser, write it to a file with
	// REPORT_PAGE=FILE go test ./internal/router/report -run TestHTMLPage
	if path := os.Getenv("REPORT_PAGE"); path != "" {
		if err := os.WriteFile(path, b.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// A line that is JSON but not a record is reported with its file and line number. An empty folder
// results in an empty report.
func TestReadOfBadAndEmptyFolders(t *testing.T) {
	folder := t.TempDir()
	r, err := Read(folder)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := r.Write(&b, "terminal"); err != nil || !strings.Contains(b.String(), "no records") {
		t.Errorf("the report of an empty folder is %q, error %v; want a line that there are no records", b.String(), err)
	}
	if err := r.WriteHTML(&b); err != nil {
		t.Error(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "shadow-1.ndjson"), []byte("{\"version\":1,\"pool\":\"next\"}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(folder); err == nil || !strings.Contains(err.Error(), "shadow-1.ndjson:1: not a record by the schema") || strings.Contains(err.Error(), "\n") {
		t.Errorf("Read of a line that is not a record: got error %v, want one line with file and line number", err)
	}
}
