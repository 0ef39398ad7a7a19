package node

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"reachspread/balance"
	"reachspread/coord/failpoint"
	"reachspread/internal/system/message"
	"reachspread/internal/system/status"
)

// A router sends its peer reports to each other live router, and to no others.
func TestPeerReportsReachAllRouters(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	first := f.nodes[0]
	f.eventually("all routers know each other", func() bool {
		for _, n := range f.nodes {
			if len(n.peerReports.peers.Load().addresses) != 2 {
				return false
			}
		}
		return true
	})
	first.peerReports.report("chat", []balance.PeerReport{{ReplicaTag: 7, PrefillTokens: 900, PrefixTag: 3}})
	f.eventually("both other routers received the report", func() bool {
		return f.nodes[1].peerReports.stats().Received == 1 && f.nodes[2].peerReports.stats().Received == 1
	})
	is.Equal(first.peerReports.stats(), status.PromptReports{Sent: 2})
}

// knowsPeer reports whether a router in a fleet of two sends its reports to the other one.
func knowsPeer(n *runningNode) bool { return len(n.peerReports.peers.Load().addresses) == 1 }

// A lost datagram is not sent again, and later reports do not wait for it.
func TestLostPeerReportIsNotRetried(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.eventually("both know of each other", func() bool { return knowsPeer(f.nodes[0]) && knowsPeer(f.nodes[1]) })
	lost := make(chan struct{}, 1)
	failpoint.Set(&failpoint.Faults{
		DropMessage: func(to string) bool {
			select {
			case lost <- struct{}{}:
			default:
			}
			return to == f.nodes[1].self.internal()
		},
		BeforeWrite: func() error { return nil },
	})
	defer failpoint.Set(nil)
	f.nodes[0].peerReports.report("chat", []balance.PeerReport{{ReplicaTag: 7, PrefillTokens: 900}})
	<-lost
	failpoint.Set(nil)
	f.nodes[0].peerReports.report("chat", []balance.PeerReport{{ReplicaTag: 7, PrefillTokens: 900}})
	f.eventually("the next report arrives", func() bool { return f.nodes[1].peerReports.stats().Received >= 1 })
}

// A router accepts only valid datagrams of peer reports, and only from live routers.
func TestPeerReportsFromStrangersAreDropped(t *testing.T) {
	f := newFleet(t, 1, 1)
	peer, stranger := netip.MustParseAddrPort("127.77.9.9:7680"), netip.MustParseAddrPort("127.77.9.8:7680")
	text, err := proto.MarshalOptions{}.MarshalAppend([]byte{peerReportDatagram}, &message.SentPrompts{Service: "none",
		Prompts: []*message.SentPrompt{{Host: 1, Tokens: 2, Prefix: 1 << 20}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		from  netip.AddrPort
		data  []byte
		ours  bool
		count status.PromptReports
	}{
		{"from a live router", peer, text, true, status.PromptReports{Received: 1}},
		{"from an unknown address", stranger, text, true, status.PromptReports{Dropped: 1}},
		{"unreadable", peer, []byte{peerReportDatagram, 0xff}, true, status.PromptReports{Dropped: 1}},
		{"empty", peer, nil, false, status.PromptReports{}},
		{"of the membership", peer, []byte{0x20, 1, 2}, false, status.PromptReports{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPeerReporter(f.nodes[0].Node)
			p.membershipChanged([]router{{address: peer}, f.nodes[0].self})
			is.Equal(p.receive(c.from, c.data), c.ours)
			is.Equal(p.stats(), c.count)
		})
	}
}

// Reporting does not block: reports that do not fit in the queue are dropped and counted.
func TestPeerReportsBeyondTheQueueAreDropped(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	p := newPeerReporter(f.nodes[0].Node) // its run loop, which would empty the queue, is not started
	p.membershipChanged([]router{{address: netip.MustParseAddrPort("127.77.9.9:7680")}})
	for range maxQueuedPeerReports + 5 {
		p.report("chat", []balance.PeerReport{{ReplicaTag: 7, PrefillTokens: 900}})
	}
	is.Equal(p.stats(), status.PromptReports{Dropped: 5})
	is.Equal(len(p.queue), maxQueuedPeerReports)
}

// Reports of failed and slow hosts have a rate limit of their own, which reports of prompts do not
// use up.
func TestHostReportsHaveTheirOwnRate(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 1)
	f.eventually("both know of each other", func() bool { return knowsPeer(f.nodes[0]) && knowsPeer(f.nodes[1]) })
	first := f.nodes[0].peerReports
	allowed := 0
	for range 2 * hostDatagramBurst {
		if first.mayReportHost() {
			allowed++
		}
	}
	is.True(allowed >= hostDatagramBurst)
	is.True(allowed < 2*hostDatagramBurst)
	before := first.stats().Sent
	f.nodes[1].peerReports.report("chat", []balance.PeerReport{{ReplicaTag: 7, Failed: true}})
	f.eventually("the report of a failure arrives", func() bool { return first.stats().Received > 0 })
	is.Equal(first.stats().Sent, before) // the receiver does not forward it
}
