package sampling

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// However many routers there are and whatever the sizes of prompts, so many messages are sent as the budget allows, and the sum of the
// tokens that are told is that of those that were sent.
func TestBudget(t *testing.T) {
	const (
		perSecond = 100.0
		length    = 2_000 * time.Second
	)
	for _, c := range []struct {
		name       string
		recipients int
		every      time.Duration // between prompts
		tokens     func(*rand.Rand) float64
	}{
		{"a small fleet", 11, 80 * time.Millisecond, func(r *rand.Rand) float64 { return 1500 * math.Exp(r.NormFloat64()) }},
		{"ninety routers", 89, 160 * time.Millisecond, func(r *rand.Rand) float64 { return 1500 * math.Exp(r.NormFloat64()) }},
		{"the planned size", 329, 95 * time.Millisecond, func(r *rand.Rand) float64 { return 1500 * math.Exp(r.NormFloat64()) }},
		{"prompts of one size", 329, 10 * time.Millisecond, func(*rand.Rand) float64 { return 700 }},
		{"a few very long ones", 329, 10 * time.Millisecond, func(r *rand.Rand) float64 {
			if r.IntN(100) == 0 {
				return 50_000
			}
			return 100
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			drawn := rand.New(rand.NewPCG(1, 2))
			s := New(perSecond)
			sent, told, messages := 0.0, 0.0, 0
			for now := time.Duration(0); now < length; now += c.every {
				tokens := c.tokens(drawn)
				sent += tokens
				if picked := s.Pick(now, tokens, c.recipients, drawn.Float64()); picked > 0 {
					is.True(picked >= tokens)
					told += picked
					messages += c.recipients
				}
			}
			rate := float64(messages) / length.Seconds()
			is.True(rate <= perSecond*1.1)       // the average of the last seconds is not that of all
			is.True(math.Abs(told/sent-1) < 0.1) // the sum stays right
			t.Logf("%.0f messages a second, %.2f of the tokens told", rate, told/sent)
		})
	}
}

// A router that sends little tells of each prompt as it is.
func TestAllAreTold(t *testing.T) {
	is := is.New(t)
	s := New(100)
	for i := range 50 {
		is.Equal(s.Pick(time.Duration(i)*time.Second, 1000, 11, 0.999), 1000.0)
	}
}

// Nobody is told of nothing, and nothing is told to nobody.
func TestNothing(t *testing.T) {
	is := is.New(t)
	s := New(100)
	is.Equal(s.Pick(0, 1000, 0, 0), 0.0)
	is.Equal(s.Pick(0, 0, 11, 0), 0.0)
}

// BenchmarkPick is what a prompt costs a router of the planned size, before anything is sent.
func BenchmarkPick(b *testing.B) {
	drawn := rand.New(rand.NewPCG(1, 2))
	s := New(85)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 95 * time.Millisecond
		s.Pick(now, 1500*math.Exp(drawn.NormFloat64()), 329, drawn.Float64())
	}
}
