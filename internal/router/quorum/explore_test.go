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

// word is what goes between voters and clients in the explorer.
type word struct{ what, data string }

const (
	toVoter  = "voter"
	toClient = "client"
	between  = "between"
)

var (
	exploreTimes = lease.Timing{Duration: 2 * time.Second, ClockAllowance: 10 * time.Millisecond, Margin: 100 * time.Millisecond}
	errOverlap   = errors.New("two act under the duty")
	errApplied   = errors.New("two voters apply different commands")
)

// exploredVoter is a voter that is believed, with its disk.
type exploredVoter struct {
	n       int
	v       *Voter
	disk    StoredState
	past    *xxhash.Digest // all that it was told: two that were told the same are the same
	applied map[uint64]string
}

// founded is a disk of a group of three.
func founded(n int) StoredState {
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

func newExplored(n, life int, disk StoredState, leaseTime time.Duration) *exploredVoter {
	times := exploreTimes
	times.Duration = leaseTime
	x := &exploredVoter{n: n, disk: disk, past: xxhash.New(), applied: map[uint64]string{}}
	var err error
	x.v, err = New(Config{Self: fmt.Sprint(n), Candidates: []string{"0", "1", "2"}, Voters: 3, Roles: []lease.Role{{Name: "d"}}, Timing: times, ReplaceTimeout: time.Hour,
		Boot: uint32(10*life + n + 1), TickInterval: time.Second, TrustStore: true}, disk.Clone(), 0)
	if err != nil {
		panic(err)
	}
	x.v.nextHelloAt, x.v.nextReconfigureAt = 1<<62, 1<<62 // who takes part is not what is explored
	for name := range 3 {
		x.v.storeIDs[fmt.Sprint(name)] = uint64(name + 1)
	}
	return x
}

func (x *exploredVoter) step(now time.Duration, e Event) (o explorer.Out[word]) {
	for _, a := range x.v.Step(now, e) {
		switch a := a.(type) {
		case Persist:
			x.disk = *x.disk.Apply(&a)
		case Send:
			o.Send = append(o.Send, explorer.Send[word]{To: int(a.To[0] - '0'), Msg: word{between, string(a.Data)}})
		case SendReply:
			o.Send = append(o.Send, explorer.Send[word]{To: int(a.To[0] - '0'), Msg: word{toClient, string(a.Reply.Encode())}})
		case Applied:
			x.applied[a.Index] = fmt.Sprint(a.Command.Kind, a.Command.Router, a.Result, a.Changes)
		}
	}
	o.Wake = x.v.Next()
	return o
}

func (x *exploredVoter) Start(now time.Duration) explorer.Out[word] { return x.step(now, Tick{}) }
func (x *exploredVoter) Wake(now time.Duration) explorer.Out[word] {
	fmt.Fprint(x.past, "wake", now)
	return x.step(now, Tick{})
}
func (x *exploredVoter) Receive(now time.Duration, from int, m word) explorer.Out[word] {
	fmt.Fprint(x.past, m.what, now, from)
	io.WriteString(x.past, m.data)
	if m.what == between {
		return x.step(now, MessageReceived{Data: []byte(m.data)})
	}
	q, _, err := lease.Decode([]byte(m.data))
	if err != nil || q == nil {
		return x.step(now, Tick{})
	}
	return x.step(now, RequestReceived{From: fmt.Sprint(from), Request: q})
}
func (x *exploredVoter) Write(h hash.Hash64) { fmt.Fprint(h, x.past.Sum64()) }

// exploredClient is an agent that wants the duty.
type exploredClient struct {
	n    int
	a    *lease.Agent
	past *xxhash.Digest
}

func newExploredClient(n, life int) *exploredClient {
	a, err := lease.NewAgent(lease.AgentConfig{Self: lease.Router{Name: fmt.Sprint(n), Boot: uint32(10*life + n + 1)}, Timing: exploreTimes, Voters: []string{"0"}})
	if err != nil {
		panic(err)
	}
	return &exploredClient{n, a, xxhash.New()}
}

func (c *exploredClient) out(all []lease.Action) (o explorer.Out[word]) {
	for _, a := range all {
		if ask, ok := a.(lease.SendRequest); ok {
			o.Send = append(o.Send, explorer.Send[word]{To: int(ask.To[0] - '0'), Msg: word{toVoter, string(ask.Request.Encode())}})
		}
	}
	o.Wake = c.a.Next()
	return o
}
func (c *exploredClient) Start(now time.Duration) explorer.Out[word] {
	return c.out(c.a.Acquire(now, "d"))
}
func (c *exploredClient) Wake(now time.Duration) explorer.Out[word] {
	fmt.Fprint(c.past, "wake", now)
	return c.out(c.a.Tick(now))
}
func (c *exploredClient) Receive(now time.Duration, from int, m word) explorer.Out[word] {
	fmt.Fprint(c.past, now, from)
	io.WriteString(c.past, m.data)
	if _, r, err := lease.Decode([]byte(m.data)); err == nil && r != nil {
		return c.out(c.a.HandleReply(now, fmt.Sprint(from), r))
	}
	return c.out(nil)
}
func (c *exploredClient) Write(h hash.Hash64) { fmt.Fprint(h, c.past.Sum64()) }

// begun has three voters of which the first leads, and two clients of which the first holds the duty and the second waits, each as it is
// then. If woken, the leader has waken once since, and what it told the second client is still under way.
func begun(lease time.Duration, woken bool) (all []explorer.Node[word], held []explorer.Send[word]) {
	nodes := []explorer.Node[word]{newExplored(0, 0, founded(0), lease), newExplored(1, 0, founded(1), lease), newExplored(2, 0, founded(2), lease), newExploredClient(3, 0), newExploredClient(4, 0)}
	type flying struct {
		from int
		s    explorer.Send[word]
	}
	var air []flying
	second := false
	take := func(n int, o explorer.Out[word]) {
		for _, s := range o.Send {
			air = append(air, flying{n, s})
		}
	}
	settle := func() {
		for len(air) > 0 {
			m := air[0]
			air = air[1:]
			if second && m.s.To == 4 {
				held = append(held, m.s)
				continue
			}
			take(m.s.To, nodes[m.s.To].Receive(0, m.from, m.s.Msg))
		}
	}
	for n := range 3 {
		take(n, nodes[n].Start(0))
	}
	first := nodes[0].(*exploredVoter)
	first.v.nextElectionAt = 0
	take(0, first.step(0, Tick{}))
	settle()
	for n := 3; n < 5; n++ {
		take(n, nodes[n].Start(0))
		settle()
	}
	if woken {
		second = true
		take(0, first.Wake(first.v.Next()))
		settle()
	}
	return nodes, held
}

// started makes an explorer start a node where begun has left it, with what it had sent.
type started struct {
	explorer.Node[word]
	sent []explorer.Send[word]
}

func (s started) Start(now time.Duration) explorer.Out[word] {
	switch x := s.Node.(type) {
	case *exploredVoter:
		return explorer.Out[word]{Wake: x.v.Next(), Send: s.sent}
	case *exploredClient:
		return explorer.Out[word]{Wake: x.a.Next()}
	}
	return explorer.Out[word]{}
}

func inner(n explorer.Node[word]) explorer.Node[word] {
	if s, ok := n.(started); ok {
		return s.Node
	}
	return n
}

func exploring(lease time.Duration, woken bool, depth int, budget explorer.Budget) explorer.Question[word] {
	var fresh []explorer.Node[word]
	var held []explorer.Send[word]
	return explorer.Question[word]{Nodes: 5, Depth: depth, Skew: time.Millisecond, Budget: budget, Order: true,
		Show: func(m word) string { return m.what },
		Make: func(n, life int, last explorer.Node[word]) explorer.Node[word] {
			switch {
			case life == 0:
				if n == 0 { // a new path begins
					fresh, held = begun(lease, woken)
					return started{fresh[n], held}
				}
				return started{fresh[n], nil}
			case n < 3:
				return newExplored(n, life, *inner(last).(*exploredVoter).disk.Clone(), lease)
			}
			return newExploredClient(n, life)
		},
		Holds: func(nodes []explorer.Node[word], now []time.Duration) error {
			acts, all := 0, map[uint64]string{}
			for i, n := range nodes {
				switch x := inner(n).(type) {
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

// All orders of three voters and two clients, from the moment at which one of them holds the duty and the other waits, with a lost
// message, a copy, a crash and a standstill. Voters that count a shorter lease than holders do are found.
func TestExploreVoters(t *testing.T) {
	depth, states := 4, 20_000
	if *measure {
		depth, states = 6, 600_000
	}
	q := exploring(exploreTimes.Duration, false, depth, explorer.Budget{Losses: 1, Copies: 1, Crashes: 1, Pauses: 1})
	q.States = states
	answer, err := explorer.Explore(q)
	if err != nil {
		t.Fatal(err)
	}
	if t.Logf("%s", answer); answer.Broken != nil {
		t.Error(answer)
	}
	q = exploring(500*time.Millisecond, true, 9, explorer.Budget{})
	q.States = 60_000
	if answer, err = explorer.Explore(q); err != nil {
		t.Fatal(err)
	}
	if t.Logf("a lease of a quarter: %s", answer); !errors.Is(answer.Broken, errOverlap) {
		t.Error("voters that count a shorter lease were not found")
	}
}
