package protocol

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"reachspread/balance"
)

// Reports that are encoded and parsed again differ by at most half a step of the scale, and a
// datagram of the wrong length is rejected as a whole.
func TestPeerReportsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.Byte().Draw(t, "zone")
		var sent []balance.PeerReport
		for range rapid.IntRange(0, MaxPeerReports).Draw(t, "reports") {
			n := balance.PeerReport{ReplicaTag: rapid.Uint32Max(1<<24-1).Draw(t, "tag"), PrefixTag: rapid.SampledFrom([]uint16{0, 0, 1, 0x1234, 0xffff}).Draw(t, "prefix")}
			if rapid.Bool().Draw(t, "has latency ratio") {
				n.LatencyRatio = rapid.Float64Range(0.2, 20).Draw(t, "latency ratio")
			} else {
				n.PrefillTokens = rapid.Float64Range(1, 32000).Draw(t, "tokens")
			}
			sent = append(sent, n)
		}
		text := AppendPeerReports(nil, zone, sent)
		if len(text) > 256 {
			t.Fatalf("datagram has %d bytes; want at most 256", len(text))
		}
		gotZone, received, err := ParsePeerReports(text)
		if err != nil || gotZone != zone || len(received) != len(sent) {
			t.Fatalf("got zone %d, %d reports, error %v", gotZone, len(received), err)
		}
		for i, n := range sent {
			near := func(a, b, ratio float64) bool { return a == b || math.Abs(math.Log(a/b)) < math.Log(ratio) }
			if received[i].ReplicaTag != n.ReplicaTag || received[i].PrefixTag != n.PrefixTag || !near(received[i].PrefillTokens, n.PrefillTokens, 1.05) || !near(received[i].LatencyRatio, n.LatencyRatio, 1.03) {
				t.Fatalf("sent %v, received %v", n, received[i])
			}
		}
		for n := range text {
			if _, _, err := ParsePeerReports(text[:n]); err == nil {
				t.Fatalf("the first %d of %d bytes were accepted as a complete datagram", n, len(text))
			}
		}
		if _, _, err := ParsePeerReports(append(text, 0)); err == nil {
			t.Fatal("a datagram with one extra byte was accepted")
		}
		text[0] ^= 0x60 // version 1 becomes 7, version 5 becomes 3
		if _, _, err := ParsePeerReports(text); err == nil {
			t.Fatal("a datagram of an unknown version was accepted")
		}
	})
}
