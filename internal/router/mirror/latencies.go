package mirror

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"reachspread/internal/router/shadow"
)

const (
	maxLatencyMs = 10 * 60 * 1000 // the longest time that a histogram distinguishes
	maxClasses   = 16             // with histograms of their own: clients send the names
	otherClass   = "other"
)

// latencies has the distributions of the times of comparable answers, by class: of the live and the
// copied answers' first byte, and of their totals.
type latencies struct {
	classes map[string]*[4]*hdrhistogram.Histogram
}

func newLatencies() *latencies { return &latencies{map[string]*[4]*hdrhistogram.Histogram{}} }

func (t *latencies) add(class string, live, copied shadow.Answer) {
	h := t.classes[class]
	if h == nil && len(t.classes) >= maxClasses {
		class = otherClass
		h = t.classes[class]
	}
	if h == nil {
		h = new([4]*hdrhistogram.Histogram)
		for i := range h {
			h[i] = hdrhistogram.New(1, maxLatencyMs, 2)
		}
		t.classes[class] = h
	}
	for i, d := range []time.Duration{live.FirstByte, copied.FirstByte, live.Total, copied.Total} {
		h[i].RecordValue(min(max(d.Milliseconds(), 1), maxLatencyMs)) // within its range, it can't fail
	}
}

func (t *latencies) report() map[string]Times {
	r := map[string]Times{}
	for class, h := range t.classes {
		spread := func(i int) Spread {
			return Spread{h[i].ValueAtQuantile(50), h[i].ValueAtQuantile(90), h[i].ValueAtQuantile(99)}
		}
		r[class] = Times{h[0].TotalCount(), spread(0), spread(1), spread(2), spread(3)}
	}
	return r
}
