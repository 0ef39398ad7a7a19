package quorum

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"hash"
	"io"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"

	"reachspread/internal/router/lease"
	"reachspread/internal/testbed/explorer"
)

var measure = flag.Bool("measure", false, "run the measurements")

// packet is a message between voters and clients in the explorer. Its data is an encoded message or
// datagram.
type packet struct{ kind, data string }

const (
	toVoter  = "voter"
	toClient = "client"
	toPeer   = "between"
)

var (
	exploreTiming = lease.Timing{Duration: 2 * time.Second, ClockAllowance: 10 * time.Millisecond, Margin: 100 * time.Millisecond}
	errOverlap    = errors.New("two clients may work under the role at the same time")
	errApplied    = errors.New("two voters applied different commands at the same index")
)

// exploredVoter is a voter with TrustStore set, and its disk in memory.
type exploredVoter struct {
	n           int
	v           *Voter
	disk        StoredState
	inputDigest *xxhash.Digest // digest of all inputs; voters with the same inputs have the same state
	applied     map[uint64]string
}

// foundedDisk returns the disk of voter n in a new group of three voters.
func foundedDisk(n int) StoredState {
	one := uint64(1)
	var nodes []Node
	for i := range 3 {
		nodes = append(nodes, Node{ID: uint64(i + 1), Name: fmt.Sprint(i)})
	}
	voters := []uint64{1, 2, 3}
	table, _ := lease.NewTable([]lease.Role{{Name: "d"}}, 0)
	data, _ := json.Marshal(snapshotContent{nodes, table.State()})
	return StoredState{Meta: Meta{Version: 1, ID: uint64(n + 1), Name: fmt.Sprint(n), Group: 1, Starts: 1, Members: nodes, Voters: voters},
		HardState: &raftpb.HardState{Term: &one, Commit: &one, Vote: new(uint64)},
		Snapshot:  &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: voters}}}}
}

func newExplored(n, process int, disk StoredState, leaseTime time.Duration) *exploredVoter {
	timing := exploreTiming
	timing.Duration = leaseTime
	x := &exploredVoter{n: n, disk: disk, inputDigest: xxhash.New(), applied: map[uint64]string{}}
	var err error
	x.v, err = New(Config{Self: fmt.Sprint(n), Candidates: []string{"0", "1", "2"}, Voters: 3, Roles: []lease.Role{{Name: "d"}}, Timing: timing, ReplaceTimeout: time.Hour,
		Boot: uint32(10*process + n + 1), TickInterval: time.Second, TrustStore: true}, disk.Clone(), 0)
	if err != nil {
		panic(err)
	}
	x.v.nextHelloAt, x.v.nextReconfigureAt = 1<<62, 1<<62 // hellos and configuration changes are not explored
	for name := range 3 {
		x.v.storeIDs[fmt.Sprint(name)] = uint64(name + 1)
	}
	return x
}

func (x *exploredVoter) step(now time.Duration, e Event) (o explorer.Out[packet]) {
	for _, a := range x.v.Step(now, e) {
		switch a := a.(type) {
		case Persist:
			x.disk = *x.disk.Apply(&a)
		case Send:
			o.Send = append(o.Send, explorer.Send[packet]{To: int(a.To[0] - '0'), Msg: packet{toPeer, string(a.Data)}})
		case SendReply:
			o.Send = append(o.Send, explorer.Send[packet]{To: int(a.To[0] - '0'), Msg: packet{toClient, string(a.Reply.Encode())}})
		case Applied:
			x.applied[a.Index] = fmt.Sprint(a.Command.Kind, a.Command.Router, a.Result, a.Changes)
		}
	}
	o.Wake = x.v.Next()
	return o
}

func (x *exploredVoter) Start(now time.Duration) explorer.Out[packet] { return x.step(now, Tick{}) }
func (x *exploredVoter) Wake(now time.Duration) explorer.Out[packet] {
	fmt.Fprint(x.inputDigest, "wake", now)
	return x.step(now, Tick{})
}
func (x *exploredVoter) Receive(now time.Duration, from int, m packet) explorer.Out[packet] {
	fmt.Fprint(x.inputDigest, m.kind, now, from)
	io.WriteString(x.inputDigest, m.data)
	if m.kind == toPeer {
		return x.step(now, MessageReceived{Data: []byte(m.data)})
	}
	q, _, err := lease.Decode([]byte(m.data))
	if err != nil || q == nil {
		return x.step(now, Tick{})
	}
	return x.step(now, RequestReceived{From: fmt.Sprint(from), Request: q})
}
func (x *exploredVoter) Write(h hash.Hash64) { fmt.Fprint(h, x.inputDigest.Sum64()) }

// exploredClient is an agent that acquires the role d.
type exploredClient struct {
	n           int
	a           *lease.Agent
	inputDigest *xxhash.Digest
}

func newExploredClient(n, process int) *exploredClient {
	a, err := lease.NewAgent(lease.AgentConfig{Self: lease.Router{Name: fmt.Sprint(n), Boot: uint32(10*process + n + 1)}, Timing: exploreTiming, Voters: []string{"0"}})
	if err != nil {
		panic(err)
	}
	return &exploredClient{n, a, xxhash.New()}
}

func (c *exploredClient) out(all []lease.Action) (o explorer.Out[packet]) {
	for _, a := range all {
		if send, ok := a.(lease.SendRequest); ok {
			o.Send = append(o.Send, explorer.Send[packet]{To: int(send.To[0] - '0'), Msg: packet{toVoter, string(send.Request.Encode())}})
		}
	}
	o.Wake = c.a.Next()
	return o
}
func (c *exploredClient) Start(now time.Duration) explorer.Out[packet] {
	return c.out(c.a.Acquire(now, "d"))
}
func (c *exploredClient) Wake(now time.Duration) explorer.Out[packet] {
	fmt.Fprint(c.inputDigest, "wake", now)
	return c.out(c.a.Tick(now))
}
func (c *exploredClient) Receive(now time.Duration, from int, m packet) explorer.Out[packet] {
	fmt.Fprint(c.inputDigest, now, from)
	io.WriteString(c.inputDigest, m.data)
	if _, r, err := lease.Decode([]byte(m.data)); err == nil && r != nil {
		return c.out(c.a.HandleReply(now, fmt.Sprint(from), r))
	}
	return c.out(nil)
}
func (c *exploredClient) Write(h hash.Hash64) { fmt.Fprint(h, c.inputDigest.Sum64()) }

// initialNodes returns the nodes with which each path starts: three voters, of which the first is the
// leader, and two clients, of which the first holds the role and the second is queued. If woken is
// true, the leader's timer has then fired once, and inFlight has the messages that the leader has
// sent to the second client since and that have not arrived yet.
func initialNodes(lease time.Duration, woken bool) (all []explorer.Node[packet], inFlight []explorer.Send[packet]) {
	nodes := []explorer.Node[packet]{newExplored(0, 0, foundedDisk(0), lease), newExplored(1, 0, foundedDisk(1), lease), newExplored(2, 0, foundedDisk(2), lease), newExploredClient(3, 0), newExploredClient(4, 0)}
	type sentMessage struct {
		from int
		s    explorer.Send[packet]
	}
	var undelivered []sentMessage
	withholdForSecondClient := false
	enqueue := func(n int, o explorer.Out[packet]) {
		for _, s := range o.Send {
			undelivered = append(undelivered, sentMessage{n, s})
		}
	}
	deliver := func() {
		for len(undelivered) > 0 {
			m := undelivered[0]
			undelivered = undelivered[1:]
			if withholdForSecondClient && m.s.To == 4 {
				inFlight = append(inFlight, m.s)
				continue
			}
			enqueue(m.s.To, nodes[m.s.To].Receive(0, m.from, m.s.Msg))
		}
	}
	for n := range 3 {
		enqueue(n, nodes[n].Start(0))
	}
	leader := nodes[0].(*exploredVoter)
	leader.v.nextElectionAt = 0
	enqueue(0, leader.step(0, Tick{}))
	deliver()
	for n := 3; n < 5; n++ {
		enqueue(n, nodes[n].Start(0))
		deliver()
	}
	if woken {
		withholdForSecondClient = true
		enqueue(0, leader.Wake(leader.v.Next()))
		deliver()
	}
	return nodes, inFlight
}

// resumedNode makes the explorer start a node in the state from initialNodes. Sent are the messages
// in flight, which the node sends at its start.
type resumedNode struct {
	explorer.Node[packet]
	sent []explorer.Send[packet]
}

func (s resumedNode) Start(now time.Duration) explorer.Out[packet] {
	switch x := s.Node.(type) {
	case *exploredVoter:
		return explorer.Out[packet]{Wake: x.v.Next(), Send: s.sent}
	case *exploredClient:
		return explorer.Out[packet]{Wake: x.a.Next()}
	}
	return explorer.Out[packet]{}
}

func unwrapNode(n explorer.Node[packet]) explorer.Node[packet] {
	if s, ok := n.(resumedNode); ok {
		return s.Node
	}
	return n
}

func newQuestion(lease time.Duration, woken bool, depth int, budget explorer.Budget) explorer.Config[packet] {
	var initial []explorer.Node[packet]
	var inFlight []explorer.Send[packet]
	return explorer.Config[packet]{Nodes: 5, Depth: depth, MaxSkew: time.Millisecond, Budget: budget, Ordered: true,
		Show: func(m packet) string { return m.kind },
		Make: func(n, process int, last explorer.Node[packet]) explorer.Node[packet] {
			switch {
			case process == 0:
				if n == 0 { // a new path begins
					initial, inFlight = initialNodes(lease, woken)
					return resumedNode{initial[n], inFlight}
				}
				return resumedNode{initial[n], nil}
			case n < 3:
				return newExplored(n, process, *unwrapNode(last).(*exploredVoter).disk.Clone(), lease)
			}
			return newExploredClient(n, process)
		},
		Invariant: func(nodes []explorer.Node[packet], now []time.Duration) error {
			acts, all := 0, map[uint64]string{}
			for i, n := range nodes {
				switch x := unwrapNode(n).(type) {
				case *exploredClient:
					if _, _, may := x.a.Check(now[i], "d"); may {
						acts++
					}
				case *exploredVoter:
					for at, text := range x.applied {
						if before, known := all[at]; known && before != text {
							return errApplied
						}
						all[at] = text
					}
				}
			}
			if acts > 1 {
				return errOverlap
			}
			return nil
		}}
}

// The explorer tries the event orders of three voters and two clients up to a depth. At the start,
// one client holds the role and the other is queued. One message may be lost, one may be duplicated,
// and one node may crash and one may pause. The two clients must never hold the role at the same
// time. The explorer must find the fault of voters that count a shorter lease than the holders.
func TestNoTwoActInAnyOrderOfThreeVoters(t *testing.T) {
	depth, states := 4, 20_000
	if *measure {
		depth, states = 6, 600_000
	}
	q := newQuestion(exploreTiming.Duration, false, depth, explorer.Budget{Losses: 1, Duplicates: 1, Crashes: 1, Pauses: 1})
	q.MaxStates = states
	answer, err := explorer.Explore(q)
	if err != nil {
		t.Fatal(err)
	}
	if t.Logf("%s", answer); answer.Violation != nil {
		t.Error(answer)
	}
	q = newQuestion(500*time.Millisecond, true, 9, explorer.Budget{})
	q.MaxStates = 60_000
	if answer, err = explorer.Explore(q); err != nil {
		t.Fatal(err)
	}
	if t.Logf("voters with a quarter of the holders' lease: %s", answer); !errors.Is(answer.Violation, errOverlap) {
		t.Error("explorer did not find the fault of voters that count a shorter lease than the holders")
	}
}
