package pairedruns

import (
	"context"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"reachspread/internal/testbed/scoreanalysis"
)

// worths is a Player for seeds 1 and 2. On day a, the later version earns 0.1 more with seed 1 and
// 0.3 more with seed 2. On day b, both versions earn the same.
func worths(_ context.Context, p Play) (*scoreanalysis.Day, error) {
	d := &scoreanalysis.Day{Worth: 0.5, Losses: []scoreanalysis.Loss{{Cause: "worst class", Worth: 0.5}}}
	if p.Version == After && p.Day == "a" {
		d.Worth += 0.1
		if p.Seed == 2 {
			d.Worth += 0.2
			d.Broken = []string{"LOST"}
		}
		d.Losses[0].Worth = 1 - d.Worth
	}
	return d, nil
}

func TestDifferences(t *testing.T) {
	is := is.New(t)
	plan := &Plan{Sites: []string{"x.toml"}, Days: []string{"a", "b"}, Seeds: []uint64{1, 2}, AtOnce: 3}
	r, err := plan.Run(context.Background(), worths)
	is.NoErr(err)
	near := func(x, y float64) bool { return math.Abs(x-y) < 1e-9 }
	a := r.ValueDifference("x.toml", "a")
	is.Equal(a.Pairs, 2)
	is.True(near(a.Mean, 0.2))
	is.True(near(a.Error, 0.1)) // the standard deviation of 0.1 and 0.3, 0.1414, divided by the square root of 2
	is.Equal(r.ValueDifference("x.toml", "b").Mean, 0.0)
	is.True(near(r.ValueDifference("", "").Mean, 0.1))
	is.True(near(r.Lost("", "a", "worst class").Mean, -0.2))
	is.Equal(r.Broken(), []Play{{"x.toml", "a", 2, After}})
	var out strings.Builder
	is.NoErr(r.Print(&out))
	for _, want := range []string{"+0.2000 ± 0.1000", "LOST", "worst class -0.2000"} {
		is.True(strings.Contains(out.String(), want)) // the table contains this text
	}
}

// For one pair, the standard error is NaN and is not printed.
func TestOnePair(t *testing.T) {
	is := is.New(t)
	d := differenceOf([]float64{0.25})
	is.Equal(d.Mean, 0.25)
	is.True(math.IsNaN(d.Error))
	is.Equal(d.String(), "+0.2500")
}

func TestAPlayThatFails(t *testing.T) {
	is := is.New(t)
	plan := &Plan{Sites: []string{"x"}, Days: []string{"a"}, Seeds: []uint64{7}, AtOnce: 1}
	failed := errors.New("no room")
	_, err := plan.Run(context.Background(), func(context.Context, Play) (*scoreanalysis.Day, error) { return nil, failed })
	is.True(errors.Is(err, failed))
	is.True(strings.Contains(err.Error(), "seed 7"))
}
