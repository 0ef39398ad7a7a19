package balance

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// runEvents feeds a Balancer a sequence of events derived from data and returns all actions. It
// checks rules 1 to 3 on the actions alone: (1) requests go only to serving replicas, not after
// their answer, and not where a duplicate could take effect; (2) a request is rejected only if
// sending it again does no harm; (3) each request has its answer by its deadline.
func runEvents(t *testing.T, data []byte) []Action {
	cfg := testConfig()
	cfg.Classes[0].LateValueFraction = 0.5
	cfg.MayProbe = len(data)%2 > 0
	b, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	type state struct {
		class           Class
		end             time.Duration
		sent            []string
		pending         map[int]bool
		mayHaveExecuted bool
		answered        bool
	}
	names := []string{"a", "b", "c"}
	cells := map[string]int{"a": 0, "b": 0, "c": 1}
	listed := map[string]bool{}
	requests := map[string]*state{}
	var ids []string
	var all []Action
	now, timers := 50*sec, map[int64]time.Duration{}
	step := func(events ...Event) {
		actions := b.Step(now, events)
		all = append(all, actions...)
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				q := requests[a.ID]
				if q == nil || q.answered {
					t.Fatalf("request %s was sent although it is answered or unknown", a.ID)
				}
				if !listed[a.Replica] {
					t.Fatalf("request sent to replica %s, which is draining or not listed", a.Replica)
				}
				if q.mayHaveExecuted && q.class.Effect == Unsafe {
					t.Fatalf("unsafe request %s sent again after it may have executed", a.ID)
				}
				if q.mayHaveExecuted && q.class.Effect == Keyed && q.class.DedupScope == ScopeCell &&
					cells[a.Replica] != cells[q.sent[0]] {
					t.Fatalf("keyed request %s sent again outside its first cell", a.ID)
				}
				q.pending[len(q.sent)] = true
				q.sent = append(q.sent, a.Replica)
			case Reject, Fail:
				id := ""
				rejected := false
				if r, ok := a.(Reject); ok {
					id, rejected = r.ID, true
				} else {
					id = a.(Fail).ID
				}
				q := requests[id]
				if q == nil || q.answered {
					t.Fatalf("request %s got an answer although it is answered or unknown", id)
				}
				safe := q.class.Effect == Safe || q.class.Effect == Keyed && q.class.DedupScope == ScopeAll
				if rejected && !safe && (q.mayHaveExecuted || len(q.pending) > 0) {
					t.Fatalf("request %s rejected although it may have executed", id)
				}
				q.answered = true
			case SetTimer:
				timers[a.Token] = now + a.Delay
			}
		}
		for _, id := range ids {
			q := requests[id]
			if !q.answered && len(q.pending) == 0 && now >= q.end {
				t.Fatalf("request %s has no answer at its deadline", id)
			}
		}
	}
	version := int64(1)
	for i := 0; i+2 < len(data); i += 3 {
		op, x, y := data[i], int(data[i+1]), int(data[i+2])
		var ev Event
		switch op % 7 {
		case 6:
			ev = ProbeResult{Replica: names[x%3], Result: Result(y % 8), Load: &Load{InFlight: -1, Utilization: float64(y) / 255, PrefillTokens: 5}}
		case 0:
			id := fmt.Sprint("q", len(ids))
			c := cfg.Classes[x%len(cfg.Classes)]
			left := time.Duration(y+5) * 10 * ms
			ids = append(ids, id)
			requests[id] = &state{class: c, end: now + left, pending: map[int]bool{}}
			ev = Arrival{ID: id, Class: c.Name, TimeLeft: left, PromptTokens: float64(y * 50), Prefix: names[x%3], PrefixTokens: float64(y * 20),
				WorkEstimate: time.Duration(y) * ms}
		case 1, 2:
			if len(ids) == 0 {
				continue
			}
			id := ids[x%len(ids)]
			q := requests[id]
			n := y % 4
			if !q.pending[n] {
				continue
			}
			delete(q.pending, n)
			result := Result(y / 4 % 8)
			if result != Full && result != NoConnection && result != NotSent {
				q.mayHaveExecuted = true
			}
			final := result == OK || q.answered
			q.answered = final
			ev = Outcome{ID: id, Attempt: n, Result: result, Final: final, Load: &Load{InFlight: float64(y), PrefillTokens: -1}}
		case 3:
			version++
			m := Member{Replica: names[x%3], Cell: cells[names[x%3]], Zone: "here", State: State(y % 3)}
			if y > 200 {
				m.StartedAt = now
			}
			listed[m.Replica] = m.State == Serving
			ev = Members{Version: version, Members: []Member{m}}
		case 4:
			if len(ids) == 0 {
				continue
			}
			q := requests[ids[x%len(ids)]]
			if y%2 == 0 {
				ev = Aborted{ID: ids[x%len(ids)]}
			} else if q.pending[0] {
				ev = FirstToken{ID: ids[x%len(ids)]}
			} else {
				continue
			}
			q.answered = true
		case 5:
			end := now + time.Duration(x)*5*ms
			for { // fire all timers that are due until then
				first := int64(0)
				for token, at := range timers {
					if at <= end && (first == 0 || at < timers[first] || at == timers[first] && token < first) {
						first = token
					}
				}
				if first == 0 {
					break
				}
				now = max(now, timers[first])
				delete(timers, first)
				// A timer at the deadline fires before the check that the deadline was met.
				step(TimerExpired{Token: first})
			}
			now = end
			continue
		}
		if ev != nil {
			step(ev)
		}
	}
	return all
}

func FuzzRules(f *testing.F) {
	f.Add([]byte{3, 0, 0, 0, 0, 90, 0, 1, 90, 1, 0, 4, 5, 200, 0})
	f.Add([]byte{3, 0, 0, 3, 1, 0, 3, 2, 0, 0, 3, 250, 1, 0, 8, 3, 0, 1, 0, 1, 40, 5, 255, 0, 4, 0, 1})
	f.Add([]byte{0, 0, 10, 5, 255, 0, 3, 0, 201, 0, 2, 99, 0, 0, 99, 5, 10, 0, 1, 1, 12, 5, 255, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		first := runEvents(t, data)
		if again := runEvents(t, data); !reflect.DeepEqual(first, again) {
			t.Fatal("the same events and seed gave other actions")
		}
	})
}

// Many requests on many replicas produce the same actions in two runs, so no result depends on map
// order.
func TestSameEventsSameActions(t *testing.T) {
	run := func() []Action {
		g := newTestRouter(t, testConfig(), members("a", "b", "c", "d", "e", "f", "g", "h")...)
		var all []Action
		for i := 0; i < 400; i++ {
			q := g.request("safe")
			if i%3 > 0 {
				q.Prefix, q.PrefixTokens = fmt.Sprint("p", i%7), 600
			}
			q.PromptTokens = float64(700 + 300*(i%11))
			out := g.after(time.Duration(i%5)*10*ms, q)
			for n, s := range actionsOf[Send](out) {
				if (i+n)%4 > 0 {
					out = append(out, g.step(FirstToken{ID: s.ID}, Outcome{ID: s.ID, Result: OK, Final: true})...)
				}
			}
			all = append(all, out...)
		}
		return all
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events and seed gave other actions")
	}
}
