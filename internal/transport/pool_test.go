package transport

import (
	"errors"
	"testing"
	"time"

	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// During a long day every server is replaced, some by a server at the same address. No ID and no
// connection of a removed server may remain, and a connection that is returned to the pool after
// its server moved must not lead to the old address.
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
		t.Errorf("%d idle lists, %d connections and %d server IDs remain; want none", len(s.pool.idle), s.pool.open, len(s.unreadableLoads))
	}
}
