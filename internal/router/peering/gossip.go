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

// maxDatagramBytes is the longest datagram that the platform allows. Run reads one byte more, so
// that it can tell a longer datagram, which the kernel truncates, from a complete one.
const maxDatagramBytes = 256

// Gossip exchanges datagrams with the other routers. Its users decide what to send and how to act
// on received datagrams.
type Gossip struct {
	listen      *net.UDPAddr
	conn        atomic.Pointer[net.UDPConn] // nil while another process has the address
	opened      chan struct{}               // closed once conn is set
	peers       []netip.AddrPort
	peerNumbers map[netip.AddrPort]int
	log         routing.Logger

	// The handlers of datagrams that are no peer reports, nil where no handler is set. They must
	// neither block nor retain the datagram.
	handleMembers  func(from netip.AddrPort, data []byte)
	handleRoles    func(from netip.AddrPort, data []byte)
	handleRecovery func(from netip.AddrPort, data []byte)

	dropped atomic.Uint64 // received datagrams that were truncated, of another version, or not from a peer
	notSent atomic.Uint64 // datagrams that could not be sent
}

// NewGossip returns a Gossip that listens at an address. Peers lists the addresses of the routers;
// the index of an address is the number of that peer. TakesOver states that this process replaces
// another one, which may still have the address. An address in use is then no error: Run waits
// until the address is free.
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

// Opened returns a channel that is closed once this process has opened the address. Until then
// Gossip neither sends nor receives datagrams.
func (g *Gossip) Opened() <-chan struct{} { return g.opened }

const (
	takeOverInterval = 50 * time.Millisecond
	takeOverTimeout  = 10 * time.Second // the process that is being replaced normally ends within this time
)

// takeOver retries to open the address until it succeeds or ctx ends. It logs a warning once if the
// address is still in use after takeOverTimeout.
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

// Run receives datagrams until ctx ends. It passes peer reports to received, and other datagrams to
// the handlers for their kinds.
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

// ownerOf returns the handler for a datagram's kind, which its first byte states. It returns nil
// for peer reports and for kinds without a handler.
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

var errNotPeer = errors.New("not the address of a peer")

func (g *Gossip) parseReports(from netip.AddrPort, data []byte) (balance.ReportsReceived, error) {
	number, known := g.peerNumbers[from]
	if !known {
		return balance.ReportsReceived{}, errNotPeer
	}
	zone, reports, err := protocol.ParsePeerReports(data)
	return balance.ReportsReceived{From: number, Zone: zone, Reports: reports}, err
}

// drop counts an unusable datagram. It logs only the first one, because a router of another version
// may send many.
func (g *Gossip) drop(from netip.AddrPort, cause error) {
	if g.dropped.Add(1) == 1 {
		g.log.Warn("peer datagram dropped", "from", from, "cause", cause)
	}
}

// SendReports sends reports to the peers with the numbers in r.To. It never blocks: a datagram that
// can't be sent immediately is dropped and counted.
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

// OnMembersDatagram sets the handler of membership datagrams, which must neither block nor retain
// them. The caller must call OnMembersDatagram before Run.
func (g *Gossip) OnMembersDatagram(handle func(from netip.AddrPort, data []byte)) {
	g.handleMembers = handle
}

// OnRolesDatagram sets the handler of role datagrams. The rules of OnMembersDatagram apply.
func (g *Gossip) OnRolesDatagram(handle func(from netip.AddrPort, data []byte)) {
	g.handleRoles = handle
}

// OnRecoveryDatagram sets the handler of recovery datagrams. The rules of OnMembersDatagram apply.
func (g *Gossip) OnRecoveryDatagram(handle func(from netip.AddrPort, data []byte)) {
	g.handleRecovery = handle
}

// Send sends a datagram to an address. A datagram that can't be sent immediately is dropped and
// counted.
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

// Dropped returns how many received datagrams were unusable, and how many datagrams could not be
// sent.
func (g *Gossip) Dropped() (unusable, notSent uint64) { return g.dropped.Load(), g.notSent.Load() }
