// Package scripted has scripted servers, model hosts, discovery servers and clients for tests of the
// network code. All of them run on the loopback. A test owns the servers that it starts; they stop at
// the end of the test.
package scripted

import (
	"testing"
	"time"
)

// EventTimeout bounds each wait of a test for an expected event.
const EventTimeout = 10 * time.Second

// Receive returns the next value of a channel. It fails the test if no value arrives within
// EventTimeout. what describes the value in the failure message.
func Receive[T any](t testing.TB, from <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(EventTimeout):
		t.Fatalf("timed out after %v waiting for: %s", EventTimeout, what)
		panic("unreachable")
	}
}

// Send sends a value on a channel. It fails the test if the value is not received within EventTimeout.
func Send[T any](t testing.TB, to chan<- T, v T) {
	t.Helper()
	select {
	case to <- v:
	case <-time.After(EventTimeout):
		t.Fatalf("timed out after %v: no goroutine received %v", EventTimeout, v)
	}
}

// AwaitCondition polls a condition until it holds. It fails the test if the condition does not hold
// within EventTimeout. It is meant for conditions that no event signals.
func AwaitCondition(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(EventTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting for: %s", EventTimeout, what)
		}
	}
}
