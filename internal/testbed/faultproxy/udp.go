// Package faultproxy forwards the traffic between a fleet's processes on loopback: datagrams between
// routers (Mesh) and connections to hosts and lists (ConnProxy). It applies the current condition of
// each link, as package faults defines it. The caller sets the conditions; the package itself makes
// no decisions about faults.
package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/internal/testbed/faults"
)

const (
	// readBytes is the size of the largest datagram that is forwarded whole. It is far above the
	// platform's limit, which the caller checks.
	readBytes = 2048
	// maxDelayed bounds the delayed datagrams of one direction of a link. Further datagrams are
	// dropped and counted.
	maxDelayed = 1024
	// socketBufferBytes is the size of a socket's receive buffer. The buffer holds the datagrams that
	// arrive while the proxy waits for processor time.
	socketBufferBytes = 1 << 20
)

// Mesh forwards the datagrams between routers. For each router, the mesh listens at an address at
// which all other routers reach that router. The mesh also forwards the router's own datagrams from
// this address, so each router sees the others at the addresses in every list of peers. The mesh
// identifies the sender of a datagram by its source address. Close ends the mesh's goroutines.
type Mesh struct {
	conns        []*net.UDPConn // by router; the socket at which the other routers reach it
	routers      []netip.AddrPort
	routerByAddr map[netip.AddrPort]int
	links        [][]*link // by sender and receiver
	goroutines   sync.WaitGroup
	onOversized  func(from, bytes int) // called with each datagram of more than maxBytes
	maxBytes     int

	closed    atomic.Bool
	forwarded atomic.Uint64
	kinds     [16]atomic.Uint64 // received datagrams, by the high half of their first byte
	dropped   atomic.Uint64     // datagrams beyond maxDelayed
}

// link is one direction of the link between two routers.
type link struct {
	mu      sync.Mutex
	faults  *faults.Link
	healthy bool          // the link has no fault; the common case has a fast path
	delayed int           // datagrams that wait to be sent
	copies  []faults.Copy // reused for each datagram
}

// NewMesh returns a mesh between routers that listen at the addresses listen and that others reach at
// the addresses at. It calls onOversized with the sender and the size of each datagram of more than
// maxBytes; onOversized must not block. It returns an error if the mesh can't listen.
func NewMesh(listen, at []netip.AddrPort, seed uint64, maxBytes int, onOversized func(from, bytes int)) (*Mesh, error) {
	m := &Mesh{routers: listen, routerByAddr: map[netip.AddrPort]int{}, onOversized: onOversized, maxBytes: maxBytes}
	for i := range listen {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at[i]))
		if err != nil {
			m.Close()
			return nil, err
		}
		conn.SetReadBuffer(socketBufferBytes)
		m.conns = append(m.conns, conn)
		m.routerByAddr[listen[i]] = i
		links := make([]*link, len(listen))
		for j := range links {
			links[j] = &link{faults: faults.NewLink(seed, uint64(i)<<16|uint64(j)), healthy: true}
		}
		m.links = append(m.links, links)
	}
	for i := range listen {
		m.goroutines.Go(func() { m.receive(i) })
	}
	return m, nil
}

// Set sets the condition of each direction of each link according to the active faults.
func (m *Mesh) Set(on []*faults.Injection) {
	for i, row := range m.links {
		for j, l := range row {
			c := faults.ConditionOf(on, faults.End{N: i}, faults.End{N: j})
			l.mu.Lock()
			l.faults.Condition, l.healthy = c, c == faults.Condition{}
			l.mu.Unlock()
		}
	}
}

// receive forwards the datagrams addressed to a router until Close.
func (m *Mesh) receive(to int) {
	buf := make([]byte, readBytes)
	for !m.closed.Load() {
		n, sender, err := m.conns[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			if m.closed.Load() {
				return
			}
			continue // the error reports that an earlier datagram could not be delivered
		}
		from, known := m.routerByAddr[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
		if known {
			m.forward(from, to, buf[:n])
		}
	}
}

// forward forwards a datagram and applies the condition of its link.
func (m *Mesh) forward(from, to int, data []byte) {
	if len(data) > m.maxBytes {
		m.onOversized(from, len(data))
	}
	if len(data) > 0 {
		m.kinds[data[0]>>4].Add(1)
	}
	source, l := m.conns[from], m.links[from][to]
	l.mu.Lock()
	if l.healthy {
		l.mu.Unlock()
		m.send(source, data, to)
		return
	}
	defer l.mu.Unlock()
	l.copies = l.faults.Pass(len(data), l.copies[:0])
	for _, c := range l.copies {
		copied := append([]byte(nil), data[:c.Bytes]...)
		if c.Flip >= 0 {
			copied[c.Flip/8] ^= 1 << (c.Flip % 8)
		}
		if c.After <= 0 {
			m.send(source, copied, to)
			continue
		}
		m.sendLater(l, c.After, source, copied, to)
	}
}

// sendLater sends a datagram after a delay, or drops the datagram if too many datagrams of its link
// are already delayed. The caller holds the link's lock.
func (m *Mesh) sendLater(l *link, delay time.Duration, source *net.UDPConn, data []byte, to int) {
	if l.delayed >= maxDelayed {
		m.dropped.Add(1)
		return
	}
	l.delayed++
	time.AfterFunc(delay, func() {
		l.mu.Lock()
		l.delayed--
		l.mu.Unlock()
		m.send(source, data, to)
	})
}

// send sends a datagram to a router and counts it. A datagram that can't be sent is lost, as on a
// network.
func (m *Mesh) send(from *net.UDPConn, data []byte, to int) {
	if _, err := from.WriteToUDPAddrPort(data, m.routers[to]); err == nil {
		m.forwarded.Add(1)
	}
}

// Forwarded returns how many datagrams were forwarded, and how many were dropped because too many
// datagrams of their link were delayed.
func (m *Mesh) Forwarded() (carried, dropped uint64) { return m.forwarded.Load(), m.dropped.Load() }

// Kinds returns how many datagrams from known routers the mesh has received, by the high half of
// their first byte, which is their kind.
func (m *Mesh) Kinds() (all [16]uint64) {
	for i := range m.kinds {
		all[i] = m.kinds[i].Load()
	}
	return all
}

// Close stops the mesh and waits for its goroutines. Delayed datagrams are lost.
func (m *Mesh) Close() {
	m.closed.Store(true)
	for _, c := range m.conns {
		c.Close()
	}
	m.goroutines.Wait()
}
