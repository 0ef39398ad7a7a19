package balance

import (
	"fmt"
	"testing"
	"time"
)

// failureReport returns the report of another router that an attempt on r failed.
func failureReport(r *replica, witness int) ReportsReceived {
	return ReportsReceived{From: witness, Reports: []PeerReport{{ReplicaTag: replicaTag(r), Failed: true}}}
}

// A replica that two routers saw fail gets no requests for a short time. A replica that only one
// router saw fail still gets requests. If more than a third of the replicas were seen to fail, some
// of them still get requests.
func TestOutlierNeedsTwoWitnesses(t *testing.T) {
	for _, tt := range []struct {
		name    string
		seen    map[string][]int // witnesses by replica
		waited  int              // seconds since the failures
		avoided string
	}{
		{name: "one witness", seen: map[string][]int{"a": {1}}},
		{name: "one witness, twice", seen: map[string][]int{"a": {1, 1}}},
		{name: "two witnesses", seen: map[string][]int{"a": {1, 2}}, avoided: "a"},
		{name: "two witnesses, 2 s ago", seen: map[string][]int{"a": {1, 2}}, waited: 2},
		{name: "two of four replicas", seen: map[string][]int{"a": {1, 2}, "b": {1, 2}}, avoided: "a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestRouter(t, broadcastConfig(), members("a", "b", "c", "d")...)
			for name, witnesses := range tt.seen {
				for _, w := range witnesses {
					g.step(failureReport(g.b.replicas[name], w))
				}
			}
			g.now += time.Duration(tt.waited) * sec
			sent := map[string]bool{}
			for i := range 40 {
				q := g.request("safe")
				q.Prefix = fmt.Sprint("p", i)
				for _, s := range actionsOf[Send](g.step(q)) {
					sent[s.Replica] = true
				}
			}
			for _, name := range []string{"a", "b", "c", "d"} {
				if want := name != tt.avoided; sent[name] != want {
					t.Errorf("requests sent to %s: %v, want %v", name, sent[name], want)
				}
			}
		})
	}
}

// A failure is reported once to all routers. While a replica is already ejected as an outlier, its
// failures are not reported.
func TestFailuresAreReported(t *testing.T) {
	g := newTestRouter(t, broadcastConfig(), members("a")...)
	reported := func(out []Action) (n int) {
		for _, message := range actionsOf[SendReports](out) {
			for _, r := range message.Reports {
				if r.Failed {
					n++
				}
			}
		}
		return n
	}
	fail := func() []Action {
		q := g.request("safe")
		g.step(q)
		return g.step(Outcome{ID: q.ID, Result: Reset})
	}
	if n := reported(fail()); n != 1 {
		t.Errorf("first failure was reported %d times, want 1", n)
	}
	g.step(failureReport(g.b.replicas["a"], 7))
	if !g.b.replicas["a"].outlier.Ejected(g.b.now) {
		t.Fatal("replica a is not ejected as an outlier after failures seen by two routers")
	}
	if n := reported(fail()); n != 0 {
		t.Errorf("failure of an ejected outlier was reported %d times, want 0", n)
	}
}

// A router without peer reports ejects no replica as an outlier, because that takes two witnesses.
// Its own failures eject replicas by the other mechanism.
func TestAloneNobodyIsAnOutlier(t *testing.T) {
	g := newTestRouter(t, testConfig(), members("a", "b")...)
	for range 5 {
		g.b.recordFailure(g.b.replicas["a"], Reset)
	}
	if g.b.replicas["a"].outlier.Ejected(g.b.now) {
		t.Error("replica a is ejected as an outlier although only this router saw it fail")
	}
}
