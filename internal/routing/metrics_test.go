package routing

import (
	"testing"

	"reachspread/balance"
)

// Measures what the metrics of one request cost: a lookup of its class, and one addition for each
// counter.
func BenchmarkMetricsOfARequest(b *testing.B) {
	var metrics counters
	metrics.addClasses([]balance.Class{{Name: "field-fill"}, {Name: "desk-chat"}, {Name: "batch-review"}, {Name: "order-steps"}})
	b.ReportAllocs()
	for range b.N {
		c := metrics.forClass("desk-chat")
		metrics.open.Add(1)
		metrics.attemptsSent.Add(1)
		c.countEnded(Served)
		metrics.open.Add(-1)
	}
}

// Classes beyond maxCountedClasses get no counters, and the classes added before keep theirs.
func TestClassesAreBounded(t *testing.T) {
	var metrics counters
	for i := range 3 * maxCountedClasses {
		metrics.addClasses([]balance.Class{{Name: string(rune('a' + i))}})
	}
	metrics.forClass("a").countEnded(Served)
	if metrics.forClass("a").ended[Served].Load() != 1 || len(metrics.all()) != maxCountedClasses {
		t.Errorf("%d classes have counters, or the first one lost its count", len(metrics.all()))
	}
	metrics.forClass("nobody's").countEnded(Failed)
}
