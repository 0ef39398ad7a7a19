package routing

import (
	"testing"

	"reachspread/balance"
)

// What the metrics cost a request: its class is looked up once, and its end is one addition.
func BenchmarkMetricsOfARequest(b *testing.B) {
	var f counters
	f.addClasses([]balance.Class{{Name: "field-fill"}, {Name: "desk-chat"}, {Name: "batch-review"}, {Name: "order-steps"}})
	b.ReportAllocs()
	for range b.N {
		c := f.of("desk-chat")
		f.open.Add(1)
		f.attemptsSent.Add(1)
		c.countEnded(Served)
		f.open.Add(-1)
	}
}

// Classes beyond the bound are not counted, and the ones before stay.
func TestClassesAreBounded(t *testing.T) {
	var f counters
	for i := range 3 * maxCountedClasses {
		f.addClasses([]balance.Class{{Name: string(rune('a' + i))}})
	}
	f.of("a").countEnded(Served)
	if f.of("a").ended[Served].Load() != 1 || len(f.all()) != maxCountedClasses {
		t.Errorf("%d classes", len(f.all()))
	}
	f.of("nobody's").countEnded(Failed)
}
