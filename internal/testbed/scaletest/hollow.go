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

// network is what lies between hollow members and all others: it loses datagrams, and may be cut in two.
type network struct {
	loss float64
	cut  atomic.Bool
	far  map[netip.AddrPort]bool // who is on the far side of the cut; fixed before anything starts

	mu  sync.Mutex
	rng *rand.Rand
}

// passes tells whether a datagram between two addresses arrives.
func (n *network) passes(from, to netip.AddrPort) bool {
	if n.cut.Load() && n.far[from] != n.far[to] {
		return false
	}
	if n.loss == 0 {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() >= n.loss
}

// hollow is a member without traffic: the router's own driver of the membership protocol, on a socket of its own.
type hollow struct {
	name, zone string
	addr       netip.AddrPort
	net        *network
	hollows    map[netip.AddrPort]bool // of which datagrams were lost already, if they were to be

	mu          sync.Mutex
	incarnation uint32
	view        *peering.ViewDriver // nil while it is down
	conn        *net.UDPConn
	stop        context.CancelFunc
	done        sync.WaitGroup
	sent        uint64 // datagrams of lives before
	bytes       uint64
}

// quiet is a logger that says nothing: what members see is counted, not read.
type quiet struct{}

// Info implements routing.Logger.
func (quiet) Info(string, ...any) {}

// Warn implements routing.Logger.
func (quiet) Warn(string, ...any) {}

// start begins a life. It takes its conn, or opens its address anew.
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
		if h.net.passes(h.addr, to) {
			conn.WriteToUDPAddrPort(data, to) // one that can't be sent is lost, as on any network
		}
	}
	view, err := peering.NewViewDriver(config, send, func(*members.View, *members.Changed) {}, quiet{})
	if err != nil {
		return fmt.Errorf("%s: %w", h.name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	h.view, h.stop = view, stop
	h.done.Go(func() { view.Run(ctx) })
	h.done.Go(func() { h.receive(conn, view) })
	return nil
}

// receive reads until the socket is closed.
func (h *hollow) receive(conn *net.UDPConn, view *peering.ViewDriver) {
	var buffer [members.MaxDatagramLen + 1]byte
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if err == nil && (h.hollows[from] || h.net.passes(from, h.addr)) {
			view.HandleDatagram(from, buffer[:n])
		}
	}
}

// crash ends a life without a word.
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
	h.sent, h.bytes = h.sent+f.Sent, h.bytes+f.SentBytes
}

// sees is how many members it takes to live, itself among them; alive is false while it is down.
func (h *hollow) sees() (living int, alive bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.view == nil {
		return 0, false
	}
	return len(h.view.Now().Members), true
}

// traffic is what it has sent in all its lives.
func (h *hollow) traffic() (datagrams, bytes uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	datagrams, bytes = h.sent, h.bytes
	if h.view != nil {
		f := h.view.Stats()
		datagrams, bytes = datagrams+f.Sent, bytes+f.SentBytes
	}
	return datagrams, bytes
}
