// Package relay carries what passes between a fleet's processes on loopback: datagrams between routers and connections to
// hosts and lists, as package faults says that each link is at the moment. It decides nothing itself.
package relay

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/internal/faults"
)

const (
	// mostDatagram is the longest that is carried, far over the platform's bound, which somebody else judges.
	mostDatagram = 2048
	// mostUnderWay bounds the datagrams of one direction of a link that are late; further ones are dropped and counted.
	mostUnderWay = 1024
)

// Mesh is the datagrams between routers. Router i reaches router j at an address of its own, and what it sends there comes
// to j from the address at which j reaches i: each sees the other as its own list of peers names it.
type Mesh struct {
	at    [][]*net.UDPConn // at[i][j] is where i reaches j; nil where i is j
	peer  []netip.AddrPort
	links [][]*link
	all   sync.WaitGroup
	wide  func(from, bytes int) // told of each datagram over bound
	bound int

	closed  atomic.Bool
	carried atomic.Uint64
	dropped atomic.Uint64 // as too many were under way
}

// link is one direction between two routers.
type link struct {
	mu       sync.Mutex
	decides  *faults.Link
	well     bool // nothing is the matter, which is most of the time
	underWay int
	copies   []faults.Copy
}

// NewMesh returns a mesh between routers that listen at the addresses given. At names where i reaches j. Wide is told of
// datagrams of more than bound bytes.
func NewMesh(listen []netip.AddrPort, at func(i, j int) netip.AddrPort, seed uint64, bound int, wide func(from, bytes int)) (*Mesh, error) {
	m := &Mesh{peer: listen, wide: wide, bound: bound}
	for i := range listen {
		row, links := make([]*net.UDPConn, len(listen)), make([]*link, len(listen))
		m.at, m.links = append(m.at, row), append(m.links, links)
		for j := range listen {
			links[j] = &link{decides: faults.NewLink(seed, uint64(i)<<16|uint64(j)), well: true}
			if i == j {
				continue
			}
			conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at(i, j)))
			if err != nil {
				m.Close()
				return nil, err
			}
			row[j] = conn
		}
	}
	for i := range listen {
		for j := range listen {
			if i != j {
				m.all.Go(func() { m.carry(i, j) })
			}
		}
	}
	return m, nil
}

// Set has each direction of each link be as the faults of the moment have it.
func (m *Mesh) Set(on []*faults.Strike) {
	for i, row := range m.links {
		for j, l := range row {
			c := faults.ConditionOf(on, faults.End{N: i}, faults.End{N: j})
			l.mu.Lock()
			l.decides.Condition, l.well = c, c == faults.Condition{}
			l.mu.Unlock()
		}
	}
}

// carry takes what i sends to j.
func (m *Mesh) carry(i, j int) {
	from, to, l := m.at[i][j], m.at[j][i], m.links[i][j]
	buf := make([]byte, mostDatagram)
	for !m.closed.Load() {
		n, sender, err := from.ReadFromUDPAddrPort(buf)
		if err != nil {
			if m.closed.Load() {
				return
			}
			continue // word of an earlier one that nobody took
		}
		if netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()) != m.peer[i] {
			continue
		}
		if n > m.bound {
			m.wide(i, n)
		}
		l.mu.Lock()
		if l.well {
			l.mu.Unlock()
			m.send(to, buf[:n], j)
			continue
		}
		l.copies = l.decides.Pass(n, l.copies[:0])
		for _, c := range l.copies {
			text := append([]byte(nil), buf[:c.Bytes]...)
			if c.Flip >= 0 {
				text[c.Flip/8] ^= 1 << (c.Flip % 8)
			}
			if c.After <= 0 {
				m.send(to, text, j)
				continue
			}
			if l.underWay >= mostUnderWay {
				m.dropped.Add(1)
				continue
			}
			l.underWay++
			time.AfterFunc(c.After, func() {
				l.mu.Lock()
				l.underWay--
				l.mu.Unlock()
				m.send(to, text, j)
			})
		}
		l.mu.Unlock()
	}
}

func (m *Mesh) send(from *net.UDPConn, text []byte, to int) {
	if _, err := from.WriteToUDPAddrPort(text, m.peer[to]); err == nil {
		m.carried.Add(1)
	}
}

// Carried returns how many datagrams went on, and how many were dropped as too many of their link were under way.
func (m *Mesh) Carried() (carried, dropped uint64) { return m.carried.Load(), m.dropped.Load() }

// Close ends it. What is under way is lost.
func (m *Mesh) Close() {
	m.closed.Store(true)
	for _, row := range m.at {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
	m.all.Wait()
}
