package checker

import (
	"fmt"
	"strings"
	"testing"

	"reachspread/internal/testbed/history"
)

const ms = 1_000_000

// healthyHistory returns a history without violations. It has two routers, two hosts, requests that are
// served, refused and retried, a host that drains, and a process that exits after SIGTERM.
func healthyHistory() []history.Event {
	all := []history.Event{
		{What: history.Begin, Play: &history.Play{Version: 1, World: "rig", Routers: 2, Hosts: 2, Slack: 50 * ms, Memory: 32 << 20, Sockets: 256,
			Leave: 3000 * ms, Settle: 1000 * ms, Views: 3000 * ms}},
		{T: 1, What: history.Start, Who: "r0", PID: 7}, {T: 1, What: history.Start, Who: "r1", PID: 8},
		{T: 2, What: history.Ready, Who: "r0"}, {T: 2, What: history.Ready, Who: "r1"},
		{T: 3, What: history.Usage, Who: "r0", Memory: 20 << 20, Descriptors: 100},
		{T: 10 * ms, What: history.Ask, ID: "a", Who: "r0", Until: 1000 * ms},
		{T: 11 * ms, What: history.Attempt, ID: "a", Who: "h0", From: "r0", Conn: "c1"},
		{T: 20 * ms, What: history.Closed, Conn: "c1"},
		{T: 21 * ms, What: history.Attempt, ID: "a", Who: "h1", From: "r0", Conn: "c2"},
		{T: 300 * ms, What: history.Done, ID: "a", Who: "h0"}, // recorded late
		{T: 400 * ms, What: history.Done, ID: "a", Who: "h1"},
		{T: 100 * ms, What: history.First, ID: "a"},
		{T: 401 * ms, What: history.Answer, ID: "a", How: history.Complete, Status: 200},
		{T: 500 * ms, What: history.ListApplied, Who: "r0", From: "h0", Text: "Terminating"},
		{T: 900 * ms, What: history.Ask, ID: "b", Who: "r0", Until: 2000 * ms},
		{T: 901 * ms, What: history.Attempt, ID: "b", Who: "h0", From: "r0", Conn: "c3"},
		{T: 902 * ms, What: history.Done, ID: "b", Who: "h0"},
		{T: 903 * ms, What: history.Answer, ID: "b", How: history.Refused, Status: 503},
		{T: 1000 * ms, What: history.Term, Who: "r1"},
		{T: 2000 * ms, What: history.Exit, Who: "r1"},
		{T: 2900 * ms, What: history.Start, Who: "r1", PID: 9},
	}
	// Requests before, during and after a fault.
	for i := range 60 {
		t := int64(3000+100*i) * ms
		id := fmt.Sprint("q", i)
		how, status := history.Complete, 200
		if t >= 5000*ms && t < 6000*ms {
			how, status = history.Refused, 503
		}
		if t == 5000*ms {
			all = append(all, history.Event{T: t, What: history.Fault, Text: "kill", Routers: []int{1}},
				history.Event{T: t, What: history.Exit, Who: "r1", Status: -1, Text: "killed"})
		}
		if t == 6000*ms {
			all = append(all, history.Event{T: t, What: history.Heal, Text: "kill"}, history.Event{T: t, What: history.Start, Who: "r1"},
				history.Event{T: t, What: history.Ready, Who: "r1"})
		}
		all = append(all, history.Event{T: t, What: history.Ask, ID: id, Who: "r0", Until: t + 500*ms},
			history.Event{T: t + 50*ms, What: history.First, ID: id}, history.Event{T: t + 90*ms, What: history.Answer, ID: id, How: how, Status: status})
	}
	op := func(t int64, what history.What, id, kind, value string) {
		all = append(all, history.Event{T: t * ms, What: what, Who: "c" + id, ID: id, Op: &history.Op{Kind: kind, Key: "k", Value: value}})
	}
	op(9000, history.Invoke, "1", "write", "x") // its end is unknown, and it takes effect late
	op(9010, history.Invoke, "2", "write", "y")
	op(9020, history.OK, "2", "write", "y")
	op(9030, history.Invoke, "3", "read", "")
	op(9040, history.OK, "3", "read", "y")
	op(9050, history.Invoke, "4", "read", "")
	op(9060, history.OK, "4", "read", "x")
	for i, n := range []int{0, 1} { // views before the kill and long after it
		who := fmt.Sprint("r", n)
		all = append(all, history.Event{T: int64(2950+i) * ms, What: history.View, Who: who, Text: "d1", N: 1, Incarnation: 1, Routers: []int{0, 1}},
			history.Event{T: int64(9400+i) * ms, What: history.View, Who: who, Text: "d2", N: 3, Incarnation: 2, Routers: []int{0, 1}})
	}
	return append(all, history.Event{T: 10000 * ms, What: history.End})
}

// The checkers find no violation in a healthy history.
func TestNothingFound(t *testing.T) {
	for _, v := range CheckAll(healthyHistory()) {
		t.Error(v.String())
	}
}

// Each planted violation is found by its own checker and by no other.
func TestPlanted(t *testing.T) {
	add := func(more ...history.Event) func([]history.Event) []history.Event {
		return func(all []history.Event) []history.Event { return append(all, more...) }
	}
	change := func(fits func(*history.Event) bool, to func(*history.Event)) func([]history.Event) []history.Event {
		return func(all []history.Event) []history.Event {
			for i := range all {
				if fits(&all[i]) {
					to(&all[i])
				}
			}
			return all
		}
	}
	is := func(what history.What, who, id string) func(*history.Event) bool {
		return func(e *history.Event) bool {
			return e.What == what && (who == "" || e.Who == who) && (id == "" || e.ID == id)
		}
	}
	drop := func(e *history.Event) { e.What = history.Note }
	ask := history.Event{T: 9100 * ms, What: history.Ask, ID: "z", Who: "r0", Until: 9200 * ms}
	for name, x := range map[string]struct {
		checker string
		plant   func([]history.Event) []history.Event
		text    string
	}{
		"ended by itself":      {"crash", add(history.Event{T: 9000 * ms, What: history.Exit, Who: "r7", Status: 2}), "ended by itself, status 2"},
		"killed by nobody":     {"crash", add(history.Event{T: 9000 * ms, What: history.Exit, Who: "r7", Status: -1, Text: "killed"}), "ended by itself"},
		"a panic":              {"crash", add(history.Event{T: 9000 * ms, What: history.Log, Who: "r0", Text: "panic: runtime error"}), "panic: runtime"},
		"caught":               {"hang", add(history.Event{T: 9000 * ms, What: history.Unresponsive, Who: "r0", Text: "dump"}), "dump"},
		"no answer":            {"answer", add(ask), "no final answer by the end"},
		"none in time":         {"answer", add(ask, history.Event{T: 9900 * ms, What: history.Answer, ID: "z", How: history.None}), "no final answer in time"},
		"cut off":              {"answer", add(ask, history.Event{T: 9150 * ms, What: history.Answer, ID: "z", How: history.Interrupted}), "ended without an answer"},
		"broken by nothing":    {"answer", add(ask, history.Event{T: 9150 * ms, What: history.Answer, ID: "z", How: history.Broken}), "stream broke"},
		"late":                 {"answer", add(ask, history.Event{T: 9300 * ms, What: history.Answer, ID: "z", How: history.Refused}), "100ms after its client"},
		"late first event":     {"answer", add(ask, history.Event{T: 9300 * ms, What: history.First, ID: "z"}, history.Event{T: 9350 * ms, What: history.Answer, ID: "z", How: history.Complete}), "100ms after"},
		"two answers":          {"answer", add(history.Event{T: 9000 * ms, What: history.Answer, ID: "q1", How: history.Failed}), "2 final answers"},
		"nobody asked":         {"answer", add(history.Event{T: 9000 * ms, What: history.Answer, ID: "z", How: history.Complete}), "nobody asked"},
		"two out":              {"attempt", change(is(history.Closed, "", ""), drop), "at h1 while the one at h0 is out for 279ms more"},
		"drained":              {"drain", change(is(history.Attempt, "h0", "b"), func(e *history.Event) { e.T = 1100 * ms }), "600ms after the list"},
		"fell":                 {"cold", add(history.Event{T: 9000 * ms, What: history.HostOverloaded, Who: "h1"}), "fell over"},
		"memory":               {"limits", change(is(history.Usage, "", ""), func(e *history.Event) { e.Memory = 33 << 20 }), "memory of 34603008 bytes"},
		"descriptors":          {"limits", change(is(history.Usage, "", ""), func(e *history.Event) { e.Descriptors = 257 }), "descriptors: 257"},
		"datagram":             {"limits", add(history.Event{T: 9000 * ms, What: history.OversizedDatagram, Who: "r0", Bytes: 257}), "257 bytes"},
		"leaves late":          {"leave", change(func(e *history.Event) bool { return e.T == 2000*ms }, func(e *history.Event) { e.T += 2100 * ms }), "3.1s after SIGTERM"},
		"status after SIGTERM": {"leave", change(func(e *history.Event) bool { return e.What == history.Exit && e.T == 2000*ms }, func(e *history.Event) { e.Status = 2 }), "status 2 after"},
		"not ready again":      {"return", change(func(e *history.Event) bool { return e.What == history.Ready && e.T == 6000*ms }, func(e *history.Event) { e.What = history.Unready }), "r1 at 7s: not ready"},
		"not served again":     {"return", change(func(e *history.Event) bool { return e.What == history.Answer && e.T > 7000*ms }, func(e *history.Event) { e.How = history.Refused }), "0% of 20"},
		"an incarnation falls": {"view", change(is(history.View, "r1", ""), func(e *history.Event) { e.Incarnation = 3 - e.Incarnation }), "went from 2 to 1"},
		"not in its own view":  {"view", change(func(e *history.Event) bool { return e.What == history.View && e.Who == "r1" && e.Incarnation == 1 }, func(e *history.Event) { e.Routers = []int{0} }), "own view"},
		"views differ":         {"view", change(func(e *history.Event) bool { return e.What == history.View && e.Who == "r1" && e.Incarnation == 2 }, func(e *history.Event) { e.Text = "d3" }), "its view is d3, that of r0 is d2"},
		"somebody is missing":  {"view", change(func(e *history.Event) bool { return e.What == history.View && e.Who == "r0" && e.Incarnation == 2 }, func(e *history.Event) { e.Routers = []int{0} }), "r1 is in its view: false; it lives: true"},
		"no view":              {"view", change(is(history.View, "r1", ""), drop), "tells no view"},
		"well, and missing":    {"view", add(history.Event{T: 30000 * ms, What: history.View, Who: "r0", Text: "d", Incarnation: 2, Routers: []int{0}}, history.Event{T: 40000 * ms, What: history.End}), "r1 is missing; it has been well"},
		"an old value again":   {"linear", add(history.Event{T: 9070 * ms, What: history.Invoke, Who: "c5", ID: "5", Op: &history.Op{Kind: "read", Key: "k"}}, history.Event{T: 9080 * ms, What: history.OK, Who: "c5", ID: "5", Op: &history.Op{Kind: "read", Key: "k", Value: "y"}}), "fit no order"},
		"a cas that could not": {"linear", add(history.Event{T: 9070 * ms, What: history.Invoke, Who: "c5", ID: "5", Op: &history.Op{Kind: "cas", Key: "k", Old: "y", Value: "w"}}, history.Event{T: 9080 * ms, What: history.OK, Who: "c5", ID: "5", Op: &history.Op{Kind: "cas", Key: "k", Old: "y", Value: "w", Succeeded: true}}), "fit no order"},
	} {
		t.Run(name, func(t *testing.T) {
			found := CheckAll(x.plant(healthyHistory()))
			if len(found) == 0 {
				t.Fatal("the planted violation was not found")
			}
			if !strings.Contains(found[0].String(), x.text) {
				t.Errorf("got %q, want %q", found[0].String(), x.text)
			}
			for _, v := range found {
				if v.Checker != x.checker {
					t.Errorf("checker %s also found a violation: %s", v.Checker, v.String())
				}
			}
		})
	}
}

// A fault excuses failures of the routers, hosts and links that it affects, and no others.
func TestExcuses(t *testing.T) {
	lost := func(who, how string) []history.Event {
		return []history.Event{{T: 9100 * ms, What: history.Ask, ID: "z", Who: who, Until: 9200 * ms},
			{T: 9110 * ms, What: history.Attempt, ID: "z", Who: "h0", From: who}, {T: 9120 * ms, What: history.Done, ID: "z", Who: "h0"},
			{T: 9300 * ms, What: history.Answer, ID: "z", How: history.How(how)}}
	}
	for name, x := range map[string]struct {
		fault    history.Event
		who, how string
		found    int
	}{
		"a router that stood still": {history.Event{Text: "pause", Routers: []int{0}}, "r0", "none", 0},
		"the one beside it":         {history.Event{Text: "pause", Routers: []int{1}}, "r0", "none", 1},
		"a host that reset":         {history.Event{Text: "reset", Hosts: []int{0}}, "r0", "broken", 0},
		"another host":              {history.Event{Text: "reset", Hosts: []int{1}}, "r0", "broken", 1},
		"a host, and no answer":     {history.Event{Text: "reset", Hosts: []int{0}}, "r0", "none", 1},
		"a link to hosts":           {history.Event{Text: "cut", Routers: []int{0}, Links: []string{"hosts"}}, "r0", "broken", 0},
		"another router's link":     {history.Event{Text: "cut", Routers: []int{1}, Links: []string{"hosts"}}, "r0", "broken", 1},
		"a link to peers":           {history.Event{Text: "cut", Routers: []int{0}, Links: []string{"peers"}}, "r0", "broken", 1},
		"all zones apart":           {history.Event{Text: "partition", All: true, Links: []string{"hosts"}}, "r0", "broken", 0},
	} {
		t.Run(name, func(t *testing.T) {
			x.fault.What, x.fault.T, x.fault.N = history.Fault, 9050*ms, 5
			c := NewCase(append(append(healthyHistory(), x.fault), lost(x.who, x.how)...))
			if found := answer(c); len(found) != x.found {
				t.Errorf("wrong number of violations: %v", found)
			}
		})
	}
}
