package mirror

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"reachspread/internal/router/shadow"
)

const (
	maxLatencyMs = 10 * 60 * 1000 // the upper limit of a histogram; longer times count as this one
	maxClasses   = 16             // classes with their own histograms; limited because clients send the names
	otherClass   = "other"        // the class that counts the answers of all further classes
)

// latencies holds histograms of the times of comparable answers, in milliseconds and by class. Each
// class has four: the time to the first byte of the live answer and of the copy's answer, and the
// total time of the live answer and of the copy's answer.
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
		h[i].RecordValue(min(max(d.Milliseconds(), 1), maxLatencyMs)) // fails only for values out of the histogram's range
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
