// Package pairedruns plays days of the fleet's bench with two versions of the project, the same
// seeds with both, and says how much worth the one earns beside the other. It owns the order of the
// plays and the sums; how a day is played is its caller's. Differences are of worth, from 0 to 1 a
// day.
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

// The versions.
const (
	Before Version = iota
	After
)

// String is the version's name.
func (v Version) String() string { return [...]string{"before", "after"}[v] }

// Play is one play of one day.
type Play struct {
	Site, Day string
	Seed      uint64
	Version   Version
}

// Player plays a day and returns what it lost.
type Player func(ctx context.Context, p Play) (*scoreanalysis.Day, error)

// Plan is what is to be played.
type Plan struct {
	Sites, Days []string
	Seeds       []uint64
	AtOnce      int // plays side by side, 1 or more
}

// plays are all plays, the two of a pair next to each other so that both meet the same load of the
// machine.
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

// Result is what the plays of a plan came to.
type Result struct {
	plan   *Plan
	played map[Play]*scoreanalysis.Day
}

// Run plays everything. The first play that fails ends it.
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

// Difference is the mean of so many pairs, with its standard error, NaN for fewer than two.
type Difference struct {
	Mean, Error float64
	Pairs       int
}

// differenceOf sums up the differences of pairs.
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

// ValueDifference is the difference of worth, after less before, over the pairs of a site and a
// day; empty names stand for all.
func (r *Result) ValueDifference(site, day string) Difference {
	return r.difference(site, day, func(d *scoreanalysis.Day) float64 { return d.Worth })
}

// Lost is the same for what one cause took of the worth.
func (r *Result) Lost(site, day, cause string) Difference {
	return r.difference(site, day, func(d *scoreanalysis.Day) float64 { return d.Lost(cause) })
}

func (r *Result) difference(site, day string, figure func(*scoreanalysis.Day) float64) Difference {
	var each []float64
	for _, p := range r.chosen(site, day) {
		other := p
		other.Version = After
		each = append(each, figure(r.played[other])-figure(r.played[p]))
	}
	return differenceOf(each)
}

// Mean is the mean worth of a version over the plays of a site and a day.
func (r *Result) Mean(v Version, site, day string) float64 {
	sum, n := 0.0, 0.0
	for _, p := range r.chosen(site, day) {
		p.Version = v
		sum, n = sum+r.played[p].Worth, n+1
	}
	return sum / n
}

// chosen are the plays before the change of a site and a day.
func (r *Result) chosen(site, day string) []Play {
	return slices.DeleteFunc(r.plan.plays(), func(p Play) bool {
		return p.Version != Before || site != "" && p.Site != site || day != "" && p.Day != day
	})
}

// Causes are what took worth of any play, by their names.
func (r *Result) Causes() (all []string) {
	for _, d := range r.played {
		for _, l := range d.Losses {
			all = append(all, l.Cause)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Broken are the plays in which a rule broke, in the order of the plan.
func (r *Result) Broken() (all []Play) {
	return slices.DeleteFunc(r.plan.plays(), func(p Play) bool { return len(r.played[p].Broken) == 0 })
}
