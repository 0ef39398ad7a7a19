package simulator

import (
	"testing"
	"time"
)

// No fleet serves more than the bound, warm or cold, with little to do or far too much; and the
// bound follows what hosts can do.
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
				t.Errorf("%v while no host is there", x.Able)
			}
		}
		if got > 1.02*able || able > of {
			t.Errorf("rate %v, cold %v: %.0f served, bound %.0f, %.0f asked for", rate, cold, got, able, of)
		}
		return got, able, of
	}
	if _, a, of := able(0.3, false); a < 0.99*of {
		t.Errorf("little to do: the bound is %.0f of %.0f", a, of)
	}
	if _, a, of := able(6, false); a > 0.8*of {
		t.Errorf("six times the load: the bound is %.0f of %.0f", a, of)
	}
	_, warm, _ := able(1.5, false)
	if _, a, _ := able(1.5, true); a > 0.95*warm {
		t.Errorf("cold hosts: the bound is %.0f, warm ones' %.0f", a, warm)
	}
}
