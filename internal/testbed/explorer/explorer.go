// Package explorer is a model checker for a small fleet of deciders. It runs all orders of messages,
// losses, duplicates, crashes, starts, pauses and timers up to a depth, and returns a shortest path
// to a violated invariant. It performs no I/O and reads no clock.
//
// The explorer runs each path from the beginning, so a decider must be deterministic but need not be
// copyable. It distinguishes states by a hash of what their nodes write. Two nodes that write the
// same must behave the same from then on; otherwise the explorer misses states.
//
// Each node has its own clock, which its timers advance. The configuration sets the largest
// difference between the clocks of two nodes, because a lease is only as safe as the bound on the
// clock skew that it relies on. The clock of a paused or crashed node advances too.
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

// Node is one decider. Its methods must not retain their arguments.
type Node[M any] interface {
	// Start is called once after each call of Config.Make. now is the time of the node's clock.
	Start(now time.Duration) Out[M]
	// Receive handles a message from a node.
	Receive(now time.Duration, from int, m M) Out[M]
	// Wake is called at the Wake time of the last Out, or later.
	Wake(now time.Duration) Out[M]
	// Write writes everything that the node's future behaviour depends on, except the time of its
	// clock.
	Write(w hash.Hash64)
}

// Out is the output of a step of a node: messages to send and a timer.
type Out[M any] struct {
	Send []Send[M]
	// Wake is the time on the node's clock at which its timer fires, 0 for no timer. It replaces the
	// Wake of the node's last Out.
	Wake time.Duration
}

// Send is a message to a node.
type Send[M any] struct {
	To  int
	Msg M
}

// Budget limits the number of faults of each kind on one path.
type Budget struct{ Losses, Duplicates, Crashes, Pauses int }

// Config configures an exploration.
type Config[M any] struct {
	Nodes int
	// Make returns a node's decider at each start. incarnation counts the starts of the node from 0.
	// previous is the node's decider before the crash, nil at the first start. Make decides what the
	// new decider restores from previous, or returns previous itself.
	Make func(node, incarnation int, previous Node[M]) Node[M]
	// Invariant returns the violation in a state, or nil. A crashed node is nil in nodes. now has the
	// clock of each node.
	Invariant func(nodes []Node[M], now []time.Duration) error
	Budget    Budget
	Depth     int            // the most choices on a path
	MaxStates int            // the most states to visit; 0 for the constant MaxStates
	MaxSkew   time.Duration  // the most by which the clocks of two running nodes may differ; 0 for no limit
	Ordered   bool           // whether messages from one node to another arrive in the order in which they were sent
	Show      func(M) string // formats a message for Result.Path; nil for the format %+v
}

// MaxStates is the greatest number of states that any exploration visits.
const MaxStates = 2_000_000

// Result is the result of an exploration.
type Result struct {
	States, Paths int      // the numbers of distinct states and of paths that were run
	Depth         int      // the depth up to which all paths were run
	Complete      bool     // false if the exploration stopped at the maximum number of states
	Violation     error    // nil for none
	Path          []string // the steps of a shortest path to the violation
}

// String returns a summary of the result, with the path to the violation if there is one.
func (a *Result) String() string {
	coverage := "complete"
	if !a.Complete {
		coverage = "incomplete"
	}
	if a.Violation == nil {
		return fmt.Sprintf("%d states in %d paths to depth %d, %s: no violation", a.States, a.Paths, a.Depth, coverage)
	}
	return fmt.Sprintf("after %d states: %v\n  %s", a.States, a.Violation, strings.Join(a.Path, "\n  "))
}

type choiceKind uint8

const (
	deliver choiceKind = iota
	lose
	duplicate // deliver a message, and leave a copy in flight
	wakeUp
	crash
	start
	pause
	resume
)

// choice is an event that may happen next. index is the number of a node, or the index of a message
// in run.inFlight.
type choice struct {
	kind  choiceKind
	index int
}

type inFlightMessage[M any] struct {
	from, to int
	msg      M
	key      uint64 // hash of the other fields, to distinguish states
}

// run is the state of the fleet after some choices on a path.
type run[M any] struct {
	config       *Config[M]
	nodes        []Node[M]
	previous     []Node[M] // each node's decider before its last crash
	incarnations []int     // how often each node has started
	now          []time.Duration
	wakeAt       []time.Duration // when each node's timer fires, 0 for no timer
	paused       []bool
	inFlight     []inFlightMessage[M]
	budget       Budget   // the faults that are left
	log          []string // the events so far, if logging
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

// choices appends all choices that are possible next: those for each message, then those for each
// node.
func (r *run[M]) choices(appendTo []choice) []choice {
	for i := range r.inFlight {
		m := &r.inFlight[i]
		if r.config.Ordered && slices.ContainsFunc(r.inFlight[:i], func(x inFlightMessage[M]) bool { return x.from == m.from && x.to == m.to }) {
			continue
		}
		if slices.ContainsFunc(r.inFlight[:i], func(x inFlightMessage[M]) bool { return x.key == m.key }) {
			continue // an equal message earlier in the list has the same choices
		}
		if r.nodes[m.to] == nil || !r.paused[m.to] {
			appendTo = append(appendTo, choice{deliver, i}) // a message to a crashed node is dropped
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

// clockMayReach reports whether a node's clock may advance to a time before the other nodes take a
// step. It returns false if the timer of another running node is due more than MaxSkew earlier:
// that timer has to fire first.
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
			r.logf("dropped, receiver is down: %d to %d: %s", m.from, m.to, text)
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
		r.logf("%d is paused", c.index)
		r.paused[c.index] = true
	case resume:
		r.paused[c.index] = false
		r.logf("%d resumes at %v", c.index, r.now[c.index])
	}
}

// advanceClock sets a node's clock to a later time. It also advances all clocks that would
// otherwise be more than MaxSkew behind.
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

// stateKey returns a hash of the state, by which Explore recognizes states.
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

// step describes how a state was reached: by a choice in an earlier state.
type step struct {
	before int32 // the index of the earlier state in exploration.steps, -1 for none
	choice choice
}

// Explore runs all orders of events breadth first, so that the first path to a violation is a
// shortest one. It returns an error if a required field of the configuration is missing or invalid.
func Explore[M any](q Config[M]) (*Result, error) {
	if q.Nodes < 1 || q.Depth < 0 || q.Make == nil || q.Invariant == nil {
		return nil, errors.New("explorer: the configuration needs Nodes of at least 1, Depth of at least 0, Make and Invariant")
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

// exploration is the state of one call of Explore.
type exploration[M any] struct {
	config    *Config[M]
	maxStates int
	result    *Result
	seen      map[uint64]bool // the stateKeys of all visited states
	steps     []step          // how each visited state was first reached
	path      []choice        // reused by replay
	next      []choice        // reused by expand
}

// expand makes each choice in each state of the frontier, and returns the new states. done is true
// after a violation, or if maxStates is reached.
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

// replay runs the choices that lead to a state, starting with a new fleet.
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

// violates reports whether a state violates the invariant, and records the path to a violation.
func (e *exploration[M]) violates(r *run[M], at int32) bool {
	e.result.Violation = e.config.Invariant(r.nodes, r.now)
	if e.result.Violation == nil {
		return false
	}
	e.result.Path = e.replay(at, true).log
	return true
}
