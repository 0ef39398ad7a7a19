package retrybudget

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// In no span of events are there more repeats than the first tries in it and the bound allow,
// whatever the order and whatever restarts.
func TestRetriesAreBoundedInAnySpan(t *testing.T) {
	is := is.New(t)
	const ratio, limit, events = 0.2, 3.0, 400
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 0))
		b := New(ratio, limit)
		net := make([]float64, 1, events+1) // repeats less what first tries added, so far
		for range events {
			sum := net[len(net)-1]
			switch rng.IntN(40) {
			case 0:
				b = New(ratio, limit) // a restart
			case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
				if b.Take() {
					sum++
				}
			default:
				b.RecordRequest(false)
				sum -= ratio
			}
			net = append(net, sum)
		}
		for from := range net {
			for to := from; to < len(net); to++ {
				is.True(net[to]-net[from] <= limit+1e-9)
			}
		}
	}
}

// Without a budget every repeat is allowed; an empty one allows none.
func TestNilAndEmptyBudget(t *testing.T) {
	is := is.New(t)
	var unlimited *Budget
	unlimited.RecordRequest(false)
	is.True(unlimited.Take())
	is.True(!New(0.2, 5).Take())
}

// What is set later counts from then on: a bucket that may hold less loses what is beyond, and one
// that gets nothing for first tries stays empty.
func TestSetLowersTheBudget(t *testing.T) {
	is := is.New(t)
	b := New(1, 5)
	for range 5 {
		b.RecordRequest(false)
	}
	b.Set(0, 1)
	is.True(b.Take())
	is.True(!b.Take())
	b.RecordRequest(false)
	is.True(!b.Take())
	b.Set(1, 1)
	b.RecordRequest(false)
	is.True(b.Take())
}
