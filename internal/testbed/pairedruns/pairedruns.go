// Package pairedruns compares two versions of the project on days of the fleet's bench. It plays each
// day with both versions and the same seeds, and computes by how much the worth of the later version
// differs. The package decides the order of the plays and computes the statistics; the caller plays
// the days. Differences are differences of worth, which is from 0 to 1 for a day.
package pairedruns

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"reachspread/internal/testbed/scoreanalysis"
)

// Version is one of the two versions that are compared.
type Version int

// Before is the version before the change, and After the version with the change.
const (
	Before Version = iota
	After
)

// String returns the version's name.
func (v Version) String() string { return [...]string{"before", "after"}[v] }

// Play is one play of one day.
type Play struct {
	Site, Day string
	Seed      uint64
	Version   Version
}

// Player plays a day and returns its worth and what it lost.
type Player func(ctx context.Context, p Play) (*scoreanalysis.Day, error)

// Plan lists the sites, days and seeds to play. Each combination of them is played with both
// versions.
type Plan struct {
	Sites, Days []string
	Seeds       []uint64
	AtOnce      int // maximum number of concurrent plays, 1 or more
}

// plays returns all plays of the plan. The two plays of a pair are adjacent, so that both run under
// the same load of the machine.
func (p *Plan) plays() (all []Play) {
	for _, seed := range p.Seeds {
		for _, site := range p.Sites {
			for _, day := range p.Days {
				all = append(all, Play{site, day, seed, Before}, Play{site, day, seed, After})
			}
		}
	}
	return all
}

// Result holds the days that the plays of a plan produced.
type Result struct {
	plan   *Plan
	played map[Play]*scoreanalysis.Day
}

// Run runs all plays of the plan. The first play that fails ends the run, and its error is returned.
func (p *Plan) Run(ctx context.Context, play Player) (*Result, error) {
	r := &Result{plan: p, played: map[Play]*scoreanalysis.Day{}}
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(p.AtOnce, 1))
	for _, one := range p.plays() {
		group.Go(func() error {
			day, err := play(ctx, one)
			if err != nil {
				return fmt.Errorf("%s %s, seed %d, %s: %w", one.Site, one.Day, one.Seed, one.Version, err)
			}
			mu.Lock()
			defer mu.Unlock()
			r.played[one] = day
			return nil
		})
	}
	return r, group.Wait()
}

// Difference is the mean difference over a number of pairs, and the standard error of the mean. The
// standard error is NaN for fewer than two pairs.
type Difference struct {
	Mean, Error float64
	Pairs       int
}

// differenceOf computes the mean and the standard error of the differences of pairs.
func differenceOf(each []float64) Difference {
	d := Difference{Pairs: len(each), Error: math.NaN()}
	if len(each) == 0 {
		return d
	}
	for _, x := range each {
		d.Mean += x / float64(len(each))
	}
	squares := 0.0
	for _, x := range each {
		squares += (x - d.Mean) * (x - d.Mean)
	}
	if n := float64(len(each)); n > 1 {
		d.Error = math.Sqrt(squares / (n - 1) / n)
	}
	return d
}

// ValueDifference returns the difference of worth, after minus before, over the pairs of a site and
// a day. An empty name stands for all sites or all days.
func (r *Result) ValueDifference(site, day string) Difference {
	return r.difference(site, day, func(d *scoreanalysis.Day) float64 { return d.Worth })
}

// Lost returns the difference of the worth that one cause took, after minus before. The names have
// the same meaning as in ValueDifference.
func (r *Result) Lost(site, day, cause string) Difference {
	return r.difference(site, day, func(d *scoreanalysis.Day) float64 { return d.Lost(cause) })
}

func (r *Result) difference(site, day string, figure func(*scoreanalysis.Day) float64) Difference {
	var each []float64
	for _, p := range r.playsBefore(site, day) {
		other := p
		other.Version = After
		each = append(each, figure(r.played[other])-figure(r.played[p]))
	}
	return differenceOf(each)
}

// Mean returns the mean worth of a version over the plays of a site and a day. An empty name stands
// for all sites or all days.
func (r *Result) Mean(v Version, site, day string) float64 {
	sum, n := 0.0, 0.0
	for _, p := range r.playsBefore(site, day) {
		p.Version = v
		sum, n = sum+r.played[p].Worth, n+1
	}
	return sum / n
}

// playsBefore returns the plays of a site and a day with the version before the change. An empty name
// stands for all sites or all days.
func (r *Result) playsBefore(site, day string) []Play {
	return slices.DeleteFunc(r.plan.plays(), func(p Play) bool {
		return p.Version != Before || site != "" && p.Site != site || day != "" && p.Day != day
	})
}

// Causes returns the names of the causes that occur in the losses of any play, sorted.
func (r *Result) Causes() (all []string) {
	for _, d := range r.played {
		for _, l := range d.Losses {
			all = append(all, l.Cause)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Broken returns the plays in which a rule was broken, in the order of the plan.
func (r *Result) Broken() (all []Play) {
	return slices.DeleteFunc(r.plan.plays(), func(p Play) bool { return len(r.played[p].Broken) == 0 })
}
