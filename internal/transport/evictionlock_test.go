package transport

import (
	"net"
	"testing"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/testbed/scripted"
)

// Guards against a deadlock when a connection is evicted while its goroutine is about to read a
// request: closing the socket waits for the goroutines that use it, and they wait for the
// listener's lock, which the evicting goroutine holds.
func TestEvictionOfConnectionThatIsReadDoesNotBlock(t *testing.T) {
	front, _ := newRoutedFront(t, oneConnection, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go front.Serve(ln, false)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	l := front.listener
	scripted.AwaitCondition(t, "the connection", func() bool { return front.Alive() == 1 })
	time.Sleep(50 * time.Millisecond) // until the connection's goroutine waits for a request

	// Another connection arrives: Accept holds the lock when the first connection's request
	// arrives.
	l.mu.Lock()
	client.Write([]byte(readyText))
	time.Sleep(100 * time.Millisecond) // until the reader has peeked at the request and waits for the lock
	evicted := make(chan struct{})
	go func() {
		l.carryOut(admission.Action{Kind: admission.Evict, Conn: 0, Cause: admission.Evicted})
		l.mu.Unlock()
		close(evicted)
	}()
	select {
	case <-evicted:
	case <-time.After(5 * time.Second):
		t.Fatal("deadlock: the eviction waits for the reader, and the reader for the lock that the eviction holds")
	}
}
