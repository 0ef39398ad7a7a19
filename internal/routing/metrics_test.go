package routing

import (
	"testing"

	"reachspread/balance"
)

// What the metrics cost a request: its class is looked up once, and its end is one addition.
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

// Classes beyond the bound are not counted, and the ones before stay.
func TestClassesAreBounded(t *testing.T) {
	var metrics counters
	for i := range 3 * maxCountedClasses {
		metrics.addClasses([]balance.Class{{Name: string(rune('a' + i))}})
	}
	metrics.forClass("a").countEnded(Served)
	if metrics.forClass("a").ended[Served].Load() != 1 || len(metrics.all()) != maxCountedClasses {
		t.Errorf("%d classes", len(metrics.all()))
	}
	metrics.forClass("nobody's").countEnded(Failed)
}
