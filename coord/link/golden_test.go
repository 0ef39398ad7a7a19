package link

import (
	"io"
	"net"
	"testing"
	"time"

	"reachspread/internal/testbed/golden"
)

// A connection carries the same bytes as at commit 5bfcc27: frames in one direction,
// acknowledgements in the other, and no handshake.
func TestFramesKeepTheirBytes(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sender, receiver, arrived := startLink(t)
	messages := []received{{7, "a message"}, {255, ""}, {0, "\x00\xff"}}
	length := 0
	for _, m := range messages {
		length += frameHeaderLen + len(m.data)
		sender.Send(ln.Addr().String(), m.kind, []byte(m.data))
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	frames := make([]byte, length)
	if _, err := io.ReadFull(c, frames); err != nil {
		t.Fatal(err)
	}

	out, err := net.Dial("tcp4", receiver)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	out.SetDeadline(time.Now().Add(testTimeout))
	if _, err := out.Write(frames); err != nil {
		t.Fatal(err)
	}
	acknowledged := make([]byte, 1)
	if _, err := io.ReadFull(out, acknowledged); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "frames", []golden.Record{{Name: "frames", Data: frames}, {Name: "acknowledgement", Data: acknowledged}})
	for _, want := range messages {
		if got := nextMessage(t, arrived); got != want {
			t.Errorf("the receiver read a frame as %+v, want %+v", got, want)
		}
	}
}
