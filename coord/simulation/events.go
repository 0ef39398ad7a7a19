package simulation

import (
	"cmp"
	"container/heap"
	"time"
)

// event is a function that runs at a point in virtual time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// queue is a heap of events by time.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// After schedules a function to run after a delay.
func (w *World) After(d time.Duration, do func()) {
	w.scheduled++
	heap.Push(&w.events, event{w.Now + d, w.scheduled, do})
}
