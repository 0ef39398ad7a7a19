package checker

import (
	"sort"
	"time"

	"reachspread/internal/testbed/history"
)

// withholding has, for each process, how long its threads had waited for a processor at several times.
// It shows when the machine withheld processors from the process.
type withholding struct {
	samples map[string][]waitSample // by process, in ascending order of time
}

// waitSample is how long, in nanoseconds, the threads of a process had waited for a processor by a
// time.
type waitSample struct {
	at, waited int64
}

func newWithholding() withholding {
	return withholding{samples: map[string][]waitSample{}}
}

// add adds the sample of a usage event, and ignores other events.
func (w *withholding) add(e *history.Event) {
	if e.What == history.Usage {
		w.samples[e.Who] = append(w.samples[e.Who], waitSample{at: e.T, waited: e.Withheld})
	}
}

// Withheld returns for how long, between two times, the machine withheld processors from a router's
// processes. An answer that is late by no more than that is not the router's fault. Withheld time
// excuses only late answers, because a busy machine does not lose answers or close connections. A
// stall of the test process excuses nothing, because its operating system records when an answer
// arrived.
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

// waitedBetween returns how long a process waited for processors between two times, according to its
// samples. It counts the wait between two samples only if it was more than half of the time between
// them, and at most the part of that time that lies between the two times. The slack of an answer
// covers shorter waits.
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

// overlap returns how long two periods overlap.
func overlap(begin, end, from, to int64) int64 {
	return max(min(end, to)-max(begin, from), 0)
}

// indexAfter returns the index of the first sample after a time.
func indexAfter(samples []waitSample, t int64) int {
	return sort.Search(len(samples), func(i int) bool { return samples[i].at > t })
}

// noticeableStall is the longest withheld time that the text of a violation does not mention.
const noticeableStall = 200 * time.Millisecond
