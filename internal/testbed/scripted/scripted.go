// Package scripted has the scripted servers, model hosts, discovery and clients that the network
// code is tested against, all on the loopback. A test owns what it starts here; the end of the test
// stops it.
package scripted

import (
	"testing"
	"time"
)

// EventTimeout bounds each wait for an event that must come.
const EventTimeout = 10 * time.Second

// Receive returns the next value of a channel, and fails the test if none comes in time.
func Receive[T any](t testing.TB, from <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(EventTimeout):
		t.Fatalf("waited %v in vain: %s", EventTimeout, what)
		panic("unreachable")
	}
}

// Send sends a value on a channel, and fails the test if nobody receives it in time.
func Send[T any](t testing.TB, to chan<- T, v T) {
	t.Helper()
	select {
	case to <- v:
	case <-time.After(EventTimeout):
		t.Fatalf("for %v nobody waited to be given %v", EventTimeout, v)
	}
}

// AwaitCondition polls a condition that signals no event of its own, and fails the test if it does
// not hold in time.
func AwaitCondition(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(EventTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited %v in vain: %s", EventTimeout, what)
		}
	}
}
