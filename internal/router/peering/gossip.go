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

// maxDatagramBytes is the platform's bound. One byte more is read, so that a longer datagram is not
// taken for a complete one.
const maxDatagramBytes = 256

// Gossip exchanges datagrams with the other routers. What to send and what to believe is not
// decided here.
type Gossip struct {
	listen      *net.UDPAddr
	conn        atomic.Pointer[net.UDPConn] // nil while the address is another's
	opened      chan struct{}               // closed once conn is set
	peers       []netip.AddrPort
	peerNumbers map[netip.AddrPort]int
	log         routing.Logger

	// The owners of datagrams of other kinds than peer reports, nil where there is none. They must
	// neither wait nor keep the datagram.
	handleMembers  func(from netip.AddrPort, data []byte)
	handleRoles    func(from netip.AddrPort, data []byte)
	handleRecovery func(from netip.AddrPort, data []byte)

	dropped atomic.Uint64 // datagrams that were cut, of another version, or from a stranger
	notSent atomic.Uint64
}

// NewGossip listens at an address for datagrams of the peers, which are in the order of their
// numbers. TakesOver says that a process which is being replaced may still have the address: that
// is no error, and Run takes the address over.
func NewGossip(listen string, peers []string, takesOver bool, log routing.Logger) (*Gossip, error) {
	g := &Gossip{peerNumbers: map[netip.AddrPort]int{}, opened: make(chan struct{}), log: log}
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
		close(g.opened)
	}
	return err
}

// Opened is closed once the address is this process's. Until then nothing is sent or heard.
func (g *Gossip) Opened() <-chan struct{} { return g.opened }

const (
	takeOverInterval = 50 * time.Millisecond
	takeOverTimeout  = 10 * time.Second // a process that is replaced has ended by then
)

// takeOver waits for the address, and logs once if that takes too long.
func (g *Gossip) takeOver(ctx context.Context) {
	ticker := time.NewTicker(takeOverInterval)
	defer ticker.Stop()
	warnAt := time.Now().Add(takeOverTimeout)
	for g.conn.Load() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := g.open(); err != nil && !warnAt.IsZero() && time.Now().After(warnAt) {
			warnAt = time.Time{}
			g.log.Warn("peer address in use", "cause", err)
		}
	}
}

// Run receives datagrams until ctx ends, and gives peer reports to received.
func (g *Gossip) Run(ctx context.Context, received func(balance.ReportsReceived)) {
	g.takeOver(ctx)
	conn := g.conn.Load()
	if conn == nil {
		return
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	var buffer [maxDatagramBytes + 1]byte
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.drop(from, err)
			continue
		}
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if handle := g.ownerOf(buffer[:n]); handle != nil {
			handle(sender, buffer[:n])
			continue
		}
		reports, err := g.parseReports(sender, buffer[:n])
		if err != nil {
			g.drop(from, err)
			continue
		}
		received(reports)
	}
}

// ownerOf returns who handles a datagram by its first byte, nil for peer reports and for what has
// no owner here.
func (g *Gossip) ownerOf(data []byte) func(from netip.AddrPort, data []byte) {
	switch {
	case members.IsDatagram(data):
		return g.handleMembers
	case lease.IsDatagram(data):
		return g.handleRoles
	case recovery.IsDatagram(data):
		return g.handleRecovery
	}
	return nil
}

var errStranger = errors.New("not the address of a peer")

func (g *Gossip) parseReports(from netip.AddrPort, data []byte) (balance.ReportsReceived, error) {
	number, known := g.peerNumbers[from]
	if !known {
		return balance.ReportsReceived{}, errStranger
	}
	zone, reports, err := protocol.ParsePeerReports(data)
	return balance.ReportsReceived{From: number, Zone: zone, Reports: reports}, err
}

// drop counts a datagram that can't be used, and logs the first: routers of other versions would
// send many.
func (g *Gossip) drop(from netip.AddrPort, cause error) {
	if g.dropped.Add(1) == 1 {
		g.log.Warn("datagram dropped", "from", from, "cause", cause)
	}
}

// SendReports sends reports to peers by their numbers. It never waits: what can't be sent now is
// lost.
func (g *Gossip) SendReports(r balance.SendReports) {
	conn := g.conn.Load()
	if conn == nil {
		g.notSent.Add(1)
		return
	}
	var buffer [maxDatagramBytes]byte
	data := protocol.AppendPeerReports(buffer[:0], r.Zone, r.Reports)
	for _, i := range r.To {
		if i < 0 || i >= len(g.peers) {
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(data, g.peers[i]); err != nil {
			g.notSent.Add(1)
		}
	}
}

// OnMembersDatagram has handle be called with datagrams of the membership; it must neither wait nor
// keep them. It is to be called before Run.
func (g *Gossip) OnMembersDatagram(handle func(from netip.AddrPort, data []byte)) {
	g.handleMembers = handle
}

// OnRolesDatagram has handle be called with datagrams of roles, as OnMembersDatagram.
func (g *Gossip) OnRolesDatagram(handle func(from netip.AddrPort, data []byte)) {
	g.handleRoles = handle
}

// OnRecoveryDatagram has handle be called with datagrams of recovery, as OnMembersDatagram.
func (g *Gossip) OnRecoveryDatagram(handle func(from netip.AddrPort, data []byte)) {
	g.handleRecovery = handle
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

// Dropped returns how many datagrams could not be used, and how many could not be sent.
func (g *Gossip) Dropped() (unusable, notSent uint64) { return g.dropped.Load(), g.notSent.Load() }
