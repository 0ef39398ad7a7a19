package scripted

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// LogLines is a routing.Logger that sends each log line, its event followed by its fields, on a
// channel.
type LogLines chan string

// Info implements routing.Logger.
func (l LogLines) Info(event string, fields ...any) { l.add(event, fields) }

// Warn implements routing.Logger.
func (l LogLines) Warn(event string, fields ...any) { l.add(event, fields) }

func (l LogLines) add(event string, fields []any) {
	for i := 0; i+1 < len(fields); i += 2 {
		event += fmt.Sprintf(" %v=%v", fields[i], fields[i+1])
	}
	l <- event
}

// outputPollInterval is the interval at which Output.Wait checks the text.
const outputPollInterval = 5 * time.Millisecond

// Output collects written text. Its methods are safe for concurrent use.
type Output struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns all text written so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// Wait waits until the output contains a text. It fails the test if this takes longer than
// EventTimeout.
func (o *Output) Wait(t testing.TB, expected string) {
	t.Helper()
	for end := time.Now().Add(EventTimeout); !strings.Contains(o.String(), expected); time.Sleep(outputPollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %q in the output:\n%s", expected, o.String())
		}
	}
}
