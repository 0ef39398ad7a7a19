package admission

import (
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Guards against a request that is read but gets neither a Serve nor a Reject and is therefore never
// answered. That happened when the connection was evicted after the request was complete, before
// the connection's goroutine reported the request.
func TestRequestThatHasBegunGetsDecision(t *testing.T) {
	newConfig := Config{MaxConnections: 0}
	for _, test := range []struct {
		name   string
		busy   bool          // another connection has an open request, so this one is in the overflow
		after  time.Duration // time from the request's last byte to the event evicts
		evicts Event         // an event that would evict the connection if it were idle
	}{
		{"another client, later than the minimum age", false, 2 * minEvictionAge, Event{Kind: Opened, Addr: addr("10.0.0.2")}},
		{"another client in the overflow", true, 2 * minEvictionAge, Event{Kind: Opened, Addr: addr("10.0.0.2")}},
		{"a client of a known address", false, 0, Event{Kind: Opened, Addr: addr("10.9.0.1")}},
		{"a client of a known identity", false, 0, Event{Kind: Opened, Addr: addr("10.0.0.2"), HeadComplete: true, Identity: "tool"}},
		{"lowered limits", false, 0, Event{Kind: ConfigChanged, Config: &newConfig}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := New(Config{MaxConnections: 1, MaxOverflow: 1, KnownIdentities: map[string]bool{"tool": true},
				KnownRanges: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}}, 1)
			now := time.Second
			if test.busy {
				d.Step(now, Event{Kind: RequestRead, Conn: d.Step(now, Event{Kind: Opened, Addr: addr("10.0.0.3")})[0].Conn})
			}
			id := d.Step(now, Event{Kind: Opened, Addr: addr("10.0.0.1")})[0].Conn
			d.Step(now, Event{Kind: RequestBegan, Conn: id, RequestComplete: true})
			now += test.after
			d.Step(now, test.evicts)
			actions := d.Step(now, Event{Kind: RequestRead, Conn: id})
			if !slices.ContainsFunc(actions, func(a Action) bool { return a.Conn == id && (a.Kind == Serve || a.Kind == Reject) }) {
				t.Errorf("got %+v; want the request served or rejected", actions)
			}
		})
	}
}
