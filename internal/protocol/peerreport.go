package protocol

import (
	"fmt"
	"math"
	"slices"

	"reachspread/balance"
)

// A datagram between routers, of a head and n reports:
//
//	byte 0       version in the high half, n in the low one; version 5 if reports have prefixes
//	byte 1       tag of the sender's zone
//	per report:  tag of the server, 3 bytes, high one first
//	             value: top bit 0 for tokens, 1 for a latency ratio; the rest is a logarithm
//	             in version 5, the tag of a prefix, 2 bytes, high one first; 0 for none
//
// Delivered bytes have a price, so a value has 7 bits: tokens within 5%, latency ratios within 3%.
const (
	peerReportVersion         = 1
	peerReportVersionPrefixes = 5 // versions between are the fleet view's, roles' and recovery's
	peerReportHead            = 2
	peerReportSize            = 4
	peerReportPrefix          = 2 // bytes more, with a prefix

	// MaxPeerReports is how many reports a datagram may have.
	MaxPeerReports = 15

	stepsPerTokenDoubling = 8.0  // from 1 on
	stepsPerRatioDoubling = 16.0 // from minRatio on
	minRatio              = 1.0 / 8
	ratioFlag             = 0x80
	maxStep               = 0x7f
)

// AppendPeerReports appends a datagram to b. Reports beyond MaxPeerReports are left out: they are
// only hints.
func AppendPeerReports(b []byte, zone uint8, reports []balance.PeerReport) []byte {
	reports = reports[:min(len(reports), MaxPeerReports)]
	version := peerReportVersion
	if slices.ContainsFunc(reports, func(n balance.PeerReport) bool { return n.PrefixTag > 0 }) {
		version = peerReportVersionPrefixes
	}
	b = append(b, byte(version<<4|len(reports)), zone)
	for _, n := range reports {
		value := logStep(n.PrefillTokens, stepsPerTokenDoubling)
		if n.LatencyRatio > 0 {
			value = ratioFlag | logStep(n.LatencyRatio/minRatio, stepsPerRatioDoubling)
		}
		b = append(b, byte(n.ReplicaTag>>16), byte(n.ReplicaTag>>8), byte(n.ReplicaTag), value)
		if version == peerReportVersionPrefixes {
			b = append(b, byte(n.PrefixTag>>8), byte(n.PrefixTag))
		}
	}
	return b
}

// ParsePeerReports parses a datagram, all of it or nothing.
func ParsePeerReports(b []byte) (zone uint8, reports []balance.PeerReport, err error) {
	if len(b) < peerReportHead {
		return 0, nil, fmt.Errorf("peer reports: %d bytes, fewer than a head has", len(b))
	}
	reportSize := peerReportSize
	switch v := b[0] >> 4; v {
	case peerReportVersion:
	case peerReportVersionPrefixes:
		reportSize += peerReportPrefix
	default:
		return 0, nil, fmt.Errorf("peer reports: version %d, not %d or %d", v, peerReportVersion, peerReportVersionPrefixes)
	}
	n := int(b[0] & 0x0f)
	if want := peerReportHead + n*reportSize; len(b) != want {
		return 0, nil, fmt.Errorf("peer reports: %d bytes for %d reports, not %d", len(b), n, want)
	}
	for i := peerReportHead; i < len(b); i += reportSize {
		report := balance.PeerReport{ReplicaTag: uint32(b[i])<<16 | uint32(b[i+1])<<8 | uint32(b[i+2])}
		if value := b[i+3]; value&ratioFlag != 0 {
			report.LatencyRatio = minRatio * math.Exp2(float64(value&maxStep)/stepsPerRatioDoubling)
		} else {
			report.PrefillTokens = math.Exp2(float64(value) / stepsPerTokenDoubling)
		}
		if reportSize > peerReportSize {
			report.PrefixTag = uint16(b[i+4])<<8 | uint16(b[i+5])
		}
		reports = append(reports, report)
	}
	return b[1], reports, nil
}

// logStep returns the nearest step to a value on a logarithmic scale.
func logStep(value, stepsPerDoubling float64) byte {
	return byte(min(max(math.Round(math.Log2(max(value, 1))*stepsPerDoubling), 0), maxStep))
}
