package lease

import (
	"errors"
	"fmt"
	"hash"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"reachspread/internal/testbed/explorer"
)

func routerNamed(n string) Router { return Router{Name: n, Boot: 1} }

// applyAll applies commands at indexes that are 10 apart. It returns one line per command, with the
// result and the grants that the command made or ended.
func applyAll(t *testing.T, table *Table, all ...Command) (lines []string) {
	t.Helper()
	for i, c := range all {
		answer, changes := table.Apply(uint64(10*(i+1)), c)
		line := fmt.Sprintf("%v", answer.OK)
		for _, x := range changes {
			verb := "lost by"
			if x.Granted {
				verb = "to"
			}
			line += fmt.Sprintf("; %s %s %d %s %d (%s)", x.Grant.Role, verb, x.Grant.Holder.Boot, x.Grant.Holder.Name, x.Grant.Token, x.Reason)
		}
		lines = append(lines, line)
	}
	return lines
}

// A role passes from router to router: routers acquire it, wait in its queue, release it, transfer
// it to a named router ahead of the other queued routers, let it expire, and acquire it again in a
// later process.
func TestRolePassesBetweenRouters(t *testing.T) {
	table, err := NewTable([]Role{{Name: "scribe"}, {Name: "drain", MaxHolders: 2}}, 5)
	if err != nil {
		t.Fatal(err)
	}
	got := applyAll(t, table,
		Command{Kind: Acquire, Role: "scribe", Router: routerNamed("r1")},
		Command{Kind: Acquire, Role: "scribe", Router: routerNamed("r2")}, // is queued
		Command{Kind: Acquire, Role: "scribe", Router: routerNamed("r3")}, // is queued
		Command{Kind: Acquire, Role: "scribe", Router: routerNamed("r1")}, // did not receive the grant
		Command{Kind: Renew, Role: "scribe", Router: routerNamed("r1"), Token: 10},
		Command{Kind: Expire, Role: "scribe", Token: 10}, // the grant has been renewed since
		Command{Kind: Renew, Role: "scribe", Router: routerNamed("r2"), Token: 10},
		Command{Kind: Transfer, Role: "scribe", Router: routerNamed("r1"), Token: 10, To: "r3"},
		Command{Kind: Release, Role: "scribe", Router: routerNamed("r1"), Token: 10}, // a duplicate
		Command{Kind: Expire, Role: "scribe", Token: 80},
		Command{Kind: Acquire, Role: "scribe", Router: Router{Name: "r2", Boot: 2}}, // a later process
		Command{Kind: Renew, Role: "scribe", Router: routerNamed("r2"), Token: 100},
		Command{Kind: Transfer, Role: "scribe", Router: Router{Name: "r2", Boot: 2}, Token: 110, To: "r9"}, // r9 is not queued
		Command{Kind: Acquire, Role: "scribe", Router: routerNamed("r4")},
		Command{Kind: Dequeue, Role: "scribe", To: "r9"},
		Command{Kind: Acquire, Role: "drain", Router: routerNamed("r1")},
		Command{Kind: Acquire, Role: "drain", Router: routerNamed("r2")},
		Command{Kind: Acquire, Role: "drain", Router: routerNamed("r3")},
		Command{Kind: Acquire, Role: "nothing", Router: routerNamed("r3")},
	)
	want := []string{
		"true; scribe to 1 r1 10 (asked)", "false", "false", "true", "true", "false", "false",
		"true; scribe lost by 1 r1 10 (handed over); scribe to 1 r3 80 (handed over)", "false",
		"true; scribe lost by 1 r3 80 (expired); scribe to 1 r2 100 (in turn)",
		"true; scribe lost by 1 r2 100 (again); scribe to 2 r2 110 (again)", "false",
		"true; scribe lost by 2 r2 110 (handed over)", "false", "true; scribe to 1 r4 150 (in turn)",
		"true; drain to 1 r1 160 (asked)", "true; drain to 1 r2 170 (asked)", "false", "false",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	// RequestTransfer applies to the grant with its token, or with token 0 to the first grant.
	for i, x := range []struct {
		token, of uint64
	}{{170, 170}, {0, 160}, {999, 0}} {
		answer, _ := table.Apply(uint64(1000+i), Command{Kind: RequestTransfer, Role: "drain", Token: x.token, To: "r3"})
		if answer.OK != (x.of > 0) || answer.Grant.Token != x.of || answer.OK && answer.Grant.TransferTo != "r3" {
			t.Errorf("RequestTransfer for token %d: unexpected result %+v", x.token, answer)
		}
	}
}

// For any commands in any order: no role has more than MaxHolders grants, no router has two grants
// of a role, tokens only grow, and two tables that apply the same commands have the same state.
func TestTableStaysConsistentUnderAnyCommands(t *testing.T) {
	roles := []Role{{Name: "one"}, {Name: "two", MaxHolders: 2}}
	rapid.Check(t, func(t *rapid.T) {
		x, _ := NewTable(roles, 0)
		y, _ := NewTable(roles, 0)
		last, index := uint64(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			index += uint64(rapid.IntRange(1, 3).Draw(t, "indexes"))
			c := Command{Kind: CommandKind(rapid.IntRange(0, 6).Draw(t, "kind")), Role: rapid.SampledFrom([]string{"one", "two", "none"}).Draw(t, "role"),
				Router: Router{Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "router"), Boot: uint32(rapid.IntRange(1, 2).Draw(t, "boot"))},
				Token:  last - uint64(rapid.IntRange(0, 2).Draw(t, "behind"))&min(last, 3), Renewals: uint64(rapid.IntRange(0, 2).Draw(t, "renewals")),
				To: rapid.SampledFrom([]string{"", "a", "d"}).Draw(t, "to")}
			_, changes := x.Apply(index, c)
			y.Apply(index, c)
			for _, ch := range changes {
				if ch.Granted {
					if ch.Grant.Token <= last {
						t.Fatalf("granted token %d after token %d", ch.Grant.Token, last)
					}
					last = ch.Grant.Token
				}
			}
			count, granted := map[string]int{}, map[string]bool{}
			for _, g := range x.Grants() {
				count[g.Role]++
				if key := g.Role + g.Holder.Name; granted[key] {
					t.Fatalf("router %s has two grants of role %s", g.Holder.Name, g.Role)
				} else {
					granted[key] = true
				}
			}
			if count["one"] > 1 || count["two"] > 2 {
				t.Fatalf("grants by role: %v, want at most 1 of one and 2 of two", count)
			}
			var sx, sy strings.Builder
			x.WriteState(&sx)
			y.WriteState(&sy)
			if sx.String() != sy.String() {
				t.Fatal("two tables that applied the same commands have different states")
			}
		}
	})
}

// A lease counts from the time of the request. Replies to older requests or for older grants do not
// change it. Check fails while the clock shows a time before the start of the lease.
func TestLeaseCountsFromBeforeTheRequest(t *testing.T) {
	l := NewLease(DefaultTiming)
	s := time.Second
	check := func(now time.Duration, token uint64, within time.Duration) {
		t.Helper()
		got, left, ok := l.Check(now)
		if got != token || left != within || ok != (token > 0) {
			t.Errorf("Check at %v: token %d, remaining %v, ok %v; want token %d, remaining %v", now, got, left, ok, token, within)
		}
	}
	check(5*s, 0, 0)
	l.Extend(5*s, Grant{Token: 7})
	check(5*s+50*time.Millisecond, 7, 1940*time.Millisecond)
	check(4*s, 0, 0) // the clock shows a time before the start of the lease
	check(6*s+889*time.Millisecond, 7, 101*time.Millisecond)
	check(6*s+890*time.Millisecond, 0, 0) // the margin has begun
	l.Extend(6*s, Grant{Token: 7, Renewals: 1})
	l.Extend(5*s, Grant{Token: 7}) // a reply to an older request
	l.Extend(9*s, Grant{Token: 3}) // a reply for an older grant
	check(7*s, 7, 990*time.Millisecond)
	l.Revoke(6)
	check(7*s, 7, 990*time.Millisecond)
	l.Revoke(7)
	check(7*s, 0, 0)
	l.Extend(8*s, Grant{Token: 9})
	check(8*s, 9, 1990*time.Millisecond)
}

// A TokenGuard rejects a token that is lower than an accepted token of the same role.
func TestTokenGuardRejectsLowerTokens(t *testing.T) {
	var guard TokenGuard
	for i, x := range []struct {
		role   string
		token  uint64
		accept bool
	}{{"a", 7, true}, {"a", 7, true}, {"b", 3, true}, {"a", 9, true}, {"a", 8, false}, {"b", 0, false}, {"b", 4, true}} {
		if got := guard.Accept(x.role, x.token); got != x.accept {
			t.Errorf("case %d, %+v: Accept returned %v", i, x, got)
		}
	}
}

// message is a request or a reply between the sequencer and a client in the explorer.
type message struct {
	Kind  CommandKind
	Nth   int // number of the request among the client's requests
	OK    bool
	Grant Grant
}

// flaw is a fault that a test plants in the protocol, to check that the explorer finds it.
type flaw int

const (
	none             flaw = iota
	expiresEarly          // the sequencer expires a grant after half of its lease
	countsFromReply       // the client counts its lease from the reply instead of the request
	noClockAllowance      // the client allows for no difference between clocks
)

// sequencer stands in for the voters: it applies commands to a table in the order of their arrival,
// and expires grants on its own clock.
type sequencer struct {
	t         *Table
	index     uint64
	renewedAt map[uint64]time.Duration // time of the grant or its last renewal, by token
	flaw      flaw
}

var exploredTiming = Timing{Duration: 2 * time.Second, ClockAllowance: 12 * time.Millisecond}

func (s *sequencer) Start(time.Duration) explorer.Out[message] { return explorer.Out[message]{} }

func (s *sequencer) apply(now time.Duration, c Command) (answer Result) {
	s.index++
	answer, changes := s.t.Apply(s.index, c)
	for _, x := range changes {
		if x.Granted {
			s.renewedAt[x.Grant.Token] = now
		} else {
			delete(s.renewedAt, x.Grant.Token)
		}
	}
	if c.Kind == Renew && answer.OK {
		s.renewedAt[c.Token] = now
	}
	return answer
}

func (s *sequencer) out(o explorer.Out[message]) explorer.Out[message] {
	lease := exploredTiming.Duration
	if s.flaw == expiresEarly {
		lease /= 2
	}
	for _, g := range s.t.Grants() {
		if due := s.renewedAt[g.Token] + lease; o.Wake == 0 || due < o.Wake {
			o.Wake = due
		}
	}
	return o
}

func (s *sequencer) Receive(now time.Duration, from int, m message) explorer.Out[message] {
	answer := s.apply(now, Command{Kind: m.Kind, Role: "d", Router: Router{Name: fmt.Sprint(from), Boot: 1}, Token: m.Grant.Token})
	return s.out(explorer.Out[message]{Send: []explorer.Send[message]{{To: from, Msg: message{m.Kind, m.Nth, answer.OK, answer.Grant}}}})
}

func (s *sequencer) Wake(now time.Duration) explorer.Out[message] {
	lease := exploredTiming.Duration
	if s.flaw == expiresEarly {
		lease /= 2
	}
	for _, g := range s.t.Grants() {
		if now >= s.renewedAt[g.Token]+lease {
			s.apply(now, Command{Kind: Expire, Role: "d", Token: g.Token, Renewals: g.Renewals})
		}
	}
	return s.out(explorer.Out[message]{})
}

func (s *sequencer) Write(h hash.Hash64) {
	s.t.WriteState(h)
	fmt.Fprint(h, s.index, s.renewedAt)
}

// client acquires the role. Once per lease duration after its last message, it renews the role if it
// holds the role, and otherwise tries to acquire the role again.
type client struct {
	lease *Lease
	nth   int
	sent  map[int]time.Duration
	flaw  flaw
}

func (c *client) request(now time.Duration, kind CommandKind, g Grant) explorer.Out[message] {
	c.nth++
	c.sent[c.nth] = now
	return explorer.Out[message]{Send: []explorer.Send[message]{{To: 0, Msg: message{Kind: kind, Nth: c.nth, Grant: g}}}, Wake: now + exploredTiming.Duration}
}

func (c *client) Start(now time.Duration) explorer.Out[message] {
	return c.request(now, Acquire, Grant{})
}
func (c *client) Wake(now time.Duration) explorer.Out[message] {
	if g, granted := c.lease.Grant(); granted {
		return c.request(now, Renew, g)
	}
	return c.request(now, Acquire, Grant{})
}
func (c *client) Receive(now time.Duration, _ int, m message) explorer.Out[message] {
	sent := c.sent[m.Nth]
	if c.flaw == countsFromReply {
		sent = now
	}
	g, _ := c.lease.Grant()
	switch {
	case m.OK:
		c.lease.Extend(sent, m.Grant)
	case m.Kind == Renew:
		c.lease.Revoke(g.Token)
	}
	return explorer.Out[message]{Wake: now + exploredTiming.Duration}
}
func (c *client) Write(h hash.Hash64) { fmt.Fprint(h, *c.lease, c.nth, c.sent) }

var errTwo = errors.New("two clients may work under the role at the same time")

// The explorer tries the event orders of a sequencer and two clients up to a depth. Their clocks
// differ by at most 5 ms, and one message may be lost, one may be duplicated and one node may pause.
// The two clients must never hold the role at the same time. The explorer must find each planted
// flaw.
func TestNoTwoActUnderOneRoleInAnyOrder(t *testing.T) {
	for _, x := range []struct {
		flaw  flaw
		depth int
	}{{none, 6}, {expiresEarly, 7}, {countsFromReply, 7}, {noClockAllowance, 7}} {
		timing := exploredTiming
		if x.flaw == noClockAllowance {
			timing.ClockAllowance = 0
		}
		q := explorer.Config[message]{Nodes: 3, Depth: x.depth, MaxSkew: 5 * time.Millisecond, Budget: explorer.Budget{Losses: 1, Duplicates: 1, Pauses: 1}, MaxStates: 600_000,
			Make: func(n, process int, _ explorer.Node[message]) explorer.Node[message] {
				if n == 0 {
					table, _ := NewTable([]Role{{Name: "d"}}, 0)
					return &sequencer{t: table, renewedAt: map[uint64]time.Duration{}, flaw: x.flaw}
				}
				return &client{lease: NewLease(timing), sent: map[int]time.Duration{}, flaw: x.flaw}
			},
			Invariant: func(nodes []explorer.Node[message], now []time.Duration) error {
				acts := 0
				for i, n := range nodes[1:] {
					if c, ok := n.(*client); ok {
						if _, _, may := c.lease.Check(now[i+1]); may {
							acts++
						}
					}
				}
				if acts > 1 {
					return errTwo
				}
				return nil
			}}
		answer, err := explorer.Explore(q)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("flaw %d: %s", x.flaw, answer)
		if found := errors.Is(answer.Violation, errTwo); found != (x.flaw != none) {
			t.Errorf("flaw %d: unexpected result: %s", x.flaw, answer)
		}
	}
}
