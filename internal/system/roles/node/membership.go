package node

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"

	"reachspread/coord/failpoint"
	"reachspread/coord/members"
	"reachspread/internal/router/peering"
)

// What a router says of itself in the version field of the membership.
const (
	cardFormatVersion = "1"
	eligibleFlag      = "c" // it may be a member of the register
)

// maxDatagramBytes bounds a datagram of the membership or of peer reports. What is longer is
// truncated, and so not valid.
const maxDatagramBytes = 2048

// openMembership opens the socket for datagrams and makes the membership, which knows this router
// alone until its loop runs.
func (n *Node) openMembership() error {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.self.address))
	if err != nil {
		return fmt.Errorf("internalPortRange: %w", err)
	}
	n.udp = udp
	changed := func(v *members.View, _ *members.Changed) {
		n.hub.post(func() { n.hub.membershipChanged(v) })
	}
	n.members, err = peering.NewViewDriver(n.membershipConfig(), n.sendDatagram, changed, n.log)
	n.self.zone = zoneLabel(n.settings().Zone)
	n.hub.resetMembership()
	return err
}

func (n *Node) membershipConfig() members.Config {
	s := n.settings()
	version := cardFormatVersion
	if n.self.eligible {
		version += eligibleFlag
	}
	return members.Config{
		Name:       s.IPAddress,
		Zone:       zoneLabel(s.Zone),
		Version:    version,
		Addr:       n.self.address,
		Boot:       rand.Uint32() | 1, // not 0
		Seeds:      s.Seeds(),
		RandomSeed: rand.Uint64(),
	}
}

// sendDatagram sends one to another router. It may be lost.
func (n *Node) sendDatagram(to netip.AddrPort, data []byte) {
	if !failpoint.DropMessage(to.String()) {
		n.udp.WriteToUDPAddrPort(data, to)
	}
}

// receiveDatagrams delivers datagrams to the peer reports and the membership until the socket is
// closed.
func (n *Node) receiveDatagrams() {
	var buffer [maxDatagramBytes]byte
	for {
		count, from, err := n.udp.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		data := buffer[:count]
		if !n.peerReports.receive(from, data) && members.IsDatagram(data) {
			n.members.HandleDatagram(from, data)
		}
	}
}

// zoneLabel is a zone's name as the membership and the register have it. A name that is too long
// for the membership is truncated, with a hash at the end that keeps it distinct.
func zoneLabel(zone string) string {
	const hashDigits = 8
	if len(zone) <= members.MaxZoneLen {
		return zone
	}
	return zone[:members.MaxZoneLen-hashDigits] + fmt.Sprintf("%0*x", hashDigits, uint32(hashString(zone)))
}

// hashString is the 64-bit FNV-1a hash of a text, the same in every process.
func hashString(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
