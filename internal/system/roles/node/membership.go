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

// A router describes itself in the version field of its membership entry: the format version,
// followed by flags.
const (
	cardFormatVersion = "1"
	eligibleFlag      = "c" // the router may be a member of the register
	diskFlag          = "d" // the router saves the ends of hosts to a disk
)

// maxDatagramBytes is the largest datagram of the membership or of peer reports, in bytes. A
// longer one is truncated on receipt and therefore invalid.
const maxDatagramBytes = 2048

// openMembership opens the socket for datagrams and creates the membership. Until its loop runs,
// the membership knows only this router.
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
	if n.self.hasDisk {
		version += diskFlag
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

// sendDatagram sends a datagram to another router. The datagram may be lost.
func (n *Node) sendDatagram(to netip.AddrPort, data []byte) {
	if !failpoint.DropMessage(to.String()) {
		n.udp.WriteToUDPAddrPort(data, to)
	}
}

// receiveDatagrams passes received datagrams to the peer reports or the membership, until the
// socket is closed.
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

// zoneLabel returns the name of a zone in the form that the membership and the register use. A
// name that is too long for the membership is truncated and ends in a hash, which keeps it unique.
func zoneLabel(zone string) string {
	const hashDigits = 8
	if len(zone) <= members.MaxZoneLen {
		return zone
	}
	return zone[:members.MaxZoneLen-hashDigits] + fmt.Sprintf("%0*x", hashDigits, uint32(hashString(zone)))
}

// hashString returns the 64-bit FNV-1a hash of a text. It is the same in every process.
func hashString(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
