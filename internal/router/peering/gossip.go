// Package peering drives what goes between routers: the socket for datagrams, the module's reports on replicas, and the fleet view of
// package members. It decides nothing.
package peering

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"reachspread/balance"
	"reachspread/coord/members"
	"reachspread/internal/protocol"
	"reachspread/internal/router/lease"
	"reachspread/internal/router/recovery"
	"reachspread/internal/routing"
)

// mostDatagram is the platform's bound. One byte more is read, so that a longer datagram is not taken for a whole one.
const maxDatagramBytes = 256

// Gossip exchanges datagrams with the other routers. What to tell and to believe is not decided here.
type Gossip struct {
	listen      *net.UDPAddr
	conn        atomic.Pointer[net.UDPConn] // nil while the address is another's
	peers       []netip.AddrPort
	peerNumbers map[netip.AddrPort]int
	log         routing.Logger

	handleMembers  func(from netip.AddrPort, data []byte) // takes those of the fleet view; nil where it is off
	handleRoles    func(from netip.AddrPort, data []byte) // takes those of duties, likewise
	handleRecovery func(from netip.AddrPort, data []byte) // takes those of routers that come back, likewise

	dropped atomic.Uint64 // datagrams dropped: cut, of another version, from a stranger
	notSent atomic.Uint64
}

// NewGossip listens at an address for what the peers, in the order of their numbers, send. Where the address may still be
// that of a process about to be replaced, one that is in use is no error: Run takes it over.
func NewGossip(listen string, peers []string, takesOver bool, log routing.Logger) (*Gossip, error) {
	g := &Gossip{peerNumbers: map[netip.AddrPort]int{}, log: log}
	for i, p := range peers {
		addr, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, err
		}
		g.peers = append(g.peers, addr)
		g.peerNumbers[addr] = i
	}
	var err error
	if g.listen, err = net.ResolveUDPAddr("udp4", listen); err != nil {
		return nil, err
	}
	if err = g.open(); takesOver && errors.Is(err, syscall.EADDRINUSE) {
		err = nil
	}
	return g, err
}

func (g *Gossip) open() error {
	conn, err := net.ListenUDP("udp4", g.listen)
	if err == nil {
		g.conn.Store(conn)
	}
	return err
}

const (
	takeOverInterval = 50 * time.Millisecond
	takeOverTimeout  = 10 * time.Second // a process that is replaced has left by then
)

// takeOver waits for the address, and tells if it takes too long.
func (g *Gossip) takeOver(ctx context.Context) {
	ticker := time.NewTicker(takeOverInterval)
	defer ticker.Stop()
	late := time.Now().Add(takeOverTimeout)
	for g.conn.Load() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := g.open(); err != nil && !late.IsZero() && time.Now().After(late) {
			late = time.Time{}
			g.log.Warn("peers unheard", "cause", err)
		}
	}
}

// Run gives all that can be read to hear, until ctx ends.
func (g *Gossip) Run(ctx context.Context, hear func(balance.ReportsReceived)) {
	g.takeOver(ctx)
	conn := g.conn.Load()
	if conn == nil {
		return
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	var buf [maxDatagramBytes + 1]byte
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.drop(from, err)
			continue
		}
		if g.handleMembers != nil && members.IsDatagram(buf[:n]) {
			g.handleMembers(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
			continue
		}
		if g.handleRoles != nil && lease.IsDatagram(buf[:n]) {
			g.handleRoles(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
			continue
		}
		if g.handleRecovery != nil && recovery.IsDatagram(buf[:n]) {
			g.handleRecovery(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
			continue
		}
		i, known := g.peerNumbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known {
			g.drop(from, errStranger)
			continue
		}
		zone, reports, err := protocol.ParsePeerReports(buf[:n])
		if err != nil {
			g.drop(from, err)
			continue
		}
		hear(balance.ReportsReceived{From: i, Zone: zone, Reports: reports})
	}
}

var errStranger = errors.New("not the address of a peer")

// drop counts a datagram that tells nothing, and logs the first: routers of different versions would send many.
func (g *Gossip) drop(from netip.AddrPort, why error) {
	if g.dropped.Add(1) == 1 {
		g.log.Warn("datagram dropped", "from", from, "cause", why)
	}
}

// Tell sends reports to the routers of the numbers given. It waits for nobody: what can't be sent now is lost.
func (g *Gossip) SendReports(t balance.SendReports) {
	conn := g.conn.Load()
	if conn == nil {
		g.notSent.Add(1)
		return
	}
	var buffer [maxDatagramBytes]byte
	text := protocol.AppendPeerReports(buffer[:0], t.Zone, t.Reports)
	for _, i := range t.To {
		if i < 0 || i >= len(g.peers) {
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(text, g.peers[i]); err != nil {
			g.notSent.Add(1)
		}
	}
}

// Members has datagrams of the fleet view be given to take, which must not keep them. It is called before Run.
func (g *Gossip) OnMembersDatagram(take func(from netip.AddrPort, data []byte)) {
	g.handleMembers = take
}

// Duties has datagrams of duties be given to take, likewise.
func (g *Gossip) OnRolesDatagram(take func(from netip.AddrPort, data []byte)) { g.handleRoles = take }

// Words has datagrams of routers that come back be given to take, likewise.
func (g *Gossip) OnRecoveryDatagram(take func(from netip.AddrPort, data []byte)) {
	g.handleRecovery = take
}

// Send sends a datagram to an address. What can't be sent now is lost.
func (g *Gossip) Send(to netip.AddrPort, data []byte) {
	conn := g.conn.Load()
	if conn == nil {
		g.notSent.Add(1)
		return
	}
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		g.notSent.Add(1)
	}
}

// Dropped returns how many datagrams could not be read, and how many could not be sent.
func (g *Gossip) Dropped() (unread, unsent uint64) { return g.dropped.Load(), g.notSent.Load() }
