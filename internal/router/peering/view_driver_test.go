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

// driver is the ViewDriver of one router process, with its Gossip on a real socket.
type driver struct {
	*peering.ViewDriver
	end     context.CancelFunc
	lines   scripted.LogLines
	changes chan *members.Changed
}

// freeAddresses returns n local UDP addresses that are not in use.
func freeAddresses(t *testing.T, n int) (addrs []string) {
	t.Helper()
	for range n {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		addrs = append(addrs, c.LocalAddr().String())
	}
	return addrs
}

// startDriver starts the membership of a process of router i. Addrs has the addresses of all
// routers; takesOver is set for a process that replaces another one.
func startDriver(t *testing.T, addrs []string, i int, boot uint32, takesOver bool) *driver {
	t.Helper()
	x := &driver{lines: make(scripted.LogLines, 100), changes: make(chan *members.Changed, 100)}
	g, err := peering.NewGossip(addrs[i], addrs, takesOver, x.lines)
	if err != nil {
		t.Fatal(err)
	}
	c := members.Config{Name: fmt.Sprint("r", i), Zone: "z", Version: "1", Addr: netip.MustParseAddrPort(addrs[i]), Boot: boot, RandomSeed: uint64(boot)}
	for _, s := range addrs {
		c.Seeds = append(c.Seeds, netip.MustParseAddrPort(s))
	}
	if x.ViewDriver, err = peering.NewViewDriver(c, g.Send, func(_ *members.View, ch *members.Changed) { x.changes <- ch }, x.lines); err != nil {
		t.Fatal(err)
	}
	g.OnMembersDatagram(x.HandleDatagram)
	ctx, end := context.WithCancel(context.Background())
	x.end = end
	t.Cleanup(end)
	go g.Run(ctx, nil)
	go x.RunOn(ctx, g)
	return x
}

// awaitMembers waits until the driver's view has n members.
func (x *driver) awaitMembers(t *testing.T, n int) {
	t.Helper()
	for len(x.Now().Members) != n {
		scripted.Receive(t, x.changes, fmt.Sprintf("a view of %d", n))
	}
}

// incarnationOf returns the incarnation of a router in the driver's view, 0 if the router is not in
// the view.
func (x *driver) incarnationOf(name string) uint32 {
	for _, m := range x.Now().Members {
		if m.Name == name {
			return m.Incarnation
		}
	}
	return 0
}

// Guards against a router whose incarnation decreases when its process is replaced. The new process
// has to wait for the address for longer than a join takes, and must not join before it has the
// address.
func TestReplacedProcessJoinsOnceItHasTheAddress(t *testing.T) {
	const longerThanAJoin = 2 * time.Second
	addrs := freeAddresses(t, 2)
	other, old := startDriver(t, addrs, 0, 1, false), startDriver(t, addrs, 1, 2, false)
	other.awaitMembers(t, 2)
	old.awaitMembers(t, 2)
	before := other.incarnationOf("r1")
	next := startDriver(t, addrs, 1, 3, true)
	time.Sleep(longerThanAJoin)
	if got := next.incarnationOf("r1"); got != 0 {
		t.Errorf("the new process joined with incarnation %d before it had the address", got)
	}
	old.Leave(t.Context(), true)
	old.end()
	next.awaitMembers(t, 2)
	if got := next.incarnationOf("r1"); got <= before {
		t.Errorf("the new process has incarnation %d, want more than %d, which the old one had", got, before)
	}
}

// Three drivers on sockets find each other. A router that leaves is removed from the view. A router
// that ends without leaving is removed as crashed, and a log line reports it.
func TestMembershipOnSockets(t *testing.T) {
	addrs := freeAddresses(t, 3)
	var all []*driver
	for i := range addrs {
		all = append(all, startDriver(t, addrs, i, uint32(i+1), false))
	}
	for _, x := range all {
		x.awaitMembers(t, 3)
	}
	all[2].Leave(t.Context(), false)
	all[2].end()
	for _, x := range all[:2] {
		x.awaitMembers(t, 2)
	}
	// Run publishes the counters of a step only after the view of that step, so wait for them.
	for until := time.Now().Add(scripted.EventTimeout); all[0].Stats().Alive != 2 && time.Now().Before(until); {
		runtime.Gosched()
	}
	if f := all[0].Stats(); f.Deaths != 0 || f.Alive != 2 {
		t.Errorf("after one of three routers left: %+v, want 2 alive and no deaths", f)
	}
	all[1].end()
	all[0].awaitMembers(t, 1)
	if line := scripted.Receive(t, all[0].lines, "a line"); !strings.HasPrefix(line, "routers lost why=crashed count=1 names=r1") {
		t.Errorf("got %q", line)
	}
}
