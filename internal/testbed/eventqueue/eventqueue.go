// Package eventqueue orders the events of a simulation in virtual time. Events are ordered by time;
// events with equal times are ordered as they were added, so that a run with the same seed repeats
// exactly. A queue is not safe for concurrent use.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds events with the times at which they are due. Its zero value is empty and ready to use.
type Queue[E any] struct {
	entries entries[E]
	added   uint64
}

// Add adds an event that is due at the time at.
func (q *Queue[E]) Add(at time.Duration, event E) {
	q.added++
	heap.Push(&q.entries, entry[E]{at: at, order: q.added, event: event})
}

// Next removes the first event and returns it with its time, if it is due at until or before.
// Otherwise ok is false.
func (q *Queue[E]) Next(until time.Duration) (event E, at time.Duration, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at > until {
		return event, 0, false
	}
	first := heap.Pop(&q.entries).(entry[E])
	return first.event, first.at, true
}

type entry[E any] struct {
	at    time.Duration
	order uint64
	event E
}

// entries implements heap.Interface.
type entries[E any] []entry[E]

func (e entries[E]) Len() int { return len(e) }

func (e entries[E]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

func (e entries[E]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries[E]) Push(x any) { *e = append(*e, x.(entry[E])) }

// Pop implements heap.Interface.
func (e *entries[E]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry[E]{}
	*e = old[:len(old)-1]
	return last
}
