package retrybudget

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// In any sequence of events, the number of retries is at most the limit plus the tokens that the
// requests in the sequence added. This holds for any order of events, and across restarts.
func TestRetriesAreBoundedInAnySpan(t *testing.T) {
	is := is.New(t)
	const ratio, limit, events = 0.2, 3.0, 400
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 0))
		b := New(ratio, limit)
		net := make([]float64, 1, events+1) // retries so far minus the tokens that requests added
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

// A nil budget allows every retry, and an empty budget allows none.
func TestNilAndEmptyBudget(t *testing.T) {
	is := is.New(t)
	var unlimited *Budget
	unlimited.RecordRequest(false)
	is.True(unlimited.Take())
	is.True(!New(0.2, 5).Take())
}

// Set takes effect at once. A budget with a lower limit loses the tokens above the limit, and a budget
// with ratio 0 gets no tokens for requests.
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
