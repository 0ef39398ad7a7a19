package protocol

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"reachspread/balance"
)

// What is told comes back within half a step of the scale, and any other length than the right one
// is refused whole.
func TestPeerReportsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.Byte().Draw(t, "zone")
		var sent []balance.PeerReport
		for range rapid.IntRange(0, MaxPeerReports).Draw(t, "words") {
			n := balance.PeerReport{ReplicaTag: rapid.Uint32Max(1<<24-1).Draw(t, "tag"), PrefixTag: rapid.SampledFrom([]uint16{0, 0, 1, 0x1234, 0xffff}).Draw(t, "prefix")}
			if rapid.Bool().Draw(t, "slow") {
				n.LatencyRatio = rapid.Float64Range(0.2, 20).Draw(t, "slowness")
			} else {
				n.PrefillTokens = rapid.Float64Range(1, 32000).Draw(t, "tokens")
			}
			sent = append(sent, n)
		}
		text := AppendPeerReports(nil, zone, sent)
		if len(text) > 256 {
			t.Fatalf("%d bytes", len(text))
		}
		gotZone, received, err := ParsePeerReports(text)
		if err != nil || gotZone != zone || len(received) != len(sent) {
			t.Fatalf("got zone %d, %d words, %v", gotZone, len(received), err)
		}
		for i, n := range sent {
			near := func(a, b, ratio float64) bool { return a == b || math.Abs(math.Log(a/b)) < math.Log(ratio) }
			if received[i].ReplicaTag != n.ReplicaTag || received[i].PrefixTag != n.PrefixTag || !near(received[i].PrefillTokens, n.PrefillTokens, 1.05) || !near(received[i].LatencyRatio, n.LatencyRatio, 1.03) {
				t.Fatalf("told %v, heard %v", n, received[i])
			}
		}
		for n := range text {
			if _, _, err := ParsePeerReports(text[:n]); err == nil {
				t.Fatalf("%d of %d bytes were taken for a whole message", n, len(text))
			}
		}
		if _, _, err := ParsePeerReports(append(text, 0)); err == nil {
			t.Fatal("a byte too many was taken")
		}
		text[0] ^= 0x60 // 7 or 3
		if _, _, err := ParsePeerReports(text); err == nil {
			t.Fatal("another version was taken")
		}
	})
}
