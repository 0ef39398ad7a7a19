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

func a(n string) Router { return Router{Name: n, Boot: 1} }

// story applies commands and tells what became of them, a line each.
func story(t *testing.T, table *Table, all ...Command) (lines []string) {
	t.Helper()
	for i, c := range all {
		answer, changes := table.Apply(uint64(10*(i+1)), c)
		line := fmt.Sprintf("%v", answer.OK)
		for _, x := range changes {
			word := "lost by"
			if x.Granted {
				word = "to"
			}
			line += fmt.Sprintf("; %s %s %d %s %d (%s)", x.Grant.Role, word, x.Grant.Holder.Boot, x.Grant.Holder.Name, x.Grant.Token, x.Reason)
		}
		lines = append(lines, line)
	}
	return lines
}

// A duty goes from hand to hand: asked, waited for, yielded, handed to whom it was meant for past who waits, expired, asked again by a
// later life.
func TestTable(t *testing.T) {
	table, err := NewTable([]Role{{Name: "scribe"}, {Name: "drain", MaxHolders: 2}}, 5)
	if err != nil {
		t.Fatal(err)
	}
	got := story(t, table,
		Command{Kind: Acquire, Role: "scribe", Router: a("r1")},
		Command{Kind: Acquire, Role: "scribe", Router: a("r2")}, // waits
		Command{Kind: Acquire, Role: "scribe", Router: a("r3")}, // waits
		Command{Kind: Acquire, Role: "scribe", Router: a("r1")}, // has not heard
		Command{Kind: Renew, Role: "scribe", Router: a("r1"), Token: 10},
		Command{Kind: Expire, Role: "scribe", Token: 10}, // renewed since
		Command{Kind: Renew, Role: "scribe", Router: a("r2"), Token: 10},
		Command{Kind: Transfer, Role: "scribe", Router: a("r1"), Token: 10, To: "r3"},
		Command{Kind: Release, Role: "scribe", Router: a("r1"), Token: 10}, // came twice
		Command{Kind: Expire, Role: "scribe", Token: 80},
		Command{Kind: Acquire, Role: "scribe", Router: Router{Name: "r2", Boot: 2}}, // another life
		Command{Kind: Renew, Role: "scribe", Router: a("r2"), Token: 100},
		Command{Kind: Transfer, Role: "scribe", Router: Router{Name: "r2", Boot: 2}, Token: 110, To: "r9"}, // who is not there
		Command{Kind: Acquire, Role: "scribe", Router: a("r4")},
		Command{Kind: Dequeue, Role: "scribe", To: "r9"},
		Command{Kind: Acquire, Role: "drain", Router: a("r1")},
		Command{Kind: Acquire, Role: "drain", Router: a("r2")},
		Command{Kind: Acquire, Role: "drain", Router: a("r3")},
		Command{Kind: Acquire, Role: "nothing", Router: a("r3")},
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
	// A wish is for the holder with its token, or else for the first.
	for place, x := range []struct {
		token, of uint64
	}{{170, 170}, {0, 160}, {999, 0}} {
		answer, _ := table.Apply(uint64(1000+place), Command{Kind: RequestTransfer, Role: "drain", Token: x.token, To: "r3"})
		if answer.OK != (x.of > 0) || answer.Grant.Token != x.of || answer.OK && answer.Grant.TransferTo != "r3" {
			t.Errorf("a wish for token %d: %+v", x.token, answer)
		}
	}
}

// Whatever is applied in whatever order: no duty has more holders than it allows, no router two grants of it, tokens only grow, and
// two tables that apply the same are the same.
func TestTableHolds(t *testing.T) {
	duties := []Role{{Name: "one"}, {Name: "two", MaxHolders: 2}}
	rapid.Check(t, func(t *rapid.T) {
		x, _ := NewTable(duties, 0)
		y, _ := NewTable(duties, 0)
		last, place := uint64(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			place += uint64(rapid.IntRange(1, 3).Draw(t, "places"))
			c := Command{Kind: CommandKind(rapid.IntRange(0, 6).Draw(t, "kind")), Role: rapid.SampledFrom([]string{"one", "two", "none"}).Draw(t, "duty"),
				Router: Router{Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "who"), Boot: uint32(rapid.IntRange(1, 2).Draw(t, "boot"))},
				Token:  last - uint64(rapid.IntRange(0, 2).Draw(t, "behind"))&min(last, 3), Renewals: uint64(rapid.IntRange(0, 2).Draw(t, "renewals")),
				To: rapid.SampledFrom([]string{"", "a", "d"}).Draw(t, "to")}
			_, changes := x.Apply(place, c)
			y.Apply(place, c)
			for _, ch := range changes {
				if ch.Granted {
					if ch.Grant.Token <= last {
						t.Fatalf("token %d after %d", ch.Grant.Token, last)
					}
					last = ch.Grant.Token
				}
			}
			count, who := map[string]int{}, map[string]bool{}
			for _, g := range x.Grants() {
				count[g.Role]++
				if key := g.Role + g.Holder.Name; who[key] {
					t.Fatalf("%s holds %s twice", g.Holder.Name, g.Role)
				} else {
					who[key] = true
				}
			}
			if count["one"] > 1 || count["two"] > 2 {
				t.Fatalf("%v holders", count)
			}
			var sx, sy strings.Builder
			x.WriteState(&sx)
			y.WriteState(&sy)
			if sx.String() != sy.String() {
				t.Fatal("two tables differ")
			}
		}
	})
}

// A holder counts from before it asked, is not led by old answers, and stops when in doubt; a fence lets nothing lower pass.
func TestHolderAndFence(t *testing.T) {
	h := NewLease(DefaultTiming)
	s := time.Second
	begin := func(now time.Duration, token uint64, within time.Duration) {
		t.Helper()
		got, left, ok := h.Check(now)
		if got != token || left != within || ok != (token > 0) {
			t.Errorf("at %v: %d, %v, %v; want %d, %v", now, got, left, ok, token, within)
		}
	}
	begin(5*s, 0, 0)
	h.Extend(5*s, Grant{Token: 7})
	begin(5*s+50*time.Millisecond, 7, 1940*time.Millisecond)
	begin(4*s, 0, 0) // its clock is behind where the lease began
	begin(6*s+889*time.Millisecond, 7, 101*time.Millisecond)
	begin(6*s+890*time.Millisecond, 0, 0) // the margin
	h.Extend(6*s, Grant{Token: 7, Renewals: 1})
	h.Extend(5*s, Grant{Token: 7}) // an old answer
	h.Extend(9*s, Grant{Token: 3}) // of an old grant
	begin(7*s, 7, 990*time.Millisecond)
	h.Revoke(6)
	begin(7*s, 7, 990*time.Millisecond)
	h.Revoke(7)
	begin(7*s, 0, 0)
	h.Extend(8*s, Grant{Token: 9})
	begin(8*s, 9, 1990*time.Millisecond)

	var f TokenGuard
	for i, x := range []struct {
		duty  string
		token uint64
		pass  bool
	}{{"a", 7, true}, {"a", 7, true}, {"b", 3, true}, {"a", 9, true}, {"a", 8, false}, {"b", 0, false}, {"b", 4, true}} {
		if got := f.Accept(x.duty, x.token); got != x.pass {
			t.Errorf("%d: %+v: got %v", i, x, got)
		}
	}
}

// word is what goes between the sequencer and a holder in the explorer.
type word struct {
	Kind  CommandKind
	Nth   int // of the holder's requests
	OK    bool
	Grant Grant
}

// flaw is what is done wrong in the explorer.
type flaw int

const (
	none        flaw = iota
	noWait           // the sequencer gives a duty on before a lease has passed
	fromAnswer       // the holder counts from the answer
	noAllowance      // clocks are taken to be the same
)

// sequencer applies commands in the order in which they come, and expires grants by its own clock.
type sequencer struct {
	t     *Table
	place uint64
	since map[uint64]time.Duration // by token, the last renewal
	flaw  flaw
}

var exploring = Timing{Duration: 2 * time.Second, ClockAllowance: 12 * time.Millisecond}

func (s *sequencer) Start(time.Duration) explorer.Out[word] { return explorer.Out[word]{} }

func (s *sequencer) apply(now time.Duration, c Command) (answer Result) {
	s.place++
	answer, changes := s.t.Apply(s.place, c)
	for _, x := range changes {
		if x.Granted {
			s.since[x.Grant.Token] = now
		} else {
			delete(s.since, x.Grant.Token)
		}
	}
	if c.Kind == Renew && answer.OK {
		s.since[c.Token] = now
	}
	return answer
}

func (s *sequencer) out(o explorer.Out[word]) explorer.Out[word] {
	lease := exploring.Duration
	if s.flaw == noWait {
		lease /= 2
	}
	for _, g := range s.t.Grants() {
		if due := s.since[g.Token] + lease; o.Wake == 0 || due < o.Wake {
			o.Wake = due
		}
	}
	return o
}

func (s *sequencer) Receive(now time.Duration, from int, m word) explorer.Out[word] {
	answer := s.apply(now, Command{Kind: m.Kind, Role: "d", Router: Router{Name: fmt.Sprint(from), Boot: 1}, Token: m.Grant.Token})
	return s.out(explorer.Out[word]{Send: []explorer.Send[word]{{To: from, Msg: word{m.Kind, m.Nth, answer.OK, answer.Grant}}}})
}

func (s *sequencer) Wake(now time.Duration) explorer.Out[word] {
	lease := exploring.Duration
	if s.flaw == noWait {
		lease /= 2
	}
	for _, g := range s.t.Grants() {
		if now >= s.since[g.Token]+lease {
			s.apply(now, Command{Kind: Expire, Role: "d", Token: g.Token, Renewals: g.Renewals})
		}
	}
	return s.out(explorer.Out[word]{})
}

func (s *sequencer) Write(h hash.Hash64) {
	s.t.WriteState(h)
	fmt.Fprint(h, s.place, s.since)
}

// client wants the duty, renews it a lease later, and asks again while it has not.
type client struct {
	h    *Lease
	nth  int
	sent map[int]time.Duration
	flaw flaw
}

func (c *client) request(now time.Duration, kind CommandKind, g Grant) explorer.Out[word] {
	c.nth++
	c.sent[c.nth] = now
	return explorer.Out[word]{Send: []explorer.Send[word]{{To: 0, Msg: word{Kind: kind, Nth: c.nth, Grant: g}}}, Wake: now + exploring.Duration}
}

func (c *client) Start(now time.Duration) explorer.Out[word] { return c.request(now, Acquire, Grant{}) }
func (c *client) Wake(now time.Duration) explorer.Out[word] {
	if g, held := c.h.Grant(); held {
		return c.request(now, Renew, g)
	}
	return c.request(now, Acquire, Grant{})
}
func (c *client) Receive(now time.Duration, _ int, m word) explorer.Out[word] {
	sent := c.sent[m.Nth]
	if c.flaw == fromAnswer {
		sent = now
	}
	g, _ := c.h.Grant()
	switch {
	case m.OK:
		c.h.Extend(sent, m.Grant)
	case m.Kind == Renew:
		c.h.Revoke(g.Token)
	}
	return explorer.Out[word]{Wake: now + exploring.Duration}
}
func (c *client) Write(h hash.Hash64) { fmt.Fprint(h, *c.h, c.nth, c.sent) }

var errTwo = errors.New("two act under the duty")

// All orders of a sequencer and two holders whose clocks differ by 5 ms at most, with a lost message, a copy and a standstill: no two
// may act at one moment. Each flaw is found.
func TestExploreLeases(t *testing.T) {
	for _, x := range []struct {
		flaw  flaw
		depth int
	}{{none, 6}, {noWait, 7}, {fromAnswer, 7}, {noAllowance, 7}} {
		times := exploring
		if x.flaw == noAllowance {
			times.ClockAllowance = 0
		}
		q := explorer.Question[word]{Nodes: 3, Depth: x.depth, Skew: 5 * time.Millisecond, Budget: explorer.Budget{Losses: 1, Copies: 1, Pauses: 1}, States: 600_000,
			Make: func(n, life int, _ explorer.Node[word]) explorer.Node[word] {
				if n == 0 {
					table, _ := NewTable([]Role{{Name: "d"}}, 0)
					return &sequencer{t: table, since: map[uint64]time.Duration{}, flaw: x.flaw}
				}
				return &client{h: NewLease(times), sent: map[int]time.Duration{}, flaw: x.flaw}
			},
			Holds: func(nodes []explorer.Node[word], now []time.Duration) error {
				acts := 0
				for i, n := range nodes[1:] {
					if c, ok := n.(*client); ok {
						if _, _, may := c.h.Check(now[i+1]); may {
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
		if found := errors.Is(answer.Broken, errTwo); found != (x.flaw != none) {
			t.Errorf("flaw %d: %s", x.flaw, answer)
		}
	}
}
