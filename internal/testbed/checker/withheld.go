package checker

import (
	"sort"
	"time"

	"reachspread/internal/testbed/history"
)

// withholding is what a history says of the processor time that the machine withheld: how long the
// threads of each process have waited for a processor so far.
type withholding struct {
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
	if e.What == history.Usage {
		w.samples[e.Who] = append(w.samples[e.Who], waitSample{at: e.T, waited: e.Withheld})
	}
}

// Withheld returns for how long, between two times, the machine withheld processors from a router's
// processes. What is late by no more than that says nothing of the router. It excuses late answers
// alone: a busy machine loses no answer and closes no connection. A test that was late itself
// excuses nothing: when an answer came its system tells.
func (c *Case) Withheld(router string, from, to int64) time.Duration {
	longest := int64(0)
	number := NumberOf(router)
	for process, samples := range c.withholding.samples {
		if NumberOf(process) == number {
			longest = max(longest, waitedBetween(samples, from, to))
		}
	}
	return time.Duration(longest)
}

// waitedBetween returns how long a process waited for processors between two times, by its samples.
// Of the time between two samples it counts only what lies between the times, and nothing where the
// process ran for as long as it waited: the slack of an answer allows for that.
func waitedBetween(samples []waitSample, from, to int64) (total int64) {
	before := waitSample{at: from}
	first := indexAfter(samples, from)
	if first > 0 {
		before = samples[first-1]
	}
	last := min(indexAfter(samples, to)+1, len(samples))
	for _, after := range samples[min(first, last):last] {
		waited := after.waited - before.waited
		if 2*waited > after.at-before.at {
			total += min(waited, overlap(before.at, after.at, from, to))
		}
		before = after
	}
	return total
}

// overlap returns how much of one span of time lies in another.
func overlap(begin, end, from, to int64) int64 {
	return max(min(end, to)-max(begin, from), 0)
}

// indexAfter returns the index of the first sample after a time.
func indexAfter(samples []waitSample, t int64) int {
	return sort.Search(len(samples), func(i int) bool { return samples[i].at > t })
}

// noticeableStall is how long the machine may withhold processors until a violation tells of it.
const noticeableStall = 200 * time.Millisecond
