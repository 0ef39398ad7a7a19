package balance

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"reachspread/internal/rendezvous"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

func testConfig() Config {
	return Config{
		Zone: "here",
		Classes: []Class{
			{Name: "safe", Effect: Safe, LatencyTarget: sec, Deadline: 4 * sec, Streamed: true},
			{Name: "keyed", Effect: Keyed, DedupScope: ScopeCell, DedupWindow: 2 * sec, LatencyTarget: sec, Deadline: 4 * sec, Streamed: true},
			{Name: "keyed-all", Effect: Keyed, DedupScope: ScopeAll, DedupWindow: 2 * sec, LatencyTarget: sec, Deadline: 4 * sec, Streamed: true},
			{Name: "unsafe", Effect: Unsafe, LatencyTarget: sec, Deadline: 4 * sec, Streamed: true},
		},
		MaxAttempts:          3,
		SlowStartMinCapacity: 0.2, SlowStartWindow: 10 * sec, OverloadFactor: 2, OverloadWindow: 2 * sec, StepInterval: ms,
	}
}

// testRouter drives one Balancer with a clock and numbers its requests.
type testRouter struct {
	t   *testing.T
	b   *Balancer
	now time.Duration
	ids int
}

func newTestRouter(t *testing.T, cfg Config, replicas ...Member) *testRouter {
	t.Helper()
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	g := &testRouter{t: t, b: b, now: 100 * sec}
	g.step(Members{Version: 1, Complete: true, Members: replicas})
	return g
}

func (g *testRouter) step(events ...Event) []Action { return g.b.Step(g.now, events) }

func (g *testRouter) after(d time.Duration, events ...Event) []Action {
	g.now += d
	return g.step(events...)
}

// request returns a new arrival of a class with 1,000 prompt tokens.
func (g *testRouter) request(class string) Arrival {
	g.ids++
	return Arrival{ID: fmt.Sprint("q", g.ids), Class: class, TimeLeft: 2 * sec, PromptTokens: 1000, WorkEstimate: 100 * ms}
}

// serve sends a request, reports its first token after a while and a complete answer, and returns
// its replica.
func (g *testRouter) serve(q Arrival, first time.Duration, cached float64) string {
	g.t.Helper()
	replica := sentTo(g.t, g.step(q))
	g.after(first, FirstToken{ID: q.ID})
	g.step(Outcome{ID: q.ID, Result: OK, Final: true, CachedTokens: cached})
	return replica
}

func members(names ...string) []Member {
	var list []Member
	for _, n := range names {
		list = append(list, Member{Replica: n, Zone: "here", Kind: "k"})
	}
	return list
}

// numberedNames returns n names that consist of a common prefix and a number.
func numberedNames(start string, n int) []string {
	var names []string
	for i := 0; i < n; i++ {
		names = append(names, fmt.Sprintf("%s%02d", start, i))
	}
	return names
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) []A {
	var list []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			list = append(list, a)
		}
	}
	return list
}

func sentTo(t *testing.T, actions []Action) string {
	t.Helper()
	sends := actionsOf[Send](actions)
	if len(sends) != 1 {
		t.Fatalf("want one Send, got %v", actions)
	}
	return sends[0].Replica
}

func TestNewRejects(t *testing.T) {
	tests := []struct {
		field  string
		change func(*Config)
	}{
		{"Classes is empty", func(c *Config) { c.Classes = nil }},
		{"Classes[1].Name", func(c *Config) { c.Classes[1].Name = "safe" }},
		{"Classes[0].Effect", func(c *Config) { c.Classes[0].Effect = 7 }},
		{"Classes[2]", func(c *Config) { c.Classes[2].LatencyTarget = -1 }},
		{"Classes[0]", func(c *Config) { c.Classes[0].Deadline = -1 }},
		{"Classes[0]", func(c *Config) { c.Classes[0].DedupWindow = -1 }},
		{"SlowStartWindow", func(c *Config) { c.SlowStartWindow = -1 }},
		{"OverloadWindow", func(c *Config) { c.OverloadWindow = -1 }},
		{"StepInterval", func(c *Config) { c.StepInterval = -1 }},
	}
	for _, tt := range tests {
		cfg := testConfig()
		tt.change(&cfg)
		if _, err := New(cfg, 1); err == nil || !strings.Contains(err.Error(), tt.field) {
			t.Errorf("New: want an error that names %s, got %v", tt.field, err)
		}
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a")...)
	for _, ev := range []Event{
		FirstToken{ID: "x"}, Outcome{ID: "x", Attempt: 3}, Aborted{ID: "x"}, TimerExpired{Token: 99},
		ProbeResult{Replica: "x", Result: TimedOut}, Members{Version: 0, Complete: true},
	} {
		if out := g.step(ev); len(out) != 0 {
			t.Errorf("%#v: want no action, got %v", ev, out)
		}
	}
	if sentTo(t, g.step(g.request("safe"))) != "a" {
		t.Error("an outdated list replaced the newer one")
	}
}

func TestUnknownClassIsRejected(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a")...)
	if out := g.step(g.request("unlisted")); len(actionsOf[Reject](out)) != 1 {
		t.Errorf("request of an unknown class: want a rejection, got %v", out)
	}
}

// A request is sent as soon as a replica has capacity, and queued requests are sent in order of
// their response ratio.
func TestDispatchOrder(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a")...)
	r := g.b.replicas["a"]
	r.limit = 1
	first := g.request("safe")
	sentTo(t, g.step(first))
	long, short := g.request("safe"), g.request("safe")
	long.PromptTokens, short.PromptTokens = 9000, 100
	if out := g.step(long); len(actionsOf[Send](out)) != 0 {
		t.Fatalf("request sent beyond the concurrency limit: %v", out)
	}
	g.after(20*ms, short)
	r.limit = 2
	if got := actionsOf[Send](g.after(100 * ms)); len(got) != 1 || got[0].ID != short.ID {
		t.Errorf("after 20 ms in the queue: want the short prompt sent first, got %v", got)
	}
	// The same two requests, but the one with the long prompt has waited much longer.
	longTarget := testConfig()
	longTarget.Classes[0].LatencyTarget = 10 * sec
	waited := newTestRouter(t, longTarget, members("a")...)
	waited.b.replicas["a"].limit = 1
	waited.step(waited.request("safe"))
	waited.step(long)
	waited.after(900*ms, short)
	waited.b.replicas["a"].limit = 2
	if got := actionsOf[Send](waited.after(ms)); len(got) != 1 || got[0].ID != long.ID {
		t.Errorf("after 900 ms in the queue: want the long prompt sent first, got %v", got)
	}
}

func TestLimitRisesIsReducedAndHasAFloor(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a", "b")...)
	r := g.b.replicas["a"]
	g.b.replicas["b"].State = Draining
	r.limit = 2
	q1, q2 := g.request("safe"), g.request("safe")
	g.step(q1, q2)
	g.after(100*ms, FirstToken{ID: q1.ID})
	if r.limit != 3 {
		t.Errorf("limit of 2 after an answer in time with 2 requests in flight: want 3, got %v", r.limit)
	}
	g.step(Outcome{ID: q1.ID, Result: OK, Final: true}, Outcome{ID: q2.ID, Result: Full})
	if r.limit >= 3 {
		t.Errorf("limit of 3 after the replica was full: want less, got %v", r.limit)
	}
	for i := 0; i < 20; i++ {
		q := g.request("safe")
		g.after(10*sec, q)
		g.after(ms, Outcome{ID: q.ID, Result: Full})
	}
	if r.limit != 1 {
		t.Errorf("limit after 20 rejections: want the minimum of 1, got %v", r.limit)
	}
}

// The time that a client spent before this attempt must not count as latency of the replica
// (incident i58049e).
func TestLaterAttemptDoesNotReduceTheLimit(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a")...)
	first := g.request("safe")
	g.step(first)
	g.step(FirstToken{ID: first.ID}, Outcome{ID: first.ID, Result: OK, Final: true})
	later := g.request("safe")
	later.TimeLeft = 1400 * ms // 2.6 s of the deadline of 4 s have passed
	g.b.replicas["a"].ejectedUntil = 0
	before := g.b.replicas["a"].limit
	a := &attempt{request: &request{class: g.b.classes["safe"], latencyTarget: sec, arrivedAt: g.now - 2*sec}, replica: g.b.replicas["a"],
		sentAt: g.now - 100*ms}
	g.b.adjustLimit(a)
	if got := g.b.replicas["a"].limit; got < before {
		t.Errorf("limit reduced from %v to %v by a second attempt that was in time", before, got)
	}
}

// If all replicas are slow, lateness must not reduce every concurrency limit to its minimum.
func TestLatenessAloneKeepsTheLimitAboveItsFloor(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a", "b", "c")...)
	for i := 0; i < 50; i++ {
		replica := g.serve(g.request("safe"), 1100*ms, 0)
		if c := g.b.replicas[replica].limit; c < lateLimitFloor {
			t.Fatalf("limit of %s fell to %v, below lateLimitFloor", replica, c)
		}
	}
}

func TestCheaperOfTwoAffinityHosts(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a", "b", "c", "d", "e", "f")...)
	used := map[string]int{}
	for i := 0; i < 60; i++ {
		q := g.request("safe")
		q.Prefix, q.PrefixTokens = fmt.Sprint("p", i%10), 900
		if r := g.serve(q, 50*ms, 900); i%10 == 0 {
			used[r]++
		}
	}
	if len(used) > 2 {
		t.Errorf("prefix p0 was sent to %d replicas, want at most 2: %v", len(used), used)
	}
	other := newTestRouter(t, testConfig(), members("a", "b", "c", "d", "e", "f")...)
	q := other.request("safe")
	q.Prefix, q.PrefixTokens = "p0", 900
	if r := sentTo(t, other.step(q)); used[r] == 0 {
		t.Errorf("another router sent prefix p0 to %s; affinity hosts are %v", r, used)
	}
}

// Two affinity hosts are too few for a prefix that many routers of a large fleet use, because no
// router sees the load that the others put on these hosts (incident iaaacad). The number of
// affinity hosts must grow with the fraction of the prompts that have the prefix.
func TestAffinityHostsGrowWithThePrefixFraction(t *testing.T) {
	names := numberedNames("r", 60)
	used := map[string]map[string]bool{"hot": {}, "rare": {}}
	for n := 0; n < 40; n++ { // 40 routers with 50 prompts each
		g := newTestRouter(t, testConfig(), members(names...)...)
		for i := 0; i < 50; i++ {
			q := g.request("safe")
			q.Session, q.Prefix, q.PrefixTokens = fmt.Sprint("s", n, "-", i), "hot", 900
			if i%2 > 0 {
				q.Prefix = fmt.Sprint("other", i)
			}
			if i == 49 {
				q.Prefix = "rare"
			}
			r := g.serve(q, 50*ms, 900)
			if used[q.Prefix] != nil {
				used[q.Prefix][r] = true
			}
		}
	}
	if hot, rare := len(used["hot"]), len(used["rare"]); hot < 20 || hot > 50 || rare > 4 {
		t.Errorf("half of all prompts went to %d of 60 replicas, want 20 to 50; a rare prefix went to %d, want at most 4", hot, rare)
	}
}

// A frequent prefix must not overload its affinity hosts.
func TestHotPrefixGetsFurtherAffinityHosts(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a", "b", "c", "d", "e", "f")...)
	used := map[string]int{}
	for i := 0; i < 40; i++ {
		q := g.request("safe")
		q.Prefix, q.PrefixTokens = "p", 900
		for _, s := range actionsOf[Send](g.after(ms, q)) {
			used[s.Replica]++
			g.step(FirstToken{ID: q.ID})
		}
	}
	if len(used) < 4 {
		t.Errorf("40 prompts at once with one prefix went to %d replicas, want at least 4: %v", len(used), used)
	}
}

func TestLocalZoneFirstAndOverflow(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZonePenalty = 0.1
	near, far := members("a")[0], members("b")[0]
	far.Zone = "there"
	g := newTestRouter(t, cfg, near, far)
	for i := 0; i < 3; i++ {
		if r := sentTo(t, g.after(ms, g.request("safe"))); r != "a" {
			t.Fatalf("request %d was sent to %s, want replica a of the router's own zone", i, r)
		}
	}
	for i := 0; i < 20; i++ {
		for _, s := range actionsOf[Send](g.step(g.request("safe"))) {
			if s.Replica == "b" {
				return
			}
		}
	}
	t.Error("none of 20 requests was sent to the other zone although replica a is overloaded")
}

func TestDrainGraceIsNotUsed(t *testing.T) {
	for _, state := range []State{Draining, Removed} {
		g := newTestRouter(t, testConfig(), members("a")...)
		updated := members("a")[0]
		updated.State = state
		if out := g.step(Members{Version: 2, Members: []Member{updated}}, g.request("safe")); len(actionsOf[Send](out)) != 0 {
			t.Errorf("state %d: request sent to the replica in the step that delisted it: %v", state, out)
		}
	}
	g := newTestRouter(t, testConfig(), members("a", "b")...)
	g.step(Members{Version: 2, Complete: true, Members: members("b")})
	if r := sentTo(t, g.step(g.request("safe"))); r != "b" {
		t.Errorf("request sent to %s, which is not in the latest list", r)
	}
}

// A queued request is answered before its client gives up, even if no replica can take it.
func TestQueuedRequestIsAnsweredInTime(t *testing.T) {
	full := func(g *testRouter) { g.b.replicas["a"].limit = 0 }
	tests := []struct {
		name    string
		members []Member
		prepare func(*testRouter)
	}{
		{"no replica known", nil, func(*testRouter) {}},
		{"all full", members("a"), full},
		{"all ejected", members("a"), func(g *testRouter) { g.b.replicas["a"].ejectedUntil = g.now + 100*sec }},
	}
	for _, tt := range tests {
		g := newTestRouter(t, testConfig(), tt.members...)
		tt.prepare(g)
		q := g.request("safe")
		out := g.step(q)
		end := g.now + q.TimeLeft
		for g.now < end && len(actionsOf[Reject](out))+len(actionsOf[Fail](out)) == 0 {
			timers := actionsOf[SetTimer](out)
			if len(timers) == 0 {
				t.Fatalf("%s: request queued without a timer", tt.name)
			}
			out = g.after(timers[len(timers)-1].Delay, TimerExpired{Token: timers[len(timers)-1].Token})
		}
		if n := len(actionsOf[Reject](out)); n != 1 || g.now >= end {
			t.Errorf("%s: want one rejection before the client gives up, got %d rejections at %v; the client gives up at %v", tt.name, n, g.now, end)
		}
	}
}

func TestRetries(t *testing.T) {
	type want int
	const (
		resend want = iota
		reject
		fail
	)
	tests := []struct {
		class  string
		result Result
		wait   time.Duration
		want   want
	}{
		{"safe", Error, ms, resend},
		{"safe", NoConnection, ms, resend},
		{"safe", TimedOut, 2 * sec, reject},
		{"unsafe", Error, ms, fail},
		{"unsafe", Reset, ms, fail},
		{"unsafe", TimedOut, 2 * sec, fail},
		{"unsafe", Full, ms, resend},
		{"unsafe", NoConnection, ms, resend},
		{"unsafe", NotSent, 2 * sec, reject},
		{"keyed", Error, ms, resend},
		{"keyed", TimedOut, 2 * sec, fail},
		{"keyed-all", TimedOut, 2 * sec, reject},
	}
	for _, tt := range tests {
		list := members("a", "b", "c", "d")
		for i := range list {
			list[i].Cell = i / 2 // a and b share a cell and discard each other's duplicates, and so do c and d
		}
		g := newTestRouter(t, testConfig(), list...)
		q := g.request(tt.class)
		first := sentTo(t, g.step(q))
		out := g.after(tt.wait, Outcome{ID: q.ID, Result: tt.result})
		got := []int{len(actionsOf[Send](out)), len(actionsOf[Reject](out)), len(actionsOf[Fail](out))}
		if want := []int{0, 0, 0}; true {
			want[tt.want] = 1
			if !reflect.DeepEqual(got, want) {
				t.Errorf("class %s after result %d: want counts of Send, Reject, Fail %v, got %v", tt.class, tt.result, want, got)
				continue
			}
		}
		if tt.want == resend {
			second := sentTo(t, out)
			if second == first {
				t.Errorf("class %s: request sent to %s twice", tt.class, first)
			}
			if tt.class == "keyed" && g.b.replicas[second].Cell != g.b.replicas[first].Cell {
				t.Errorf("keyed request was retried outside the cell that discards its duplicates")
			}
		}
	}
}

func TestDedupWindow(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].DedupWindow = 100 * ms
	g := newTestRouter(t, cfg, members("a", "b")...)
	q := g.request("keyed")
	sentTo(t, g.step(q))
	if out := g.after(200*ms, Outcome{ID: q.ID, Result: Error}); len(actionsOf[Fail](out)) != 1 {
		t.Errorf("error after the dedup window: want one Fail, got %v", out)
	}
}

func TestNothingAfterTheAnswer(t *testing.T) {
	tests := []struct {
		name   string
		events func(id string) []Event
	}{
		{"aborted, then a failed attempt", func(id string) []Event {
			return []Event{Aborted{ID: id}, Outcome{ID: id, Result: Error}}
		}},
		{"first token, then the connection breaks", func(id string) []Event {
			return []Event{FirstToken{ID: id}, Outcome{ID: id, Result: Reset, Final: true}}
		}},
		{"final outcome, then aborted", func(id string) []Event {
			return []Event{Outcome{ID: id, Result: OK, Final: true}, Aborted{ID: id}, Outcome{ID: id, Result: OK}}
		}},
	}
	for _, tt := range tests {
		g := newTestRouter(t, testConfig(), members("a", "b")...)
		q := g.request("safe")
		g.step(q)
		out := g.after(ms, tt.events(q.ID)...)
		if n := len(actionsOf[Send](out)) + len(actionsOf[Reject](out)) + len(actionsOf[Fail](out)); n != 0 {
			t.Errorf("%s: want no Send, Reject or Fail, got %v", tt.name, out)
		}
		if len(g.b.requests) != 0 {
			t.Errorf("%s: %d closed requests are still in the request map", tt.name, len(g.b.requests))
		}
	}
}

func TestMaxAttempts(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a", "b", "c", "d", "e")...)
	q := g.request("safe")
	out := g.step(q)
	sends := len(actionsOf[Send](out))
	for n := 0; n < 5; n++ {
		out = g.after(ms, Outcome{ID: q.ID, Attempt: n, Result: NoConnection})
		sends += len(actionsOf[Send](out))
		if len(actionsOf[Reject](out)) > 0 {
			break
		}
	}
	if sends != 3 {
		t.Errorf("want 3 attempts in all, got %d", sends)
	}
}

func TestEjectionAndTrial(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a", "b")...)
	a := g.b.replicas["a"]
	q := g.request("safe")
	g.b.replicas["b"].State = Draining
	g.step(q)
	out := g.after(ms, Outcome{ID: q.ID, Result: NoConnection})
	if logs := actionsOf[Log](out); len(logs) != 1 || logs[0].Text != "ejected: a" {
		t.Fatalf("want the ejection logged, got %v", out)
	}
	if out := g.step(g.request("safe")); len(actionsOf[Send](out)) != 0 {
		t.Fatal("request sent to an ejected replica")
	}
	g.now = a.ejectedUntil
	again := g.request("safe")
	g.step(again)
	g.step(Outcome{ID: again.ID, Result: NoConnection})
	g.now = a.ejectedUntil
	trial, second := g.request("safe"), g.request("safe")
	if n := len(actionsOf[Send](g.step(trial, second))); n != 1 {
		t.Fatalf("want one trial request after the ejection, got %d", n)
	}
	g.after(100*ms, FirstToken{ID: trial.ID}, FirstToken{ID: second.ID})
	if a.ejectedUntil != 0 || !a.warmingUp {
		t.Errorf("after the trial: ejected until %v, in slow start %v; want no ejection, and slow start after a crash", a.ejectedUntil, a.warmingUp)
	}
}

// A failure other than a refused connection does not prove that the process died. It ejects a
// replica only if it is the second in a row, and the replica does not begin slow start afterwards.
// When stray resets began slow start, a whole healthy fleet got only as much as replicas in slow
// start may get.
func TestSingleFailuresNeitherEjectNorBeginSlowStart(t *testing.T) {
	for _, result := range []Result{TimedOut, Error, Reset} {
		g := newTestRouter(t, testConfig(), members("a")...)
		r := g.b.replicas["a"]
		for n, want := range []bool{false, true} {
			q := g.request("safe")
			g.step(q)
			g.after(2*sec, Outcome{ID: q.ID, Result: result})
			if got := r.ejectedUntil > 0; got != want {
				t.Errorf("after %d failures with result %d: ejected %v", n+1, result, got)
			}
		}
		g.now = r.ejectedUntil
		if g.serve(g.request("safe"), 10*ms, 0); r.ejectedUntil > 0 || r.warmingUp {
			t.Errorf("after an answer following result %d: ejected until %v, in slow start %v; want neither", result, r.ejectedUntil, r.warmingUp)
		}
	}
}

// A replica that accepts requests and never answers must not look idle.
func TestOverdueAnswersCount(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a", "b")...)
	q := g.request("safe")
	unresponsive := sentTo(t, g.step(q))
	g.now += sec
	for i := 0; i < 5; i++ {
		if r := sentTo(t, g.after(ms, g.request("safe"))); r == unresponsive {
			t.Errorf("request %d was sent to %s, which has not answered for a second", i, r)
		}
	}
}

// routersWithSlowStart returns n routers, each of which has sent 5 requests a second to a warm
// replica and then learns of a second replica in slow start.
func routersWithSlowStart(t *testing.T, n int) []*testRouter {
	var list []*testRouter
	for i := 0; i < n; i++ {
		g := newTestRouter(t, testConfig(), members("warm")...)
		g.ids = 1000 * i
		for k := 0; k < 50; k++ {
			q := g.request("safe")
			g.after(200*ms, q)
			g.step(FirstToken{ID: q.ID}, Outcome{ID: q.ID, Result: OK, Final: true})
		}
		cold := members("cold")[0]
		cold.StartedAt = g.now
		g.step(Members{Version: 2, Members: []Member{cold}})
		g.b.replicas["warm"].limit = 0
		list = append(list, g)
	}
	return list
}

// In any window, all routers together must send less than factor x current capacity x window.
func TestSlowStartBudgetOverAnyWindow(t *testing.T) {
	cfg := testConfig()
	type sent struct {
		at   time.Duration
		work float64
	}
	var all []sent
	routers := routersWithSlowStart(t, 4)
	startedAt := routers[0].now
	// Each router sends 0.5 s of work per second to a warm replica, so a warm replica handles at
	// least 2 s per second from the 4 routers.
	capacity := 2.0
	for _, g := range routers {
		for g.now < startedAt+cfg.SlowStartWindow {
			q := g.request("safe")
			if g.ids%7 == 0 {
				q.WorkEstimate = 600 * ms // a request with much work
			}
			for range actionsOf[Send](g.after(50*ms, q)) {
				all = append(all, sent{g.now, q.WorkEstimate.Seconds()})
				g.step(FirstToken{ID: q.ID}, Outcome{ID: q.ID, Result: OK, Final: true})
			}
		}
	}
	if len(all) == 0 {
		t.Fatal("no request was sent to the replica in slow start")
	}
	for at := startedAt; at < startedAt+cfg.SlowStartWindow; at += 50 * ms {
		share := cfg.SlowStartMinCapacity + (1-cfg.SlowStartMinCapacity)*float64(at-startedAt)/float64(cfg.SlowStartWindow)
		sum := 0.0
		for _, s := range all {
			if s.at > at-cfg.OverloadWindow && s.at <= at {
				sum += s.work
			}
		}
		if limit := cfg.OverloadFactor * share * capacity * cfg.OverloadWindow.Seconds(); sum > limit {
			t.Fatalf("%v after the start: %.2f s of work in a window, want at most %.2f", at-startedAt, sum, limit)
		}
	}
}

// With many routers, each router's fraction of the slow-start budget is far below one request. The
// replica in slow start must still get some of the load, but not from all routers at once, and not
// more because attempts fail on other replicas.
func TestSlowStartBudgetOfManyRouters(t *testing.T) {
	const routers, warm, rate = 200, 50, 1.0 // rate is in prompts per second from each router
	for _, failing := range []bool{false, true} {
		names := numberedNames("warm", warm)
		var all []*testRouter
		for i := 0; i < routers; i++ {
			cfg := testConfig()
			b, _ := New(cfg, uint64(i))
			g := &testRouter{t: t, b: b, now: 100*sec + time.Duration(i)*sec/routers, ids: 1000 * i}
			g.step(Members{Version: 1, Complete: true, Members: members(names...)})
			all = append(all, g)
		}
		startedAt := 110 * sec
		var sends []time.Duration
		for n := 0; n < 20; n++ {
			for _, g := range all {
				if n == 10 {
					list := members("cold")
					list[0].StartedAt = startedAt
					g.step(Members{Version: 2, Members: list})
				}
				q := g.request("safe")
				for _, s := range actionsOf[Send](g.step(q)) {
					result := OK
					if failing && s.Replica != "cold" && n%2 > 0 {
						result = Full
					}
					if s.Replica == "cold" {
						sends = append(sends, g.now)
					}
					for _, again := range actionsOf[Send](g.step(Outcome{ID: s.ID, Result: result, Final: result == OK})) {
						if again.Replica == "cold" {
							sends = append(sends, g.now)
						}
						g.step(Outcome{ID: s.ID, Attempt: 1, Result: OK, Final: true})
					}
				}
				g.now += time.Duration(float64(sec) / rate)
			}
		}
		if len(sends) < 3 {
			t.Errorf("failures elsewhere %v: replica in slow start got only %d prompts in 10 s, want at least 3", failing, len(sends))
		}
		cfg := testConfig()
		capacity := 2 * routers * rate / warm // prompts per second; warm replicas are half used
		for at := startedAt; at < startedAt+10*sec; at += 100 * ms {
			count := 0
			for _, s := range sends {
				if s > at-cfg.OverloadWindow && s <= at {
					count++
				}
			}
			share := cfg.SlowStartMinCapacity + (1-cfg.SlowStartMinCapacity)*float64(at-startedAt)/float64(cfg.SlowStartWindow)
			if limit := cfg.OverloadFactor * share * capacity * cfg.OverloadWindow.Seconds(); float64(count) > limit {
				t.Fatalf("failures elsewhere %v, %v after the start: %d prompts in a window, want at most %.1f", failing, at-startedAt, count, limit)
			}
		}
	}
}

func TestLargeFirstRequestWaitsForTheSlowStartBudget(t *testing.T) {
	g := routersWithSlowStart(t, 1)[0]
	q := g.request("safe")
	q.WorkEstimate = 5 * sec
	if out := g.step(q); len(actionsOf[Send](out)) != 0 {
		t.Errorf("a request with more work than the whole budget was sent to a replica in slow start: %v", out)
	}
}

func TestExpiredRequestIsRejected(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a")...)
	for i := 0; i < 7; i++ {
		q := g.request("safe")
		q.PromptTokens = 9000
		g.step(q)
	}
	q := g.request("safe")
	q.TimeLeft = 2 * sec
	if out := g.step(q); len(actionsOf[Reject](out)) != 1 {
		t.Errorf("request with a latency target of 1 s after 63,000 tokens to prefill: want a rejection, got %v", out)
	}
	q = g.request("unsafe")
	if out := g.step(q); len(actionsOf[Reject](out)) != 1 {
		t.Errorf("unsafe request that has not executed: want a rejection, got %v", out)
	}
}

func TestDiscoveryByAsking(t *testing.T) {
	cfg := testConfig()
	cfg.MustSubscribe = true
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	if out := b.Step(sec, []Event{Members{Version: 1, Complete: true, Members: members("a")}}); len(actionsOf[Subscribe](out)) != 1 {
		t.Errorf("first step: want one Subscribe, got %v", out)
	}
	out := b.Step(2*sec, []Event{Members{Failed: true}})
	timers := actionsOf[SetTimer](out)
	if len(timers) != 1 {
		t.Fatalf("after a failed subscription: want one timer, got %v", out)
	}
	out = b.Step(2*sec+timers[0].Delay, []Event{TimerExpired{Token: timers[0].Token}})
	if len(actionsOf[Subscribe](out)) != 1 {
		t.Errorf("timer after a failed subscription: want one Subscribe, got %v", out)
	}
	if sends := actionsOf[Send](b.Step(4*sec, []Event{Arrival{ID: "q", Class: "safe", TimeLeft: sec, PromptTokens: 10}})); len(sends) != 1 {
		t.Errorf("request not sent to the replica that was listed before the subscription failed")
	}
}

// One of many routers observes each replica too rarely to compare two of them (incident iaaacad).
// It probes the samples, never the whole fleet, and sends the request to the sample that reports
// less load. If the probes are not answered, it sends the request after probeTimeout all the same.
func TestSamplesAreProbedWhereReportsAreOld(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe = true
	for _, answered := range []bool{true, false} {
		g := newTestRouter(t, cfg, members("a", "b", "c", "d", "e")...)
		q := g.request("safe")
		q.Prefix = "p"
		out := g.step(q)
		probes := actionsOf[Probe](out)
		if len(probes) != 2 || len(actionsOf[Send](out)) != 0 {
			t.Fatalf("want two probes and the request queued, got %v", out)
		}
		again := q
		again.ID = "again"
		if n := len(actionsOf[Probe](g.step(again))); n != 0 {
			t.Errorf("%d more probes while the first ones are unanswered", n)
		}
		if !answered {
			if n := len(actionsOf[Send](g.after(probeTimeout, TimerExpired{Token: actionsOf[SetTimer](out)[0].Token}))); n != 2 {
				t.Errorf("unanswered probes: want both requests sent after %v, got %d", probeTimeout, n)
			}
			continue
		}
		g.after(ms, ProbeResult{Replica: probes[0].Replica, Result: OK, Load: &Load{InFlight: -1, Utilization: 0.9, PrefillTokens: 0}})
		out = g.after(ms, ProbeResult{Replica: probes[1].Replica, Result: OK, Load: &Load{InFlight: -1, Utilization: 0.1, PrefillTokens: 0}})
		sends := actionsOf[Send](out)
		if len(sends) != 2 || sends[0].Replica != probes[1].Replica {
			t.Errorf("want both requests sent, the first to %s, got %v", probes[1].Replica, out)
		}
		last := g.request("safe")
		last.Prefix = "p"
		if out := g.after(ms, last); len(actionsOf[Probe](out)) != 0 || len(actionsOf[Send](out)) != 1 {
			t.Errorf("with recent load reports: want no probe and one Send, got %v", out)
		}
	}
}

// Replicas must be kept sorted by name whatever the order of the list, because results depend on
// the order.
func TestMembersInAnyOrder(t *testing.T) {
	for _, names := range [][]string{{"a", "b", "c", "d"}, {"d", "b", "a", "c"}} {
		g := newTestRouter(t, testConfig(), members(names...)...)
		var got []string
		for _, r := range g.b.sorted {
			got = append(got, r.Replica)
		}
		if want := []string{"a", "b", "c", "d"}; !reflect.DeepEqual(got, want) {
			t.Errorf("replicas listed as %v: stored as %v, want them sorted by name", names, got)
		}
	}
}

func TestRestartLosesTheCache(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a")...)
	q := g.request("safe")
	q.Prefix, q.PrefixTokens = "p", 900
	g.step(q)
	restarted := members("a")[0]
	restarted.StartedAt = g.now + ms
	g.after(2*ms, Members{Version: 2, Members: []Member{restarted}})
	r := g.b.replicas["a"]
	if n := g.b.prefillTokensOn(&request{Arrival: q}, r); n != 1000 || !r.warmingUp || r.limit != slowStartLimit {
		t.Errorf("after a restart: %v tokens to prefill, in slow start %v, limit %v", n, r.warmingUp, r.limit)
	}
}

// Tokens of other routers that are reported late must not raise the estimated base time of every
// first token (incident i752ce5).
func TestUnreportedTokensDoNotRaiseTheBaseTime(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a")...)
	r := g.b.replicas["a"]
	for i := 0; i < 200; i++ {
		q := g.request("safe")
		g.after(sec, q)
		g.after(600*ms, FirstToken{ID: q.ID}) // 0.6 s for 1,000 tokens: unreported tokens of other routers come first
		g.step(Outcome{ID: q.ID, Result: OK, Final: true})
	}
	g.now += 100 * sec // long enough for the replica's latency ratio to decay
	q := &request{Arrival: g.request("safe"), class: g.b.classes["safe"]}
	q.PromptTokens = 1
	if got := g.b.timeToFirstToken(q, r); got > 0.1 {
		t.Errorf("expected time to the first token of a one-token prompt on an idle replica is %.2f s, want at most 0.1 s", got)
	}
}

// During overload, requests of low value with a long latency target must not fill the replicas'
// queues (incident icafd05) or take the capacity that becomes free while other requests are
// rejected (i813dbf).
func TestLowValueYields(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Value = 5
	cfg.Classes = append(cfg.Classes, Class{Name: "batch", Value: 1, LatencyTarget: 10 * sec, Deadline: 40 * sec, Streamed: true})
	for _, tt := range []struct {
		value  float64
		ahead  int // number of prompts of 2,000 tokens sent before
		length float64
		sends  int
	}{{1, 7, 1000, 0}, {5, 7, 1000, 1}, {1, 2, 1000, 0}, {1, 1, 100, 1}} {
		cfg.Classes[4].Value = tt.value
		g := newTestRouter(t, cfg, members("a")...)
		for i := 0; i < tt.ahead; i++ {
			q := g.request("safe")
			q.PromptTokens = 2000
			g.b.handle(q)
			g.b.send(g.b.requests[q.ID], g.b.replicas["a"])
		}
		g.b.queue = nil
		q := g.request("batch")
		q.PromptTokens = tt.length
		if got := len(actionsOf[Send](g.step(q))); got != tt.sends {
			t.Errorf("request of value %v among value 5, %v tokens, after %d prompts: want %d sends, got %d",
				tt.value, tt.length, tt.ahead, tt.sends, got)
		}
	}
}

// A request is rejected if its first token is expected so late within the latency target that no
// time is left for an error of the estimate or for decoding.
func TestRejectsBeforeTheLatencyTargetIsUsedUp(t *testing.T) {
	for tokens, rejections := range map[float64]int{3000: 0, 8000: 1} {
		g := newTestRouter(t, testConfig(), members("a")...)
		q := g.request("safe")
		q.PromptTokens = tokens - 1000
		g.step(q)
		if got := len(actionsOf[Reject](g.step(g.request("safe")))); got != rejections {
			t.Errorf("%v tokens to prefill before a latency target of 1 s: want %d rejections, got %d", tokens, rejections, got)
		}
	}
}

// A request of the class that others yield to stays queued while it can still be served (incident
// i813dbf).
func TestHighestClassIsQueuedNotRejected(t *testing.T) {
	for _, tt := range []struct {
		value      float64 // of the request's class; another class has value 3
		rejections int
	}{{5, 0}, {3, 1}, {1, 1}} {
		cfg := testConfig()
		for i := range cfg.Classes {
			cfg.Classes[i].Value = 3
		}
		cfg.Classes[0].Value = tt.value
		g := newTestRouter(t, cfg, members("a")...)
		heavy := g.request("unsafe")
		heavy.PromptTokens = 8000
		sentTo(t, g.step(heavy))
		q := g.request("safe")
		actions := g.step(q)
		if got := len(actionsOf[Reject](actions)); got != tt.rejections || len(actionsOf[Send](actions)) > 0 {
			t.Errorf("request of value %v among value 3: want %d rejections and no send, got %v", tt.value, tt.rejections, actions)
		}
		if tt.rejections > 0 {
			continue
		}
		actions = g.after(300*ms, FirstToken{ID: heavy.ID})
		if got := sentTo(t, actions); got != "a" {
			t.Errorf("after the first token of the long prompt: queued request sent to %s, want a", got)
		}
	}
}

// Updates that double the list of replicas, empty it, or list hundreds of replicas are handled like
// any other.
func TestLargeAndChangingFleets(t *testing.T) {
	var names []string
	for i := 0; i < 600; i++ {
		names = append(names, fmt.Sprintf("r%03d", i*7%600))
	}
	g := newTestRouter(t, testConfig(), members(names[:300]...)...)
	used := map[string]bool{}
	spread := func(version int64, list []string, want int) {
		g.after(3*sec, Members{Version: version, Complete: true, Members: members(list...)}) // queued requests have expired and been rejected by then
		clear(used)
		for i := 0; i < 200; i++ {
			q := g.request("safe")
			q.Prefix, q.PrefixTokens = fmt.Sprint("p", i%40), 900
			for _, s := range actionsOf[Send](g.after(20*ms, q)) {
				used[s.Replica] = true
				g.step(FirstToken{ID: s.ID}, Outcome{ID: s.ID, Result: OK, Final: true})
			}
		}
		if len(used) < want {
			t.Errorf("%d replicas listed: only %d used, want at least %d", len(list), len(used), want)
		}
	}
	spread(2, names[:300], 40)
	spread(3, names, 40)
	spread(4, nil, 0)
	if len(used) > 0 {
		t.Errorf("requests sent to %v although the list is empty", used)
	}
	spread(5, names[:1], 1)
}

// The queue's backing array must not keep answered requests reachable.
func TestAnsweredRequestsAreReleased(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a")...)
	for i := 0; i < 5; i++ {
		g.b.handle(g.request("safe"))
	}
	g.step()
	for _, q := range g.b.queue[:cap(g.b.queue)] {
		if q != nil && len(q.attempts) > 0 {
			t.Fatalf("sent request %s is still in the queue's backing array", q.ID)
		}
	}
}

// A replica in slow start has no prefix cached, so a request takes more work there than its work
// estimate says. This was found when a zone of many replicas returned.
func TestSlowStartWorkCountsThePrefix(t *testing.T) {
	g := routersWithSlowStart(t, 1)[0]
	q := g.request("safe")
	q.Prefix, q.PromptTokens, q.PrefixTokens = "p", 6000, 5500
	r := &request{Arrival: q, class: g.b.classes["safe"], prefixKey: "p"}
	cold := g.b.replicas["cold"]
	before := g.b.workOn(r, cold)
	g.after(ms) // entries of the cache from the time of the start itself count as lost
	cold.prefixCache.Put(r.prefixKey, g.b.now, q.PrefixTokens)
	if after := g.b.workOn(r, cold); before < 1.5*after {
		t.Errorf("work without the cached prefix is %v s, with it %v s; want at least 1.5 times as much without", before, after)
	}
}

// A replica of another zone without a load report must not look idle next to a probed replica of
// the router's own zone (found on the simulated day hef4d9d).
func TestSamplesOfOtherZonesAreProbedToo(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.CrossZonePenalty = true, 0.1
	list := members("a", "b", "c", "d")
	list[2].Zone, list[3].Zone = "there", "there"
	g := newTestRouter(t, cfg, list...)
	probed := map[string]bool{}
	for i := 0; i < 8; i++ {
		for _, p := range actionsOf[Probe](g.step(g.request("safe"))) {
			probed[p.Replica] = true
		}
	}
	if !probed["c"] && !probed["d"] {
		t.Errorf("probed only %v, want a replica of the other zone among them", probed)
	}
}

// A client that retries at once meets the same full queues and is rejected again, so a rejection
// states a time after which to retry.
func TestRejectionSaysWhenToComeBack(t *testing.T) {
	for _, tt := range []struct {
		name          string
		maxRetryAfter time.Duration
		class         string
		after         time.Duration // time until the request expires
		want          time.Duration
	}{
		{"latency target passed", 2 * sec, "safe", 3 * sec, 50 * ms},
		{"bounded by MaxRetryAfter", 20 * ms, "safe", 3 * sec, 20 * ms},
		{"no advice configured", 0, "safe", 3 * sec, 0},
		{"unknown class", 2 * sec, "odd", 0, 2 * sec},
	} {
		cfg := testConfig()
		cfg.MaxRetryAfter = tt.maxRetryAfter
		g := newTestRouter(t, cfg)
		q := g.request(tt.class)
		actions := g.step(q)
		if tt.after > 0 {
			actions = g.after(tt.after)
		}
		want := []Action{Reject{ID: q.ID, RetryAfter: tt.want}}
		if !reflect.DeepEqual(actions, want) {
			t.Errorf("%s: got %v, want %v", tt.name, actions, want)
		}
	}

	cfg := testConfig()
	cfg.MaxRetryAfter = 2 * sec
	g := newTestRouter(t, cfg)
	q := &request{arrivedAt: g.now, latencyTarget: sec}
	g.step()
	if got := g.b.retryAfter(q); got != 200*ms {
		t.Errorf("advice with 1 s left until the latency target: got %v, want 200ms", got)
	}
}

// A request whose two samples are busy must not be rejected while other replicas are idle.
func TestBusySampleIsNoReasonToReject(t *testing.T) {
	names := numberedNames("r", 8)
	g := newTestRouter(t, testConfig(), members(names...)...)
	q := g.request("safe")
	q.Prefix, q.Session = "p", "s"
	for _, r := range g.b.affinitySamples(&request{Arrival: q, prefixHash: rendezvous.Hash("p"), sessionHash: rendezvous.Hash("s")}, g.b.sorted) {
		r.inFlight = 1
		r.latencyRatio.Observe(g.now, 100, 1)
	}
	if r := g.b.replicas[sentTo(t, g.step(q))]; g.b.latencyRatioOf(r) > 1 {
		t.Errorf("request sent to busy replica %s although others are idle", r.Replica)
	}
}

// Over a long run every replica is replaced many times. The router must forget replicas that were
// removed.
func TestRemovedReplicasAreForgotten(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a")...)
	q := g.request("safe")
	g.step(q)
	updated := members("a")[0]
	updated.State = Removed
	g.step(Members{Version: 2, Members: append(members("b"), updated)})
	if g.b.replicas["a"] == nil {
		t.Error("removed replica a was forgotten with a request in flight")
	}
	g.step(Outcome{ID: q.ID, Result: OK, Final: true})
	g.step(Members{Version: 3, Members: members("c")})
	if len(g.b.replicas) != 2 || len(g.b.sorted) != 2 {
		t.Errorf("%d replicas are known after the removal of a, want 2", len(g.b.replicas))
	}
}

// If every replica is always busy, a request that always yields is never served, even at low load.
// So a request must yield less the longer it has been queued.
func TestQueuedRequestsYieldLessWithTime(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Value = 5
	g := newTestRouter(t, cfg, members("a")...)
	q := &request{class: g.b.classes["keyed"], latencyTarget: 10 * sec}
	for queued, want := range map[time.Duration]bool{0: true, 9 * sec: false} {
		q.arrivedAt = g.now - queued
		if got := g.b.yieldsToHigherValue(q, 0.55); got != want {
			t.Errorf("queued for %v, a wait of 0.55 s, a latency target of 1 s of the other class: yields %v", queued, got)
		}
	}
}
