package simulator

import (
	"testing"
	"time"

	"reachspread/internal/testbed/faults"
)

// vast is 80 routers before 60 hosts of three zones, each router under one request a second, with
// words between routers of which a fifth is lost.
func vast(seed uint64) Spec { return fleetOf(seed, 80, 20, 38) }

// mass is the size of the standing fleet test: 300 routers before 100 hosts, with traffic as thin.
func mass(seed uint64) Spec { return fleetOf(seed, 300, 33, 63) }

func fleetOf(seed uint64, routers, hostsOfZone int, rate float64) Spec {
	s := small(seed)
	s.Length, s.Routers = 14*time.Second, routers
	group := s.Groups[0]
	s.Groups = nil
	for _, zone := range []string{"a", "b", "c"} {
		g := group
		g.Count, g.Zone = hostsOfZone, zone
		s.Groups = append(s.Groups, g)
	}
	for i := range s.Classes {
		s.Classes[i].Rate = rate
		s.Classes[i].New = Length{2500, 0.8} // more than the fleet can do while hosts are cold
	}
	s.Peers = Peers{On: true, Least: 3 * ms, Most: 22 * ms, Lost: 0.2}
	return s
}

// Six in ten hosts are replaced by cold ones, or a zone dies and comes back cold: no cold host is
// pushed over by all routers together, whatever the seed, although there is more to do than the
// fleet can. The checkers end a world in which a rule is broken.
func TestNoColdHostIsPushedOverByEightyRouters(t *testing.T) {
	for _, trouble := range []Disruption{
		{Kind: Replace, At: 4 * time.Second, Length: 5 * time.Second, Fraction: 0.6},
		{Kind: HostsDie, At: 4 * time.Second, Length: 2 * time.Second, Fraction: 0.33},
	} {
		t.Run(string(trouble.Kind), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := vast(seed)
				s.Disruptions = []Disruption{trouble}
				r, _ := run(t, s)
				if r.Heard == 0 || r.Probes != 0 {
					t.Errorf("seed %d: %d words heard and %d probes; want some and none", seed, r.Heard, r.Probes)
				}
			}
		})
	}
}

// All routers and hosts lose power and nobody has a disk: no work was ever seen, so hosts that are
// cold are tried by turns, and what they do is the measure of more. They are not pushed over, and
// serve before they are warm.
func TestEightyRoutersBeginFromNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		s := vast(seed)
		s.Gate = true
		s.Faults = []faults.Fault{{Kind: faults.Kill, At: 4 * time.Second, Length: 2 * time.Second, Routers: faults.Selection{All: true}},
			{Kind: faults.Kill, At: 4 * time.Second, Length: time.Second, Hosts: faults.Selection{All: true}}}
		r, _ := run(t, s)
		good := uint64(0)
		for _, x := range r.Seconds[6 : 5+int(s.Balance.SlowStartWindow/time.Second)] {
			good += x.Good
		}
		if t.Logf("seed %d: %d served while all hosts are cold", seed, good); good < 20 {
			t.Errorf("seed %d: %d served while all hosts are cold", seed, good)
		}
	}
}

// At half the load, what the large fleet meets costs little: a zone that falls silent and comes
// back, hosts of which each takes no more connections than a third of the routers want, slow hosts
// that each router has met once or never, and most routers restarted at once with the list that
// they held.
func TestEightyRoutersGetOver(t *testing.T) {
	for _, tt := range []struct {
		name    string
		conns   int
		trouble Disruption
		least   float64 // G
	}{
		{"a silent zone", 200, Disruption{Kind: LostZone, At: 4 * time.Second, Length: 4 * time.Second, Zone: "a"}, 0.8},
		{"few connections", 9, Disruption{Kind: SlowHosts, At: 4 * time.Second, Length: time.Second, Fraction: 0.01, Size: 1.1}, 0.8},
		{"slow hosts", 200, Disruption{Kind: SlowHosts, At: 4 * time.Second, Length: 8 * time.Second, Fraction: 0.1, Size: 6}, 0.8},
		{"a release of routers", 200, Disruption{Kind: RouterCrash, At: 4 * time.Second, Length: 2 * time.Second, Fraction: 0.7}, 0.8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := vast(1)
			for i := range s.Classes {
				s.Classes[i].New = Length{200, 0.8}
			}
			for i := range s.Groups {
				s.Groups[i].Host.MaxConnections = tt.conns
			}
			s.Disruptions = []Disruption{tt.trouble}
			r, _ := run(t, s)
			t.Logf("G %.3f, handshakes %d for %d attempts, %.1f list lines for each first try", r.G(), r.Handshakes, r.Attempts, float64(r.Lines)/float64(firstTries(r)))
			if g := r.G(); g < tt.least {
				t.Errorf("G %.3f, want %.2f", g, tt.least)
			}
		})
	}
}

// All hosts die at once and come back cold: what the whole fleet of routers holds is refused within
// moments, and its clients come back by what they were told. No cold host is pushed over by them,
// and within 5 s of the hosts' return the fleet serves most of what it did before (a third less
// without the measure that fade keeps).
func TestAllRefusedAtOnceComeBack(t *testing.T) {
	for seed := range uint64(3) {
		s := vast(seed)
		for i := range s.Classes {
			s.Classes[i].New = Length{200, 0.8}
		}
		s.Length = 26 * time.Second
		s.Retries = Retries{Max: 3, Heed: true, After: 20 * ms}
		s.Disruptions = []Disruption{{Kind: HostsDie, At: 12 * time.Second, Length: 2 * time.Second, Fraction: 1}}
		r, _ := run(t, s)
		sum := func(from, to int) (good, asked float64) {
			for _, second := range r.Seconds[from:to] {
				good, asked = good+float64(second.Good), asked+float64(second.Asked)
			}
			return good, asked
		}
		goodBefore, askedBefore := sum(8, 12)
		goodAfter, askedAfter := sum(19, 25)
		before, after := goodBefore/askedBefore, goodAfter/askedAfter
		refused := uint64(0)
		for _, c := range r.Classes {
			refused += c.Refused
		}
		t.Logf("seed %d: %.3f served before, %.3f after, %d retries, %d refused for good", seed, before, after, r.Retries, refused)
		if after < 0.65*before || r.Retries == 0 {
			t.Errorf("seed %d: %.3f served before, %.3f after, with %d retries", seed, before, after, r.Retries)
		}
	}
}
