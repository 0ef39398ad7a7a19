// Package explorer plays a small fleet of deciders in all orders: of messages, losses, second
// copies, crashes, starts, standstills and timers, up to a depth, and prints a shortest path to a
// broken invariant. It is pure.
//
// A fleet is played anew for each path, from its beginning: a decider must be deterministic, and
// need not be copyable. States are told apart by the hash of what their nodes write of themselves;
// two that write the same must behave the same from then on, or states go unseen.
//
// Each node has a clock of its own, which its timers move. The most by which two clocks that run
// may differ is part of the question: a lease is only as safe as the bound that it counts on. The
// clock of a node that stands still or is down goes on as well.
package explorer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Node is one decider. No method keeps its arguments.
type Node[M any] interface {
	// Start is called once, at the node's present time.
	Start(now time.Duration) Out[M]
	// Receive takes a message.
	Receive(now time.Duration, from int, m M) Out[M]
	// Wake is called at the time that the last Out asked for, or later.
	Wake(now time.Duration) Out[M]
	// Write writes all that the node's behaviour from now on depends on, but for its present time.
	Write(w hash.Hash64)
}

// Out is what a node wants done.
type Out[M any] struct {
	Send []Send[M]
	// Wake is when the node wants to be woken, on its clock; 0 for not at all. Each Out replaces
	// the last one's.
	Wake time.Duration
}

// Send is a message to a node.
type Send[M any] struct {
	To  int
	Msg M
}

// Budget is how much may go wrong on one path.
type Budget struct{ Losses, Copies, Crashes, Pauses int }

// Question is what is to be explored.
type Question[M any] struct {
	Nodes int
	// Make makes a node's decider. Life counts its starts from 0; what it finds kept is up to the
	// caller, who may hand the last life's node on through before (nil at first).
	Make func(node, life int, before Node[M]) Node[M]
	// Holds returns what is wrong with a state. A node that is down is nil. Now has the clock of
	// each.
	Holds  func(nodes []Node[M], now []time.Duration) error
	Budget Budget
	Depth  int           // choices on a path
	States int           // that are looked at, at most; 0 for MostStates
	Skew   time.Duration // the most by which the clocks of two nodes that run may differ; 0 for no bound
	Order  bool          // messages of one node to another come in the order of their sending
	Show   func(M) string
}

// MostStates bounds an exploration whose question does not.
const MostStates = 2_000_000

// Answer is what came of it.
type Answer struct {
	States, Paths int      // told apart, and played
	Depth         int      // reached by all paths
	Whole         bool     // everything to the depth was seen
	Broken        error    // the invariant that is, nil for none
	Path          []string // a shortest one to it
}

// String is for people.
func (a *Answer) String() string {
	how := "whole"
	if !a.Whole {
		how = "not whole"
	}
	if a.Broken == nil {
		return fmt.Sprintf("%d states in %d paths to depth %d, %s: nothing is broken", a.States, a.Paths, a.Depth, how)
	}
	return fmt.Sprintf("after %d states: %v\n  %s", a.States, a.Broken, strings.Join(a.Path, "\n  "))
}

type doing uint8

const (
	deliver doing = iota
	lose
	again // deliver, and leave a copy
	wake
	crash
	start
	freeze
	resume
)

// choice is one of the things that may happen next. N is a node, or a message's place among those
// under way.
type choice struct {
	do doing
	n  int
}

type flying[M any] struct {
	from, to int
	msg      M
	key      uint64 // of its content, for telling states apart
}

// run is a fleet at one moment.
type run[M any] struct {
	q      *Question[M]
	nodes  []Node[M]
	last   []Node[M] // of the last life
	lives  []int
	now    []time.Duration
	due    []time.Duration // 0 for none
	paused []bool
	air    []flying[M]
	left   Budget
	told   []string // what happened, where somebody wants to know
	tell   bool
}

func newRun[M any](q *Question[M], tell bool) *run[M] {
	r := &run[M]{q: q, nodes: make([]Node[M], q.Nodes), last: make([]Node[M], q.Nodes), lives: make([]int, q.Nodes), now: make([]time.Duration, q.Nodes),
		due: make([]time.Duration, q.Nodes), paused: make([]bool, q.Nodes), left: q.Budget, tell: tell}
	for i := range q.Nodes {
		r.start(i)
	}
	return r
}

func (r *run[M]) say(format string, v ...any) {
	if r.tell {
		r.told = append(r.told, fmt.Sprintf(format, v...))
	}
}

func (r *run[M]) start(i int) {
	r.nodes[i] = r.q.Make(i, r.lives[i], r.last[i])
	r.lives[i]++
	r.take(i, r.nodes[i].Start(r.now[i]))
}

func (r *run[M]) take(i int, o Out[M]) {
	r.due[i] = o.Wake
	for _, s := range o.Send {
		h := xxhash.New()
		fmt.Fprintf(h, "%d %d %v", i, s.To, s.Msg)
		r.air = append(r.air, flying[M]{i, s.To, s.Msg, h.Sum64()})
	}
}

// choices lists what may happen next, each message and each node in turn.
func (r *run[M]) choices(to []choice) []choice {
	for i := range r.air {
		m := &r.air[i]
		if r.q.Order && slices.ContainsFunc(r.air[:i], func(x flying[M]) bool { return x.from == m.from && x.to == m.to }) {
			continue
		}
		if slices.ContainsFunc(r.air[:i], func(x flying[M]) bool { return x.key == m.key }) {
			continue // one like it stands before it
		}
		if r.nodes[m.to] == nil || !r.paused[m.to] {
			to = append(to, choice{deliver, i}) // to nobody: it is gone
		}
		if r.nodes[m.to] == nil {
			continue
		}
		if r.left.Losses > 0 {
			to = append(to, choice{lose, i})
		}
		if r.left.Copies > 0 && !r.paused[m.to] {
			to = append(to, choice{again, i})
		}
	}
	for i := range r.nodes {
		switch {
		case r.nodes[i] == nil:
			to = append(to, choice{start, i})
			continue
		case r.paused[i]:
			to = append(to, choice{resume, i})
		case r.due[i] > 0 && r.mayReach(i, r.due[i]):
			to = append(to, choice{wake, i})
		}
		if r.left.Crashes > 0 {
			to = append(to, choice{crash, i})
		}
		if r.left.Pauses > 0 && !r.paused[i] {
			to = append(to, choice{freeze, i})
		}
	}
	return to
}

// mayReach tells whether a node's clock may come to a time while those of the others that run stand
// where they do. A timer of another one that is due before goes first then.
func (r *run[M]) mayReach(i int, t time.Duration) bool {
	if r.q.Skew == 0 {
		return true
	}
	for j := range r.nodes {
		if j != i && r.nodes[j] != nil && !r.paused[j] && r.due[j] > 0 && r.due[j]+r.q.Skew < t {
			return false
		}
	}
	return true
}

func (r *run[M]) do(c choice) {
	switch c.do {
	case deliver, again, lose:
		m := r.air[c.n]
		if c.do != again {
			r.air = slices.Delete(r.air, c.n, c.n+1)
		}
		if c.do == again {
			r.left.Copies--
		}
		action := ""
		if r.tell {
			action = r.show(m.msg)
		}
		switch {
		case c.do == lose:
			r.left.Losses--
			r.say("lost: %d to %d: %s", m.from, m.to, action)
		case r.nodes[m.to] == nil:
			r.say("to nobody: %d to %d: %s", m.from, m.to, action)
		default:
			r.say("%d to %d: %s", m.from, m.to, action)
			r.take(m.to, r.nodes[m.to].Receive(r.now[m.to], m.from, m.msg))
		}
	case wake:
		r.reach(c.n, max(r.now[c.n], r.due[c.n]))
		r.say("%d wakes at %v", c.n, r.now[c.n])
		r.take(c.n, r.nodes[c.n].Wake(r.now[c.n]))
	case crash:
		r.left.Crashes--
		r.say("%d crashes", c.n)
		r.last[c.n], r.nodes[c.n], r.due[c.n], r.paused[c.n] = r.nodes[c.n], nil, 0, false
	case start:
		r.say("%d starts at %v", c.n, r.now[c.n])
		r.start(c.n)
	case freeze:
		r.left.Pauses--
		r.say("%d stands still", c.n)
		r.paused[c.n] = true
	case resume:
		r.paused[c.n] = false
		r.say("%d goes on at %v", c.n, r.now[c.n])
	}
}

// reach moves a node's clock on, and those of all others that would stay too far behind.
func (r *run[M]) reach(i int, t time.Duration) {
	r.now[i] = t
	if r.q.Skew == 0 {
		return
	}
	for j := range r.now {
		r.now[j] = max(r.now[j], t-r.q.Skew)
	}
}

func (r *run[M]) show(m M) string {
	if r.q.Show != nil {
		return r.q.Show(m)
	}
	return fmt.Sprintf("%+v", m)
}

// key tells this state from others.
func (r *run[M]) key() uint64 {
	h := xxhash.New()
	var action [8]byte
	put := func(v uint64) {
		binary.LittleEndian.PutUint64(action[:], v)
		h.Write(action[:])
	}
	for i, n := range r.nodes {
		put(uint64(r.now[i]))
		put(uint64(r.due[i]))
		what := uint64(0)
		if r.paused[i] {
			what = 1
		}
		if n == nil {
			what = 2
			n = r.last[i]
		}
		put(what)
		if n != nil {
			n.Write(h)
		}
	}
	air := make([]uint64, 0, len(r.air))
	for i := range r.air {
		air = append(air, r.air[i].key)
	}
	if !r.q.Order {
		slices.Sort(air)
	}
	for _, k := range air {
		put(k)
	}
	for _, n := range []int{len(air), r.left.Losses, r.left.Copies, r.left.Crashes, r.left.Pauses} {
		put(uint64(n))
	}
	return h.Sum64()
}

// step is a state that was reached: the choice, and the state before it.
type step struct {
	before int32
	choice choice
}

// Explore plays all orders, breadth first.
func Explore[M any](q Question[M]) (*Answer, error) {
	if q.Nodes < 1 || q.Depth < 0 || q.Make == nil || q.Holds == nil {
		return nil, errors.New("an exploration needs Nodes, Depth, Make and Holds")
	}
	most := q.States
	if most <= 0 || most > MostStates {
		most = MostStates
	}
	a := &Answer{Whole: true}
	seen := map[uint64]bool{}
	steps := []step{{before: -1}}
	frontier := []int32{0}
	path := make([]choice, 0, q.Depth)
	var next []choice
	play := func(at int32, tell bool) *run[M] {
		path = path[:0]
		for i := at; steps[i].before >= 0; i = steps[i].before {
			path = append(path, steps[i].choice)
		}
		r := newRun(&q, tell)
		for i := len(path) - 1; i >= 0; i-- {
			r.do(path[i])
		}
		a.Paths++
		return r
	}
	broken := func(r *run[M], at int32) bool {
		if a.Broken = q.Holds(r.nodes, r.now); a.Broken == nil {
			return false
		}
		a.Path = play(at, true).told
		return true
	}
	r := newRun(&q, false)
	seen[r.key()] = true
	if broken(r, 0) {
		return a, nil
	}
	for ; a.Depth < q.Depth && len(frontier) > 0; a.Depth++ {
		var reached []int32
		for _, at := range frontier {
			r := play(at, false)
			next = r.choices(next[:0])
			for i, c := range next {
				if i > 0 {
					r = play(at, false)
				}
				r.do(c)
				key := r.key()
				if seen[key] {
					continue
				}
				if len(seen) >= most {
					a.Whole, a.States = false, len(seen)
					return a, nil
				}
				seen[key] = true
				steps = append(steps, step{at, c})
				n := int32(len(steps) - 1)
				if broken(r, n) {
					a.States = len(seen)
					return a, nil
				}
				reached = append(reached, n)
			}
		}
		frontier = reached
	}
	a.States = len(seen)
	return a, nil
}
