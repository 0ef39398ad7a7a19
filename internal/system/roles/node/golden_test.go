package node

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/balance"
	"reachspread/internal/system/message"
	"reachspread/internal/testbed/golden"
)

// Peer reports are encoded to the same bytes as at commit 5bfcc27, and decoded from these bytes.
func TestPromptDatagramsKeepTheirBytes(t *testing.T) {
	receiver, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	receiver.SetReadDeadline(time.Now().Add(10 * time.Second)) // never reached unless a datagram is lost
	n := idleNode()
	if n.udp, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	defer n.udp.Close()
	peer := receiver.LocalAddr().(*net.UDPAddr).AddrPort()
	p := newPeerReporter(n)
	p.membershipChanged([]router{{address: peer}})
	p.report("chat", []balance.PeerReport{{ReplicaTag: 0xabcdef, Failed: true}, {ReplicaTag: 1, LatencyRatio: 2.75}})
	reported := <-p.queue
	messages := []*message.SentPrompts{
		{Service: "chat", Prompts: []*message.SentPrompt{{Host: 0xabcdef, Tokens: 70_000, Prefix: 0xfedc}, {Host: 1, Tokens: 1}}},
		reported,
		{Service: "s"},
	}
	names := []string{"prompts", "failure-and-slowness", "none"}
	var records []golden.Record
	for i, m := range messages {
		p.send(m)
		var buffer [2048]byte
		size, err := receiver.Read(buffer[:])
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, golden.Record{Name: names[i], Data: bytes.Clone(buffer[:size])})
	}
	data := golden.Check(t, "prompts", records)
	if want := (&message.SentPrompts{Service: "chat", Prompts: []*message.SentPrompt{{Host: 0xabcdef, Failed: true}, {Host: 1, Slow: 275}}}); !proto.Equal(reported, want) {
		t.Errorf("the queued report on hosts is %v, want %v", reported, want)
	}
	for i, want := range messages {
		got := &message.SentPrompts{}
		if err := proto.Unmarshal(data[names[i]][1:], got); err != nil || !proto.Equal(got, want) {
			t.Errorf("datagram %s is decoded as %v, want %v (error: %v)", names[i], got, want, err)
		}
		if !p.receive(peer, data[names[i]]) {
			t.Errorf("datagram %s is not accepted as a peer report", names[i])
		}
	}
	if got := p.stats().Received; got != uint64(len(messages)) {
		t.Errorf("%d datagrams were received, want %d", got, len(messages))
	}
}

// The message kinds on the link between routers, and the zone labels in the membership, are the
// same as at commit 5bfcc27.
func TestKindsOnTheLinkStay(t *testing.T) {
	golden.CheckText(t, "kinds", fmt.Sprintf("register %d\nrouter %d\nzone %s\nlong zone %s\n", registerMessages, routerMessages, zoneLabel("north"), zoneLabel("a-zone-with-a-very-long-name")))
}
