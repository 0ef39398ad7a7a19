package protocol

import (
	"fmt"
	"math"
	"slices"

	"reachspread/balance"
)

// A datagram of peer reports between routers has a head of two bytes and n reports:
//
//	byte 0       version in the high 4 bits, n in the low 4 bits; version 5 if reports have prefixes
//	byte 1       tag of the sender's zone
//	per report:  tag of the server, 3 bytes, big-endian
//	             value, 1 byte: the top bit is 0 for tokens and 1 for a latency ratio; the other 7
//	             bits are a logarithm
//	             in version 5 only, tag of a prefix, 2 bytes, big-endian; 0 for none
//
// Delivered bytes are billed, so a value has only 7 bits. They give tokens within 5% and latency
// ratios within 3%.
const (
	peerReportVersion         = 1 // without prefixes
	peerReportVersionPrefixes = 5 // the versions 2 to 4 belong to datagrams of the fleet view, the roles and the recovery
	peerReportHead            = 2 // bytes of the head
	peerReportSize            = 4 // bytes of a report without a prefix
	peerReportPrefix          = 2 // additional bytes of a report with a prefix

	// MaxPeerReports is the maximum number of reports in a datagram.
	MaxPeerReports = 15

	stepsPerTokenDoubling = 8.0     // step 0 is 1 token
	stepsPerRatioDoubling = 16.0    // step 0 is minRatio
	minRatio              = 1.0 / 8 // smallest latency ratio that can be encoded
	ratioFlag             = 0x80    // bit of a value that is a latency ratio
	maxStep               = 0x7f    // mask and maximum of a value's logarithm
)

// AppendPeerReports appends a datagram with the reports to b. It omits reports beyond
// MaxPeerReports, which is harmless because reports are only hints.
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

// ParsePeerReports parses a datagram of peer reports. It returns no reports if any part of the
// datagram is malformed.
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

// logStep returns the step, from 0 to maxStep, that is nearest to a value on a logarithmic scale
// that begins at 1.
func logStep(value, stepsPerDoubling float64) byte {
	return byte(min(max(math.Round(math.Log2(max(value, 1))*stepsPerDoubling), 0), maxStep))
}
