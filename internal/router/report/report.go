// Package report summarizes the records of shadow pools: how many answers were compared, why others
// were not, how the texts differ, and the times of live answers and copies by pool, class and host.
// It reads the files of package records and writes tables and charts. Only the program reachreport
// uses it, so that the router's program does not include the code that draws charts.
package report

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"reachspread/internal/router/records"
)

// Report summarizes the records of a folder.
type Report struct {
	Folder         string    `json:"folder"`
	From           time.Time `json:"from"`
	To             time.Time `json:"to"`
	TruncatedLines int       `json:"cut_lines"` // number of incomplete last lines of files, which were skipped
	Pools          []*Pool   `json:"pools"`
}

// Pool summarizes the records of one pool.
type Pool struct {
	Name             string         `json:"pool"`
	Records          int            `json:"records"`
	Compared         int            `json:"compared"`
	Gaps             int            `json:"compared_with_gap"` // compared requests whose conversation had an earlier request dropped
	Causes           map[string]int `json:"not_comparable"`
	Texts            map[string]int `json:"texts"`
	SameFinish       int            `json:"same_finish"`
	Partial          int            `json:"similarity_of_a_part"`
	Similarity       Spread         `json:"similarity"` // each value is from 0 to 1
	TokenDelta       Spread         `json:"more_tokens"`
	CachedTokenDelta Spread         `json:"more_kept_tokens"`
	Groups           []*Group       `json:"groups"`

	similarities                   []float64
	tokenDeltas, cachedTokenDeltas []float64
	groups                         map[groupKey]*Group
}

// Group holds the times of the compared answers of one class at one candidate host. An empty Class
// or Host stands for all of them.
type Group struct {
	Class string          `json:"class"`
	Host  string          `json:"host"`
	Count int             `json:"count"`
	Times map[string]Pair `json:"times"` // by the names FirstEvent, HostFirstEvent and so on

	live, copied map[string]*hdrhistogram.Histogram
}

// groupKey identifies a Group. An empty class or host stands for all of them.
type groupKey struct{ class, host string }

// compare orders keys by class and then by host.
func (k groupKey) compare(other groupKey) int {
	return cmp.Or(cmp.Compare(k.class, other.class), cmp.Compare(k.host, other.host))
}

// Pair holds the distributions of one time for live answers and copies, in milliseconds. MedianRatio
// is the median of the copies divided by the median of the live answers.
type Pair struct {
	Live        Spread  `json:"live_ms"`
	Copy        Spread  `json:"copy_ms"`
	MedianRatio float64 `json:"ratio_p50"`
}

// Spread holds the mean and quantiles of a distribution.
type Spread struct {
	Count int     `json:"count"`
	Mean  float64 `json:"mean"`
	P10   float64 `json:"p10"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
}

// Names of the times, in the order of the tables. HostFirstEvent is FirstEvent without the time
// until the attempt that answered was sent.
const (
	FirstEvent     = "first event"
	HostFirstEvent = "first event, host's own"
	TokenInterval  = "between tokens"
	CompleteAnswer = "whole answer"
)

var times = []string{FirstEvent, HostFirstEvent, TokenInterval, CompleteAnswer}

// maxLatencyUs is the upper limit of a histogram in microseconds, one hour. Longer times count as
// one hour.
const maxLatencyUs = 3600 * 1e6

// Read summarizes the records of a folder. If a line does not conform to the schema of the records,
// Read fails with an error that names the file and the line.
func Read(folder string) (*Report, error) {
	schema, err := Schema()
	if err != nil {
		return nil, err
	}
	r := &Report{Folder: folder, Pools: []*Pool{}}
	pools := map[string]*Pool{}
	r.TruncatedLines, err = records.Read(folder, func(line []byte, rec *records.Record) error {
		if err := validate(schema, line); err != nil {
			return err
		}
		p := pools[rec.Pool]
		if p == nil {
			p = newPool(rec.Pool)
			pools[rec.Pool] = p
		}
		if r.From.IsZero() || rec.At.Before(r.From) {
			r.From = rec.At
		}
		if rec.At.After(r.To) {
			r.To = rec.At
		}
		p.add(rec)
		return nil
	})
	if err != nil {
		return nil, err
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		p := pools[name]
		p.finish()
		r.Pools = append(r.Pools, p)
	}
	return r, nil
}

// validate fails if a line does not conform to the schema.
func validate(schema *jsonschema.Schema, line []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(line))
	if err != nil {
		return err
	}
	if err := schema.Validate(doc); err != nil {
		return fmt.Errorf("not a record by the schema: %s", oneLine(err))
	}
	return nil
}

// Schema returns the compiled JSON schema of the records.
func Schema() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(records.Schema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	if err := c.AddResource("record.schema.json", doc); err != nil {
		return nil, err
	}
	return c.Compile("record.schema.json")
}

// oneLine returns the text of an error as one line.
func oneLine(err error) string {
	return string(bytes.Join(bytes.Fields([]byte(err.Error())), []byte(" ")))
}

func newPool(name string) *Pool {
	return &Pool{Name: name, Causes: map[string]int{}, Texts: map[string]int{}, groups: map[groupKey]*Group{}}
}

// add adds a record to the pool's counts, and its figures to the distributions if the answers were
// compared.
func (p *Pool) add(r *records.Record) {
	p.Records++
	if r.Comparison == nil {
		p.Causes[r.Cause]++
		return
	}
	p.Compared++
	if r.HistoryGap {
		p.Gaps++
	}
	p.Texts[r.Comparison.Text]++
	if r.Comparison.SameFinish {
		p.SameFinish++
	}
	if r.Comparison.Partial {
		p.Partial++
	}
	p.similarities = append(p.similarities, r.Comparison.Similarity)
	if r.Live.Tokens != nil && r.Copy.Tokens != nil {
		p.tokenDeltas = append(p.tokenDeltas, float64(r.Comparison.TokenDelta))
	}
	if r.Live.CachedTokens != nil && r.Copy.CachedTokens != nil && !r.HistoryGap {
		p.cachedTokenDeltas = append(p.cachedTokenDeltas, float64(r.Comparison.CachedTokenDelta))
	}
	for _, key := range []groupKey{{}, {class: r.Class}, {host: r.Copy.Host}, {r.Class, r.Copy.Host}} {
		g := p.groups[key]
		if g == nil {
			g = &Group{Class: key.class, Host: key.host, live: histograms(), copied: histograms()}
			p.groups[key] = g
		}
		g.Count++
		record(g.live, &r.Live)
		record(g.copied, &r.Copy)
	}
}

func histograms() map[string]*hdrhistogram.Histogram {
	m := map[string]*hdrhistogram.Histogram{}
	for _, name := range times {
		m[name] = hdrhistogram.New(1, maxLatencyUs, 3)
	}
	return m
}

// record adds the times of an answer to the histograms.
func record(to map[string]*hdrhistogram.Histogram, s *records.Answer) {
	add := func(name string, ms *float64, subtract *float64) {
		if ms == nil {
			return
		}
		v := *ms
		if subtract != nil {
			v -= *subtract
		}
		to[name].RecordValue(int64(min(max(v*1000, 1), maxLatencyUs))) // fails only for values out of the histogram's range
	}
	add(FirstEvent, s.FirstByteMs, nil)
	add(HostFirstEvent, s.FirstByteMs, s.QueuedMs)
	add(TokenInterval, s.TokenIntervalMs, nil)
	add(CompleteAnswer, s.TotalMs, nil)
}

// finish computes the distributions from the values that add collected.
func (p *Pool) finish() {
	p.Similarity, p.TokenDelta, p.CachedTokenDelta = valueSpread(p.similarities), valueSpread(p.tokenDeltas), valueSpread(p.cachedTokenDeltas)
	for _, key := range slices.SortedFunc(maps.Keys(p.groups), groupKey.compare) {
		g := p.groups[key]
		g.Times = map[string]Pair{}
		for _, name := range times {
			pair := Pair{Live: histogramSpread(g.live[name]), Copy: histogramSpread(g.copied[name])}
			if pair.Live.P50 > 0 {
				pair.MedianRatio = pair.Copy.P50 / pair.Live.P50
			}
			g.Times[name] = pair
		}
		p.Groups = append(p.Groups, g)
	}
}

// histogramSpread returns the mean and quantiles, in milliseconds, of a histogram in microseconds.
func histogramSpread(h *hdrhistogram.Histogram) Spread {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Spread{}
	}
	return Spread{Count: int(h.TotalCount()), Mean: h.Mean() / 1000, P10: at(10), P50: at(50), P90: at(90), P99: at(99)}
}

// valueSpread returns the mean and quantiles of values. Unlike a histogram, it allows negative
// values.
func valueSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	at := func(q float64) float64 { return sorted[int(q*float64(len(sorted)-1)+0.5)] }
	sum := 0.0
	for _, v := range sorted {
		sum += v
	}
	return Spread{Count: len(sorted), Mean: sum / float64(len(sorted)), P10: at(0.1), P50: at(0.5), P90: at(0.9), P99: at(0.99)}
}
