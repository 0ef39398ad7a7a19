package capture

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachspread/balance"
)

// lines is a Log that collects the log lines.
type lines []string

func (l *lines) Info(event string, fields ...any) { *l = append(*l, event+fmt.Sprint(fields...)) }
func (l *lines) Warn(event string, fields ...any) { l.Info("WRN "+event, fields...) }

func arrival(i int) balance.Arrival {
	return balance.Arrival{ID: fmt.Sprint("id", i), Class: "desk-chat", Session: fmt.Sprint("session-", i%3), Prefix: "the prefix", PromptTokens: float64(100 + i),
		PrefixTokens: 50, TimeLeft: time.Second}
}

// The reader returns the requests that the writer wrote, in their order. Their names are hashed:
// equal names stay equal, and the file does not contain the original names. A file that ends within
// a line is rejected with the number of that line.
func TestReaderReturnsWhatWriterWrote(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.ndjson")
	var log lines
	w, err := NewWriter(path, 1<<20, &log)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		w.Take(arrival(i), w.start.Add(time.Duration(i)*time.Millisecond))
	}
	w.Close()
	w.Take(arrival(99), time.Now())
	h, all, err := Read(path)
	if err != nil || h.Version != Version || len(all) != 20 {
		t.Fatalf("Read returned header %+v, %d requests and error %v; want 20 requests", h, len(all), err)
	}
	for i, q := range all {
		want := Request{At: time.Duration(i) * time.Millisecond, Class: "desk-chat", Session: all[i%3].Session, Prefix: all[0].Prefix, PromptTokens: 100 + i, PrefixTokens: 50, TimeLeft: time.Second}
		if q != want || q.Session == all[(i+1)%3].Session {
			t.Errorf("request %d: got %+v, want %+v and a session other than that of the next request", i, q, want)
		}
	}
	if len(log) != 1 || !strings.HasPrefix(log[0], "capture ended") || !strings.Contains(log[0], "requests20") {
		t.Errorf("got log lines %q, want one that the capture ended with 20 requests", log)
	}
	text, _ := os.ReadFile(path)
	for _, secret := range []string{"id1", "session-", "the prefix"} {
		if bytes.Contains(text, []byte(secret)) {
			t.Errorf("the file contains the name %q", secret)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		cut := rapid.IntRange(1, len(text)-1).Draw(t, "cut")
		_, all, err := Parse(bytes.NewReader(text[:cut]), "c")
		completeLines := bytes.Count(text[:cut], []byte("\n"))
		if text[cut-1] == '\n' {
			if err != nil || len(all) != completeLines-1 {
				t.Fatalf("a file that was cut between lines: read %d requests, error %v", len(all), err)
			}
		} else if err == nil || err.Error() != fmt.Sprintf("c:%d: the line is cut off", completeLines+1) {
			t.Fatalf("a file that was cut after %d bytes: got error %v, want one for its last line", cut, err)
		}
	})
	if _, err := NewWriter(path, 1<<20, &log); err == nil {
		t.Error("NewWriter overwrote a file that exists")
	}
}

// A file never exceeds its maximum size. A capture that reaches the size ends with one log line, and
// a later Close returns at once.
func TestWriterStopsAtItsBound(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.ndjson")
	var log lines
	w, err := NewWriter(path, 1000, &log)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		w.Take(arrival(i), time.Now())
	}
	<-w.done
	w.Close()
	info, err := os.Stat(path)
	if err != nil || info.Size() > 1000 {
		t.Fatalf("the file has %v bytes, want at most 1000; error %v", info.Size(), err)
	}
	if _, all, err := Read(path); err != nil || len(all) < 3 {
		t.Errorf("Read returned %d requests, want at least 3; error %v", len(all), err)
	}
	if len(log) != 1 || !strings.HasPrefix(log[0], "capture reached its size limit") {
		t.Errorf("got log lines %q, want one that the capture reached its size limit", log)
	}
}

// The error for an invalid line is one line with the file, the line number and the field.
func TestReaderNamesFileLineAndField(t *testing.T) {
	head := `{"capture":1,"from":"2026-01-02T03:04:05Z"}` + "\n"
	good := `{"at_ns":5,"class":"c","session":"s","prompt":9,"left_ns":1}` + "\n"
	for _, tt := range []struct{ text, want string }{
		{"", "c:1: the line is cut off"},
		{"hello\n", "c:1: capture is not 1"},
		{`{"capture":2}` + "\n", "c:1: capture is not 1"},
		{head + strings.Replace(good, `"class":"c",`, "", 1), "c:2: class is missing"},
		{head + good + strings.Replace(good, `"session":"s",`, "", 1), "c:3: session is missing"},
		{head + good + strings.Replace(good, `5`, "4", 1), "c:3: at_ns is 4; it must not be less than on the line above"},
		{head + strings.Replace(good, `9`, "0", 1), "c:2: prompt is 0"},
		{head + strings.Replace(good, `9`, `9,"shared":10`, 1), "c:2: shared is 10"},
		{head + strings.Replace(good, `:1}`, `:-1}`, 1), "c:2: left_ns is -1"},
		{head + strings.Replace(good, `9`, `"nine"`, 1), "c:2: json: cannot unmarshal string into Go struct field Request.prompt"},
		{head + strings.Replace(good, `9`, `9,"text":"a prompt"`, 1), `c:2: json: unknown field "text"`},
		{head + strings.Repeat("x", maxLineBytes+1), "c:2: the line is longer than"},
	} {
		if _, _, err := Parse(strings.NewReader(tt.text), "c"); err == nil || !strings.HasPrefix(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("Parse of %.80q: got error %v, want one line that begins with %q", tt.text, err, tt.want)
		}
	}
}

// BenchmarkTake measures the cost of a request for the live path while requests are captured.
func BenchmarkTake(b *testing.B) {
	var log lines
	w, err := NewWriter(filepath.Join(b.TempDir(), "c"), 1<<40, &log)
	if err != nil {
		b.Fatal(err)
	}
	defer w.Close()
	a := arrival(1)
	b.ReportAllocs()
	for range b.N {
		w.Take(a, w.start)
	}
}
