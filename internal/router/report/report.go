// Package report sums up the records of shadow pools: what was compared, what was not and why, how
// the texts differ, and the times of both sides by pool, class and host. It reads package records
// and writes tables and charts. Only the program reachreport uses it, so that the router does not
// carry what draws charts.
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

// Report sums up the records of a folder.
type Report struct {
	Folder         string    `json:"folder"`
	From           time.Time `json:"from"`
	To             time.Time `json:"to"`
	TruncatedLines int       `json:"cut_lines"` // skipped last lines of files
	Pools          []*Pool   `json:"pools"`
}

// Pool sums up the records of one pool.
type Pool struct {
	Name             string         `json:"pool"`
	Records          int            `json:"records"`
	Compared         int            `json:"compared"`
	Gaps             int            `json:"compared_with_gap"` // of conversations of which an earlier request was dropped
	Causes           map[string]int `json:"not_comparable"`
	Texts            map[string]int `json:"texts"`
	SameFinish       int            `json:"same_finish"`
	Partial          int            `json:"similarity_of_a_part"`
	Similarity       Spread         `json:"similarity"` // from 0 to 1
	TokenDelta       Spread         `json:"more_tokens"`
	CachedTokenDelta Spread         `json:"more_kept_tokens"`
	Groups           []*Group       `json:"groups"`

	similarities                   []float64
	tokenDeltas, cachedTokenDeltas []float64
	groups                         map[groupKey]*Group
}

// Group is the times of comparable answers of one class at one host; empty names stand for all.
type Group struct {
	Class string          `json:"class"`
	Host  string          `json:"host"`
	Count int             `json:"count"`
	Times map[string]Pair `json:"times"` // by the name of the time

	live, copied map[string]*hdrhistogram.Histogram
}

// groupKey names a Group; empty names stand for all.
type groupKey struct{ class, host string }

// compare orders keys by class, then by host.
func (k groupKey) compare(other groupKey) int {
	return cmp.Or(cmp.Compare(k.class, other.class), cmp.Compare(k.host, other.host))
}

// Pair is one time on both sides, in milliseconds, and the copies' median as a multiple of the live
// one.
type Pair struct {
	Live        Spread  `json:"live_ms"`
	Copy        Spread  `json:"copy_ms"`
	MedianRatio float64 `json:"ratio_p50"`
}

// Spread is the mean and quantiles of a distribution.
type Spread struct {
	Count int     `json:"count"`
	Mean  float64 `json:"mean"`
	P10   float64 `json:"p10"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
}

// The names of the times, in the order in which they are shown. HostFirstEvent leaves out the time
// until the attempt was sent.
const (
	FirstEvent     = "first event"
	HostFirstEvent = "first event, host's own"
	TokenInterval  = "between tokens"
	CompleteAnswer = "whole answer"
)

var times = []string{FirstEvent, HostFirstEvent, TokenInterval, CompleteAnswer}

// maxLatencyUs is the longest time that a histogram distinguishes, in microseconds: an hour.
const maxLatencyUs = 3600 * 1e6

// Read sums up a folder. It fails, with file and line, at a line that is not valid by the schema of
// the records.
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

// validate fails where a line is no record by the schema.
func validate(schema *jsonschema.Schema, line []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(line))
	if err != nil {
		return err
	}
	if err := schema.Validate(doc); err != nil {
		return fmt.Errorf("not a record: %s", oneLine(err))
	}
	return nil
}

// Schema returns the schema of the records, compiled.
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

// oneLine joins the lines of an error.
func oneLine(err error) string {
	return string(bytes.Join(bytes.Fields([]byte(err.Error())), []byte(" ")))
}

func newPool(name string) *Pool {
	return &Pool{Name: name, Causes: map[string]int{}, Texts: map[string]int{}, groups: map[groupKey]*Group{}}
}

// add counts a record.
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
		to[name].RecordValue(int64(min(max(v*1000, 1), maxLatencyUs))) // within its range, it can't fail
	}
	add(FirstEvent, s.FirstByteMs, nil)
	add(HostFirstEvent, s.FirstByteMs, s.QueuedMs)
	add(TokenInterval, s.TokenIntervalMs, nil)
	add(CompleteAnswer, s.TotalMs, nil)
}

// finish computes the figures from what add collected.
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

// histogramSpread returns the quantiles of a histogram of microseconds, in milliseconds.
func histogramSpread(h *hdrhistogram.Histogram) Spread {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Spread{}
	}
	return Spread{Count: int(h.TotalCount()), Mean: h.Mean() / 1000, P10: at(10), P50: at(50), P90: at(90), P99: at(99)}
}

// valueSpread returns the quantiles of values that may be negative, which a histogram can't hold.
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
