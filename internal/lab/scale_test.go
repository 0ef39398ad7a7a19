package lab

import (
	"testing"
	"time"
)

// BenchmarkScale is a fifth of a second of 1,000 hosts, 100 routers and 20,000 requests a second.
func BenchmarkScale(b *testing.B) {
	for b.Loop() {
		s := small(1)
		s.Length = 200 * time.Millisecond
		s.Routers = 100
		for i := range s.Groups {
			s.Groups[i].Count = 500
			s.Classes[i].Rate = 10000
		}
		w, err := New(s)
		if err != nil {
			b.Fatal(err)
		}
		r, err := w.Run(0)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(r.Events)/b.Elapsed().Seconds(), "events/s")
		b.Logf("%d events, %d steps, %d attempts, asked %.0f, G %.3f", r.Events, r.Steps, r.Attempts, r.Asked, r.G())
	}
}
