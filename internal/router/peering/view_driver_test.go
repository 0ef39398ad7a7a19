package peering_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"reachspread/coord/members"
	"reachspread/internal/router/peering"
	"reachspread/internal/testbed/scripted"
)

// Three drivers on sockets find each other; one that leaves is removed, one that ends without
// leaving is lost, with a log line.
func TestMembershipOnSockets(t *testing.T) {
	var addrs []string
	for range 3 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, c.LocalAddr().String())
		c.Close()
	}
	type driver struct {
		*peering.ViewDriver
		end     context.CancelFunc
		lines   scripted.LogLines
		changes chan *members.Changed
	}
	var all []*driver
	for i, a := range addrs {
		x := &driver{lines: make(scripted.LogLines, 100), changes: make(chan *members.Changed, 100)}
		g, err := peering.NewGossip(a, addrs, false, x.lines)
		if err != nil {
			t.Fatal(err)
		}
		c := members.Config{Name: fmt.Sprint("r", i), Zone: "z", Version: "1", Addr: netip.MustParseAddrPort(a), Boot: uint32(i + 1), RandomSeed: uint64(i)}
		for _, s := range addrs {
			c.Seeds = append(c.Seeds, netip.MustParseAddrPort(s))
		}
		if x.ViewDriver, err = peering.NewViewDriver(c, g.Send, func(v *members.View, ch *members.Changed) { x.changes <- ch }, x.lines); err != nil {
			t.Fatal(err)
		}
		g.OnMembersDatagram(x.HandleDatagram)
		ctx, end := context.WithCancel(context.Background())
		x.end = end
		defer end()
		go g.Run(ctx, nil)
		go x.Run(ctx)
		all = append(all, x)
	}
	sees := func(x *driver, n int) {
		t.Helper()
		for len(x.Now().Members) != n {
			scripted.Receive(t, x.changes, fmt.Sprintf("a view of %d", n))
		}
	}
	for _, x := range all {
		sees(x, 3)
	}
	all[2].Leave(t.Context(), false)
	all[2].end()
	for _, x := range all[:2] {
		sees(x, 2)
	}
	// The figures are published right after the view of the same step.
	for until := time.Now().Add(scripted.EventTimeout); all[0].Stats().Alive != 2 && time.Now().Before(until); {
		runtime.Gosched()
	}
	if f := all[0].Stats(); f.Deaths != 0 || f.Alive != 2 {
		t.Errorf("after a leaving: %+v", f)
	}
	all[1].end()
	sees(all[0], 1)
	if line := scripted.Receive(t, all[0].lines, "a line"); !strings.HasPrefix(line, "routers lost why=crashed count=1 names=r1") {
		t.Errorf("got %q", line)
	}
}
