package transport

import (
	"errors"
	"testing"
	"time"

	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// On the long day every server is replaced, some at the address of one that has gone. Neither id
// nor connection of the old ones may stay, and a connection given back after its server moved must
// not lead to the old address.
func TestRemovedServersLeaveNoState(t *testing.T) {
	a, b := scripted.NewServer(t, nil), scripted.NewServer(t, nil)
	s := NewServers(ServerLimits{ConnectTimeout: scripted.EventTimeout, Keepalive: time.Minute, Connections: 2}, make(scripted.LogLines, 10))
	old, moved := routing.Server{ID: "s0", Addr: a.Addr}, routing.Server{ID: "s0", Addr: b.Addr}
	c, err := s.pool.take(t.Context(), old)
	if err != nil {
		t.Fatal(err)
	}
	s.recordLoadReport("s0", errors.New("odd"))
	s.CloseIdle("s0")
	s.pool.put(c)
	if c, err = s.pool.take(t.Context(), moved); err != nil || c.RemoteAddr().String() != b.Addr {
		t.Fatalf("got a connection to %v, %v; want one to %s", c.RemoteAddr(), err, b.Addr)
	}
	s.pool.put(c)
	s.CloseIdle("s0")
	if len(s.pool.idle) > 0 || s.pool.open != 0 || len(s.unreadableLoads) > 0 {
		t.Errorf("%d lists, %d connections, %d ids stay", len(s.pool.idle), s.pool.open, len(s.unreadableLoads))
	}
}
