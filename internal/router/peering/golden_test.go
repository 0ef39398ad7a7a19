package peering

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/testbed/golden"
	"reachspread/internal/testbed/scripted"
)

// goldenTimeout bounds the waits for bytes that were sent to or from the tested router.
const goldenTimeout = 10 * time.Second

// Messages between candidates, including fleet records and rejections of them, must have the same
// bytes as at commit 5bfcc27.
func TestLinesKeepTheirBytes(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	own := free.Addr().String()
	free.Close()
	d, err := NewRoles(RolesConfig{Self: lease.Router{Name: "router-1", Boot: 1}, Timing: lease.DefaultTiming, Roles: []lease.Role{{Name: ScribeRole}}, Voters: 1,
		CandidateAddresses: map[string]string{"router-1": own, "router-2": ln.Addr().String()}, Candidates: []string{"router-1", "router-2"}, Listen: own, Folder: t.TempDir()},
		nil, make(scripted.LogLines, 100))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := d.voterLink.listen(ctx, own); err != nil {
		t.Fatal(err)
	}
	d.sendRecord("router-2", fleetRecord{From: "router-1", Token: 1 << 40, Text: json.RawMessage(`{"a":[1,2]}`)})
	d.sendRecord("router-2", fleetRecord{From: "router-1", Token: 7})
	d.voterLink.send("router-2", []byte(`{"v":1}`))
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(goldenTimeout))
	var records []golden.Record
	for _, name := range []string{"record", "refusal", "message"} {
		head := make([]byte, 5)
		if _, err := io.ReadFull(c, head); err != nil {
			t.Fatal(err)
		}
		body := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(c, body); err != nil {
			t.Fatal(err)
		}
		records = append(records, golden.Record{Name: name, Data: append(head, body...)})
	}
	data := golden.Check(t, "lines", records)

	type storedRecord struct {
		token uint64
		text  string
	}
	received := make(chan storedRecord, 1)
	d.OnRecord(func(token uint64, text []byte) uint64 {
		received <- storedRecord{token, string(text)}
		return token
	})
	out, err := net.Dial("tcp4", own)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	if _, err := out.Write(data["record"]); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-received:
		if want := (storedRecord{1 << 40, `{"a":[1,2]}`}); got != want {
			t.Errorf("the handler received the record %+v, want %+v", got, want)
		}
	case <-time.After(goldenTimeout):
		t.Error("the handler did not receive the record in time")
	}
}
