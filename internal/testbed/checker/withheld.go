package checker

import (
	"sort"
	"time"

	"reachspread/internal/testbed/history"
)

// withholding is what a history says of the processor time that the machine withheld: when the test
// itself was late, and how long the threads of each process have waited for a processor so far.
type withholding struct {
	stalls  []Fault
	samples map[string][]waitSample // by process
}

// waitSample is how long the threads of a process had waited by a time.
type waitSample struct {
	at, waited int64
}

func newWithholding() withholding {
	return withholding{samples: map[string][]waitSample{}}
}

// add takes in an event.
func (w *withholding) add(e *history.Event) {
	switch {
	case e.What == history.Fault && e.Text == machineStall:
		length, _ := time.ParseDuration(e.ID)
		w.stalls = append(w.stalls, Fault{Kind: machineStall, N: e.N, From: e.T - length.Nanoseconds(), To: e.T})
	case e.What == history.Usage:
		w.samples[e.Who] = append(w.samples[e.Who], waitSample{at: e.T, waited: e.Withheld})
	}
}

// Withheld returns for how long, between two times, the machine withheld processors from a router's
// processes and from the test itself. What is late by no more than that says nothing of the router.
// It excuses late answers alone: a busy machine loses no answer and closes no connection.
func (c *Case) Withheld(router string, from, to int64) time.Duration {
	total := int64(0)
	for i := range c.withholding.stalls {
		s := &c.withholding.stalls[i]
		total += max(min(s.To, to)-max(s.From, from), 0)
	}
	number := NumberOf(router)
	for process, samples := range c.withholding.samples {
		if NumberOf(process) == number {
			total += waitedBetween(samples, from, to)
		}
	}
	return time.Duration(total)
}

// ordinaryWaitFraction is the fraction of the time for which a process may wait on a machine that is
// not busy: its threads come in each other's way.
const ordinaryWaitFraction = 0.2

// waitedBetween returns how long a process waited for processors from its last sample before a time,
// or its start, to the first one after another. Between two samples it is no more than the time, and
// nothing where it is ordinary.
func waitedBetween(samples []waitSample, from, to int64) (total int64) {
	before := waitSample{at: from}
	first := indexAfter(samples, from)
	if first > 0 {
		before = samples[first-1]
	}
	last := min(indexAfter(samples, to)+1, len(samples))
	for _, after := range samples[min(first, last):last] {
		span, waited := after.at-before.at, after.waited-before.waited
		if float64(waited) > ordinaryWaitFraction*float64(span) {
			total += min(waited, span)
		}
		before = after
	}
	return total
}

// indexAfter returns the index of the first sample after a time.
func indexAfter(samples []waitSample, t int64) int {
	return sort.Search(len(samples), func(i int) bool { return samples[i].at > t })
}

// noticeableStall is how long the machine may withhold processors until a violation tells of it.
const noticeableStall = 200 * time.Millisecond
