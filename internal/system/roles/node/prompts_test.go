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

// What a router tells of its prompts reaches each other router that lives, and none but those.
func TestPromptsReachOtherRouters(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	first := f.nodes[0]
	f.eventually("all know of all", func() bool {
		for _, n := range f.nodes {
			if len(n.prompts.others.Load().all) != 2 {
				return false
			}
		}
		return true
	})
	first.prompts.tell("chat", []balance.PeerReport{{Tag: 7, Tokens: 900, Prefix: 3}})
	f.eventually("both others were told", func() bool {
		return f.nodes[1].prompts.figures().Received == 1 && f.nodes[2].prompts.figures().Received == 1
	})
	is.Equal(first.prompts.figures(), status.PromptReports{Sent: 2})
}

// A datagram that is lost is missed, and nothing waits for it.
func TestPromptsLost(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.eventually("both know of each other", func() bool { return len(f.nodes[0].prompts.others.Load().all) == 1 })
	lost := make(chan struct{}, 1)
	failpoint.Set(&failpoint.Failures{
		Lose: func(to string) bool {
			select {
			case lost <- struct{}{}:
			default:
			}
			return to == f.nodes[1].self.internal()
		},
		Write: func() error { return nil },
	})
	defer failpoint.Set(nil)
	f.nodes[0].prompts.tell("chat", []balance.PeerReport{{Tag: 7, Tokens: 900}})
	<-lost
	failpoint.Set(nil)
	f.nodes[0].prompts.tell("chat", []balance.PeerReport{{Tag: 7, Tokens: 900}})
	f.eventually("the next one comes", func() bool { return f.nodes[1].prompts.figures().Received >= 1 })
}

// Only datagrams of prompts are taken, only from routers that live, and only such as can be read.
func TestReceivePrompts(t *testing.T) {
	f := newFleet(t, 1, 1)
	peer, stranger := netip.MustParseAddrPort("127.77.9.9:7680"), netip.MustParseAddrPort("127.77.9.8:7680")
	text, err := proto.MarshalOptions{}.MarshalAppend([]byte{promptsDatagram}, &message.SentPrompts{Service: "none",
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
		{"from a router that lives", peer, text, true, status.PromptReports{Received: 1}},
		{"from elsewhere", stranger, text, true, status.PromptReports{Dropped: 1}},
		{"unreadable", peer, []byte{promptsDatagram, 0xff}, true, status.PromptReports{Dropped: 1}},
		{"empty", peer, nil, false, status.PromptReports{}},
		{"of the membership", peer, []byte{0x20, 1, 2}, false, status.PromptReports{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPrompts(f.nodes[0].Node)
			p.viewed([]router{{address: peer}, f.nodes[0].self})
			is.Equal(p.receive(c.from, c.data), c.ours)
			is.Equal(p.figures(), c.count)
		})
	}
}

// Whoever tells of a prompt waits for nobody: what finds no room is dropped, and counted.
func TestPromptsBeyondTheRoom(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	p := newPrompts(f.nodes[0].Node) // nobody sends what waits
	p.viewed([]router{{address: netip.MustParseAddrPort("127.77.9.9:7680")}})
	for range mostPromptsWaiting + 5 {
		p.tell("chat", []balance.PeerReport{{Tag: 7, Tokens: 900}})
	}
	is.Equal(p.figures(), status.PromptReports{Dropped: 5})
	is.Equal(len(p.waiting), mostPromptsWaiting)
}

// Failures and slowness of hosts are told within a bound of their own, whatever the prompts have used up.
func TestWordsOnHostsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 1)
	f.eventually("both know of each other", func() bool { return len(f.nodes[0].prompts.others.Load().all) == 1 })
	first := f.nodes[0].prompts
	told := 0
	for range 2 * hostMessagesAtOnce {
		if first.mayTellOfHost() {
			told++
		}
	}
	is.True(told >= hostMessagesAtOnce)
	is.True(told < 2*hostMessagesAtOnce)
	before := first.figures().Sent
	f.nodes[1].prompts.tell("chat", []balance.PeerReport{{Tag: 7, Failed: true}})
	f.eventually("a failure is told", func() bool { return first.figures().Received > 0 })
	is.Equal(first.figures().Sent, before) // and passed on by nobody
}
