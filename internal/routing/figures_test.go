package routing

import (
	"testing"

	"reachspread/balance"
)

// What the figures cost a request: its class is looked up once, and its end is one addition.
func BenchmarkFiguresOfARequest(b *testing.B) {
	var f figures
	f.list([]balance.Class{{Name: "field-fill"}, {Name: "desk-chat"}, {Name: "batch-review"}, {Name: "order-steps"}})
	b.ReportAllocs()
	for range b.N {
		c := f.of("desk-chat")
		f.open.Add(1)
		f.relayed.Add(1)
		c.end(Served)
		f.open.Add(-1)
	}
}

// Classes beyond the bound are not counted, and the ones before stay.
func TestClassesAreBounded(t *testing.T) {
	var f figures
	for i := range 3 * mostClasses {
		f.list([]balance.Class{{Name: string(rune('a' + i))}})
	}
	f.of("a").end(Served)
	if f.of("a").ended[Served].Load() != 1 || len(f.all()) != mostClasses {
		t.Errorf("%d classes", len(f.all()))
	}
	f.of("nobody's").end(Failed)
}
