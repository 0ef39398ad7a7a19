// Package faultproxy carries what passes between a fleet's processes on loopback: datagrams between routers and connections to
// hosts and lists, as package faults says that each link is at the moment. It decides nothing itself.
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
	// mostDatagram is the longest that is carried, far over the platform's bound, which somebody else judges.
	mostDatagram = 2048
	// mostUnderWay bounds the datagrams of one direction of a link that are late; further ones are dropped and counted.
	mostUnderWay = 1024
	// readBuffer is room for what comes while the relay waits for a core.
	readBuffer = 1 << 20
)

// Mesh is the datagrams between routers. Each router has an address here at which all others reach it, and what it sends
// comes to them from there: each sees the others as every list of peers names them. Whose a datagram is tells the address that
// it came from.
type Mesh struct {
	at    []*net.UDPConn // where router i is reached
	peer  []netip.AddrPort
	who   map[netip.AddrPort]int
	links [][]*link
	all   sync.WaitGroup
	wide  func(from, bytes int) // told of each datagram over bound
	bound int

	closed  atomic.Bool
	carried atomic.Uint64
	kinds   [16]atomic.Uint64 // datagrams that came, by the high half of their first byte
	dropped atomic.Uint64     // as too many were under way
}

// link is one direction between two routers.
type link struct {
	mu       sync.Mutex
	decides  *faults.Link
	well     bool // nothing is the matter, which is most of the time
	underWay int
	copies   []faults.Copy
}

// NewMesh returns a mesh between routers that listen at the addresses given, and are reached at the others. Wide is told of
// datagrams of more than bound bytes.
func NewMesh(listen, at []netip.AddrPort, seed uint64, bound int, wide func(from, bytes int)) (*Mesh, error) {
	m := &Mesh{peer: listen, who: map[netip.AddrPort]int{}, wide: wide, bound: bound}
	for i := range listen {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at[i]))
		if err != nil {
			m.Close()
			return nil, err
		}
		conn.SetReadBuffer(readBuffer)
		m.at = append(m.at, conn)
		m.who[listen[i]] = i
		links := make([]*link, len(listen))
		for j := range links {
			links[j] = &link{decides: faults.NewLink(seed, uint64(i)<<16|uint64(j)), well: true}
		}
		m.links = append(m.links, links)
	}
	for i := range listen {
		m.all.Go(func() { m.carry(i) })
	}
	return m, nil
}

// Set has each direction of each link be as the faults of the moment have it.
func (m *Mesh) Set(on []*faults.Injection) {
	for i, row := range m.links {
		for j, l := range row {
			c := faults.ConditionOf(on, faults.End{N: i}, faults.End{N: j})
			l.mu.Lock()
			l.decides.Condition, l.well = c, c == faults.Condition{}
			l.mu.Unlock()
		}
	}
}

// carry takes what is sent to a router.
func (m *Mesh) carry(j int) {
	buf := make([]byte, mostDatagram)
	for !m.closed.Load() {
		n, sender, err := m.at[j].ReadFromUDPAddrPort(buf)
		if err != nil {
			if m.closed.Load() {
				return
			}
			continue // word of an earlier one that nobody took
		}
		i, known := m.who[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
		if !known {
			continue
		}
		to, l := m.at[i], m.links[i][j] // it comes from where its sender is reached
		if n > m.bound {
			m.wide(i, n)
		}
		if n > 0 {
			m.kinds[buf[0]>>4].Add(1)
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

// Kinds returns how many datagrams came, by the high half of their first byte: what they are of.
func (m *Mesh) Kinds() (all [16]uint64) {
	for i := range m.kinds {
		all[i] = m.kinds[i].Load()
	}
	return all
}

// Close ends it. What is under way is lost.
func (m *Mesh) Close() {
	m.closed.Store(true)
	for _, c := range m.at {
		c.Close()
	}
	m.all.Wait()
}
