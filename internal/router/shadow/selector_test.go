package shadow

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The Selector chooses all requests of a conversation or none. A larger share includes all
// conversations of a smaller share, and about the configured share of the conversations is chosen.
func TestSelectorChoosesShareOfConversations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		small := rapid.Float64Range(0, 1).Draw(t, "small")
		large := rapid.Float64Range(small, 1).Draw(t, "large")
		a, b := NewSelector([]Choice{{Pool: "x", Share: small}}), NewSelector([]Choice{{Pool: "x", Share: large}})
		got := 0
		for i := range 2000 {
			session := Session(fmt.Sprint("session", i), "")
			chosen := a.Choose("chat", nil, session).Has(0)
			if chosen && !b.Choose("other", nil, session).Has(0) {
				t.Fatal("a larger share does not include a conversation that a smaller one chose")
			}
			if chosen {
				got++
			}
		}
		if off := float64(got)/2000 - small; off < -0.06 || off > 0.06 {
			t.Fatalf("%d of 2000 conversations were chosen with a share of %v", got, small)
		}
	})
	s := NewSelector([]Choice{{Pool: "a", Share: 1, Classes: []string{"chat"}}, {Pool: "b", Share: 1, Tenants: []string{"t"}}, {Pool: "c"}})
	for _, tt := range []struct {
		class, tenant string
		want          Pools
	}{{"chat", "", 1}, {"chat", "t", 3}, {"other", "t", 2}, {"other", "u", 0}} {
		if got := s.Choose(tt.class, []byte(tt.tenant), 1); got != tt.want {
			t.Errorf("%+v: got the pool set %b", tt, got)
		}
	}
	if s.Idle() || !NewSelector([]Choice{{Pool: "c"}}).Idle() {
		t.Error("Idle is true for a selector with shares, or false for one without")
	}
}

func BenchmarkChooseNone(b *testing.B) {
	s := NewSelector([]Choice{{Pool: "a", Share: 0.1, Classes: []string{"other"}}, {Pool: "b", Share: 0.001}})
	b.ReportAllocs()
	for b.Loop() {
		if s.Choose("chat", nil, Session("7f3a9c21e0b4d655", "")) != 0 {
			b.Fatal("a pool was chosen for a request that no choice matches")
		}
	}
}
