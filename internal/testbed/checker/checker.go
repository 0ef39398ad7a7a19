// Package checker holds checkers over histories. Each takes what happened, on the rig's processes
// or in the lab's virtual time, and says what should not have; each stands in a file of its own and
// has a test with a planted violation that it must find. The package is pure.
//
// A checker knows what a fault excuses, and no more than that: a router that was killed owes no
// answer to what it had taken, one beside it does.
package checker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"reachspread/internal/testbed/history"
)

// Verdict is one thing that should not have happened.
type Verdict struct {
	Checker string
	T       int64 // nanoseconds since the play began
	Who, ID string
	Text    string
}

// String is one line.
func (v *Verdict) String() string {
	return fmt.Sprintf("%s: %s at %v: %s", v.Checker, strings.TrimSpace(v.Who+" "+v.ID), time.Duration(v.T).Round(time.Millisecond), v.Text)
}

// Checker is one rule.
type Checker struct {
	Name, Rule string
	Check      func(*Case) []Verdict
}

// Checkers has all of them, in the order in which they are told.
var Checkers = []Checker{
	{"crash", "no process ends or fails to start by itself", crash},
	{"hang", "a process answers its management address or its clients, unless something was done to it", hang},
	{"answer", "each request gets one final answer before its client gives up", answer},
	{"attempt", "never two attempts of one request out", attempt},
	{"drain", "nothing new to a draining or gone host 500 ms after the list has said so", drain},
	{"cold", "no cold host is pushed over", slowStart},
	{"limits", "a process stays within its memory and descriptors, a datagram within 256 bytes", limits},
	{"leave", "after SIGTERM a process ends with status 0 and in time", leave},
	{"return", "once the last fault is over all routers are ready, and requests are served as before", returned},
	{"view", "views only grow wiser: no incarnation falls, nobody is missing from their own view, nobody well from another's, all are the same in the end", views},
	{"duty", "no two routers act under one duty at a time, and tokens only grow, by the receivers' records and the holders' looks at their leases", duties},
	{"linear", "operations take effect at one moment between their start and their end", linear},
}

// Judge has all checkers look at a history, and returns what they found. Each tells of so many at
// most.
func Judge(events []history.Event) []Verdict {
	c := NewCase(events)
	var all []Verdict
	for _, k := range Checkers {
		found := k.Check(c)
		slices.SortStableFunc(found, func(a, b Verdict) int { return int(a.T - b.T) })
		all = append(all, found[:min(len(found), mostOfOne)]...)
		if more := len(found) - mostOfOne; more > 0 {
			all = append(all, Verdict{Checker: k.Name, T: found[mostOfOne].T, Text: fmt.Sprintf("and %d more", more)})
		}
	}
	return all
}

// mostOfOne bounds what one checker tells of one history.
const mostOfOne = 20

// Case is a history with what checkers ask of it.
type Case struct {
	Play   history.Play
	Events []history.Event
	Faults []Struck
	End    int64 // of the history

	requests map[string]*Request
	ids      []string // of requests, in the order of their asking
}

// Struck is a fault as it was played.
type Struck struct {
	Kind     string
	N        int
	From, To int64 // To is the history's end for one that was never ended
	Routers  []int
	Hosts    []int
	Links    []string
	All      bool // the links of every router, as a partition strikes them
}

// Request is a client's request with all that is known of it.
type Request struct {
	Ask      *history.Event
	First    int64 // of its first event, -1 for none
	Answers  []*history.Event
	Attempts []*Attempt
}

// Attempt is one sending to a host.
type Attempt struct {
	Host, Router string
	Conn         string
	From, To     int64 // To is the history's end for one that nobody saw end
}

// NewCase reads a history. Events of requests that were never asked are left to the checkers that
// look for them.
func NewCase(events []history.Event) *Case {
	c := &Case{Events: events, requests: map[string]*Request{}}
	if len(events) == 0 {
		return c
	}
	if events[0].Play != nil {
		c.Play = *events[0].Play
	}
	for i := range events {
		c.End = max(c.End, events[i].T)
	}
	open := map[int]int{} // faults by their number
	running := map[string]*Attempt{}
	onConn := map[string]*Attempt{}
	closed := map[string]int64{} // by connection, of late
	of := func(id string) *Request {
		r := c.requests[id]
		if r == nil {
			r = &Request{First: -1}
			c.requests[id] = r
			c.ids = append(c.ids, id)
		}
		return r
	}
	for i := range events {
		e := &events[i]
		switch e.What {
		case history.Fault:
			open[e.N] = len(c.Faults)
			c.Faults = append(c.Faults, Struck{e.Text, e.N, e.T, c.End, e.Routers, e.Hosts, e.Links, e.All})
		case history.Heal:
			if at, ok := open[e.N]; ok {
				c.Faults[at].To = e.T
				delete(open, e.N)
			}
		case history.Ask:
			of(e.ID).Ask = e
		case history.First:
			of(e.ID).First = e.T
		case history.Answer:
			r := of(e.ID)
			r.Answers = append(r.Answers, e)
		case history.Attempt:
			a := &Attempt{Host: e.Who, Router: e.From, Conn: e.Conn, From: e.T, To: c.End}
			r := of(e.ID)
			r.Attempts = append(r.Attempts, a)
			running[e.ID+" "+e.Who] = a
			if e.Conn != "" {
				onConn[e.Conn] = a
				if at, was := closed[e.Conn]; was && e.T < at+crossing.Nanoseconds() {
					a.To = e.T // it was given up while its last byte was on its way
				}
			}
		case history.Done:
			if a := running[e.ID+" "+e.Who]; a != nil {
				a.To = min(a.To, e.T)
				delete(running, e.ID+" "+e.Who)
			}
		case history.Closed:
			closed[e.Conn] = e.T
			if a := onConn[e.Conn]; a != nil {
				a.To = min(a.To, e.T)
				delete(onConn, e.Conn)
			}
		}
	}
	return c
}

// crossing is how long after the router's close the host may still take what was sent before.
const crossing = 50 * time.Millisecond

// after is how long what a fault did may still be felt once it is over: connections that it left
// silent are found dead, a process that stood still comes to itself.
const after = 2 * time.Second

// machine is what a history has in place of a fault where the machine let whoever wrote it stand
// still.
const machine = "machine"

// Kinds of faults that excuse something.
var (
	ends      = []string{"kill", "power"}                                                         // a process
	slows     = []string{"pause", "crawl"}                                                        // a process
	hostBreak = []string{"kill", "power", "rename", "stall", "reset", "garbage", "drain", "slow"} // streams of a host
	network   = []string{"cut", "partition", "loss", "delay", "reorder"}                          // a link
)

// During tells whether a fault of one of the kinds was on between two times, or shortly before,
// such that it fits.
func (c *Case) During(kinds []string, from, to int64, fits func(*Struck) bool) bool {
	for i := range c.Faults {
		s := &c.Faults[i]
		if slices.Contains(kinds, s.Kind) && s.From <= to && s.To+after.Nanoseconds() >= from && fits(s) {
			return true
		}
	}
	return false
}

// router fits faults that strike a router itself, or the whole machine.
func router(name string) func(*Struck) bool {
	n := Number(name)
	return func(s *Struck) bool { return s.Kind == machine || slices.Contains(s.Routers, n) }
}

// host fits faults that strike a host itself.
func host(name string) func(*Struck) bool {
	n := Number(name)
	return func(s *Struck) bool { return slices.Contains(s.Hosts, n) }
}

// linkOf fits faults of a router's links to hosts or to the list.
func linkOf(name, what string) func(*Struck) bool {
	n := Number(name)
	return func(s *Struck) bool {
		return slices.Contains(s.Links, what) && (s.All || slices.Contains(s.Routers, n))
	}
}

// Number is that of a router or host by its name, as in r3, r3/2 or h12; -1 for none.
func Number(name string) int {
	name, _, _ = strings.Cut(name, "/")
	if len(name) < 2 {
		return -1
	}
	n, err := strconv.Atoi(name[1:])
	if err != nil {
		return -1
	}
	return n
}

// LastHeal is when the last fault was over, 0 where there was none.
func (c *Case) LastHeal() (last int64) {
	for i := range c.Faults {
		if c.Faults[i].Kind != machine {
			last = max(last, c.Faults[i].To)
		}
	}
	return last
}
