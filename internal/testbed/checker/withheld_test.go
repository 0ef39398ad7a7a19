package checker

import (
	"testing"
	"time"

	"reachspread/internal/testbed/history"
)

// withheldHistory returns the history of a play on a machine that withheld processors: for 300 ms up to
// 9.4 s from the test process, and for 400 ms between 9 s and 9.5 s from r0.
func withheldHistory() []history.Event {
	return append(healthyHistory(),
		history.Event{T: 9000 * ms, What: history.Usage, Who: "r0", Withheld: 50 * ms},
		history.Event{T: 9400 * ms, What: history.Fault, N: 1 << 16, Text: machineStall, ID: "300ms"},
		history.Event{T: 9400 * ms, What: history.Heal, N: 1 << 16, Text: machineStall},
		history.Event{T: 9500 * ms, What: history.Usage, Who: "r0", Withheld: 450 * ms},
		history.Event{T: 9500 * ms, What: history.Usage, Who: "r1", Withheld: 1})
}

// Withheld counts the wait of a process between two samples as far as it fits between the two times,
// and only if the process waited for more than half of the time between the samples. Stalls of the
// test process do not count.
func TestWithheld(t *testing.T) {
	c := NewCase(withheldHistory())
	for _, x := range []struct {
		router   string
		from, to int64
		want     time.Duration
	}{
		{"r0", 9100 * ms, 9450 * ms, 350 * ms},
		{"r0", 9000 * ms, 9600 * ms, 400 * ms},
		{"r0", 9300 * ms, 9450 * ms, 150 * ms},
		{"r0", 9500 * ms, 9600 * ms, 0},
		{"r0", 8000 * ms, 8900 * ms, 0}, // 50 ms in 9 s
		{"r1", 9100 * ms, 9450 * ms, 0},
		{"r2", 9400 * ms, 9450 * ms, 0},
	} {
		if got := c.Withheld(x.router, x.from, x.to); got != x.want {
			t.Errorf("%s from %v to %v: %v, not %v", x.router, time.Duration(x.from), time.Duration(x.to), got, x.want)
		}
	}
}

// The withheld time excuses an answer that is late by at most that time, and nothing else.
func TestWithheldExcusesLatenessAlone(t *testing.T) {
	const asked, until = 9100 * ms, 9110 * ms
	for _, x := range []struct {
		name  string
		who   string
		at    int64
		how   history.How
		found int
	}{
		{"late by what was withheld", "r0", 9450 * ms, history.Refused, 0},
		{"later than that", "r0", until + 50*ms + 400*ms + 1, history.Refused, 1},
		{"late at a router from which nothing was withheld", "r2", until + 50*ms + 1, history.Refused, 1},
		{"none in that time", "r0", 9450 * ms, history.None, 0},
		{"a connection that ended", "r0", 9450 * ms, history.Interrupted, 1},
		{"a stream that broke", "r0", 9450 * ms, history.Broken, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			events := append(withheldHistory(), history.Event{T: asked, What: history.Ask, ID: "z", Who: x.who, Until: until},
				history.Event{T: x.at, What: history.Answer, ID: "z", How: x.how})
			if found := answer(NewCase(events)); len(found) != x.found {
				t.Errorf("found %v", found)
			}
		})
	}
}

// An answer is judged by the time at which it arrived at the client's operating system. It is due when
// its request, whose deadline counts from the departure of its first byte, says so. Delays of the test
// process in sending or reading are therefore not blamed on the router.
func TestAnswerIsJudgedByItsArrival(t *testing.T) {
	const asked, until, slack = 9100 * ms, 9110 * ms, 50 * ms
	answered := history.Event{T: until + 900*ms, What: history.Answer, ID: "z", How: history.Refused}
	for _, x := range []struct {
		name         string
		arrived, due int64
		found        int
	}{
		{"came in time, seen late", until + slack, until, 0},
		{"came late", until + slack + 1, until, 1},
		{"not known when it came", 0, until, 1},
		{"sent late, came in time", until + 300*ms + slack, until + 300*ms, 0},
		{"sent late, came late", until + 300*ms + slack + 1, until + 300*ms, 1},
		{"stated an earlier end than the client's", until + slack, until - 10*ms, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			ask := history.Event{T: asked, What: history.Ask, ID: "z", Who: "r2", Until: until}
			last, first := answered, answered
			last.Arrived, last.Until = x.arrived, x.due
			first.What, first.How, first.Arrived, first.Until = history.First, "", x.arrived, x.due
			whole := history.Event{T: until + 2000*ms, What: history.Answer, ID: "z", How: history.Complete}
			for _, events := range [][]history.Event{{ask, last}, {ask, first, whole}} {
				if found := answer(NewCase(append(withheldHistory(), events...))); len(found) != x.found {
					t.Errorf("found %v", found)
				}
			}
		})
	}
}
