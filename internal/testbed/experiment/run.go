package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/simulator"
)

// Run is one finished simulation.
type Run struct {
	Variant string            `json:"variant"`
	Seed    uint64            `json:"seed"`
	Result  *simulator.Result `json:"result"`
	Broken  string            `json:"broken,omitempty"` // the broken rule in one line, which ended the simulation; empty for none

	Report string `json:"-"` // the broken rule with the events before it
	err    error
}

// Play runs all simulations of an experiment, atOnce of them in parallel. It calls done after each
// run; the calls are not concurrent, and done may be nil. Play returns the runs ordered by variant
// and then by seed, whatever the order in which they finished.
func (x *Experiment) Play(ctx context.Context, atOnce int, done func(*Run)) ([]*Run, error) {
	if err := x.CheckFor(faults.Simulation); err != nil {
		return nil, err
	}
	runs := make([]*Run, x.Worlds())
	next := make(chan int)
	var mu sync.Mutex
	var all sync.WaitGroup
	for range max(min(atOnce, len(runs)), 1) {
		all.Go(func() {
			for i := range next {
				v, seed := i/len(x.Seeds), x.Seeds[i%len(x.Seeds)]
				r := play(x.Virtual(v, seed))
				r.Variant, r.Seed = x.Variants[v].Name, seed
				mu.Lock()
				runs[i] = r
				if done != nil {
					done(r)
				}
				mu.Unlock()
			}
		})
	}
	var stopped error
feed:
	for i := range runs {
		select {
		case next <- i:
		case <-ctx.Done():
			stopped = ctx.Err()
			break feed
		}
	}
	close(next)
	all.Wait()
	if stopped != nil {
		return nil, stopped
	}
	for _, r := range runs {
		if r.err != nil {
			return nil, r.err
		}
	}
	return runs, nil
}

func play(s simulator.Spec) *Run {
	w, err := simulator.New(s)
	if err != nil {
		return &Run{err: err}
	}
	r := &Run{}
	var v *simulator.Violation
	if r.Result, err = w.Run(0); errors.As(err, &v) {
		r.Broken, r.Report = v.Error(), v.Report()
	} else {
		r.err = err
	}
	return r
}

// Difference is the amount by which the G of variant To is above that of variant From. Runs of the
// two variants with the same seed form a pair.
type Difference struct {
	From, To  string
	Pairs     int
	Mean      float64
	Low, High float64 // 95 % confidence interval of the mean
}

// Shown reports whether the difference is statistically significant: there is more than one pair,
// and the confidence interval does not include 0.
func (d *Difference) Shown() bool { return d.Pairs > 1 && (d.Low > 0 || d.High < 0) }

const resamples = 4000

// Compare compares each other variant with the first one. The confidence interval is a percentile
// bootstrap over seeds (Efron and Tibshirani, An Introduction to the Bootstrap, chapter 13), whose
// random numbers have a fixed seed.
func Compare(runs []*Run) []Difference {
	p := pairs{g: map[string]map[uint64]float64{}}
	for _, r := range runs {
		p.add(r.Variant, r.Seed, r.Broken == "", r.Result.G())
	}
	return p.compare()
}

// CompareRuns compares stored runs as Compare does.
func CompareRuns(keptRuns []KeptRun) []Difference {
	p := pairs{g: map[string]map[uint64]float64{}}
	for i := range keptRuns {
		k := &keptRuns[i]
		p.add(k.Variant, k.Seed, k.Broken == "", k.g())
	}
	return p.compare()
}

// CompareFolders compares each variant of one stored experiment with the variant of the same name in
// another.
func CompareFolders(from, to []KeptRun) (all []Difference) {
	names, _ := groupByVariant(from)
	for _, name := range names {
		p := pairs{g: map[string]map[uint64]float64{}}
		for i, side := range [][]KeptRun{from, to} {
			for j := range side {
				if k := &side[j]; k.Variant == name {
					p.add([]string{"the first " + name, "the second " + name}[i], k.Seed, k.Broken == "", k.g())
				}
			}
		}
		all = append(all, p.compare()...)
	}
	return all
}

// String returns the difference as one line.
func (d *Difference) String() string {
	how := fmt.Sprintf("%+.4f; 95 in 100: %+.4f to %+.4f, %d pairs", d.Mean, d.Low, d.High, d.Pairs)
	if d.Shown() {
		return fmt.Sprintf("%s differs in G from %s (%s).", d.To, d.From, how)
	}
	return fmt.Sprintf("%s against %s: no difference shown (%s).", d.To, d.From, how)
}

// pairs holds the G of each run, by variant and seed.
type pairs struct {
	names []string
	g     map[string]map[uint64]float64
}

func (p *pairs) add(variant string, seed uint64, paired bool, g float64) {
	if p.g[variant] == nil {
		p.g[variant] = map[uint64]float64{}
		p.names = append(p.names, variant)
	}
	if paired {
		p.g[variant][seed] = g
	}
}

func (p *pairs) compare() (all []Difference) {
	names, g := p.names, p.g
	for _, name := range names[min(1, len(names)):] {
		var diffs []float64
		var seeds []uint64
		for seed := range g[name] {
			if _, ok := g[names[0]][seed]; ok {
				seeds = append(seeds, seed)
			}
		}
		slices.Sort(seeds)
		for _, seed := range seeds {
			diffs = append(diffs, g[name][seed]-g[names[0]][seed])
		}
		d := Difference{From: names[0], To: name, Pairs: len(diffs)}
		if len(diffs) > 0 {
			d.Mean, d.Low, d.High = bootstrap(diffs)
		}
		all = append(all, d)
	}
	return all
}

func bootstrap(x []float64) (mean, low, high float64) {
	rng := rand.New(rand.NewPCG(1, uint64(len(x))))
	means := make([]float64, resamples)
	for i := range means {
		for range x {
			means[i] += x[rng.IntN(len(x))]
		}
		means[i] /= float64(len(x))
	}
	slices.Sort(means)
	for _, v := range x {
		mean += v / float64(len(x))
	}
	return mean, means[resamples*25/1000], means[resamples*975/1000-1]
}
