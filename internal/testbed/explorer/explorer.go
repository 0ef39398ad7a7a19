// Package explorer is a model checker for a small fleet of deciders: it runs all orders of
// messages, losses, duplicates, crashes, starts, pauses and timers up to a depth, and returns a
// shortest path to a violated invariant. It is pure.
//
// Each path is run from the beginning: a decider must be deterministic and need not be copyable.
// States are distinguished by the hash of what their nodes write of themselves; two nodes that
// write the same must behave the same from then on, or states are missed.
//
// Each node has a clock of its own, which its timers advance. The largest difference between two
// running clocks is part of the question: a lease is only as safe as the bound that it relies on.
// The clock of a paused or crashed node advances as well.
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

// Out is the messages and the timer that a node wants.
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

// Budget bounds the faults on one path.
type Budget struct{ Losses, Duplicates, Crashes, Pauses int }

// Question configures an exploration.
type Config[M any] struct {
	Nodes int
	// Make makes a node's decider. Life counts its starts from 0; what it finds kept is up to the
	// caller, who may hand the last life's node on through before (nil at first).
	Make func(node, life int, before Node[M]) Node[M]
	// Invariant returns the violation in a state, or nil. A crashed node is nil. Now has the clock
	// of each.
	Invariant func(nodes []Node[M], now []time.Duration) error
	Budget    Budget
	Depth     int           // choices on a path
	MaxStates int           // that are looked at, at most; 0 for MostStates
	MaxSkew   time.Duration // the most by which the clocks of two nodes that run may differ; 0 for no bound
	Ordered   bool          // messages of one node to another come in the order of their sending
	Show      func(M) string
}

// MaxStates bounds an exploration whose question does not.
const MaxStates = 2_000_000

// Result is the result of an exploration.
type Result struct {
	States, Paths int      // told apart, and played
	Depth         int      // reached by all paths
	Complete      bool     // all states to the depth were seen
	Violation     error    // nil for none
	Path          []string // a shortest one to it
}

// String is for people.
func (a *Result) String() string {
	coverage := "whole"
	if !a.Complete {
		coverage = "not whole"
	}
	if a.Violation == nil {
		return fmt.Sprintf("%d states in %d paths to depth %d, %s: nothing is broken", a.States, a.Paths, a.Depth, coverage)
	}
	return fmt.Sprintf("after %d states: %v\n  %s", a.States, a.Violation, strings.Join(a.Path, "\n  "))
}

type choiceKind uint8

const (
	deliver choiceKind = iota
	lose
	duplicate // deliver, and leave a copy
	wakeUp
	crash
	start
	pause
	resume
)

// choice is one of the things that may happen next. N is a node, or a message's place among those
// under way.
type choice struct {
	kind  choiceKind
	index int
}

type inFlightMessage[M any] struct {
	from, to int
	msg      M
	key      uint64 // of its content, for telling states apart
}

// run is the state of a fleet on a path.
type run[M any] struct {
	config       *Config[M]
	nodes        []Node[M]
	previous     []Node[M] // of the last life
	incarnations []int
	now          []time.Duration
	wakeAt       []time.Duration // 0 for none
	paused       []bool
	inFlight     []inFlightMessage[M]
	budget       Budget
	log          []string // of what happened, while logging
	logging      bool
}

func newRun[M any](q *Config[M], logging bool) *run[M] {
	r := &run[M]{config: q, nodes: make([]Node[M], q.Nodes), previous: make([]Node[M], q.Nodes), incarnations: make([]int, q.Nodes), now: make([]time.Duration, q.Nodes),
		wakeAt: make([]time.Duration, q.Nodes), paused: make([]bool, q.Nodes), budget: q.Budget, logging: logging}
	for i := range q.Nodes {
		r.start(i)
	}
	return r
}

func (r *run[M]) logf(format string, v ...any) {
	if r.logging {
		r.log = append(r.log, fmt.Sprintf(format, v...))
	}
}

func (r *run[M]) start(i int) {
	r.nodes[i] = r.config.Make(i, r.incarnations[i], r.previous[i])
	r.incarnations[i]++
	r.apply(i, r.nodes[i].Start(r.now[i]))
}

func (r *run[M]) apply(i int, o Out[M]) {
	r.wakeAt[i] = o.Wake
	for _, s := range o.Send {
		h := xxhash.New()
		fmt.Fprintf(h, "%d %d %v", i, s.To, s.Msg)
		r.inFlight = append(r.inFlight, inFlightMessage[M]{i, s.To, s.Msg, h.Sum64()})
	}
}

// choices lists what may happen next, each message and each node in turn.
func (r *run[M]) choices(appendTo []choice) []choice {
	for i := range r.inFlight {
		m := &r.inFlight[i]
		if r.config.Ordered && slices.ContainsFunc(r.inFlight[:i], func(x inFlightMessage[M]) bool { return x.from == m.from && x.to == m.to }) {
			continue
		}
		if slices.ContainsFunc(r.inFlight[:i], func(x inFlightMessage[M]) bool { return x.key == m.key }) {
			continue // one like it stands before it
		}
		if r.nodes[m.to] == nil || !r.paused[m.to] {
			appendTo = append(appendTo, choice{deliver, i}) // to nobody: it is gone
		}
		if r.nodes[m.to] == nil {
			continue
		}
		if r.budget.Losses > 0 {
			appendTo = append(appendTo, choice{lose, i})
		}
		if r.budget.Duplicates > 0 && !r.paused[m.to] {
			appendTo = append(appendTo, choice{duplicate, i})
		}
	}
	for i := range r.nodes {
		switch {
		case r.nodes[i] == nil:
			appendTo = append(appendTo, choice{start, i})
			continue
		case r.paused[i]:
			appendTo = append(appendTo, choice{resume, i})
		case r.wakeAt[i] > 0 && r.clockMayReach(i, r.wakeAt[i]):
			appendTo = append(appendTo, choice{wakeUp, i})
		}
		if r.budget.Crashes > 0 {
			appendTo = append(appendTo, choice{crash, i})
		}
		if r.budget.Pauses > 0 && !r.paused[i] {
			appendTo = append(appendTo, choice{pause, i})
		}
	}
	return appendTo
}

// clockMayReach tells whether a node's clock may come to a time while those of the others that run
// stand where they do. A timer of another one that is due before goes first then.
func (r *run[M]) clockMayReach(i int, t time.Duration) bool {
	if r.config.MaxSkew == 0 {
		return true
	}
	for j := range r.nodes {
		if j != i && r.nodes[j] != nil && !r.paused[j] && r.wakeAt[j] > 0 && r.wakeAt[j]+r.config.MaxSkew < t {
			return false
		}
	}
	return true
}

func (r *run[M]) execute(c choice) {
	switch c.kind {
	case deliver, duplicate, lose:
		m := r.inFlight[c.index]
		if c.kind != duplicate {
			r.inFlight = slices.Delete(r.inFlight, c.index, c.index+1)
		}
		if c.kind == duplicate {
			r.budget.Duplicates--
		}
		text := ""
		if r.logging {
			text = r.show(m.msg)
		}
		switch {
		case c.kind == lose:
			r.budget.Losses--
			r.logf("lost: %d to %d: %s", m.from, m.to, text)
		case r.nodes[m.to] == nil:
			r.logf("to nobody: %d to %d: %s", m.from, m.to, text)
		default:
			r.logf("%d to %d: %s", m.from, m.to, text)
			r.apply(m.to, r.nodes[m.to].Receive(r.now[m.to], m.from, m.msg))
		}
	case wakeUp:
		r.advanceClock(c.index, max(r.now[c.index], r.wakeAt[c.index]))
		r.logf("%d wakes at %v", c.index, r.now[c.index])
		r.apply(c.index, r.nodes[c.index].Wake(r.now[c.index]))
	case crash:
		r.budget.Crashes--
		r.logf("%d crashes", c.index)
		r.previous[c.index], r.nodes[c.index], r.wakeAt[c.index], r.paused[c.index] = r.nodes[c.index], nil, 0, false
	case start:
		r.logf("%d starts at %v", c.index, r.now[c.index])
		r.start(c.index)
	case pause:
		r.budget.Pauses--
		r.logf("%d stands still", c.index)
		r.paused[c.index] = true
	case resume:
		r.paused[c.index] = false
		r.logf("%d goes on at %v", c.index, r.now[c.index])
	}
}

// advanceClock moves a node's clock on, and those of all others that would stay too far behind.
func (r *run[M]) advanceClock(i int, t time.Duration) {
	r.now[i] = t
	if r.config.MaxSkew == 0 {
		return
	}
	for j := range r.now {
		r.now[j] = max(r.now[j], t-r.config.MaxSkew)
	}
}

func (r *run[M]) show(m M) string {
	if r.config.Show != nil {
		return r.config.Show(m)
	}
	return fmt.Sprintf("%+v", m)
}

// stateKey returns the hash of the state.
func (r *run[M]) stateKey() uint64 {
	h := xxhash.New()
	var buf [8]byte
	put := func(v uint64) {
		binary.LittleEndian.PutUint64(buf[:], v)
		h.Write(buf[:])
	}
	for i, n := range r.nodes {
		put(uint64(r.now[i]))
		put(uint64(r.wakeAt[i]))
		status := uint64(0)
		if r.paused[i] {
			status = 1
		}
		if n == nil {
			status = 2
			n = r.previous[i]
		}
		put(status)
		if n != nil {
			n.Write(h)
		}
	}
	messageKeys := make([]uint64, 0, len(r.inFlight))
	for i := range r.inFlight {
		messageKeys = append(messageKeys, r.inFlight[i].key)
	}
	if !r.config.Ordered {
		slices.Sort(messageKeys)
	}
	for _, k := range messageKeys {
		put(k)
	}
	for _, n := range []int{len(messageKeys), r.budget.Losses, r.budget.Duplicates, r.budget.Crashes, r.budget.Pauses} {
		put(uint64(n))
	}
	return h.Sum64()
}

// step is a state that was reached: the choice, and the state before it.
type step struct {
	before int32
	choice choice
}

// Explore runs all orders, breadth first, so that a path to a violation is a shortest one. It fails
// where the question lacks a field that it needs.
func Explore[M any](q Config[M]) (*Result, error) {
	if q.Nodes < 1 || q.Depth < 0 || q.Make == nil || q.Invariant == nil {
		return nil, errors.New("an exploration needs Nodes, Depth, Make and Holds")
	}
	e := &exploration[M]{config: &q, result: &Result{Complete: true}, seen: map[uint64]bool{}, steps: []step{{before: -1}}}
	if e.maxStates = q.MaxStates; e.maxStates <= 0 || e.maxStates > MaxStates {
		e.maxStates = MaxStates
	}
	first := newRun(&q, false)
	e.seen[first.stateKey()] = true
	if e.violates(first, 0) {
		return e.result, nil
	}
	frontier := []int32{0}
	for ; e.result.Depth < q.Depth && len(frontier) > 0; e.result.Depth++ {
		var done bool
		if frontier, done = e.expand(frontier); done {
			break
		}
	}
	e.result.States = len(e.seen)
	return e.result, nil
}

// exploration is the state of one Explore.
type exploration[M any] struct {
	config    *Config[M]
	maxStates int
	result    *Result
	seen      map[uint64]bool // by the key of the state
	steps     []step          // how each state was first reached
	path      []choice        // reused by replay
	next      []choice        // reused by expand
}

// expand makes each choice in each state of the frontier, and returns the new states. It reports
// done after a violation, or where maxStates is reached.
func (e *exploration[M]) expand(frontier []int32) (reached []int32, done bool) {
	for _, at := range frontier {
		r := e.replay(at, false)
		e.next = r.choices(e.next[:0])
		for i, c := range e.next {
			if i > 0 {
				r = e.replay(at, false)
			}
			r.execute(c)
			key := r.stateKey()
			if e.seen[key] {
				continue
			}
			if len(e.seen) >= e.maxStates {
				e.result.Complete = false
				return nil, true
			}
			e.seen[key] = true
			e.steps = append(e.steps, step{at, c})
			n := int32(len(e.steps) - 1)
			if e.violates(r, n) {
				return nil, true
			}
			reached = append(reached, n)
		}
	}
	return reached, false
}

// replay runs the choices that lead to a state, from the beginning.
func (e *exploration[M]) replay(at int32, logging bool) *run[M] {
	e.path = e.path[:0]
	for i := at; e.steps[i].before >= 0; i = e.steps[i].before {
		e.path = append(e.path, e.steps[i].choice)
	}
	r := newRun(e.config, logging)
	for i := len(e.path) - 1; i >= 0; i-- {
		r.execute(e.path[i])
	}
	e.result.Paths++
	return r
}

// violates checks the invariant in a state, and keeps the path to a violation.
func (e *exploration[M]) violates(r *run[M], at int32) bool {
	e.result.Violation = e.config.Invariant(r.nodes, r.now)
	if e.result.Violation == nil {
		return false
	}
	e.result.Path = e.replay(at, true).log
	return true
}
