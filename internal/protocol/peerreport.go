package protocol

import (
	"fmt"
	"math"
	"slices"

	"reachspread/balance"
)

// A datagram between routers, of newsHead and n words:
//
//	byte 0       version in the high half, n in the low one; version 5 where words have prefixes
//	byte 1       mark of the sender's zone
//	per item:    tag of the server, 3 bytes, high one first
//	             what is said: top bit 0 for tokens, 1 for slowness; the rest is a logarithm
//	             in version 5, the mark of a prefix, 2 bytes, high one first; 0 for none
//
// The price is by bytes delivered, so a figure has 7 bits: tokens within 5%, slowness within 3%.
const (
	peerReportVersion = 1
	withPrefixes      = 5 // those between are the fleet view's, duties' and recovery's
	peerReportHead    = 2
	peerReportSize    = 4
	peerReportPrefix  = 2 // more, with a prefix

	// MostNews is how many words a datagram has at most.
	MostPeerReports = 15

	tokenSteps = 8.0  // to a doubling, from 1 on
	slowSteps  = 16.0 // to a doubling, from slowLeast on
	slowLeast  = 1.0 / 8
	saysSlow   = 0x80
	mostStep   = 0x7f
)

// AppendNews writes a datagram to the end of b. Words beyond MostNews are left out: they are but hints.
func AppendPeerReports(b []byte, zone uint8, reports []balance.PeerReport) []byte {
	reports = reports[:min(len(reports), MostPeerReports)]
	version := peerReportVersion
	if slices.ContainsFunc(reports, func(n balance.PeerReport) bool { return n.PrefixTag > 0 }) {
		version = withPrefixes
	}
	b = append(b, byte(version<<4|len(reports)), zone)
	for _, n := range reports {
		says := step(n.PrefillTokens, tokenSteps)
		if n.LatencyRatio > 0 {
			says = saysSlow | step(n.LatencyRatio/slowLeast, slowSteps)
		}
		b = append(b, byte(n.ReplicaTag>>16), byte(n.ReplicaTag>>8), byte(n.ReplicaTag), says)
		if version == withPrefixes {
			b = append(b, byte(n.PrefixTag>>8), byte(n.PrefixTag))
		}
	}
	return b
}

// ParseNews reads a datagram whole or not at all.
func ParsePeerReports(b []byte) (zone uint8, reports []balance.PeerReport, err error) {
	if len(b) < peerReportHead {
		return 0, nil, fmt.Errorf("peer reports: %d bytes, fewer than a head has", len(b))
	}
	item := peerReportSize
	switch v := b[0] >> 4; v {
	case peerReportVersion:
	case withPrefixes:
		item += peerReportPrefix
	default:
		return 0, nil, fmt.Errorf("peer reports: version %d, not %d or %d", v, peerReportVersion, withPrefixes)
	}
	n := int(b[0] & 0x0f)
	if want := peerReportHead + n*item; len(b) != want {
		return 0, nil, fmt.Errorf("peer reports: %d bytes for %d words, not %d", len(b), n, want)
	}
	for i := peerReportHead; i < len(b); i += item {
		word := balance.PeerReport{ReplicaTag: uint32(b[i])<<16 | uint32(b[i+1])<<8 | uint32(b[i+2])}
		if says := b[i+3]; says&saysSlow != 0 {
			word.LatencyRatio = slowLeast * math.Exp2(float64(says&mostStep)/slowSteps)
		} else {
			word.PrefillTokens = math.Exp2(float64(says) / tokenSteps)
		}
		if item > peerReportSize {
			word.PrefixTag = uint16(b[i+4])<<8 | uint16(b[i+5])
		}
		reports = append(reports, word)
	}
	return b[1], reports, nil
}

// step is the number of the nearest step to a figure.
func step(figure, toDouble float64) byte {
	return byte(min(max(math.Round(math.Log2(max(figure, 1))*toDouble), 0), mostStep))
}
