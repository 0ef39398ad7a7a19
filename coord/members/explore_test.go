package members_test

import (
	"flag"
	"fmt"
	"hash"
	"net/netip"
	"testing"
	"time"

	"reachspread/coord/members"
	"reachspread/internal/testbed/explorer"
)

var depth = flag.Int("depth", 4, "number of choices on each path that the model checker explores")

// datagram is a message between nodes of the model checker.
type datagram struct{ Data string }

// node wraps a Decider as a node of the model checker and records violated invariants.
type node struct {
	n, restarts        int // index of the node, and how often it restarted before this start
	decider            *members.Decider
	highestIncarnation uint32
	violation          error // the last violated invariant
	settled            bool  // start with all three members in the membership list
}

// addrOf returns the address of node n.
func addrOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 7946)
}

// Start starts the Decider of the node.
func (x *node) Start(now time.Duration) explorer.Out[datagram] {
	var seeds []netip.AddrPort
	for i := range 3 {
		seeds = append(seeds, addrOf(i))
	}
	var err error
	x.decider, err = members.New(members.Config{Name: fmt.Sprint("r", x.n), Zone: "z", Version: "1", Addr: addrOf(x.n), Boot: uint32(1 + x.n + 10*x.restarts), Seeds: seeds, SeedsOnly: true,
		RandomSeed: uint64(x.n)}, now)
	if err != nil {
		x.violation = err
		return explorer.Out[datagram]{}
	}
	if x.settled {
		var all []members.Member
		for i := range 3 {
			all = append(all, members.Member{Name: fmt.Sprint("r", i), Zone: "z", Version: "1", Addr: addrOf(i), Boot: uint32(1 + i), Incarnation: 1})
		}
		x.decider.Restore(members.NewRoster(all))
	}
	return x.step(now, members.Tick{})
}

// Receive passes a datagram to the Decider.
func (x *node) Receive(now time.Duration, from int, m datagram) explorer.Out[datagram] {
	return x.step(now, members.Received{From: addrOf(from), Data: []byte(m.Data)})
}

// Wake steps the Decider at the time that its Next method returned, or later.
func (x *node) Wake(now time.Duration) explorer.Out[datagram] { return x.step(now, members.Tick{}) }

// step passes an event to the Decider, checks the invariants and returns the datagrams to send.
func (x *node) step(now time.Duration, e members.Event) (o explorer.Out[datagram]) {
	for _, a := range x.decider.Step(now, e) {
		if s, ok := a.(members.Send); ok {
			o.Send = append(o.Send, explorer.Send[datagram]{To: int(s.To.Addr().As4()[3]) - 1, Msg: datagram{string(s.Data)}})
		}
	}
	if inc := x.decider.Incarnation(); inc < x.highestIncarnation {
		x.violation = fmt.Errorf("the incarnation of r%d fell from %d to %d", x.n, x.highestIncarnation, inc)
	} else {
		x.highestIncarnation = inc
	}
	if s := x.decider.State(); s != members.Joining && s != members.Alive {
		x.violation = fmt.Errorf("the state of r%d at itself is %v, want joining or alive", x.n, s)
	}
	if x.decider.State() == members.Alive {
		seen := false
		for _, m := range x.decider.View().Members {
			seen = seen || m.Name == fmt.Sprint("r", x.n)
		}
		if !seen {
			x.violation = fmt.Errorf("r%d is missing from its own view", x.n)
		}
	}
	o.Wake = x.decider.Next()
	return o
}

// Write writes the state of the Decider, so that the model checker can compare states.
func (x *node) Write(h hash.Hash64) { x.decider.WriteState(h) }

// The model checker explores all orders of the events of three members with up to one crash, one
// lost datagram and one stall. The members start with an empty or with a settled membership list.
// No incarnation may fall, and no member may be missing from its own view.
func TestExploredOrdersKeepInvariants(t *testing.T) {
	for _, settled := range []bool{false, true} {
		q := explorer.Config[datagram]{Nodes: 3, Depth: *depth, MaxStates: 400_000, Budget: explorer.Budget{Losses: 1, Crashes: 1, Pauses: 1}, MaxSkew: 100 * time.Millisecond,
			Make: func(n, restarts int, before explorer.Node[datagram]) explorer.Node[datagram] {
				return &node{n: n, restarts: restarts, settled: settled && restarts == 0}
			},
			Invariant: func(nodes []explorer.Node[datagram], _ []time.Duration) error {
				for _, n := range nodes {
					if x, ok := n.(*node); ok && x.violation != nil {
						return x.violation
					}
				}
				return nil
			},
			Show: func(m datagram) string { return fmt.Sprintf("kind %d, %d bytes", m.Data[0]&15, len(m.Data)) }}
		a, err := explorer.Explore(q)
		if err != nil {
			t.Fatal(err)
		}
		t.Log(a.String())
		if a.Violation != nil || a.States < 500 {
			t.Errorf("exploration with settled=%v violated an invariant or reached fewer than 500 states: %s", settled, a)
		}
	}
}
