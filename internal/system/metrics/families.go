package metrics

import (
	dto "github.com/prometheus/client_model/go"
	"google.golang.org/protobuf/proto"
)

// label is the name and the value of a label of a sample.
type label struct{ name, value string }

// families collects the metric families of a scrape, in the order in which they are written.
type families struct{ all []*dto.MetricFamily }

// family is a metric with one sample for each set of labels.
type family struct {
	out  *dto.MetricFamily
	kind dto.MetricType
}

func (f *families) add(name, help string, kind dto.MetricType) *family {
	out := &dto.MetricFamily{Name: proto.String(prefix + name), Help: proto.String(help), Type: kind.Enum()}
	f.all = append(f.all, out)
	return &family{out, kind}
}

// counter adds a metric that only increases while the process runs. Its name must end with _total.
func (f *families) counter(name, help string) *family {
	return f.add(name, help, dto.MetricType_COUNTER)
}

// gauge adds a metric whose value may increase and decrease.
func (f *families) gauge(name, help string) *family { return f.add(name, help, dto.MetricType_GAUGE) }

// sample adds a sample with a value and its labels.
func (f *family) sample(value float64, labels ...label) {
	m := &dto.Metric{}
	for _, l := range labels {
		m.Label = append(m.Label, &dto.LabelPair{Name: proto.String(l.name), Value: proto.String(l.value)})
	}
	if f.kind == dto.MetricType_COUNTER {
		m.Counter = &dto.Counter{Value: &value}
	} else {
		m.Gauge = &dto.Gauge{Value: &value}
	}
	f.out.Metric = append(f.out.Metric, m)
}

// age adds a sample with a time in seconds, or none if the time is unknown (nil).
func (f *family) age(seconds *float64, labels ...label) {
	if seconds != nil {
		f.sample(*seconds, labels...)
	}
}

// oneIf returns 1 if a condition is true and 0 if it is false.
func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// prefix is the prefix of the names of all metrics.
const prefix = "reachspread_"
