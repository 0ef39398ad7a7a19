package explorer

import (
	"errors"
	"fmt"
	"hash"
	"testing"
	"time"
)

// The toy: node 0 lends a lock for a time, the others ask for it. The lender counts the time from
// its grant; a holder must count from before it asked, and take off twice what two clocks may
// differ by: the one may be ahead as it is asked, and the other at the end.
type word struct {
	Kind string // ask, grant
	Nth  int    // of the asker, over all its lives
}

const (
	lent = 10 * time.Second
	skew = time.Second
)

type lender struct{ until time.Duration }

func (l *lender) Start(time.Duration) Out[word] { return Out[word]{Wake: l.until} }
func (l *lender) Receive(now time.Duration, from int, m word) (o Out[word]) {
	if l.until > 0 {
		o.Wake = l.until
		return o
	}
	l.until = now + lent
	return Out[word]{Send: []Send[word]{{from, word{"grant", m.Nth}}}, Wake: l.until}
}
func (l *lender) Wake(time.Duration) Out[word] {
	l.until = 0
	return Out[word]{}
}
func (l *lender) Write(h hash.Hash64) { fmt.Fprint(h, l.until) }

// fault is what the asker gets wrong.
type fault int

const (
	right       fault = iota
	fromGrant         // counts from when the grant came
	noSkew            // takes nothing off
	onceSkew          // takes off the difference once: this was the toy's own fault, until the explorer had seen it
	forgets           // the lender does not know after a crash what it has lent
	sameNames         // an asker that comes back asks under the names of its last life; the explorer found this, too
	takesCopies       // takes a grant for what it did not ask by now
)

type asker struct {
	wrong fault
	asked time.Duration
	until time.Duration
	asks  int
	life  int // its numbers are its own: what an earlier life asked for is not answered to this one
}

func (a *asker) Start(now time.Duration) Out[word] { return a.ask(now) }
func (a *asker) ask(now time.Duration) Out[word] {
	if a.asks == 2 {
		return Out[word]{}
	}
	a.asks++
	a.asked = now
	return Out[word]{Send: []Send[word]{{0, word{"ask", a.nth()}}}, Wake: now + 3*lent}
}
func (a *asker) Receive(now time.Duration, _ int, m word) Out[word] {
	from, off := a.asked, 2*skew
	if m.Nth != a.nth() && a.wrong != takesCopies {
		return Out[word]{Wake: now + 3*lent}
	}
	switch a.wrong {
	case fromGrant:
		from = now
	case noSkew:
		off = 0
	case onceSkew:
		off = skew
	}
	a.until = from + lent - off
	return Out[word]{Wake: a.until}
}
func (a *asker) nth() int { return 100*a.life + a.asks }

func (a *asker) Wake(now time.Duration) Out[word] {
	a.until = 0
	return a.ask(now)
}
func (a *asker) Write(h hash.Hash64) { fmt.Fprint(h, a.asked, a.until, a.asks, a.life) }

var errTwo = errors.New("two hold the lock")

func lock(wrong fault, b Budget, depth int) Question[word] {
	return Question[word]{Nodes: 3, Depth: depth, Budget: b, MaxSkew: skew,
		Make: func(n, life int, before Node[word]) Node[word] {
			switch {
			case n == 0 && before != nil && wrong != forgets:
				return before // what it has lent stands on its disk
			case n == 0:
				return &lender{}
			}
			a := &asker{wrong: wrong, life: life}
			if wrong == sameNames {
				a.life = 0
			}
			return a
		},
		Invariant: func(nodes []Node[word], now []time.Duration) error {
			hold := 0
			for i, n := range nodes[1:] {
				if a, ok := n.(*asker); ok && now[i+1] < a.until {
					hold++
				}
			}
			if hold > 1 {
				return errTwo
			}
			return nil
		}}
}

// The toy that is right holds to the depth, each of its faults is found by a shortest path.
func TestToy(t *testing.T) {
	for _, x := range []struct {
		name   string
		wrong  fault
		budget Budget
		depth  int
		length int // of the path to it, 0 where nothing is broken
	}{
		{"right", right, Budget{Losses: 1, Duplicates: 1, Pauses: 1, Crashes: 1}, 7, 0},
		{"counts from the grant", fromGrant, Budget{}, 9, 5},
		{"takes nothing off", noSkew, Budget{}, 9, 5},
		{"takes the difference off once", onceSkew, Budget{}, 9, 7},
		{"forgets", forgets, Budget{Crashes: 1}, 9, 6},
		{"the same names", sameNames, Budget{Crashes: 1}, 9, 8},
		{"takes any grant", takesCopies, Budget{}, 9, 7},
	} {
		t.Run(x.name, func(t *testing.T) {
			a, err := Explore(lock(x.wrong, x.budget, x.depth))
			if err != nil {
				t.Fatal(err)
			}
			t.Log(a.String())
			if x.length == 0 {
				if a.Violation != nil || !a.Complete || a.Depth != x.depth || a.States < 1000 {
					t.Errorf("got %s", a)
				}
			} else if !errors.Is(a.Violation, errTwo) || len(a.Path) != x.length {
				t.Errorf("got %s", a)
			}
		})
	}
}

// A bound on states is kept, and said.
func TestBound(t *testing.T) {
	q := lock(right, Budget{Losses: 2, Duplicates: 2}, 50)
	q.MaxStates = 500
	if a, err := Explore(q); err != nil || a.Complete || a.States != 500 || a.Depth >= 50 {
		t.Errorf("%v, %s", err, a)
	}
	if _, err := Explore(Question[word]{}); err == nil {
		t.Error("nothing to explore is explored")
	}
}
