package simulator

import (
	"testing"
	"time"
)

// No fleet obtains more value than the bound, whether its hosts are warm or cold, and at a third of
// the load or at six times the load. The bound decreases if the hosts can do less.
func TestServableValueBoundsWhatIsServed(t *testing.T) {
	able := func(rate float64, cold bool) (got, able, of float64) {
		s := small(3)
		for i := range s.Classes {
			s.Classes[i].Rate *= rate
		}
		if cold {
			s.Disruptions = []Disruption{{Kind: HostsDie, At: 4 * time.Second, Fraction: 1, Length: 3 * time.Second}}
		}
		r, _ := run(t, s)
		for i, x := range r.Seconds[:20] {
			for c := range x.Begun {
				got, able, of = got+x.Begun[c].Got, able+x.Able[c], of+x.Begun[c].Of
			}
			if cold && i == 5 && x.Able[0]+x.Able[1] > 0 {
				t.Errorf("bound is %v in a second in which no host is alive, want 0", x.Able)
			}
		}
		if got > 1.02*able || able > of {
			t.Errorf("rate %v, cold %v: served a value of %.0f, bound %.0f, requested %.0f", rate, cold, got, able, of)
		}
		return got, able, of
	}
	if _, a, of := able(0.3, false); a < 0.99*of {
		t.Errorf("0.3 times the load: the bound is %.0f of %.0f requested", a, of)
	}
	if _, a, of := able(6, false); a > 0.8*of {
		t.Errorf("six times the load: the bound is %.0f of %.0f requested", a, of)
	}
	_, warm, _ := able(1.5, false)
	if _, a, _ := able(1.5, true); a > 0.95*warm {
		t.Errorf("the bound is %.0f with cold hosts and %.0f with warm hosts", a, warm)
	}
}
