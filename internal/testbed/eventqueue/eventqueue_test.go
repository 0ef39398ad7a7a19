package eventqueue

import (
	"testing"
	"time"
)

func TestEventsComeByTimeThenOrderOfAdding(t *testing.T) {
	var q Queue[string]
	q.Add(2*time.Second, "c")
	q.Add(time.Second, "a")
	q.Add(2*time.Second, "d")
	q.Add(time.Second, "b")
	q.Add(3*time.Second, "late")
	got := ""
	for {
		event, at, ok := q.Next(2 * time.Second)
		if !ok {
			break
		}
		if want := map[string]time.Duration{"a": time.Second, "b": time.Second}[event]; want != 0 && at != want {
			t.Errorf("%s came at %v, want %v", event, at, want)
		}
		got += event
	}
	if got != "abcd" {
		t.Errorf("got %q by 2s, want %q", got, "abcd")
	}
	if event, at, ok := q.Next(time.Hour); !ok || event != "late" || at != 3*time.Second {
		t.Errorf("got %q at %v, %v; want the late event at 3s", event, at, ok)
	}
	if _, _, ok := q.Next(time.Hour); ok {
		t.Error("Next returned an event from an empty queue")
	}
}
