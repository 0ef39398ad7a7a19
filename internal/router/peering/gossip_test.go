package peering_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/router/peering"
	"reachspread/internal/testbed/scripted"
)

// Gossip drops and counts datagrams from addresses that are no peers, truncated or too long
// datagrams, and datagrams of another version. It still receives the datagrams that follow.
func TestUnusableDatagramsAreDropped(t *testing.T) {
	socket := func() *net.UDPConn {
		t.Helper()
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, unknownSender, spare := socket(), socket(), socket()
	own := spare.LocalAddr().String()
	spare.Close()
	lines := make(chan string, 10)
	g, err := peering.NewGossip(own, []string{own, peer.LocalAddr().String()}, false, scripted.LogLines(lines))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	received := make(chan balance.ReportsReceived, 10)
	go g.Run(ctx, func(h balance.ReportsReceived) { received <- h })

	reports := []balance.PeerReport{{ReplicaTag: 7, PrefillTokens: 1024}}
	good := protocol.AppendPeerReports(nil, 3, reports)
	to := net.UDPAddrFromAddrPort(mustAddr(t, own))
	send := func(c *net.UDPConn, text []byte) {
		t.Helper()
		if _, err := c.WriteToUDP(text, to); err != nil {
			t.Fatal(err)
		}
	}
	send(unknownSender, good)
	send(peer, good[:4])
	send(peer, append([]byte{0x70}, good[1:]...))
	send(peer, make([]byte, 300))
	send(peer, nil)
	send(peer, good)
	if diff := cmp.Diff(balance.ReportsReceived{From: 1, Zone: 3, Reports: reports}, scripted.Receive(t, received, "reports")); diff != "" {
		t.Error(diff)
	}
	if line := scripted.Receive(t, lines, "a line"); !strings.HasPrefix(line, "peer datagram dropped") || len(lines) > 0 {
		t.Errorf("got the log line %q and %d more, want only one for the first dropped datagram", line, len(lines))
	}
	if unread, _ := g.Dropped(); unread != 5 {
		t.Errorf("%d datagrams counted as dropped, want 5", unread)
	}

	g.SendReports(balance.SendReports{To: []int{1, 9, -1}, Zone: 3, Reports: reports})
	buf := make([]byte, 300)
	n, _, err := peer.ReadFromUDP(buf)
	if err != nil || !cmp.Equal(buf[:n], good) {
		t.Errorf("got % x, %v, want % x", buf[:n], err, good)
	}
}

func mustAddr(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// A process that replaces another one starts while the other process still has the address. It
// sends nothing until the address is free, and then receives. Without takesOver an address in use
// is an error.
func TestAddressIsTakenOver(t *testing.T) {
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	lines := make(scripted.LogLines, 10)
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	own := free.LocalAddr().String()
	all := []string{own, peer.LocalAddr().String()}
	if _, err := peering.NewGossip(own, all, false, lines); err == nil {
		t.Error("NewGossip returned no error for an address in use")
	}
	g, err := peering.NewGossip(own, all, true, lines)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	received := make(chan balance.ReportsReceived, 10)
	go g.Run(ctx, func(h balance.ReportsReceived) { received <- h })
	g.SendReports(balance.SendReports{To: []int{1}})
	if _, unsent := g.Dropped(); unsent != 1 {
		t.Errorf("%d datagrams counted as not sent while another process has the address, want 1", unsent)
	}
	free.Close()
	to, _ := net.ResolveUDPAddr("udp4", own)
	for end := time.Now().Add(scripted.EventTimeout); ; time.Sleep(5 * time.Millisecond) {
		peer.WriteToUDP(protocol.AppendPeerReports(nil, 7, nil), to)
		if len(received) > 0 {
			if got := <-received; got.From != 1 || got.Zone != 7 {
				t.Errorf("received %+v, want a report from peer 1 in zone 7", got)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal("no datagram was received after the address became free")
		}
	}
}
