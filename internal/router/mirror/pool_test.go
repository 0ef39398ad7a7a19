package mirror

import (
	"testing"

	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/testbed/scripted"
)

// A pool that has ended denies attempts at once and queues no messages.
func TestClosedPoolTakesNothingMore(t *testing.T) {
	m := newMirror(t, 1)
	p := m.pools[0]
	m.Shutdown()
	scripted.Receive(t, p.done, "the end of the pool")
	granted := make(chan bool, 1)
	p.post(message{event: shadow.AttemptRequest{Copy: 1, Host: "c0"}, grantReply: granted})
	if scripted.Receive(t, granted, "the reply to the attempt request") || len(p.pending) > 0 {
		t.Error("an attempt of an ended pool was granted or is pending")
	}
	if c, _ := m.Choose("chat", "s", "q", nil); c != nil {
		t.Error("Choose chose a pool after Shutdown")
	}
	if m.Apply(settings.Shadow{}) == nil {
		t.Error("Apply succeeded after Shutdown")
	}
}
