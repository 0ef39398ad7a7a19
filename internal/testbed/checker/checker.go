// Package checker has checkers of histories. A history records a chaos test with real processes, or a
// run in the simulator's virtual time. Each checker returns the violations of one rule, and a test
// with planted violations shows that it finds them. The package is pure: it has no side effects.
//
// A checker excuses only what a fault explains. For example, a router that was killed need not answer
// the requests that it had accepted, but any other router must.
package checker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"reachspread/internal/testbed/history"
)

// Violation is one violation of a checker's rule. Who is the router or host and ID the request that it
// concerns; each may be empty.
type Violation struct {
	Checker string
	T       int64 // nanoseconds since the run began
	Who, ID string
	Text    string
}

// String returns the violation as one line of text.
func (v *Violation) String() string {
	return fmt.Sprintf("%s: %s at %v: %s", v.Checker, strings.TrimSpace(v.Who+" "+v.ID), time.Duration(v.T).Round(time.Millisecond), v.Text)
}

// Checker checks one rule.
type Checker struct {
	Name, Rule string
	Check      func(*Case) []Violation
}

// Checkers has all checkers, in the order in which CheckAll reports their violations.
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

// CheckAll runs all checkers on a history and returns the violations. Of each checker it returns at
// most maxViolations, and one more violation that has the number of the others.
func CheckAll(events []history.Event) []Violation {
	c := NewCase(events)
	var all []Violation
	for _, k := range Checkers {
		found := k.Check(c)
		slices.SortStableFunc(found, func(a, b Violation) int { return int(a.T - b.T) })
		all = append(all, found[:min(len(found), maxViolations)]...)
		if more := len(found) - maxViolations; more > 0 {
			all = append(all, Violation{Checker: k.Name, T: found[maxViolations].T, Text: fmt.Sprintf("and %d more", more)})
		}
	}
	return all
}

// maxViolations is the largest number of violations of one checker that CheckAll returns in full.
const maxViolations = 20

// Case is a history with indexes for the checkers.
type Case struct {
	Play   history.Play
	Events []history.Event
	Faults []Fault
	End    int64 // time of the last event

	requests    map[string]*Request
	ids         []string // ids of requests, in the order of their first events
	withholding withholding
}

// Fault is an injected fault, or a stall of the machine, with its time and targets.
type Fault struct {
	Kind     string
	N        int
	From, To int64 // To is the end of the history if the fault never ended
	Routers  []int
	Hosts    []int
	Links    []string
	All      bool // the links of every router are affected, as in a partition
}

// Request is a client's request with its events.
type Request struct {
	Ask      *history.Event
	First    int64 // when the first event of its stream arrived; -1 for none
	Due      int64 // when an answer was due according to the request; 0 if the client's own timeout applies
	Answers  []*history.Event
	Attempts []*Attempt
}

// Attempt is one attempt of a request at a host.
type Attempt struct {
	Host, Router string
	Conn         string
	From, To     int64 // To is the end of the history if it has no end of the attempt
}

// NewCase indexes a history. It keeps events of requests that no client sent, so that checkers can
// report them.
func NewCase(events []history.Event) *Case {
	c := &Case{Events: events, requests: map[string]*Request{}, withholding: newWithholding()}
	if len(events) == 0 {
		return c
	}
	if events[0].Play != nil {
		c.Play = *events[0].Play
	}
	for i := range events {
		c.End = max(c.End, events[i].T)
	}
	x := &indexer{
		c:            c,
		openFaults:   map[int]int{},
		running:      map[attemptKey]*Attempt{},
		onConnection: map[string]*Attempt{},
		closedAt:     map[string]int64{},
	}
	for i := range events {
		x.add(&events[i])
	}
	return c
}

// request returns the request with an id. It adds the request if there is none.
func (c *Case) request(id string) *Request {
	r := c.requests[id]
	if r == nil {
		r = &Request{First: -1}
		c.requests[id] = r
		c.ids = append(c.ids, id)
	}
	return r
}

// attemptKey identifies an attempt by its request and host.
type attemptKey struct{ id, host string }

// indexer fills a Case from its events, in their order.
type indexer struct {
	c            *Case
	openFaults   map[int]int // index in Case.Faults of each fault that has not ended, by its number
	running      map[attemptKey]*Attempt
	onConnection map[string]*Attempt
	closedAt     map[string]int64 // time of the last close, by connection
}

func (x *indexer) add(e *history.Event) {
	c := x.c
	c.withholding.add(e)
	switch e.What {
	case history.Fault:
		x.openFaults[e.N] = len(c.Faults)
		c.Faults = append(c.Faults, Fault{e.Text, e.N, e.T, c.End, e.Routers, e.Hosts, e.Links, e.All})
	case history.Heal:
		if at, ok := x.openFaults[e.N]; ok {
			c.Faults[at].To = e.T
			delete(x.openFaults, e.N)
		}
	case history.Ask:
		c.request(e.ID).Ask = e
	case history.First:
		r := c.request(e.ID)
		r.First, r.Due = e.ArrivedAt(), max(r.Due, e.Until)
	case history.Answer:
		r := c.request(e.ID)
		r.Answers, r.Due = append(r.Answers, e), max(r.Due, e.Until)
	case history.Attempt:
		x.addAttempt(e)
	case history.Done:
		key := attemptKey{e.ID, e.Who}
		if a := x.running[key]; a != nil {
			a.To = min(a.To, e.T)
			delete(x.running, key)
		}
	case history.Closed:
		x.closedAt[e.Conn] = e.T
		if a := x.onConnection[e.Conn]; a != nil {
			a.To = min(a.To, e.T)
			delete(x.onConnection, e.Conn)
		}
	}
}

func (x *indexer) addAttempt(e *history.Event) {
	a := &Attempt{Host: e.Who, Router: e.From, Conn: e.Conn, From: e.T, To: x.c.End}
	r := x.c.request(e.ID)
	r.Attempts = append(r.Attempts, a)
	x.running[attemptKey{e.ID, e.Who}] = a
	if e.Conn == "" {
		return
	}
	x.onConnection[e.Conn] = a
	if at, closed := x.closedAt[e.Conn]; closed && e.T < at+cancelDelay.Nanoseconds() {
		a.To = e.T // the router canceled the attempt while its last byte was in flight
	}
}

// cancelDelay is how long after the router closed a connection the host may still receive bytes that
// were sent before.
const cancelDelay = 50 * time.Millisecond

// faultAftermath is how long a fault may still have effects after it has ended. For example, routers
// find idle connections dead, and a process that was frozen has a backlog.
const faultAftermath = 2 * time.Second

// machineStall is the kind of the fault events that record a time in which the machine did not
// schedule the test process. Their ID is the length of the stall, and their T is its end.
const machineStall = "machine"

// The kinds of faults that excuse violations.
var (
	processEnds   = []string{"kill", "power"}                                                         // end a process
	processStalls = []string{"pause", "crawl"}                                                        // freeze or slow a process
	hostFailures  = []string{"kill", "power", "rename", "stall", "reset", "garbage", "drain", "slow"} // break streams of a host
	linkFaults    = []string{"cut", "partition", "loss", "delay", "reorder"}                          // disturb a link
)

// FaultDuring reports whether a fault of one of the kinds, for which fits returns true, was in force
// between two times or had ended at most faultAftermath before.
func (c *Case) FaultDuring(kinds []string, from, to int64, fits func(*Fault) bool) bool {
	for i := range c.Faults {
		s := &c.Faults[i]
		if slices.Contains(kinds, s.Kind) && s.From <= to && s.To+faultAftermath.Nanoseconds() >= from && fits(s) {
			return true
		}
	}
	return false
}

// affectsRouter returns a filter for faults of a router itself.
func affectsRouter(name string) func(*Fault) bool {
	n := NumberOf(name)
	return func(s *Fault) bool { return slices.Contains(s.Routers, n) }
}

// affectsHost returns a filter for faults of a host itself.
func affectsHost(name string) func(*Fault) bool {
	n := NumberOf(name)
	return func(s *Fault) bool { return slices.Contains(s.Hosts, n) }
}

// affectsLink returns a filter for faults of a router's links of one type, such as those to hosts or
// to the list.
func affectsLink(name, what string) func(*Fault) bool {
	n := NumberOf(name)
	return func(s *Fault) bool {
		return slices.Contains(s.Links, what) && (s.All || slices.Contains(s.Routers, n))
	}
}

// NumberOf returns the number in the name of a router or host, which is 3 for r3 and r3/2, and 12 for
// h12. It returns -1 if the name has no number.
func NumberOf(name string) int {
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

// LastHeal returns when the last fault ended, or 0 if there was none. Stalls of the machine don't
// count as faults.
func (c *Case) LastHeal() (last int64) {
	for i := range c.Faults {
		if c.Faults[i].Kind != machineStall {
			last = max(last, c.Faults[i].To)
		}
	}
	return last
}
