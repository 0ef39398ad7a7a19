package lab

import (
	"testing"
	"time"
)

// vast is 80 routers before 60 hosts of three zones, each router under one request a second, with words between routers of
// which a fifth is lost.
func vast(seed uint64) Spec {
	s := small(seed)
	s.Length, s.Routers = 14*time.Second, 80
	group := s.Groups[0]
	s.Groups = nil
	for _, zone := range []string{"a", "b", "c"} {
		g := group
		g.Count, g.Zone = 20, zone
		s.Groups = append(s.Groups, g)
	}
	for i := range s.Classes {
		s.Classes[i].Rate = 38
		s.Classes[i].New = Length{2500, 0.8} // more than the fleet can do while hosts are cold
	}
	s.Peers = Peers{On: true, Least: 3 * ms, Most: 22 * ms, Lost: 0.2}
	return s
}

// Six in ten hosts are replaced by cold ones, or a zone dies and comes back cold: no cold host is pushed over by all
// routers together, whatever the seed, although there is more to do than the fleet can. The checkers end a world in which a rule is broken.
func TestNoColdHostIsPushedOverByEightyRouters(t *testing.T) {
	for _, trouble := range []Trouble{
		{Kind: Replace, At: 4 * time.Second, Length: 5 * time.Second, Part: 0.6},
		{Kind: HostsDie, At: 4 * time.Second, Length: 2 * time.Second, Part: 0.33},
	} {
		t.Run(string(trouble.Kind), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := vast(seed)
				s.Troubles = []Trouble{trouble}
				r, _ := run(t, s)
				if r.Heard == 0 || r.Probes != 0 {
					t.Errorf("seed %d: %d words heard and %d probes; want some and none", seed, r.Heard, r.Probes)
				}
			}
		})
	}
}
