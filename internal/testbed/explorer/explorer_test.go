package explorer

import (
	"errors"
	"fmt"
	"hash"
	"testing"
	"time"
)

// message is a message of a toy lease protocol. Node 0 is a lock server, and the other nodes are
// clients that request the lock. The server counts the lease from its grant. A client must count
// the lease from before its request, and must subtract twice the maximum skew of two clocks: one
// clock may be ahead when the request is sent, and the other one when the lease ends.
type message struct {
	Kind      string // "ask" or "grant"
	RequestID int    // unique among the requests of a client in all of its incarnations
}

const (
	leaseDuration = 10 * time.Second
	skew          = time.Second
)

type lockServer struct{ until time.Duration }

func (l *lockServer) Start(time.Duration) Out[message] { return Out[message]{Wake: l.until} }
func (l *lockServer) Receive(now time.Duration, from int, m message) (o Out[message]) {
	if l.until > 0 {
		o.Wake = l.until
		return o
	}
	l.until = now + leaseDuration
	return Out[message]{Send: []Send[message]{{from, message{"grant", m.RequestID}}}, Wake: l.until}
}
func (l *lockServer) Wake(time.Duration) Out[message] {
	l.until = 0
	return Out[message]{}
}
func (l *lockServer) Write(h hash.Hash64) { fmt.Fprint(h, l.until) }

// bug is an error in the toy protocol.
type bug int

const (
	noBug             bug = iota
	countsFromGrant       // a client counts the lease from the arrival of the grant
	ignoresSkew           // a client subtracts nothing for clock skew
	subtractsSkewOnce     // a client subtracts the maximum skew once; the explorer found this error in the first version of the toy
	forgetsGrants         // a server does not know its grants after a crash
	reusesRequestIDs      // a restarted client reuses the request IDs of its last incarnation; the explorer found this error, too
	acceptsAnyGrant       // a client accepts a grant for an earlier request
)

type lockClient struct {
	bug         bug
	sentAt      time.Duration
	until       time.Duration
	sent        int
	incarnation int // part of each request ID, so that the client ignores grants for requests of an earlier incarnation
}

func (a *lockClient) Start(now time.Duration) Out[message] { return a.ask(now) }
func (a *lockClient) ask(now time.Duration) Out[message] {
	if a.sent == 2 {
		return Out[message]{}
	}
	a.sent++
	a.sentAt = now
	return Out[message]{Send: []Send[message]{{0, message{"ask", a.requestID()}}}, Wake: now + 3*leaseDuration}
}
func (a *lockClient) Receive(now time.Duration, _ int, m message) Out[message] {
	from, off := a.sentAt, 2*skew
	if m.RequestID != a.requestID() && a.bug != acceptsAnyGrant {
		return Out[message]{Wake: now + 3*leaseDuration}
	}
	switch a.bug {
	case countsFromGrant:
		from = now
	case ignoresSkew:
		off = 0
	case subtractsSkewOnce:
		off = skew
	}
	a.until = from + leaseDuration - off
	return Out[message]{Wake: a.until}
}
func (a *lockClient) requestID() int { return 100*a.incarnation + a.sent }

func (a *lockClient) Wake(now time.Duration) Out[message] {
	a.until = 0
	return a.ask(now)
}
func (a *lockClient) Write(h hash.Hash64) { fmt.Fprint(h, a.sentAt, a.until, a.sent, a.incarnation) }

var errTwoHolders = errors.New("two clients hold the lock")

func lockConfig(wrong bug, b Budget, depth int) Config[message] {
	return Config[message]{Nodes: 3, Depth: depth, Budget: b, MaxSkew: skew,
		Make: func(n, incarnation int, previous Node[message]) Node[message] {
			switch {
			case n == 0 && previous != nil && wrong != forgetsGrants:
				return previous // a server has its grants on disk
			case n == 0:
				return &lockServer{}
			}
			a := &lockClient{bug: wrong, incarnation: incarnation}
			if wrong == reusesRequestIDs {
				a.incarnation = 0
			}
			return a
		},
		Invariant: func(nodes []Node[message], now []time.Duration) error {
			holders := 0
			for i, n := range nodes[1:] {
				if a, ok := n.(*lockClient); ok && now[i+1] < a.until {
					holders++
				}
			}
			if holders > 1 {
				return errTwoHolders
			}
			return nil
		}}
}

// The correct toy protocol has no violation up to the depth. The explorer finds each planted bug by
// a shortest path of a known length.
func TestToy(t *testing.T) {
	for _, x := range []struct {
		name   string
		wrong  bug
		budget Budget
		depth  int
		length int // of the path to the violation, 0 for no violation
	}{
		{"right", noBug, Budget{Losses: 1, Duplicates: 1, Pauses: 1, Crashes: 1}, 7, 0},
		{"counts from the grant", countsFromGrant, Budget{}, 9, 5},
		{"takes nothing off", ignoresSkew, Budget{}, 9, 5},
		{"takes the difference off once", subtractsSkewOnce, Budget{}, 9, 7},
		{"forgets", forgetsGrants, Budget{Crashes: 1}, 9, 6},
		{"the same names", reusesRequestIDs, Budget{Crashes: 1}, 9, 8},
		{"takes any grant", acceptsAnyGrant, Budget{}, 9, 7},
	} {
		t.Run(x.name, func(t *testing.T) {
			a, err := Explore(lockConfig(x.wrong, x.budget, x.depth))
			if err != nil {
				t.Fatal(err)
			}
			t.Log(a.String())
			if x.length == 0 {
				if a.Violation != nil || !a.Complete || a.Depth != x.depth || a.States < 1000 {
					t.Errorf("got %s", a)
				}
			} else if !errors.Is(a.Violation, errTwoHolders) || len(a.Path) != x.length {
				t.Errorf("got %s", a)
			}
		})
	}
}

// An exploration stops at the maximum number of states and reports that it is incomplete. A
// configuration without the required fields is an error.
func TestBound(t *testing.T) {
	q := lockConfig(noBug, Budget{Losses: 2, Duplicates: 2}, 50)
	q.MaxStates = 500
	if a, err := Explore(q); err != nil || a.Complete || a.States != 500 || a.Depth >= 50 {
		t.Errorf("%v, %s", err, a)
	}
	if _, err := Explore(Config[message]{}); err == nil {
		t.Error("Explore accepts an empty configuration")
	}
}
