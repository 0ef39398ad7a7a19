package scaletest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"reachspread/coord/members"
	"reachspread/internal/router/peering"
)

// network simulates the network between hollow members and all other members. It drops a fraction
// of the datagrams and can be partitioned.
type network struct {
	loss        float64
	partitioned atomic.Bool
	farSide     map[netip.AddrPort]bool // members on the far side of a partition; fixed before the first member starts

	mu  sync.Mutex
	rng *rand.Rand
}

// delivers reports whether a datagram between two addresses arrives.
func (n *network) delivers(from, to netip.AddrPort) bool {
	if n.partitioned.Load() && n.farSide[from] != n.farSide[to] {
		return false
	}
	if n.loss == 0 {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() >= n.loss
}

// hollow is a member that serves no requests. It runs the router's own driver of the membership
// protocol on its own socket.
type hollow struct {
	name, zone string
	addr       netip.AddrPort
	network    *network
	hollows    map[netip.AddrPort]bool // all hollow members; a hollow sender has already applied network to its datagrams

	mu          sync.Mutex
	incarnation uint32
	view        *peering.ViewDriver // nil while the member is down
	conn        *net.UDPConn
	stop        context.CancelFunc
	done        sync.WaitGroup
	sentBefore  uint64 // datagrams of earlier incarnations
	bytesBefore uint64
}

// discardLogger is a logger that writes nothing. The test reads the members' views instead of their
// logs.
type discardLogger struct{}

// Info implements routing.Logger and discards the message.
func (discardLogger) Info(string, ...any) {}

// Warn implements routing.Logger and discards the message.
func (discardLogger) Warn(string, ...any) {}

// start starts a new incarnation, unless the member is running. It uses the member's open socket,
// or opens a new one at the same address.
func (h *hollow) start(seeds []netip.AddrPort) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.view != nil {
		return nil
	}
	if h.conn == nil {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.addr))
		if err != nil {
			return err
		}
		h.conn = conn
	}
	conn := h.conn
	h.incarnation++
	config := members.Config{Name: h.name, Zone: h.zone, Version: "hollow", Addr: h.addr, Boot: rand.Uint32() | 1, Incarnation: h.incarnation, Seeds: seeds,
		RandomSeed: uint64(h.addr.Port())<<32 | uint64(h.incarnation)}
	send := func(to netip.AddrPort, data []byte) {
		if h.network.delivers(h.addr, to) {
			conn.WriteToUDPAddrPort(data, to) // a datagram that can't be sent counts as lost
		}
	}
	view, err := peering.NewViewDriver(config, send, func(*members.View, *members.Changed) {}, discardLogger{})
	if err != nil {
		return fmt.Errorf("%s: %w", h.name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	h.view, h.stop = view, stop
	h.done.Go(func() { view.Run(ctx) })
	h.done.Go(func() { h.receive(conn, view) })
	return nil
}

// receive passes datagrams from the socket to the view until the socket is closed.
func (h *hollow) receive(conn *net.UDPConn, view *peering.ViewDriver) {
	var buffer [members.MaxDatagramLen + 1]byte
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if err == nil && (h.hollows[from] || h.network.delivers(from, h.addr)) {
			view.HandleDatagram(from, buffer[:n])
		}
	}
}

// crash ends the incarnation without notifying other members.
func (h *hollow) crash() {
	h.mu.Lock()
	view := h.view
	if view == nil {
		h.mu.Unlock()
		return
	}
	h.stop()
	h.conn.Close()
	h.view, h.conn = nil, nil
	h.mu.Unlock()
	h.done.Wait()
	f := view.Stats()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentBefore, h.bytesBefore = h.sentBefore+f.Sent, h.bytesBefore+f.SentBytes
}

// livingMembers returns how many members this member considers alive, itself included. The result
// alive is false while this member is down.
func (h *hollow) livingMembers() (living int, alive bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.view == nil {
		return 0, false
	}
	return len(h.view.Now().Members), true
}

// traffic returns the number of datagrams and bytes that the member has sent in all its
// incarnations.
func (h *hollow) traffic() (datagrams, bytes uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	datagrams, bytes = h.sentBefore, h.bytesBefore
	if h.view != nil {
		f := h.view.Stats()
		datagrams, bytes = datagrams+f.Sent, bytes+f.SentBytes
	}
	return datagrams, bytes
}
